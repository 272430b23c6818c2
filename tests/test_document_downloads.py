"""Downloads of documents from peers over real sockets."""

import asyncio
import collections.abc

from marjoramledge_core import node
from marjoramledge_node import _dialect
from marjoramledge_node import _upstream
from returns import result

HOST = "127.0.0.1"
TIMEOUT_S = 5.0
IDLE_S = 0.5
PART = b"x" * 100
PARTS = 20
# All parts together take longer than the peer may be silent.
PART_INTERVAL_S = 2 * IDLE_S / PARTS

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


# Guards against a slow download that is aborted while bytes still arrive.
def test_a_download_continues_while_bytes_arrive() -> None:
    fetched = asyncio.run(_fetch(_send_slowly))
    assert fetched == result.Success(PART * PARTS)


# Guards against a download that waits for a silent peer instead of another.
def test_a_download_ends_when_the_peer_falls_silent() -> None:
    fetched = asyncio.run(_fetch(_send_head))
    assert isinstance(fetched, result.Failure)
