"""Downloads of documents from peers over real sockets."""

import asyncio
import collections.abc
import contextlib
import socket
import time
import typing

from marjoramledge_core import node
from marjoramledge_node import _connections
from marjoramledge_node import _dialect
from marjoramledge_node import _upstream
import pytest
from returns import result
import uvloop

HOST = "127.0.0.1"
TIMEOUT_S = 5.0
IDLE_S = 0.5
PART = b"x" * 100
PARTS = 20
# All parts together take longer than the peer may be silent.
PART_INTERVAL_S = 2 * IDLE_S / PARTS

SHORT_CONNECT_TIMEOUT_S = 0.1

Serve = collections.abc.Callable[
    [asyncio.StreamWriter], collections.abc.Awaitable[None]
]


async def _send_head(writer: asyncio.StreamWriter) -> None:
    length = len(PART) * PARTS
    writer.write(
        f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode()
    )


async def _send_slowly(writer: asyncio.StreamWriter) -> None:
    await _send_head(writer)
    for _ in range(PARTS):
        await asyncio.sleep(PART_INTERVAL_S)
        writer.write(PART)


async def _fetch(serve: Serve) -> result.Result[bytes, str]:
    """Fetch a document from a peer that responds in its own way."""

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A connection that is given up ends without a request.
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            await serve(writer)
            await reader.read()
        writer.close()

    listener = await asyncio.start_server(respond, HOST, 0)
    upstream = _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=1.0
    )
    try:
        return await upstream.fetch(
            "GET",
            node.Address(host=HOST, port=listener.sockets[0].getsockname()[1]),
            "/manifests/x",
            headers={},
            timeout_s=TIMEOUT_S,
            idle_s=IDLE_S,
            max_bytes=len(PART) * PARTS,
        )
    finally:
        await upstream.close()
        listener.close()
        await listener.wait_closed()


# Guards against a slow download that is aborted while bytes still arrive.
def test_a_download_continues_while_bytes_arrive() -> None:
    fetched = asyncio.run(_fetch(_send_slowly))
    assert fetched == result.Success(PART * PARTS)


# Guards against a download that waits for a silent peer instead of another.
def test_a_download_ends_when_the_peer_falls_silent() -> None:
    fetched = asyncio.run(_fetch(_send_head))
    assert isinstance(fetched, result.Failure)


# Guards against a peer being given up because this process was blocked while
# it connected, which costs a busy node the time for another download.
@pytest.mark.parametrize("loop", ["asyncio", "uvloop"])
def test_a_blocked_event_loop_does_not_end_a_download(
    loop: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        _upstream, "CONNECT_TIMEOUT_S", SHORT_CONNECT_TIMEOUT_S
    )
    open_socket = _connections._open_socket
    opened: list[socket.socket] = []

    def open_and_block_loop_once(
        address: tuple[
            int | socket.AddressFamily,
            int | socket.SocketKind,
            int,
            str,
            tuple[typing.Any, ...],
        ],
    ) -> socket.socket:
        if not opened:
            asyncio.get_running_loop().call_soon(
                time.sleep, 2 * SHORT_CONNECT_TIMEOUT_S
            )
        opened.append(open_socket(address))
        return opened[-1]

    monkeypatch.setattr(_connections, "_open_socket", open_and_block_loop_once)
    factory = uvloop.new_event_loop if loop == "uvloop" else None
    with asyncio.Runner(loop_factory=factory) as runner:
        fetched = runner.run(_fetch(_send_slowly))
    assert fetched == result.Success(PART * PARTS)
