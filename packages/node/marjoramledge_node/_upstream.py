"""HTTP client for the local backend server and for the gates of peers.

The entry and the gate both send requests with it.  It is the only module that
decides whether a failed request may have run: a request has certainly not run
only if it was never sent, or if the other side said so.
"""

import asyncio
import collections.abc
import dataclasses
import errno
import typing

import aiohttp
import loguru
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_store import bounded_http
import multidict
from returns import result
import yarl

from marjoramledge_node import _auth
from marjoramledge_node import _bodies
from marjoramledge_node import _clock
from marjoramledge_node import _connections
from marjoramledge_node import _dialect
from marjoramledge_node import _faults
from marjoramledge_node import _headers

CONNECT_TIMEOUT_S: typing.Final = 0.5
# System errors that originate in this process, not at the other side.
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
# A response is received ahead of its caller up to twice this size.
ANSWER_BUFFER_BYTES: typing.Final = 65536
PROBE_TIMEOUT_S: typing.Final = 1.0
# A health page is only a line or two.
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
    """A request to forward to a backend server or a peer.

    ``is_repeatable`` is false if the backend server may run it only once.
    """

    method: str
    target: str
    headers: multidict.CIMultiDict[str]
    body: _bodies.Body
    is_repeatable: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeResult:
    """Result of a health probe of a backend server.

    ``is_alive`` is true if the server responded at all; the state that its
    health page reports lags behind and may be wrong.  ``server`` and
    ``slots`` are its id and its number of slots, if it reports them.
    """

    is_alive: bool
    is_healthy: bool = False
    server: ids.ServerId = ids.NO_SERVER_ID
    slots: int | None = None
    cold_left_s: float | None = None
    slowdown: float | None = None
    signals: node.ServerSignals | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailure:
    """A request attempt that failed without a usable response.

    ``config`` is the configuration version that a peer named, ``status`` what
    it told about its backend server, and ``signals`` what a backend server
    said of itself when it refused.
    """

    outcome: node.ServerOutcome
    run: node.RunState
    reason: node.Reason
    load: node.LoadReport | None = None
    config: configuration.KnownVersion | None = None
    status: node.ServerStatus | None = None
    signals: node.ServerSignals | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """A response whose head has been received and whose body is unread.

    ``connection_closed`` is set if the response ends when its connection is
    closed; awaiting it raises an error if the connection was reset.
    ``slowdown`` is the slowdown factor of the backend server's VM, if the
    server reports it, ``config`` the configuration version that a peer
    named, ``status`` what it told about its backend server, and ``signals``
    what a backend server says of itself.
    """

    response: aiohttp.ClientResponse
    load: node.LoadReport | None
    head_s: float
    connection_closed: asyncio.Future[None] | None = None
    slowdown: float | None = None
    config: configuration.KnownVersion | None = None
    status: node.ServerStatus | None = None
    signals: node.ServerSignals | None = None

    @property
    def outcome(self) -> node.ServerOutcome:
        """Outcome at the backend server according to the response status."""
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
    response: Answer | AttemptFailure | None,
) -> node.WorkEnded:
    """Build the event that reports how a backend server ended a request."""
    answer = response if isinstance(response, Answer) else None
    return node.WorkEnded(
        attempt=attempt,
        outcome=outcome,
        head_s=0.0 if answer is None else answer.head_s,
        slowdown=None if answer is None else answer.slowdown,
        signals=None if response is None else response.signals,
    )


def build_signalled(
    server: node.Server, send_result: SendResult
) -> node.ServerSignalled | None:
    """Build the event that reports a server's signals; None without any."""
    signals = (
        send_result.failure().signals
        if isinstance(send_result, result.Failure)
        else send_result.unwrap().signals
    )
    if signals is None or signals == node.NO_SIGNALS:
        return None
    return node.ServerSignalled(server=server.start, signals=signals)


_NOT_CONNECTED: typing.Final = AttemptFailure(
    outcome=node.ServerOutcome.UNREACHABLE,
    run=node.RunState.NOT_RUN,
    reason=node.Reason.SERVER_UNREACHABLE,
)
# The server said that the request was not run, closed each new connection, or
# sent bytes before a request.
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
# The event loop was blocked for longer than the connect timeout.
_LATE_TIMEOUT: typing.Final = AttemptFailure(
    outcome=node.ServerOutcome.CANCELLED,
    run=node.RunState.NOT_RUN,
    reason=node.Reason.NODE_FAULT,
)
# The deadline had passed before anything was sent.
_TOO_LATE: typing.Final = AttemptFailure(
    outcome=node.ServerOutcome.CANCELLED,
    run=node.RunState.NOT_RUN,
    reason=node.Reason.DEADLINE_PASSED,
)
# An error in this process ended the attempt, perhaps after it was sent.
_LOCAL_ERROR: typing.Final = AttemptFailure(
    outcome=node.ServerOutcome.CANCELLED,
    run=node.RunState.MAY_HAVE_RUN,
    reason=node.Reason.ANSWER_LOST,
)
# The failure doesn't show whether the request was run.
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
        timeout=_build_timeouts(BODY_IDLE_TIMEOUT_S),
        auto_decompress=False,
        skip_auto_headers=_AUTO_HEADERS,
        read_bufsize=ANSWER_BUFFER_BYTES,
        max_line_size=16384,
        max_field_size=16384,
    )
    # aiohttp would silently resend a GET or PUT after a lost connection, but
    # only the configured rules say which requests may run twice.
    session._retry_connection = False
    return session


