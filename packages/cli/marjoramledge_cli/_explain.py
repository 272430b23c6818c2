"""The story of one request, out of the logs of several nodes.

A request is named by its caller's id or by a call's id.  All lines of its
calls are shown in order, and with them what the nodes concerned came to
believe about servers, peers and configuration shortly before.
"""

import collections.abc
import dataclasses
import datetime
import json
import typing

# How long before a request's first line its nodes' beliefs are of interest.
CONTEXT_S: typing.Final = 5.0

_CONTEXT_EVENT_PREFIXES: typing.Final = (
    "server-",
    "member-",
    "peer-",
    "config-",
    "zone-",
    "store-",
    "stop-",
    "departure-",
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One line of a node's log."""

    logged_at: datetime.datetime
    node: str
    event: str
    message: str
    service: str
    call: str
    request: str
    peer: str


def parse_line(text: str) -> LogLine | None:
    """Read a line, with or without something before it; None if none."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        return LogLine(
            logged_at=datetime.datetime.fromisoformat(fields["time"]),
            node=str(fields["node"]),
            event=str(fields["event"]),
            message=str(fields["message"]),
            service=str(fields.get("service", "")),
            call=str(fields.get("call", "")),
            request=str(fields.get("request", "")),
            peer=str(fields.get("peer", "")),
        )
    except (ValueError, KeyError, TypeError):
        return None


def find_request_lines(
    lines: collections.abc.Iterable[LogLine], wanted_id: str
) -> list[LogLine]:
    """Pick the lines that tell of a request, in order."""
    ordered = sorted(lines, key=lambda line: line.logged_at)
    matching = [
        line for line in ordered if wanted_id in (line.request, line.call)
    ]
    calls = {line.call for line in matching if line.call}
    matching = [
        line for line in ordered if line in matching or line.call in calls
    ]
    if not matching:
        return []
    context_start = matching[0].logged_at - datetime.timedelta(
        seconds=CONTEXT_S
    )
    nodes = {line.node for line in matching} | {line.peer for line in matching}
    services = {line.service for line in matching if line.service}
    return [
        line
        for line in ordered
        if line in matching
        or (
            context_start <= line.logged_at <= matching[-1].logged_at
            and line.event.startswith(_CONTEXT_EVENT_PREFIXES)
            and (line.node in nodes or line.service in services)
        )
    ]


def format_lines(request_lines: collections.abc.Sequence[LogLine]) -> str:
    """Render a story, one line an event."""
    return "\n".join(
        " ".join(
            part
            for part in (
                line.logged_at.isoformat(timespec="milliseconds"),
                line.node,
                line.event,
                line.service,
                line.peer and f"-> {line.peer}",
                line.message if line.message != line.event else "",
            )
            if part
        )
        for line in request_lines
    )
