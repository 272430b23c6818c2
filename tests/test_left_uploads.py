"""A server hears that a caller has left, also one that has not read on."""

import asyncio
import select
import socket
import threading

from aiohttp import web
from marjoramledge_node import _bodies
from marjoramledge_node import _dialect
from marjoramledge_node import _upstream
from marjoramledge_standins import builders
import multidict
import pytest
import uvloop

HOST = "127.0.0.1"
# Ends a test that would never end; no promise is read from it.
HANG_S = 5.0
# Until what a receiver doesn't read has filled the way to it.
FILL_S = 0.3


class _Server:
    """Takes one request, reads nothing of its body, and waits for its end."""

    def __init__(self) -> None:
        self._listener = socket.create_server((HOST, 0))
        self.port: int = self._listener.getsockname()[1]
        self.begun = threading.Event()
        self.is_told = False
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        accepted, _ = self._listener.accept()
        accepted.recv(1024)
        self.begun.set()
        poll = select.poll()
        poll.register(
            accepted, select.POLLRDHUP | select.POLLHUP | select.POLLERR
        )
        self.is_told = bool(poll.poll(HANG_S * 1000))
        accepted.close()
        self._listener.close()

    def wait(self) -> None:
        """Wait until it was told, or waits no more."""
        self._thread.join(2 * HANG_S)


async def _leave_upload(server: _Server, size: int) -> None:
    upstream = _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=15.0
    )

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        await upstream.send_to_server(
            _upstream.OutgoingRequest(
                method="PUT",
                target="/",
                headers=multidict.CIMultiDict(),
                body=await _bodies.receive_body(request),
            ),
            builders.build_server(port=server.port),
            HANG_S,
        )
        return web.Response(status=502)

    front = await asyncio.get_running_loop().create_server(
        web.Server(serve, handler_cancellation=True), HOST, 0
    )
    _, writer = await asyncio.open_connection(*front.sockets[0].getsockname())
    writer.write(
        b"PUT / HTTP/1.1\r\nHost: shop\r\nContent-Length: %d\r\n\r\n" % size
    )
    writer.write(bytes(size))
    await asyncio.to_thread(server.begun.wait, HANG_S)
    await asyncio.sleep(FILL_S)
    writer.transport.abort()
    await asyncio.to_thread(server.wait)
    front.close()
    await upstream.close()


# Guards against: the end of a connection waits behind bytes that the server
# doesn't read, so that it works on for a caller that has left (GONE).
@pytest.mark.parametrize("size", [1000, 2_000_000])
def test_a_server_that_reads_no_body_hears_that_the_caller_left(
    size: int,
) -> None:
    server = _Server()
    uvloop.run(_leave_upload(server, size))
    assert server.is_told
