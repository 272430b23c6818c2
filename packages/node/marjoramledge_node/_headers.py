"""The load balancer's own HTTP headers, and which headers it forwards.

Names that start with ``Marjoramledge-`` are reserved: such headers from a
caller or a backend server are not forwarded.  The node itself reads only
those that are listed below for the sender.
"""

import collections.abc
import math
import typing
import urllib.parse

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
import multidict

# Headers that callers may send.
DEADLINE: typing.Final = "Marjoramledge-Deadline-Ms"
IDEMPOTENCY_KEY: typing.Final = "Idempotency-Key"
# Headers that nodes send to callers and backend servers.
RUN: typing.Final = "Marjoramledge-Run"
REASON: typing.Final = "Marjoramledge-Reason"
CALL: typing.Final = "Marjoramledge-Call"
# Headers that backend servers send in their answers.
RATE_LIMIT: typing.Final = "Marjoramledge-Rate-Limit"
LEAVING: typing.Final = "Marjoramledge-Leaving"
# Headers that nodes exchange with each other.
ATTEMPT: typing.Final = "Marjoramledge-Attempt"
AUTH: typing.Final = "Marjoramledge-Auth"
STAMP: typing.Final = "Marjoramledge-Stamp"
FINGERPRINT: typing.Final = "Marjoramledge-Fingerprint"
LOAD: typing.Final = "Marjoramledge-Load"
PATIENT: typing.Final = "Marjoramledge-Patient"
KIND: typing.Final = "Marjoramledge-Kind"
TARGET: typing.Final = "Marjoramledge-Target-Ms"
CONFIG: typing.Final = "Marjoramledge-Config"
SERVER: typing.Final = "Marjoramledge-Server"
WORKSPACE: typing.Final = "Marjoramledge-Workspace"
AUTHORIZATION: typing.Final = "Authorization"

_SYSTEM_PREFIX: typing.Final = "marjoramledge-"
# RFC 9110, section 7.6.1: these apply to a single connection.
_HOP_BY_HOP: typing.Final = (
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Expect",
)

Headers = multidict.CIMultiDict[str]


def copy_end_to_end(
    headers: collections.abc.Mapping[str, str],
) -> Headers:
    """Copy the end-to-end headers, without reserved ones."""
    copied = multidict.CIMultiDict(headers)
    for options in copied.popall("Connection", ()):
        for option in options.split(","):
            copied.popall(option.strip(), None)
    for name in _HOP_BY_HOP:
        copied.popall(name, None)
    for name in _system_names(copied):
        copied.popall(name, None)
    return copied


def set_workspace(
    headers: Headers, name: str | None, workspace: str | None
) -> None:
    """Replace a caller's key by its workspace in headers to be forwarded.

    ``name`` is the header that the backend server expects, if any.  What the
    caller sent in it is removed.  ``workspace`` is empty if the caller has
    none; None changes nothing.
    """
    if workspace is None:
        return
    headers.popall(AUTHORIZATION, None)
    if name is None:
        return
    headers.popall(name, None)
    if workspace:
        headers[name] = workspace


def parse_count(text: str) -> int | None:
    """Parse a number of up to nine decimal digits; None if it is none."""
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit() or len(digits) > 9:
        return None
    return int(digits)


def format_kind(
    service: ids.ServiceName, kind: configuration.RequestKind
) -> str:
    """Format the settings of a request kind that a gate needs."""
    return ";".join(
        (
            service,
            str(kind.priority.value),
            "1" if kind.idempotent else "0",
            f"{kind.max_slot_share:g}",
            kind.name,
        )
    )


def parse_kind(text: str | None) -> configuration.RequestKind | None:
    """Parse the kind of an offered call; return None if it is invalid."""
    try:
        service, priority_text, idempotent_text, share, name = (
            text or ""
        ).split(";", 4)
        return configuration.RequestKind(
            name=ids.KindName(name),
            service=ids.ServiceName(service),
            methods=frozenset(),
            path="/*",
            priority=configuration.Priority(int(priority_text)),
            idempotent=idempotent_text == "1",
            deadline_s=0.0,
            hedging=False,
            hedge_after_s=0.0,
            max_slot_share=float(share),
        )
    except ValueError:
        return None


