"""A stop that closes idle connections just as a request arrives."""

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
# More event loop iterations than a request takes to reach its handler.
ITERATIONS = 16
HANDLER_ITERATIONS = 5
# Time in which the kernel delivers data over loopback.
DELIVERY_S = 0.002
HANG_TIMEOUT_S = 10.0


class _Port(_caller_port.CallerPort):
    """Answers each request a few loop iterations after its start."""

    started_requests = 0

    async def _serve(
        self, request: web.BaseRequest
    ) -> tuple[web.StreamResponse, None]:
        self.started_requests += 1
        for _ in range(HANDLER_ITERATIONS):
            await asyncio.sleep(0)
        return web.Response(body=b"whole"), None


def _build_port(upstream: _upstream.Upstream) -> _Port:
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


def _wait_for_delivery() -> None:
    time.sleep(DELIVERY_S)


async def _stop_after(iterations: int, *, is_used: bool) -> tuple[int, bytes]:
    """Close idle connections some loop iterations after a request.

    Returns
    -------
    tuple
        The number of requests whose handler started, and what the caller
        received.
    """
    loop = asyncio.get_running_loop()
    upstream = _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=1.0
    )
    port = _build_port(upstream)
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
        port.started_requests = 0
        await loop.sock_sendall(caller, REQUEST)
        _wait_for_delivery()
        for _ in range(iterations):
            await asyncio.sleep(0)
        _caller_port.close_idle_connections(server, port, keeps_unused=False)
        received = b""
        async with asyncio.timeout(HANG_TIMEOUT_S):
            try:
                while part := await loop.sock_recv(caller, 65536):
                    received += part
            except ConnectionResetError:
                pass
    listener.close()
    await server.shutdown(0.1)
    await upstream.close()
    return port.started_requests, received


# Guards against a lost call: a planned stop closes the connection of a request
# that was read and is about to be served, and the request is still forwarded.
@pytest.mark.parametrize("is_used", [False, True])
def test_a_request_that_is_started_during_a_stop_is_answered(
    is_used: bool,
) -> None:
    lost = []
    for iterations in range(ITERATIONS):
        with asyncio.Runner(loop_factory=_event_loop.new_event_loop) as runner:
            started_requests, received = runner.run(
                _stop_after(iterations, is_used=is_used)
            )
        if started_requests and not received.endswith(b"whole"):
            lost.append(iterations)
    assert lost == []
