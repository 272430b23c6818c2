"""Request heads that are long, but within the operator's limit."""

import asyncio
import collections.abc
import typing

from aiohttp import web
from marjoramledge_node import _caller_port
from marjoramledge_node import _peer_port
import pytest
import uvloop

HOST = "127.0.0.1"
# The greatest limit that an operator is known to set (``maxHeaderBytes``), and
# four times as much.
LIMITS = (16384, 65536)
HANG_TIMEOUT_S = 10.0

MakeServer = collections.abc.Callable[[typing.Any], web.Server]


class _Port:
    """Answers each request with the lengths of its target and its header."""

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        noise = request.headers.get("X-Noise", "")
        return web.Response(
            text=f"{len(request.raw_path)} {len(noise)} {len(request.headers)}"
        )


def _format_request(target: bytes, noise: bytes) -> bytes:
    return (
        b"GET %b HTTP/1.1\r\nHost: shop\r\nX-Noise: %b\r\n"
        b"Connection: close\r\n\r\n" % (target, noise)
    )


async def _send(make_server: MakeServer, content: bytes) -> bytes:
    server = make_server(_Port())
    listener = await asyncio.get_running_loop().create_server(server, HOST, 0)
    reader, writer = await asyncio.open_connection(
        HOST, listener.sockets[0].getsockname()[1]
    )
    async with asyncio.timeout(HANG_TIMEOUT_S):
        writer.write(content)
        answered = await reader.read()
    writer.close()
    listener.close()
    await server.shutdown(0.0)
    return answered


# Guards against a proper request that is refused with 400 since one line of
# its head is longer than 8190 bytes, though the operator's limit allows it.
@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("part", ["target", "header"])
@pytest.mark.parametrize(
    "make_server", [_caller_port.make_server, _peer_port.make_server]
)
def test_a_head_within_the_limit_is_read(
    make_server: MakeServer, part: str, limit: int
) -> None:
    empty = len(_format_request(b"/", b""))
    filling = b"x" * (limit - empty)
    target, noise = b"/", b""
    if part == "target":
        target += filling
    else:
        noise = filling
    content = _format_request(target, noise)
    assert len(content) == limit
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        answered = runner.run(_send(make_server, content))
    assert answered.endswith(b"%d %d 3" % (len(target), len(noise)))


# Guards against a proper request that is refused with 400 since its head has
# more than 128 fields, or since a peer counts those that the entry adds too.
@pytest.mark.parametrize(
    "make_server", [_caller_port.make_server, _peer_port.make_server]
)
@pytest.mark.parametrize("field", [b"a:\r\n", b"X-Noise: some text\r\n"])
def test_a_head_of_many_fields_within_the_limit_is_read(
    make_server: MakeServer, field: bytes
) -> None:
    head = _format_request(b"/", b"")
    count = (LIMITS[0] - len(head)) // len(field)
    content = head[:-2] + field * count + b"\r\n"
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        answered = runner.run(_send(make_server, content))
    assert answered.endswith(b" %d" % (3 + count))
