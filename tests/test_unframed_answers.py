"""Answers without a length end with their connection: closed, or reset."""

import asyncio
import socket
import struct
import threading

from marjoramledge_node import _bodies
from marjoramledge_node import _dialect
from marjoramledge_node import _relay
from marjoramledge_node import _upstream
from marjoramledge_standins import builders
import multidict
import pytest
import uvloop

HOST = "127.0.0.1"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
LIMIT_S = 5.0


class _Server:
    """Answers one request, in pieces, when it is told to."""

    def __init__(self, pieces: tuple[bytes, ...], *, is_reset: bool) -> None:
        self._pieces = pieces
        self._is_reset = is_reset
        self._listener = socket.create_server((HOST, 0))
        self.port: int = self._listener.getsockname()[1]
        self.asked = threading.Event()
        self.told = threading.Event()
        self.ended = threading.Event()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        accepted, _ = self._listener.accept()
        accepted.recv(65536)
        self.asked.set()
        self.told.wait(LIMIT_S)
        for piece in self._pieces:
            accepted.sendall(piece)
        if self._is_reset:
            accepted.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        accepted.close()
        self._listener.close()
        self.ended.set()


async def _read_answer(server: _Server, *, is_late: bool) -> bytes | None:
    """Read the answer; ``is_late`` looks at it only when all has come."""
    upstream = _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=15.0
    )
    sent = asyncio.create_task(
        upstream.send_to_server(
            _upstream.OutgoingRequest(
                method="GET",
                target="/",
                headers=multidict.CIMultiDict(),
                body=_bodies.Body(),
            ),
            builders.build_server(port=server.port),
            LIMIT_S,
        )
    )
    await asyncio.to_thread(server.asked.wait, LIMIT_S)
    server.told.set()
    if is_late:
        server.ended.wait(LIMIT_S)
    try:
        exchange = await sent
        answer = exchange.value_or(None)
        if answer is None:
            return None
        assert _relay.is_buffered(answer, "GET")
        start = await _relay.read_body_start(answer, "GET")
        assert start is None or start.is_complete
        return None if start is None else start.body
    finally:
        await upstream.close()


@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize(
    "pieces", [(HEAD + b"whole",), (HEAD, b"whole"), (HEAD + b"wh", b"ole")]
)
def test_an_answer_that_ends_with_a_close_is_whole(
    pieces: tuple[bytes, ...], is_late: bool
) -> None:
    server = _Server(pieces, is_reset=False)
    body = uvloop.run(_read_answer(server, is_late=is_late))
    assert body == b"whole"


@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize("pieces", [(HEAD + b"who",), (HEAD, b"who"), (HEAD,)])
def test_an_answer_that_ends_with_a_reset_is_not_whole(
    pieces: tuple[bytes, ...], is_late: bool
) -> None:
    server = _Server(pieces, is_reset=True)
    assert uvloop.run(_read_answer(server, is_late=is_late)) is None
