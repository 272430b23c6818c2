"""Sends a request to a backend server or to a peer's gate.

Both the entry and the gate send through here, and here alone is decided what
an exchange that went wrong proves: only when no connection was made, or when
the other side said so, has a request not run.
"""

import asyncio
import collections.abc
import dataclasses
import errno
import typing

import aiohttp
import loguru
from marjoramledge_core import ids
from marjoramledge_core import node
import multidict
from returns import result
import yarl

from marjoramledge_node import _bodies
from marjoramledge_node import _connections
from marjoramledge_node import _dialect
from marjoramledge_node import _faults
from marjoramledge_node import _headers

CONNECT_TIMEOUT_S: typing.Final = 0.5
# Errors of the system that only this process can cause.
_LOCAL_ERRNOS: typing.Final = frozenset(
    {
        errno.EADDRNOTAVAIL,
        errno.EBADF,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
BODY_IDLE_TIMEOUT_S: typing.Final = 60.0
# A health page is a line or two.
MAX_PROBE_BYTES: typing.Final = 65536

_SERVER_ERROR_STATUSES: typing.Final = frozenset({500, 502, 504})
_SHED_STATUS: typing.Final = 503
_AUTO_HEADERS: typing.Final = (
    "User-Agent",
    "Accept",
    "Accept-Encoding",
    "Content-Type",
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutgoingRequest:
    """A request to be sent on."""

    method: str
    target: str
    headers: multidict.CIMultiDict[str]
    body: _bodies.Body
    is_repeatable: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeResult:
    """What a probe of a backend server found.

    ``is_alive`` says that the server answered at all: what its health page
    says lags behind and may be false.  ``server`` and ``slots`` are its
    name and size, where it tells them.
    """

    is_alive: bool
    is_healthy: bool = False
    server: ids.ServerId = ids.NO_SERVER_ID
    slots: int | None = None
    cold_left_s: float | None = None
    slowdown: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailure:
    """An exchange without an answer that can be passed on."""

    outcome: node.ServerOutcome
    run: node.RunState
    reason: node.Reason
    load: node.LoadReport | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The head of an answer; its body is still to be read.

    ``connection_closed`` is set where the answer ends with its connection, and then
    tells whether that was closed or reset.  ``slowdown`` is how slow the
    backend server's VM is, where it tells that.
    """

    response: aiohttp.ClientResponse
    load: node.LoadReport | None
    head_s: float
    connection_closed: asyncio.Future[None] | None = None
    slowdown: float | None = None

    @property
    def outcome(self) -> node.ServerOutcome:
        """How the backend server did, by the status of its answer."""
        status = self.response.status
        if status == _SHED_STATUS:
            return node.ServerOutcome.SHED
        if status in _SERVER_ERROR_STATUSES:
            return node.ServerOutcome.ERRORED
        return node.ServerOutcome.ANSWERED


SendResult = result.Result[Answer, AttemptFailure]


def build_work_ended(
    attempt: ids.AttemptId,
    outcome: node.ServerOutcome,
    answer: Answer | None,
) -> node.WorkEnded:
    """Say how a backend server ended a request, and what its answer told."""
    return node.WorkEnded(
        attempt=attempt,
        outcome=outcome,
        head_s=0.0 if answer is None else answer.head_s,
        slowdown=None if answer is None else answer.slowdown,
    )


_NOT_CONNECTED: typing.Final = AttemptFailure(
    outcome=node.ServerOutcome.UNREACHABLE,
    run=node.RunState.NOT_RUN,
    reason=node.Reason.SERVER_UNREACHABLE,
)
# The server ended each new connection, or sent bytes before a request.
_REFUSED: typing.Final = AttemptFailure(
    outcome=node.ServerOutcome.SHED,
    run=node.RunState.NOT_RUN,
    reason=node.Reason.SERVER_REFUSED,
)
# This process could not open a socket.
_NO_SOCKET: typing.Final = AttemptFailure(
    outcome=node.ServerOutcome.CANCELLED,
    run=node.RunState.NOT_RUN,
    reason=node.Reason.NODE_FAULT,
)
# The event loop was held up beyond the time limit of the connect.
_LATE_TIMEOUT: typing.Final = AttemptFailure(
    outcome=node.ServerOutcome.CANCELLED,
    run=node.RunState.NOT_RUN,
    reason=node.Reason.NODE_FAULT,
)
# An error of this process ended the exchange, perhaps after it was sent.
_LOCAL_ERROR: typing.Final = AttemptFailure(
    outcome=node.ServerOutcome.CANCELLED,
    run=node.RunState.MAY_HAVE_RUN,
    reason=node.Reason.ANSWER_LOST,
)
# What is left of an exchange that proves nothing.
_OUTCOME_UNKNOWN: typing.Final = AttemptFailure(
    outcome=node.ServerOutcome.ABORTED,
    run=node.RunState.MAY_HAVE_RUN,
    reason=node.Reason.ANSWER_LOST,
)


def _open_session(
    connector: _connections.Connector,
) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=BODY_IDLE_TIMEOUT_S,
        ),
        auto_decompress=False,
        skip_auto_headers=_AUTO_HEADERS,
        max_line_size=16384,
        max_field_size=16384,
    )
    # The client would silently send a GET or PUT again after a lost
    # connection, but only the rules know what may run twice.
    session._retry_connection = False
    return session


def _get_close_future(
    response: aiohttp.ClientResponse,
) -> asyncio.Future[None] | None:
    """Find what tells how an answer without a length ends."""
    headers = response.headers
    codings = headers.get("Transfer-Encoding", "").lower().split(",")
    if "Content-Length" in headers or codings[-1].strip() == "chunked":
        return None
    return _connections.get_current_close_future()


class Upstream:
    """Clients of the backend server on this VM and of the peers.

    Parameters
    ----------
    dialect
        Names of the headers that backend servers read and write.
    idle_connection_s
        Seconds for which an idle connection is kept for another request;
        shorter than backend servers keep theirs.
    """

    def __init__(
        self, *, dialect: _dialect.Dialect, idle_connection_s: float
    ) -> None:
        self._dialect = dialect
        self._session = _open_session(
            _connections.Connector(keepalive_timeout=idle_connection_s)
        )
        # A reused connection may be closed, or bring a stray answer, just
        # when a request is written to it; what may run only once gets a
        # connection of its own.
        self._single_use_session = _open_session(
            _connections.Connector(force_close=True)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
        await self._single_use_session.close()

    async def send_to_server(
        self,
        outgoing: OutgoingRequest,
        server: node.Server,
        remaining_s: float,
    ) -> SendResult:
        """Send a request to the backend server on this VM."""
        dialect = self._dialect
        outgoing.headers[dialect.deadline] = _format_ms(remaining_s)
        if dialect.expected_server is not None and server.start.server:
            outgoing.headers[dialect.expected_server] = server.start.server
        send_result = await self._send(
            outgoing,
            server.host,
            server.port,
            expect=False,
            uses_new_connection=not outgoing.is_repeatable,
        )
        if isinstance(send_result, result.Failure):
            return send_result
        answer = send_result.unwrap()
        if self._has_other_request_id(outgoing, answer):
            answer.response.close()
            return result.Failure(_OUTCOME_UNKNOWN)
        if dialect.indicates_not_run(
            answer.response.status, answer.response.headers
        ):
            answer.response.release()
            return result.Failure(_REFUSED)
        return send_result

    def _has_other_request_id(
        self, outgoing: OutgoingRequest, answer: Answer
    ) -> bool:
        name = self._dialect.request_id
        if name is None or name not in outgoing.headers:
            return False
        return answer.response.headers.get(name) != outgoing.headers[name]

    async def probe(
        self, server: node.Server, timeout_s: float
    ) -> ProbeResult | None:
        """Ask a backend server for a sign of life.

        Returns
        -------
        Probe or None
            None when the probe says nothing about the server.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.get(
                    _build_url(server.host, server.port, server.health_path),
                    allow_redirects=False,
                ) as response:
                    page = await read_bounded(response, MAX_PROBE_BYTES)
                    if len(page) > MAX_PROBE_BYTES:
                        return ProbeResult(is_alive=False)
                    return self._read_probe(server, response)
        except (aiohttp.ClientError, OSError) as error:
            loguru.logger.bind(event="probe-failed").debug(
                "no answer of the backend server to a probe: {!r}", error
            )
            late_s = loop.time() - started_at - timeout_s
            is_late = late_s > _connections.LATE_TIMEOUT_S
            if isinstance(error, TimeoutError) and is_late:
                return None
            return _classify_failed_probe(error)

    def _read_probe(
        self, server: node.Server, response: aiohttp.ClientResponse
    ) -> ProbeResult:
        dialect = self._dialect
        name = ids.NO_SERVER_ID
        if dialect.server_id is not None:
            name = ids.ServerId(response.headers.get(dialect.server_id, ""))
            if name and server.start.server not in (name, ids.NO_SERVER_ID):
                return ProbeResult(is_alive=False)
        cold_left_s = None
        if dialect.cold_left is not None:
            text = response.headers.get(dialect.cold_left, "0")
            cold_left_s = int(text) / 1000 if text.isdecimal() else None
        return ProbeResult(
            is_alive=True,
            is_healthy=response.status == 200,
            server=name,
            slots=dialect.read_slots(response.headers),
            cold_left_s=cold_left_s,
            slowdown=dialect.read_slowdown(response.headers),
        )

    async def send_to_peer(
        self,
        outgoing: OutgoingRequest,
        address: node.Address,
        remaining_s: float,
    ) -> SendResult:
        """Send a request to the gate of another node."""
        outgoing.headers[_headers.DEADLINE] = _format_ms(remaining_s)
        # A body that is not held must not be spent on a gate that refuses.
        send_result = await self._send(
            outgoing,
            address.host,
            address.port,
            expect=outgoing.body.stream is not None,
            uses_new_connection=False,
        )
        if isinstance(send_result, result.Failure):
            return send_result.alt(_mark_peer_unreachable)
        answer = send_result.unwrap()
        wanted = outgoing.headers[_headers.ATTEMPT]
        if answer.response.headers.get(_headers.ATTEMPT) != wanted:
            # The answer, even a refusal, belongs to another call.
            answer.response.close()
            return result.Failure(_OUTCOME_UNKNOWN)
        run = _headers.parse_run(answer.response.headers.get(_headers.RUN))
        if run is None:
            return send_result
        answer.response.release()
        return result.Failure(
            AttemptFailure(
                outcome=node.ServerOutcome.ABORTED,
                run=run,
                reason=_headers.parse_reason(
                    answer.response.headers.get(_headers.REASON)
                ),
                load=answer.load,
            )
        )

    async def fetch(
        self,
        method: str,
        address: node.Address,
        target: str,
        *,
        headers: collections.abc.Mapping[str, str],
        body: bytes = b"",
        timeout_s: float,
        max_bytes: int,
    ) -> result.Result[bytes, str]:
        """Exchange a small document with a peer or the backend server.

        Returns
        -------
        Result
            The body of an answer with status 200, or what went wrong.
        """
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.request(
                    method,
                    _build_url(address.host, address.port, target),
                    headers=headers,
                    data=body or None,
                    allow_redirects=False,
                ) as response:
                    content = await read_bounded(response, max_bytes)
                    if response.status != 200:
                        return result.Failure(f"status {response.status}")
                    if len(content) > max_bytes:
                        return result.Failure(f"over {max_bytes} bytes")
                    return result.Success(content)
        except (aiohttp.ClientError, OSError) as error:
            if _is_local_error(error):
                _faults.report("no document was fetched", error)
            return result.Failure(repr(error))

    async def _send(
        self,
        outgoing: OutgoingRequest,
        host: str,
        port: int,
        *,
        expect: bool,
        uses_new_connection: bool,
    ) -> SendResult:
        session = (
            self._single_use_session if uses_new_connection else self._session
        )
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        data: object = outgoing.body.buffered
        if outgoing.body.stream is not None:
            data = outgoing.body.stream.chunks()
        try:
            response = await session.request(
                outgoing.method,
                _build_url(host, port, outgoing.target),
                headers=outgoing.headers,
                data=data,
                allow_redirects=False,
                expect100=expect,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            if _is_local_error(error):
                _faults.report("no socket for an exchange", error)
                return result.Failure(_NO_SOCKET)
            return result.Failure(_NOT_CONNECTED)
        except _connections.LateTimeoutError:
            return result.Failure(_LATE_TIMEOUT)
        except _connections.NoUsableConnectionError:
            return result.Failure(_REFUSED)
        except (aiohttp.ClientError, OSError) as error:
            if _is_local_error(error):
                _faults.report("an exchange broke down", error)
                return result.Failure(_LOCAL_ERROR)
            return result.Failure(_OUTCOME_UNKNOWN)
        except Exception as error:  # The core waits for an outcome.
            _faults.report("an exchange broke down", error)
            return result.Failure(_LOCAL_ERROR)
        return result.Success(
            Answer(
                response=response,
                connection_closed=_get_close_future(response),
                slowdown=self._dialect.read_slowdown(response.headers),
                load=_headers.parse_load(response.headers.get(_headers.LOAD)),
                head_s=loop.time() - started_at,
            )
        )


async def read_bounded(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes:
    """Read a body; more than ``max_bytes`` are returned when it is longer.

    The connection of a body that is not read to its end is closed, not used
    again, when the response is.
    """
    parts: list[bytes] = []
    size = 0
    while size <= max_bytes:
        part = await response.content.readany()
        if not part:
            break
        parts.append(part)
        size += len(part)
    return b"".join(parts)


def _is_local_error(error: Exception) -> bool:
    """Tell whether an error was caused by this process."""
    return isinstance(error, OSError) and error.errno in _LOCAL_ERRNOS


def _classify_failed_probe(error: Exception) -> ProbeResult | None:
    """Tell what a probe without an answer says about the server."""
    if _is_local_error(error):
        _faults.report("no probe was sent", error)
        return None
    if isinstance(error, _connections.LateTimeoutError):
        return None
    return ProbeResult(is_alive=False)


def _mark_peer_unreachable(attempt_failure: AttemptFailure) -> AttemptFailure:
    if (
        attempt_failure.run is node.RunState.MAY_HAVE_RUN
        or attempt_failure is _NO_SOCKET
    ):
        return attempt_failure
    return dataclasses.replace(
        attempt_failure, reason=node.Reason.PEER_UNREACHABLE
    )


def _build_url(host: str, port: int, target: str) -> yarl.URL:
    shown = f"[{host}]" if ":" in host else host
    return yarl.URL(f"http://{shown}:{port}{target}", encoded=True)


def _format_ms(seconds: float) -> str:
    return str(max(1, int(seconds * 1000)))
