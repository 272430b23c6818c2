"""A server that does not read a body still sees that its caller left."""

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
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 5.0
# Time in which an unread body fills the socket buffers.
BUFFER_FILL_S = 0.3


class _NonReadingServer:
    """Accepts one request without reading its body; waits for a disconnect."""

    def __init__(self) -> None:
        self._listener = socket.create_server((HOST, 0))
        self.port: int = self._listener.getsockname()[1]
        self.request_started = threading.Event()
        self.saw_disconnect = False
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        accepted, _ = self._listener.accept()
        accepted.recv(1024)
        self.request_started.set()
        poll = select.poll()
        poll.register(
            accepted, select.POLLRDHUP | select.POLLHUP | select.POLLERR
        )
        self.saw_disconnect = bool(poll.poll(HANG_TIMEOUT_S * 1000))
        accepted.close()
        self._listener.close()

    def wait(self) -> None:
        """Wait until the connection has ended or the wait timed out."""
        self._thread.join(2 * HANG_TIMEOUT_S)


async def _abort_upload(server: _NonReadingServer, size: int) -> None:
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
            HANG_TIMEOUT_S,
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
    await asyncio.to_thread(server.request_started.wait, HANG_TIMEOUT_S)
    await asyncio.sleep(BUFFER_FILL_S)
    writer.transport.abort()
    await asyncio.to_thread(server.wait)
    front.close()
    await upstream.close()


# Guards against work for callers that have left: the end of the connection
# was queued behind bytes that the server did not read.
@pytest.mark.parametrize("size", [1000, 2_000_000])
def test_a_server_that_reads_no_body_sees_that_the_caller_left(
    size: int,
) -> None:
    server = _NonReadingServer()
    uvloop.run(_abort_upload(server, size))
    assert server.saw_disconnect
