"""Backend servers that answer before they have read the request's body."""

import asyncio
import socket

from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _bodies
from marjoramledge_node import _dialect
from marjoramledge_node import _event_loop
from marjoramledge_node import _upstream
import multidict

HOST = "127.0.0.1"
BODY = bytes(range(256)) * 250
# Less than the body, so that the rest of it stays in the sender's buffer.
WINDOW_BYTES = 4096
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 10.0


async def _answer_then_read(
    listening: socket.socket, is_closed: asyncio.Event
) -> bytes:
    """Answer a request after its head; return the body received later."""
    loop = asyncio.get_running_loop()
    connection, _ = await loop.sock_accept(listening)
    with connection:
        received = b""
        while b"\r\n\r\n" not in received:
            received += await loop.sock_recv(connection, WINDOW_BYTES)
        await loop.sock_sendall(
            connection, b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
        )
        await is_closed.wait()
        body = received.partition(b"\r\n\r\n")[2]
        while len(body) < len(BODY):
            try:
                part = await loop.sock_recv(connection, len(BODY))
            except ConnectionResetError:
                break
            if not part:
                break
            body += part
        return body


# Guards against an order that is lost although its caller got a success: the
# server answers before it has read the whole body, and the node then resets
# the connection instead of sending the rest.
def test_a_server_that_answers_early_gets_the_whole_body() -> None:
    async def send() -> tuple[bytes, bytes]:
        is_closed = asyncio.Event()
        with socket.socket() as listening:
            listening.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES
            )
            listening.bind((HOST, 0))
            listening.listen()
            listening.setblocking(False)
            server_task = asyncio.create_task(
                _answer_then_read(listening, is_closed)
            )
            upstream = _upstream.Upstream(
                dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=4.0
            )
            exchange = await upstream.send_to_server(
                _upstream.OutgoingRequest(
                    method="POST",
                    target="/orders",
                    headers=multidict.CIMultiDict(),
                    body=_bodies.Body(buffered=BODY),
                    is_repeatable=False,
                ),
                node.Server(
                    service=ids.ServiceName("shop"),
                    host=HOST,
                    port=listening.getsockname()[1],
                    slots=1,
                    connections=1,
                    cold_concurrency=1,
                    is_cold=False,
                    health_path="/health",
                ),
                HANG_TIMEOUT_S,
            )
            answer = await exchange.unwrap().response.read()
            is_closed.set()
            async with asyncio.timeout(HANG_TIMEOUT_S):
                body = await server_task
            await upstream.close()
        return answer, body

    with asyncio.Runner(loop_factory=_event_loop.new_event_loop) as runner:
        answer, body = runner.run(send())
    assert answer == b"done"
    assert body == BODY
