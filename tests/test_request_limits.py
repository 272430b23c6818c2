"""The operator's limits of requests, and which connections are closed."""

import asyncio
import collections.abc
import dataclasses
import typing

from aiohttp import web
from marjoramledge_core import configuration
from marjoramledge_node import _bodies
from marjoramledge_node import _caller_port
from marjoramledge_node import _connection_limits
from marjoramledge_node import _peer_port
from marjoramledge_platform import _operator
import pytest
import uvloop

HOST = "127.0.0.1"
HANG_TIMEOUT_S = 10.0
LIMITS = configuration.RequestLimits(max_head_bytes=2000, max_body_bytes=1000)
HEAD = b"POST / HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n"
PHASE = _connection_limits.Phase


MakeServer = collections.abc.Callable[..., web.Server]


class _Port:
    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await _bodies.receive_body(request)
        size = len(body.buffered or b"")
        if body.stream is not None:
            async for chunk in body.stream.chunks():
                size += len(chunk)
        return web.Response(text=str(size))


def _make_table(
    limits: configuration.RequestLimits = LIMITS, **capacity: int
) -> _connection_limits.ConnectionTable:
    return _connection_limits.ConnectionTable(
        capacity=_connection_limits.Capacity(
            **{"max_connections": 10, "max_held_bytes": 10**7, **capacity}
        ),
        read_limits=lambda: limits,
    )


async def _send(make_server: MakeServer, content: bytes) -> bytes:
    server = make_server(_Port(), _make_table())
    listener = await asyncio.get_running_loop().create_server(server, HOST, 0)
    reader, writer = await asyncio.open_connection(
        HOST, listener.sockets[0].getsockname()[1]
    )
    async with asyncio.timeout(HANG_TIMEOUT_S):
        writer.write(content)
        try:
            answer = await reader.read()
        except ConnectionError:
            answer = b""
    writer.transport.abort()
    listener.close()
    await server.shutdown(0.0)
    return answer[9:12]


def _head(size: int) -> bytes:
    return HEAD + b"a: " + b"x" * (size - len(HEAD) - 7) + b"\r\n\r\n"


def _chunked(size: int) -> bytes:
    return (
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
        % (
            size,
            b"x" * size,
        )
    )


def _body(size: int) -> bytes:
    return HEAD + b"Content-Length: %d\r\n\r\n%b" % (size, b"x" * size)


# Guards against limits that hold nowhere, that refuse what is within them, or
# that refuse at a peer what its entry has let in.
@pytest.mark.parametrize(
    ("make_server", "content", "status"),
    [
        (_caller_port.make_server, _head(2000), b"200"),
        (_caller_port.make_server, _head(2001), b"431"),
        (_caller_port.make_server, _head(9000)[:-2], b"431"),
        (_caller_port.make_server, _body(1000), b"200"),
        (_caller_port.make_server, _body(1001), b"413"),
        (_caller_port.make_server, _chunked(1000), b"200"),
        (_caller_port.make_server, _chunked(1001), b"413"),
        (_peer_port.make_server, _head(4000), b"200"),
        (_peer_port.make_server, _head(4001), b"431"),
        (_peer_port.make_server, _body(5000), b"200"),
    ],
)
def test_limits_hold(
    make_server: MakeServer, content: bytes, status: bytes
) -> None:
    assert uvloop.run(_send(make_server, content)) == status


# Guards against a body in chunks that grows without a limit once its request
# has begun.
def test_a_body_that_grows_too_long_is_not_served() -> None:
    content = _chunked(300_000)
    status = uvloop.run(_send(_caller_port.make_server, content))
    assert status in (b"413", b"")


async def _wait(first: bytes, periods: int) -> bool:
    """Return whether a connection is open after some periods."""
    limits = configuration.RequestLimits(
        head_timeout_s=3.0, idle_timeout_s=15.0
    )
    server = _caller_port.make_server(
        typing.cast(typing.Any, _Port()), _make_table(limits)
    )
    listener = await asyncio.get_running_loop().create_server(server, HOST, 0)
    _, writer = await asyncio.open_connection(
        HOST, listener.sockets[0].getsockname()[1]
    )
    writer.write(first)
    if first:
        # Until the node has received it.
        await asyncio.sleep(0.1)
    else:
        await asyncio.sleep(0.02)
    protocol = typing.cast(typing.Any, server.connections[0])
    for _ in range(periods):
        protocol.check_timeouts(limits)
    is_open = protocol.transport is not None
    writer.transport.abort()
    listener.close()
    await server.shutdown(0.0)
    return is_open


# Guards against an idle connection that is closed while callers may still use
# it (four fifths of the time limit), or that is never closed; and against the
# same of a head.
@pytest.mark.parametrize(
    ("first", "periods", "is_open"),
    [
        (b"", 24, True),
        (b"", 32, False),
        (b"GET / HTTP/1.1\r\nHost: shop\r\n\r\n", 24, True),
        (b"GET / HTTP/1.1\r\nHost: shop\r\n\r\n", 32, False),
        (b"GET / HT", 6, True),
        (b"GET / HT", 9, False),
    ],
)
def test_time_limits_hold(first: bytes, periods: int, is_open: bool) -> None:
    assert uvloop.run(_wait(first, periods)) is is_open


@dataclasses.dataclass(eq=False, kw_only=True)
class _Connection:
    phase: _connection_limits.Phase
    last_use: int = 0
    held: int = 0
    is_closed: bool = False

    def measure_held_bytes(self) -> int:
        return self.held

    def check_timeouts(self, limits: configuration.RequestLimits) -> None:
        del limits

    def shed(self) -> None:
        self.is_closed = True


async def _fill(connections: list[_Connection]) -> list[bool]:
    table = _make_table(max_connections=4, max_held_bytes=1000)
    for connection in connections:
        table.add(connection)
        table.update(connection)
    closed = [connection.is_closed for connection in connections]
    for connection in connections:
        table.remove(connection)
    return closed


# Guards against a limit that closes the connections of ordinary callers and
# keeps those that send no request or hold most.
@pytest.mark.parametrize(
    ("connections", "closed"),
    [
        (
            [
                (PHASE.SERVED, 1),
                (PHASE.IDLE, 1),
                *[(PHASE.WITHOUT_REQUEST, 1)] * 3,
            ],
            [False, False, True, False, False],
        ),
        (
            [
                *[(PHASE.SERVED, 1)] * 2,
                (PHASE.STALLED, 1),
                (PHASE.IDLE, 1),
                (PHASE.WITHOUT_REQUEST, 1),
            ],
            [False, False, False, True, False],
        ),
        (
            [*[(PHASE.SERVED, 1)] * 4, (PHASE.WITHOUT_REQUEST, 1)],
            [False, False, False, False, True],
        ),
        (
            [
                (PHASE.SERVED, 500),
                (PHASE.IDLE, 100),
                (PHASE.WITHOUT_REQUEST, 401),
            ],
            [False, False, True],
        ),
    ],
)
def test_ordinary_connections_stay(
    connections: list[tuple[_connection_limits.Phase, int]],
    closed: list[bool],
) -> None:
    made = [
        _Connection(phase=phase, last_use=number, held=held)
        for number, (phase, held) in enumerate(connections)
    ]
    assert asyncio.run(_fill(made)) == closed


# Guards against a configuration that is refused whole for one limit.
def test_an_invalid_limit_is_the_default() -> None:
    limits = _operator._build_request_limits(
        {"maxHeaderBytes": "many", "idleTimeout": "15000ms"}
    )
    assert limits == configuration.RequestLimits(idle_timeout_s=15.0)
