"""Endless bytes in each part of a request, to each HTTP port of a node.

A sender goes on to 64 MB over a real socket.  The node must close the
connection long before.
"""

import asyncio
import collections.abc
import contextlib
import typing

from aiohttp import web
import hypothesis
from hypothesis import strategies
from marjoramledge_node import _bodies
from marjoramledge_node import _caller_port
from marjoramledge_node import _local_port
from marjoramledge_node import _metrics_port
from marjoramledge_node import _peer_port
from marjoramledge_node import _ready_port
import pytest
import uvloop

HOST = "127.0.0.1"
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 20.0
PIECE_BYTES = 65536
# What a node may take: its bound and the buffers of both sockets.  The sender
# would go on to eight times as much.
MAX_TAKEN_BYTES = 8 * 1024 * 1024
MAX_SENT_BYTES = 8 * MAX_TAKEN_BYTES

GET = b"GET / HTTP/1.1\r\nHost: shop\r\n\r\n"
CHUNKED = (
    b"POST / HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n"
)
FIELD = b"X-Noise: 0123456789abcdef\r\n"
EXTENDED_CHUNK = b"1;" + b"a" * 1000 + b"\r\nx\r\n"


def _repeat(piece: bytes) -> bytes:
    return piece * (PIECE_BYTES // len(piece))


# What is sent once, and what is sent without end.
FORMS = {
    "empty lines": (b"", _repeat(b"\r\n")),
    "empty lines after a request": (GET, _repeat(b"\r\n")),
    "chunk extension": (CHUNKED + b"1;", _repeat(b"a")),
    "chunk extensions": (CHUNKED, _repeat(EXTENDED_CHUNK)),
    "chunk size": (CHUNKED, _repeat(b"0")),
    "header fields": (GET[:-2], _repeat(FIELD)),
    "trailer fields": (CHUNKED + b"0\r\n", _repeat(FIELD)),
    "noise": (b"", bytes(PIECE_BYTES)),
}


class _Port:
    """Reads the body of each request and answers with its length."""

    def __init__(self, *, pause_s: float = 0.0) -> None:
        self._pause_s = pause_s

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await _bodies.receive_body(request)
        size = len(body.buffered or b"")
        if body.stream is not None:
            async for chunk in body.stream.chunks():
                size += len(chunk)
                await asyncio.sleep(self._pause_s)
        return web.Response(text=str(size))


MakeServer = collections.abc.Callable[[typing.Any], web.Server]
PORTS: dict[str, MakeServer] = {
    "callers": _caller_port.make_server,
    "peers": _peer_port.make_server,
    "local": _local_port.make_server,
    "ready": _ready_port.make_server,
    "metrics": _metrics_port.make_server,
}


async def _send_endless(make_server: MakeServer, form: str) -> int:
    """Send without end; return the number of bytes that were taken."""
    first, piece = FORMS[form]
    server = make_server(_Port())
    listener = await asyncio.get_running_loop().create_server(server, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    _, writer = await asyncio.open_connection(HOST, port)
    taken = 0
    with contextlib.suppress(OSError):
        async with asyncio.timeout(HANG_TIMEOUT_S):
            writer.write(first)
            while taken < MAX_SENT_BYTES:
                writer.write(piece)
                await writer.drain()
                taken += len(piece)
    writer.transport.abort()
    listener.close()
    await server.shutdown(0.0)
    return taken


# Guards against a node that serves no other callers while some connections
# send it empty lines or chunk extensions without end: with ten such
# connections, 2 of 5 and 10 of some 40 other requests were answered.
@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("port", PORTS)
def test_a_port_closes_a_connection_that_sends_no_requests(
    port: str, form: str
) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        taken = runner.run(_send_endless(PORTS[port], form))
    assert taken < MAX_TAKEN_BYTES


async def _exchange(content: bytes, cuts: list[int], port: _Port) -> bytes:
    """Send bytes in pieces; return all that is answered."""
    server = _caller_port.make_server(typing.cast(typing.Any, port))
    listener = await asyncio.get_running_loop().create_server(server, HOST, 0)
    reader, writer = await asyncio.open_connection(
        HOST, listener.sockets[0].getsockname()[1]
    )
    begin = 0
    async with asyncio.timeout(HANG_TIMEOUT_S):
        for cut in (*sorted(cuts), len(content)):
            writer.write(content[begin:cut])
            await writer.drain()
            await asyncio.sleep(0)
            begin = cut
        answered = await reader.read()
    writer.close()
    listener.close()
    await server.shutdown(0.0)
    return answered


def _chunk(body: bytes, chunk_bytes: int) -> bytes:
    chunks = [
        b"%x\r\n%b\r\n" % (len(part), part)
        for begin in range(0, len(body), chunk_bytes)
        if (part := body[begin : begin + chunk_bytes])
    ]
    return b"".join(chunks) + b"0\r\n\r\n"


LAST = b"GET / HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n"


# Guards against a bound that ends the connections of sound callers: bodies of
# any length in chunks of any size, and some empty lines between requests.
@hypothesis.settings(max_examples=30, deadline=None)
@hypothesis.given(
    sizes=strategies.lists(
        strategies.integers(0, 300_000), min_size=1, max_size=4
    ),
    chunk_bytes=strategies.sampled_from([1, 2, 7, 4096, 100_000]),
    empty_lines=strategies.integers(0, 1000),
    cuts=strategies.lists(strategies.integers(0, 900_000), max_size=6),
)
def test_sound_requests_within_the_bounds_are_answered(
    sizes: list[int], chunk_bytes: int, empty_lines: int, cuts: list[int]
) -> None:
    content = b"".join(
        CHUNKED + _chunk(b"x" * size, chunk_bytes) + b"\r\n" * empty_lines
        for size in sizes
    )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        answered = runner.run(_exchange(content + LAST, cuts, _Port()))
    assert answered.count(b"HTTP/1.1 200 OK") == len(sizes) + 1
    for size in sizes:
        assert b"\r\n\r\n%d" % size in answered


# Guards against a long upload that is aborted since its server reads slowly:
# what waits to be read is no overhead.
@pytest.mark.parametrize("chunk_bytes", [1, 1000, 1_000_000])
def test_a_long_upload_is_read_whole_however_slowly(chunk_bytes: int) -> None:
    body = b"x" * 1_000_000
    content = CHUNKED + _chunk(body, chunk_bytes) + LAST
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        answered = runner.run(_exchange(content, [], _Port(pause_s=0.002)))
    assert b"\r\n\r\n%d" % len(body) in answered