def _build_timeouts(idle_s: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=idle_s
    )


def _get_close_future(
    response: aiohttp.ClientResponse,
) -> asyncio.Future[None] | None:
    """Return the close future if a response ends with its connection."""
    headers = response.headers
    codings = headers.get("Transfer-Encoding", "").lower().split(",")
    if "Content-Length" in headers or codings[-1].strip() == "chunked":
        return None
    return _connections.get_current_close_future()


class Upstream:
    """HTTP client for the backend server on this VM and for peers.

    Parameters
    ----------
    dialect
        Header conventions of backend servers.
    idle_connection_s
        Seconds for which an idle connection is kept for reuse; shorter than
        the idle timeout of backend servers.
    keys
        Keys that verify what peers report; without them, it is ignored.
    """

    def __init__(
        self,
        *,
        dialect: _dialect.Dialect,
        idle_connection_s: float,
        keys: _auth.KeyRing | None = None,
    ) -> None:
        self._dialect = dialect
        self._keys = keys
        self._session = _open_session(
            _connections.Connector(keepalive_timeout=idle_connection_s)
        )
        # A reused connection may be closed, or deliver a response to another
        # request, just when a request is written to it.  A request that may
        # run only once therefore gets a new connection.
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
        """Send a request to the backend server on this VM.

        Nothing is sent once no time is left, as after a pause.
        """
        if remaining_s <= 0.0:
            return result.Failure(_TOO_LATE)
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
        signals = dialect.read_signals(answer.response.headers)
        if dialect.indicates_not_run(
            answer.response.status, answer.response.headers
        ):
            if dialect.request_id is None:
                # A repetition could not be told from the next answer.
                _connections.discard_current_connection()
            answer.response.release()
            return result.Failure(
                dataclasses.replace(_REFUSED, signals=signals)
            )
        return result.Success(dataclasses.replace(answer, signals=signals))

    def _has_other_request_id(
        self, outgoing: OutgoingRequest, answer: Answer
    ) -> bool:
        """Return whether an answer names another request as its own."""
        answered = answer.response.headers
        call = answered.get(_headers.CALL)
        if call is not None and call != outgoing.headers.get(_headers.CALL):
            return True
        name = self._dialect.request_id
        if name is None or name not in outgoing.headers:
            return False
        return answered.get(name) != outgoing.headers[name]

    async def probe(
        self, server: node.Server, timeout_s: float
    ) -> ProbeResult | None:
        """Send a health probe to a backend server.

        Returns
        -------
        ProbeResult or None
            None if the probe shows nothing about the server.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.get(
                    _build_url(server.host, server.port, server.health_path),
                    allow_redirects=False,
                ) as response:
                    page = await bounded_http.read_bounded(
                        response, MAX_PROBE_BYTES
                    )
                    if len(page) > MAX_PROBE_BYTES:
                        return ProbeResult(is_alive=False)
                    return self._read_probe(server, response)
        except (aiohttp.ClientError, OSError) as error:
            bounded_http.log_if_faulty(error, server.host, server.port)
            loguru.logger.bind(event="probe-failed").debug(
                "backend server did not answer a health probe: {!r}", error
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
        reported_id = ids.NO_SERVER_ID
        if dialect.server_id is not None:
            reported_id = ids.ServerId(
                response.headers.get(dialect.server_id, "")
            )
            if reported_id and server.start.server not in (
                reported_id,
                ids.NO_SERVER_ID,
            ):
                return ProbeResult(is_alive=False)
        cold_left_s = None
        if dialect.cold_left is not None:
            cold_left_ms = _headers.parse_count(
                response.headers.get(dialect.cold_left, "0")
            )
            if cold_left_ms is not None:
                cold_left_s = cold_left_ms / 1000
        return ProbeResult(
            is_alive=True,
            is_healthy=response.status == 200,
            server=reported_id,
            slots=dialect.read_slots(response.headers),
            cold_left_s=cold_left_s,
            slowdown=dialect.read_slowdown(response.headers),
            signals=dialect.read_signals(response.headers),
        )

    async def send_to_peer(
        self,
        outgoing: OutgoingRequest,
        address: node.Address,
        remaining_s: float,
    ) -> SendResult:
        """Send a request to the gate of another node."""
        outgoing.headers[_headers.DEADLINE] = _format_ms(remaining_s)
        # A streamed body can be sent only once, so it is sent only after the
        # gate has agreed with 100 Continue.
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
        expected_attempt = outgoing.headers[_headers.ATTEMPT]
        if answer.response.headers.get(_headers.ATTEMPT) != expected_attempt:
            # The response, even a refusal, belongs to another attempt.
            answer.response.close()
            return result.Failure(_OUTCOME_UNKNOWN)
        answer = self._add_report(answer, expected_attempt)
        run = _headers.parse_run(answer.response.headers.get(_headers.RUN))
        if run is None:
            return result.Success(answer)
        answer.response.release()
        return result.Failure(
            AttemptFailure(
                outcome=node.ServerOutcome.ABORTED,
                run=run,
                reason=_headers.parse_reason(
                    answer.response.headers.get(_headers.REASON)
                ),
                load=answer.load,
                config=answer.config,
                status=answer.status,
            )
        )

    def _add_report(self, answer: Answer, attempt: str) -> Answer:
        """Add what a peer reports with its response, if it is signed."""
        headers = answer.response.headers
        content = _auth.signed_report_content(
            attempt,
            headers.get(_headers.CONFIG),
            headers.get(_headers.SERVER),
        )
        has_report = _headers.CONFIG in headers or _headers.SERVER in headers
        if self._keys is None or not has_report:
            return answer
        if not self._keys.verify_header(headers.get(_headers.AUTH), content):
            loguru.logger.bind(event="report-refused").warning(
                "a peer's report about its node has no valid signature"
            )
            return answer
        return dataclasses.replace(
            answer,
            config=_headers.parse_config(
                headers.get(_headers.CONFIG), _clock.read_clock()
            ),
            status=_headers.parse_status(headers.get(_headers.SERVER)),
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
        idle_s: float = BODY_IDLE_TIMEOUT_S,
        max_bytes: int,
    ) -> result.Result[bytes, str]:
        """Request a document from a peer.

        The request ends after ``timeout_s``, or when the peer has sent
        nothing for ``idle_s``.

        Returns
        -------
        Result
            The body of a response with status 200, or an error message.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_s
        try:
            async with asyncio.timeout_at(ends_at):
                while True:
                    try:
                        return await self._fetch_once(
                            method,
                            address,
                            target,
                            headers=headers,
                            body=body,
                            idle_s=idle_s,
                            max_bytes=max_bytes,
                        )
                    except _connections.LateTimeoutError as error:
                        # The fault is local, so another peer is no better.
                        _log_late_fetch(target, error)
        except (aiohttp.ClientError, OSError) as error:
            if _is_local_error(error):
                _faults.report("cannot fetch a document", error)
            return result.Failure(repr(error))

    async def _fetch_once(
        self,
        method: str,
        address: node.Address,
        target: str,
        *,
        headers: collections.abc.Mapping[str, str],
        body: bytes,
        idle_s: float,
        max_bytes: int,
    ) -> result.Result[bytes, str]:
        async with self._session.request(
            method,
            _build_url(address.host, address.port, target),
            headers=headers,
            data=body or None,
            allow_redirects=False,
            timeout=_build_timeouts(idle_s),
        ) as response:
            content = await bounded_http.read_bounded(response, max_bytes)
            if response.status != 200:
                return result.Failure(f"status {response.status}")
            if len(content) > max_bytes:
                return result.Failure(f"response exceeds {max_bytes} bytes")
            return result.Success(content)

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
                _faults.report("cannot open a socket for a request", error)
                return result.Failure(_NO_SOCKET)
            return result.Failure(_NOT_CONNECTED)
        except _connections.LateTimeoutError:
            return result.Failure(_LATE_TIMEOUT)
        except _connections.NoUsableConnectionError:
            return result.Failure(_REFUSED)
        except (aiohttp.ClientError, OSError) as error:
            if _is_local_error(error):
                _faults.report(
                    "a request failed with an internal error", error
                )
                return result.Failure(_LOCAL_ERROR)
            bounded_http.log_if_faulty(error, host, port)
            return result.Failure(_OUTCOME_UNKNOWN)
        except Exception as error:  # The core must get an outcome.
            _faults.report("a request failed with an internal error", error)
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


def _log_late_fetch(target: str, error: Exception) -> None:
    loguru.logger.bind(event="fetch-retried").debug(
        "fetching {} from the same peer again: {}", target, error
    )


def _is_local_error(error: Exception) -> bool:
    """Return whether an error originated in this process."""
    return isinstance(error, OSError) and error.errno in _LOCAL_ERRNOS


def _classify_failed_probe(error: Exception) -> ProbeResult | None:
    """Return what a probe without a response shows about the server."""
    if _is_local_error(error):
        _faults.report("cannot send a health probe", error)
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
    url_host = f"[{host}]" if ":" in host else host
    # Parsed as part of a URL, a target would lose a final "?" and a fragment.
    return yarl.URL.build(
        scheme="http",
        authority=f"{url_host}:{port}",
        path=target,
        encoded=True,
    )


def _format_ms(seconds: float) -> str:
    return str(max(1, int(seconds * 1000)))
