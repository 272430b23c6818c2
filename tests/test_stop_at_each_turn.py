"""A stop that closes idle connections just as a request comes in."""

import asyncio
import socket
import time

from aiohttp import web
from marjoramledge_node import _auth
from marjoramledge_node import _caller_port
from marjoramledge_node import _counts
from marjoramledge_node import _dialect
from marjoramledge_node import _engine
from marjoramledge_node import _event_loop
from marjoramledge_node import _upstream
from marjoramledge_standins import builders
import pytest

HOST = "127.0.0.1"
REQUEST = b"GET /pages/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n"
# A request takes fewer turns of the loop from its arrival to its handler.
TURNS = 16
HANDLER_TURNS = 5
# The kernel must have passed on what was sent.
KERNEL_S = 0.002
HANG_S = 10.0


class _Port(_caller_port.CallerPort):
    """Answers each request some turns after it has begun to serve it."""

    served = 0

    async def _serve(
        self, request: web.BaseRequest
    ) -> tuple[web.StreamResponse, None]:
        self.served += 1
        for _ in range(HANDLER_TURNS):
            await asyncio.sleep(0)
        return web.Response(body=b"whole"), None


def _make_port(upstream: _upstream.Upstream) -> _Port:
    driver = builders.CoreDriver()
    return _Port(
        engine=_engine.Engine(
            state=driver.state, rng=driver.rng, clock=lambda: driver.now
        ),
        upstream=upstream,
        keys=_auth.parse_keys("k1:a-secret-of-this-test").unwrap(),
        stamper=_auth.Stamper(run="r-"),
        call_prefix="r-",
        dialect=_dialect.DEFAULT_DIALECT,
        caller_service="",
        counts=_counts.Counts(),
    )


def _let_kernel_pass_on() -> None:
    time.sleep(KERNEL_S)


async def _stop_after(turns: int, *, is_used: bool) -> tuple[int, bytes]:
    """Close what is idle some turns after a request was sent.

    Returns
    -------
    tuple
        The requests that were begun to be served, and what the caller got.
    """
    loop = asyncio.get_running_loop()
    upstream = _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=1.0
    )
    port = _make_port(upstream)
    server = _caller_port.make_server(port)
    listener = await loop.create_server(server, HOST, 0)
    caller = socket.create_connection(listener.sockets[0].getsockname())
    with caller:
        caller.setblocking(False)
        if is_used:
            await loop.sock_sendall(caller, REQUEST)
            while b"whole" not in await loop.sock_recv(caller, 65536):
                pass
        else:
            await asyncio.sleep(0.01)
        port.served = 0
        await loop.sock_sendall(caller, REQUEST)
        _let_kernel_pass_on()
        for _ in range(turns):
            await asyncio.sleep(0)
        _caller_port.close_idle_connections(server, port, keeps_unused=False)
        got = b""
        async with asyncio.timeout(HANG_S):
            try:
                while part := await loop.sock_recv(caller, 65536):
                    got += part
            except ConnectionResetError:
                pass
    listener.close()
    await server.shutdown(0.1)
    await upstream.close()
    return port.served, got


# Guards against LOST: a request that was read and is about to be served loses
# its connection to a planned stop, and is passed on all the same.
@pytest.mark.parametrize("is_used", [False, True])
def test_a_request_that_is_served_at_a_stop_is_answered(is_used: bool) -> None:
    lost = []
    for turns in range(TURNS):
        with asyncio.Runner(loop_factory=_event_loop.new_event_loop) as runner:
            served, got = runner.run(_stop_after(turns, is_used=is_used))
        if served and not got.endswith(b"whole"):
            lost.append(turns)
    assert lost == []
