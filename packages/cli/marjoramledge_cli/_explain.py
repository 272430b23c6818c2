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

_BELIEFS: typing.Final = (
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

    at: datetime.datetime
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
            at=datetime.datetime.fromisoformat(fields["time"]),
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


def find_story(
    lines: collections.abc.Iterable[LogLine], name: str
) -> list[LogLine]:
    """Pick the lines that tell of a request, in order."""
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if name in (line.request, line.call)]
    calls = {line.call for line in own if line.call}
    own = [line for line in ordered if line in own or line.call in calls]
    if not own:
        return []
    begin = own[0].at - datetime.timedelta(seconds=CONTEXT_S)
    nodes = {line.node for line in own} | {line.peer for line in own}
    services = {line.service for line in own if line.service}
    return [
        line
        for line in ordered
        if line in own
        or (
            begin <= line.at <= own[-1].at
            and line.event.startswith(_BELIEFS)
            and (line.node in nodes or line.service in services)
        )
    ]


def format_story(story: collections.abc.Sequence[LogLine]) -> str:
    """Render a story, one line an event."""
    return "\n".join(
        " ".join(
            part
            for part in (
                line.at.isoformat(timespec="milliseconds"),
                line.node,
                line.event,
                line.service,
                line.peer and f"-> {line.peer}",
                line.message if line.message != line.event else "",
            )
            if part
        )
        for line in story
    )
