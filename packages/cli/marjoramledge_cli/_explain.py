"""Collects the log lines of one request from the logs of several nodes.

A request is selected by the caller's request id or by the id of a call.  The
lines of all its calls are shown in order of time, together with events about
servers, members, configuration and so on that the nodes or services concerned
logged shortly before and during the request.
"""

import collections.abc
import dataclasses
import datetime
import json
import typing

# Context events are shown from this long before a request's first line.
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
    """Parse a log line; return None if it is not one.

    Text before the JSON object is skipped.
    """
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
    """Select the lines of a request and their context, in order of time."""
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
    """Format log lines for reading, one line per event."""
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