def format_target(seconds: float) -> str:
    """Format the target time, within which a response has full value."""
    return str(round(seconds * 1000))


def parse_target(text: str | None) -> float:
    """Parse the target time in seconds; infinite if missing or invalid."""
    try:
        return math.inf if text is None else int(text) / 1000
    except ValueError:
        return math.inf


def format_load(report: node.LoadReport) -> str:
    """Format a load report as a header value."""
    return f"{report.in_flight};{report.limit};{round(report.service_s * 1e6)}"


def parse_load(text: str | None) -> node.LoadReport | None:
    """Parse a load report; return None if it is missing or invalid."""
    if text is None:
        return None
    try:
        in_flight, limit, service_us = text.split(";")
        return node.LoadReport(
            in_flight=int(in_flight),
            limit=int(limit),
            service_s=int(service_us) / 1e6,
        )
    except ValueError:
        return None


def format_config(known: configuration.KnownVersion, now: float) -> str:
    """Format a configuration version, its age at ``now``, and its era."""
    age_ms = round(1000 * (now - known.known_at))
    number = configuration.number_of(known.ref.version)
    text = f"{number};{known.ref.digest};{age_ms}"
    era = configuration.era_of(known.ref.version)
    return text if era == configuration.UNKNOWN_ERA else f"{text};{era}"


def parse_config(
    text: str | None, now: float
) -> configuration.KnownVersion | None:
    """Parse a configuration version; return None if missing or invalid."""
    try:
        number, digest, age_ms, *eras = (text or "").split(";")
        (era,) = eras or (str(configuration.UNKNOWN_ERA),)
        return configuration.KnownVersion(
            ref=configuration.VersionRef(
                version=configuration.pack_version(int(era), int(number)),
                digest=ids.Digest(digest),
            ),
            known_at=now - max(0, int(age_ms)) / 1000,
        )
    except ValueError:
        return None


def format_status(status: node.ServerStatus) -> str:
    """Format what a node tells another about a backend server."""
    limit = status.rate_limit_per_s
    return ";".join(
        (
            urllib.parse.quote(status.start.server, safe=""),
            str(status.start.born),
            "" if limit is None else repr(limit),
            str(round(1000 * status.pause_s)),
            "1" if status.is_leaving else "0",
        )
    )


def parse_status(text: str | None) -> node.ServerStatus | None:
    """Parse a server's status; return None if missing or invalid.

    Fields that a later build appends are ignored.
    """
    try:
        fields = (text or "").split(";")
        server, born, limit, pause_ms, is_leaving = fields[:5]
        rate_per_s = float(limit) if limit else None
        if rate_per_s is not None and not 0.0 <= rate_per_s < math.inf:
            return None
        return node.ServerStatus(
            start=node.ServerStart(
                server=ids.ServerId(urllib.parse.unquote(server)),
                born=int(born),
            ),
            rate_limit_per_s=rate_per_s,
            is_leaving=is_leaving == "1",
            pause_s=max(0, int(pause_ms)) / 1000,
        )
    except ValueError:
        return None


def parse_run(text: str | None) -> node.RunState | None:
    """Parse the ``RUN`` header; return None if it is missing or invalid."""
    try:
        return None if text is None else node.RunState(text)
    except ValueError:
        return None


def parse_reason(text: str | None) -> node.Reason:
    """Parse a gate's refusal reason; unknown ones count as a lost answer."""
    try:
        return node.Reason(text)
    except ValueError:
        return node.Reason.ANSWER_LOST


def _system_names(headers: Headers) -> list[str]:
    return [name for name in headers if name[:14].lower() == _SYSTEM_PREFIX]
