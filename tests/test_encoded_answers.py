"""Answers in a transfer coding without an end marker."""

import asyncio
import socket
import struct
import threading
import typing

from aiohttp import web
from marjoramledge_node import _bodies
from marjoramledge_node import _dialect
from marjoramledge_node import _relay
from marjoramledge_node import _upstream
from marjoramledge_standins import builders
import multidict
import pytest
import uvloop

HOST = "127.0.0.1"
RESET_ON_CLOSE: typing.Final = struct.pack("ii", 1, 0)
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 10.0
LAST_CHUNK = b"0\r\n\r\n"


def _answer_and_reset(
    listener: socket.socket, coding: bytes, is_relayed: threading.Event
) -> None:
    accepted, _ = listener.accept()
    accepted.recv(65536)
    accepted.sendall(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + b"\r\n\r\nhalf"
    )
    is_relayed.wait(HANG_TIMEOUT_S)
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    accepted.close()


async def _relay_answer(coding: bytes) -> bytes:
    """Return what a caller receives of an answer that is reset halfway."""
    is_relayed = threading.Event()
    listener = socket.create_server((HOST, 0))
    port: int = listener.getsockname()[1]
    threading.Thread(
        target=_answer_and_reset,
        args=(listener, coding, is_relayed),
        daemon=True,
    ).start()
    upstream = _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=15.0
    )

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        exchange = await upstream.send_to_server(
            _upstream.OutgoingRequest(
                method="GET",
                target="/",
                headers=multidict.CIMultiDict(),
                body=_bodies.Body(),
            ),
            builders.build_server(port=port),
            HANG_TIMEOUT_S,
        )
        response, _ = await _relay.relay(
            request,
            exchange.unwrap(),
            {},
            closes_connection=True,
            remaining_s=HANG_TIMEOUT_S,
        )
        return response or web.Response(status=502)

    front = await asyncio.get_running_loop().create_server(
        web.Server(serve), HOST, 0
    )
    reader, writer = await asyncio.open_connection(
        *front.sockets[0].getsockname()
    )
    writer.write(b"GET / HTTP/1.1\r\nHost: shop\r\n\r\n")
    received = b""
    try:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while b"half" not in received:
                part = await reader.read(65536)
                received += part
                if not part:
                    return received
                if b"\r\n\r\n" in received and b" 200 " not in received:
                    return received
            is_relayed.set()
            while part := await reader.read(65536):
                received += part
    except ConnectionError:
        pass
    except TimeoutError:
        is_relayed.set()
        received += await reader.read(65536)
    finally:
        writer.close()
        front.close()
        listener.close()
        await upstream.close()
    return received


# Guards against a truncated answer that looks complete to the caller: the
# answer is delimited by the end of its connection, which is reset, but the
# node relayed it with a last chunk because its head names a transfer coding
# (issue 24).
@pytest.mark.parametrize("coding", [b"identity", b"gzip"])
def test_a_reset_answer_without_chunks_is_not_relayed_as_complete(
    coding: bytes,
) -> None:
    received = uvloop.run(_relay_answer(coding))
    assert not (b" 200 " in received and received.endswith(LAST_CHUNK))
