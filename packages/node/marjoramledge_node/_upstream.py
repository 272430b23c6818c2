"""Sends a request to a backend server or to a peer's gate.

Both the entry and the gate send through here, and here alone is decided what
an exchange that went wrong proves: only when no connection was made, or when
the other side said so, has a request not run.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import aiohttp
from marjoramledge_core import node
import multidict
from returns import result
import yarl

from marjoramledge_node import _bodies
from marjoramledge_node import _headers

# Shorter than what servers keep an idle connection for, so that a request is
# not written to one that is being closed.
KEEPALIVE_S: typing.Final = 15.0
CONNECT_TIMEOUT_S: typing.Final = 1.0
BODY_IDLE_TIMEOUT_S: typing.Final = 60.0

_SERVER_FAULT_STATUSES: typing.Final = frozenset({500, 502, 504})
_SHED_STATUS: typing.Final = 503
_AUTO_HEADERS: typing.Final = (
    "User-Agent",
    "Accept",
    "Accept-Encoding",
    "Content-Type",
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """A request to be sent on."""

    method: str
    target: str
    headers: multidict.CIMultiDict[str]
    body: _bodies.Body


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """An exchange without an answer that can be passed on."""

    outcome: node.ServerOutcome
    run: node.RunState
    reason: node.Reason
    load: node.LoadReport | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The head of an answer; its body is still to be read."""

    response: aiohttp.ClientResponse
    load: node.LoadReport | None
    head_s: float

    @property
    def outcome(self) -> node.ServerOutcome:
        """How the backend server did, by the status of its answer."""
        status = self.response.status
        if status == _SHED_STATUS:
            return node.ServerOutcome.SHED
        if status in _SERVER_FAULT_STATUSES:
            return node.ServerOutcome.ERRORED
        return node.ServerOutcome.ANSWERED


Exchange = result.Result[Answer, Fault]

# What is left of an exchange that proves nothing.
_LOST: typing.Final = Fault(
    outcome=node.ServerOutcome.BROKE_OFF,
    run=node.RunState.MAY_HAVE_RUN,
    reason=node.Reason.ANSWER_LOST,
)


class Upstream:
    """Clients of the backend server on this VM and of the peers."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=KEEPALIVE_S,
                enable_cleanup_closed=False,
            ),
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
        self._session._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def send_to_server(
        self,
        outgoing: Outgoing,
        server: node.Server,
        remaining_s: float,
    ) -> Exchange:
        """Send a request to the backend server on this VM."""
        outgoing.headers[_headers.DEADLINE] = _format_ms(remaining_s)
        exchange = await self._send(
            outgoing, server.host, server.port, expect=False
        )
        if isinstance(exchange, result.Failure):
            return exchange
        answer = exchange.unwrap()
        run = answer.response.headers.get(_headers.RUN)
        is_shed = answer.outcome is node.ServerOutcome.SHED
        if is_shed and run == node.RunState.NOT_RUN.value:
            answer.response.release()
            return result.Failure(
                Fault(
                    outcome=node.ServerOutcome.SHED,
                    run=node.RunState.NOT_RUN,
                    reason=node.Reason.SERVER_REFUSED,
                )
            )
        return exchange

    async def send_to_peer(
        self,
        outgoing: Outgoing,
        address: node.Address,
        remaining_s: float,
    ) -> Exchange:
        """Send a request to the gate of another node."""
        outgoing.headers[_headers.DEADLINE] = _format_ms(remaining_s)
        # A body that is not held must not be spent on a gate that refuses.
        exchange = await self._send(
            outgoing,
            address.host,
            address.port,
            expect=outgoing.body.stream is not None,
        )
        if isinstance(exchange, result.Failure):
            return exchange.alt(_blame_peer)
        answer = exchange.unwrap()
        wanted = outgoing.headers[_headers.ATTEMPT]
        if answer.response.headers.get(_headers.ATTEMPT) != wanted:
            # The answer, even a refusal, belongs to another call.
            answer.response.close()
            return result.Failure(_LOST)
        run = _headers.parse_run(answer.response.headers.get(_headers.RUN))
        if run is None:
            return exchange
        answer.response.release()
        return result.Failure(
            Fault(
                outcome=node.ServerOutcome.BROKE_OFF,
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
                    content = await response.content.read(max_bytes + 1)
                    while len(content) <= max_bytes:
                        more = await response.content.read(max_bytes)
                        if not more:
                            break
                        content += more
                    if response.status != 200:
                        return result.Failure(f"status {response.status}")
                    if len(content) > max_bytes:
                        return result.Failure(f"over {max_bytes} bytes")
                    return result.Success(content)
        except (aiohttp.ClientError, OSError) as error:
            return result.Failure(repr(error))

    async def _send(
        self, outgoing: Outgoing, host: str, port: int, *, expect: bool
    ) -> Exchange:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        data: object = outgoing.body.held
        if outgoing.body.stream is not None:
            data = outgoing.body.stream.chunks()
        try:
            response = await self._session.request(
                outgoing.method,
                _build_url(host, port, outgoing.target),
                headers=outgoing.headers,
                data=data,
                allow_redirects=False,
                expect100=expect,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return result.Failure(
                Fault(
                    outcome=node.ServerOutcome.UNREACHABLE,
                    run=node.RunState.NOT_RUN,
                    reason=node.Reason.SERVER_UNREACHABLE,
                )
            )
        except (aiohttp.ClientError, OSError):
            return result.Failure(_LOST)
        return result.Success(
            Answer(
                response=response,
                load=_headers.parse_load(response.headers.get(_headers.LOAD)),
                head_s=loop.time() - started_at,
            )
        )


def _blame_peer(fault: Fault) -> Fault:
    if fault.run is node.RunState.MAY_HAVE_RUN:
        return fault
    return dataclasses.replace(fault, reason=node.Reason.PEER_UNREACHABLE)


def _build_url(host: str, port: int, target: str) -> yarl.URL:
    shown = f"[{host}]" if ":" in host else host
    return yarl.URL(f"http://{shown}:{port}{target}", encoded=True)


def _format_ms(seconds: float) -> str:
    return str(max(1, int(seconds * 1000)))
