"""Answers without a length, which end when their connection ends."""

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
TIMEOUT_S = 5.0


class _Server:
    """Answers one request in several writes once ``may_answer`` is set."""

    def __init__(self, pieces: tuple[bytes, ...], *, is_reset: bool) -> None:
        self._pieces = pieces
        self._is_reset = is_reset
        self._listener = socket.create_server((HOST, 0))
        self.port: int = self._listener.getsockname()[1]
        self.request_received = threading.Event()
        self.may_answer = threading.Event()
        self.has_finished = threading.Event()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        accepted, _ = self._listener.accept()
        accepted.recv(65536)
        self.request_received.set()
        self.may_answer.wait(TIMEOUT_S)
        for piece in self._pieces:
            accepted.sendall(piece)
        if self._is_reset:
            accepted.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        accepted.close()
        self._listener.close()
        self.has_finished.set()


async def _read_answer(server: _Server, *, is_late: bool) -> bytes | None:
    """Return the body, or None if the answer is not complete.

    With ``is_late`` the event loop runs only after the server has finished.
    """
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
            TIMEOUT_S,
        )
    )
    await asyncio.to_thread(server.request_received.wait, TIMEOUT_S)
    server.may_answer.set()
    if is_late:
        server.has_finished.wait(TIMEOUT_S)
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
def test_an_answer_that_ends_with_a_close_is_complete(
    pieces: tuple[bytes, ...], is_late: bool
) -> None:
    server = _Server(pieces, is_reset=False)
    body = uvloop.run(_read_answer(server, is_late=is_late))
    assert body == b"whole"


@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize("pieces", [(HEAD + b"who",), (HEAD, b"who"), (HEAD,)])
def test_an_answer_that_ends_with_a_reset_is_not_complete(
    pieces: tuple[bytes, ...], is_late: bool
) -> None:
    server = _Server(pieces, is_reset=True)
    assert uvloop.run(_read_answer(server, is_late=is_late)) is None
