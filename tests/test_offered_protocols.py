"""Requests behind one that offers a change of the protocol."""

import asyncio
import contextlib
import typing

from aiohttp import web
import hypothesis
from hypothesis import strategies
from marjoramledge_node import _bodies
from marjoramledge_node import _caller_port
import pytest
import uvloop

HOST = "127.0.0.1"
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 10.0
# Time in which a caller's bytes are received by themselves.
APART_S = 0.05
BODIES = {
    "none": b"\r\n",
    "length": b"Content-Length: 5\r\n\r\nhello",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
}
# A request whose body looks like another request.
SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: shop\r\n\r\n"
SECOND = b"POST /2 HTTP/1.1\r\nHost: shop\r\nContent-Length: %d\r\n\r\n%b" % (
    len(SMUGGLED),
    SMUGGLED,
)
LAST = b"GET /3 HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n"


def _format_offer(protocol: str, body: str) -> bytes:
    return (
        b"POST /1 HTTP/1.1\r\nHost: shop\r\nConnection: Upgrade\r\n"
        b"Upgrade: %b\r\n%b" % (protocol.encode(), BODIES[body])
    )


class _Port:
    """Answers each request with its path and the length of its body."""

    def __init__(self) -> None:
        self.served: list[str] = []

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await _bodies.receive_body(request)
        name = f"{request.raw_path}:{len(body.buffered or b'')}"
        self.served.append(name)
        return web.Response(text=name)


async def _read_answers(reader: asyncio.StreamReader) -> bytes:
    """Read until the connection is closed, or reset by what is sent later."""
    parts = []
    with contextlib.suppress(OSError):
        while part := await reader.read(65536):
            parts.append(part)
    return b"".join(parts)


async def _send(content: bytes, cuts: list[int]) -> tuple[list[str], bytes]:
    """Send bytes in pieces; return what was served and all answers."""
    port = _Port()
    server = _caller_port.make_server(typing.cast(typing.Any, port))
    listener = await asyncio.get_running_loop().create_server(server, HOST, 0)
    reader, writer = await asyncio.open_connection(
        HOST, listener.sockets[0].getsockname()[1]
    )
    answers = asyncio.create_task(_read_answers(reader))
    begin = 0
    async with asyncio.timeout(HANG_TIMEOUT_S):
        for cut in (*sorted(cuts), len(content)):
            writer.write(content[begin:cut])
            await asyncio.sleep(APART_S)
            begin = cut
        answered = await answers
    writer.close()
    listener.close()
    await server.shutdown(0.0)
    return port.served, answered


ALL_SERVED = [f"/2:{len(SMUGGLED)}", "/3:0"]


# Guards against a caller whose requests behind one with "Upgrade: h2c" get no
# answer, and against a body of theirs that is run as a request: the library
# drops what it has received with the first.  Either all are answered, or the
# answer closes the connection, so that the caller sends the others again.
@hypothesis.settings(max_examples=25, deadline=None)
@hypothesis.example("h2c", "none", [])
@hypothesis.example("h2c", "length", [])
@hypothesis.example("h2c", "chunks", [])
@hypothesis.example("h2c", "none", [160])
@hypothesis.given(
    protocol=strategies.sampled_from(["h2c", "H2C, other", "websocket"]),
    body=strategies.sampled_from(list(BODIES)),
    cuts=strategies.lists(strategies.integers(1, 300), max_size=2),
)
def test_no_request_behind_an_offer_is_lost_or_changed(
    protocol: str, body: str, cuts: list[int]
) -> None:
    content = _format_offer(protocol, body) + SECOND + LAST
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        served, answered = runner.run(_send(content, cuts))
    assert served[0] == ("/1:0" if body == "none" else "/1:5")
    assert served[1:] in ([], ALL_SERVED)
    assert b"Connection: close" in answered
    assert answered.count(b"HTTP/1.1 200 OK") == len(served)


# Guards against the same behind an offer that came behind another one, which
# the library parses elsewhere.
def test_no_body_is_run_as_a_request_behind_two_offers() -> None:
    offers = _format_offer("websocket", "none") + _format_offer("h2c", "none")
    content = offers + SECOND + LAST
    cut = content.index(SMUGGLED)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        served, answered = runner.run(_send(content, [cut]))
    assert served == ["/1:0", "/1:0"]
    assert b"Connection: close" in answered


# Guards against callers that offer a protocol with each request and would need
# a connection for each.
@pytest.mark.parametrize("protocol", ["h2c", "websocket"])
def test_a_connection_is_kept_if_nothing_came_behind_an_offer(
    protocol: str,
) -> None:
    offer = _format_offer(protocol, "none")
    content = offer + SECOND + LAST
    for cut in (10, len(offer) - 2):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            served, _ = runner.run(_send(content, [cut, len(offer)]))
        assert served == ["/1:0", *ALL_SERVED]
