"""How callers and backend servers say what the node needs to know.

A dialect names the headers and targets of one deployment.  The product has
its own; a deployment with another convention brings a dialect instead, and
nothing else in the node knows a header's name that is not the node's own.
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
    """Names and readings of one deployment's headers; None where unused.

    ``deadline`` carries the milliseconds that a caller still waits.
    ``request_id`` is the caller's name of a request, which a backend server
    repeats on its answer.  ``caller_service`` tells a backend server on whose
    behalf it is called, and ``expected_server`` which server is meant.
    ``read_slots`` and ``read_slowdown`` read a server's size and how slow its
    VM is.  ``cold_left`` carries the milliseconds that a server stays cold,
    and ``server_id`` its name.  ``indicates_not_run`` tells whether an answer
    promises that the request has not run, and ``map_status`` turns the
    status of a refusal into one that callers read rightly.  ``ready_target``
    is where readiness is asked for.
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
