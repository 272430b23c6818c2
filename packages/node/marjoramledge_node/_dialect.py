"""HTTP conventions of callers and backend servers in a deployment.

A dialect defines the headers and request targets of one deployment.  There is
a default dialect; a deployment with other conventions supplies its own.  No
other module of the node knows the name of a deployment-specific header.
"""

import collections.abc
import dataclasses
import math
import typing

from marjoramledge_core import node

from marjoramledge_node import _headers

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
    ready_target
        Request target of the readiness check.
    indicates_not_run
        Returns whether a response guarantees that the request was not run.
    read_slots
        Reads the number of a server's slots.
    read_slowdown
        Reads the slowdown factor of a server's VM.
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
    ready_target: str
    indicates_not_run: collections.abc.Callable[[int, HeaderMap], bool]
    read_slots: collections.abc.Callable[[HeaderMap], int | None]
    read_slowdown: collections.abc.Callable[[HeaderMap], float | None]
    format_retry_after: collections.abc.Callable[[float], str]
    map_status: collections.abc.Callable[[int, node.RunState], int]


def _indicates_not_run(status: int, headers: HeaderMap) -> bool:
    return (
        status == 503
        and headers.get(_headers.RUN) == node.RunState.NOT_RUN.value
    )


DEFAULT_DIALECT: typing.Final = Dialect(
    deadline=_headers.DEADLINE,
    request_id=None,
    caller_service=None,
    expected_server=None,
    server_id=None,
    cold_left=None,
    ready_target="/ready",
    indicates_not_run=_indicates_not_run,
    read_slots=lambda headers: None,
    read_slowdown=lambda headers: None,
    format_retry_after=lambda seconds: str(math.ceil(seconds)),
    map_status=lambda status, run: status,
)
