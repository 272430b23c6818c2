"""Answers whose transfer coding tells no end: they end with a close only."""

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
# Ends a test that would never end; no promise is read from it.
HANG_S = 10.0
LAST_CHUNK = b"0\r\n\r\n"


def _answer_and_reset(
    listener: socket.socket, coding: bytes, is_passed_on: threading.Event
) -> None:
    accepted, _ = listener.accept()
    accepted.recv(65536)
    accepted.sendall(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + b"\r\n\r\nhalf"
    )
    is_passed_on.wait(HANG_S)
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    accepted.close()


async def _pass_on(coding: bytes) -> bytes:
    """Return all that a caller gets of an answer that is reset half way."""
    is_passed_on = threading.Event()
    listener = socket.create_server((HOST, 0))
    port: int = listener.getsockname()[1]
    threading.Thread(
        target=_answer_and_reset,
        args=(listener, coding, is_passed_on),
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
            HANG_S,
        )
        response, _ = await _relay.relay(
            request,
            exchange.unwrap(),
            {},
            closes_connection=True,
            remaining_s=HANG_S,
        )
        return response or web.Response(status=502)

    front = await asyncio.get_running_loop().create_server(
        web.Server(serve), HOST, 0
    )
    reader, writer = await asyncio.open_connection(
        *front.sockets[0].getsockname()
    )
    writer.write(b"GET / HTTP/1.1\r\nHost: shop\r\n\r\n")
    got = b""
    try:
        async with asyncio.timeout(HANG_S):
            while b"half" not in got:
                part = await reader.read(65536)
                got += part
                if not part:
                    return got
                if b"\r\n\r\n" in got and b" 200 " not in got:
                    return got
            is_passed_on.set()
            while part := await reader.read(65536):
                got += part
    except ConnectionError:
        pass
    except TimeoutError:
        is_passed_on.set()
        got += await reader.read(65536)
    finally:
        writer.close()
        front.close()
        listener.close()
        await upstream.close()
    return got


# Guards against: an answer that ends with its connection and is reset on the
# way gets an end that looks complete, because its head names some transfer
# coding (MIXED; issue 24).
@pytest.mark.parametrize("coding", [b"identity", b"gzip"])
def test_an_answer_in_a_coding_without_chunks_is_not_whole_after_a_reset(
    coding: bytes,
) -> None:
    got = uvloop.run(_pass_on(coding))
    assert not (b" 200 " in got and got.endswith(LAST_CHUNK))
