"""HTTP conventions of callers and backend servers in a deployment.

A dialect defines the headers and request targets of one deployment.  There is
a default dialect; a deployment with other conventions supplies its own.  No
other module of the node knows the name of a deployment-specific header.
"""

import collections.abc
import dataclasses
import math
import re
import typing

from marjoramledge_core import node

from marjoramledge_node import _headers

# Decimal digits only: no sign, exponent, infinity or other scripts.
_RATE_LIMIT_PATTERN: typing.Final = re.compile(
    r"[0-9]{1,9}(?:\.[0-9]{0,9})?|\.[0-9]{1,9}"
)
# Value of the header of a server that leaves.
LEAVING: typing.Final = "1"
# Characters of an invalid value that are logged.
MAX_INVALID_CHARS: typing.Final = 64

HeaderMap = collections.abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """Header names and parsers of one deployment.

    Attributes
    ----------
    deadline
        Header with the milliseconds that the caller still waits.
    request_id
        Header with the caller's id of a request, which the backend server
        repeats in its response; None if unused.
    caller_service
        Header that tells a backend server which service calls it; None if
        unused.
    expected_server
        Header with the id of the server that a request is meant for; None if
        unused.
    server_id
        Header with the id of the server that responds; None if unused.
    cold_left
        Header with the milliseconds for which a server stays cold; None if
        unused.
    workspace
        Header that tells a backend server the caller's workspace; None if
        unused.
    ready_target
        Request target of the readiness check.
    indicates_not_run
        Returns whether a response guarantees that the request was not run.
    read_slots
        Reads the number of a server's slots.
    read_slowdown
        Reads the slowdown factor of a server's VM.
    read_signals
        Reads what a server says of itself in a response.
    format_retry_after
        Formats a number of seconds as a ``Retry-After`` value.
    map_status
        Maps the status of a refusal to the one that callers expect.
    """

    deadline: str
    request_id: str | None
    caller_service: str | None
    expected_server: str | None
    server_id: str | None
    cold_left: str | None
    workspace: str | None
    ready_target: str
    indicates_not_run: collections.abc.Callable[[int, HeaderMap], bool]
    read_slots: collections.abc.Callable[[HeaderMap], int | None]
    read_slowdown: collections.abc.Callable[[HeaderMap], float | None]
    read_signals: collections.abc.Callable[[HeaderMap], node.ServerSignals]
    format_retry_after: collections.abc.Callable[[float], str]
    map_status: collections.abc.Callable[[int, node.RunState], int]


def _indicates_not_run(status: int, headers: HeaderMap) -> bool:
    return (
        status == 503
        and headers.get(_headers.RUN) == node.RunState.NOT_RUN.value
    )


def parse_signals(
    rate_limit: str | None, leaving: str | None
) -> node.ServerSignals:
    """Parse the signals of a response from the values of its headers.

    Parameters
    ----------
    rate_limit
        Decimal number of requests per second; None if the server names no
        limit.
    leaving
        ``1`` if the server leaves; None if it does not say so.
    """
    if rate_limit is None and leaving is None:
        return node.NO_SIGNALS
    rate_per_s = None
    invalid_rate_limit = invalid_leaving = ""
    if rate_limit is not None:
        if _RATE_LIMIT_PATTERN.fullmatch(rate_limit.strip()) is None:
            invalid_rate_limit = rate_limit[:MAX_INVALID_CHARS] or "empty"
        else:
            rate_per_s = float(rate_limit)
    if leaving is not None and leaving.strip() != LEAVING:
        invalid_leaving = leaving[:MAX_INVALID_CHARS] or "empty"
    return node.ServerSignals(
        rate_limit_per_s=rate_per_s,
        invalid_rate_limit=invalid_rate_limit,
        is_leaving=leaving is not None and not invalid_leaving,
        invalid_leaving=invalid_leaving,
    )


DEFAULT_DIALECT: typing.Final = Dialect(
    deadline=_headers.DEADLINE,
    request_id=None,
    caller_service=None,
    expected_server=None,
    server_id=None,
    cold_left=None,
    workspace=_headers.WORKSPACE,
    ready_target="/ready",
    indicates_not_run=_indicates_not_run,
    read_slots=lambda headers: None,
    read_slowdown=lambda headers: None,
    read_signals=lambda headers: parse_signals(
        headers.get(_headers.RATE_LIMIT), headers.get(_headers.LEAVING)
    ),
    format_retry_after=lambda seconds: str(math.ceil(seconds)),
    map_status=lambda status, run: status,
)
