"""Uploads that are in progress when a node begins to stop."""

import asyncio
import typing

from aiohttp import web
from marjoramledge_node import _bodies
from marjoramledge_node import _caller_port
import pytest
import uvloop

HOST = "127.0.0.1"
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 5.0
FIRST = b"x" * 100_000
REST = b"y" * 700_000


class _Port:
    """A caller port that reads a long body and answers with its length."""

    def __init__(self) -> None:
        self.begun = asyncio.Event()

    def is_busy(self, _connection: object) -> bool:
        return True

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await _bodies.receive_body(request)
        assert body.stream is not None
        size = 0
        async for chunk in body.stream.chunks():
            self.begun.set()
            size += len(chunk)
        response = web.Response(text=f"{size} bytes")
        response.force_close()
        return response


async def _upload_over_stop(framing: str) -> bytes:
    port = typing.cast(typing.Any, _Port())
    server = _caller_port.make_server(port)
    listener = await asyncio.get_running_loop().create_server(server, HOST, 0)
    reader, writer = await asyncio.open_connection(
        HOST, listener.sockets[0].getsockname()[1]
    )
    size = len(FIRST) + len(REST)
    is_chunked = framing == "chunks"
    header = "Transfer-Encoding: chunked"
    parts = [b"%x\r\n%b\r\n" % (len(part), part) for part in (FIRST, REST)]
    if not is_chunked:
        header = f"Content-Length: {size}"
        parts = [FIRST, REST]
    head = f"POST / HTTP/1.1\r\nHost: shop\r\n{header}\r\n\r\n"
    try:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            writer.write(head.encode() + parts[0])
            await port.begun.wait()
            _caller_port.close_idle_connections(
                server, port, keeps_unused=False
            )
            writer.write(parts[1] + b"0\r\n\r\n" * is_chunked)
            return await reader.read()
    except TimeoutError:
        return b""
    finally:
        writer.close()
        listener.close()
        await server.shutdown(0.0)


# Guards against an upload that gets no answer since its node begins a planned
# stop: the rest of its body was read and dropped.
@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_an_upload_that_began_before_a_stop_is_read_to_its_end(
    framing: str,
) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        answered = runner.run(_upload_over_stop(framing))
    assert answered.endswith(b"%d bytes" % (len(FIRST) + len(REST)))
