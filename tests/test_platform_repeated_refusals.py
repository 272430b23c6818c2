"""Servers that write an earlier refusal once more on a kept connection."""

import asyncio

from marjoramledge_core import node
from marjoramledge_node import _bodies
from marjoramledge_node import _dialect
from marjoramledge_node import _upstream
from marjoramledge_platform import _dialect as platform_dialect
from marjoramledge_standins import builders
import multidict
import pytest
from returns import result

HOST = "127.0.0.1"
TIMEOUT_S = 5.0
REQUEST_ID = platform_dialect.DIALECT.request_id or ""
FIRST, SECOND = "first", "second"
ANSWER = (
    f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {SECOND}\r\nContent-Length: 0\r\n\r\n"
).encode()
REFUSALS = {
    "platform": (platform_dialect.DIALECT, "Not-Executed: 1"),
    "own": (_dialect.DEFAULT_DIALECT, "Marjoramledge-Run: not-run"),
}


def _refuse(name: str, header: str) -> bytes:
    return (
        f"HTTP/1.1 503 Full\r\n{REQUEST_ID}: {name}\r\n{header}\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


class _Server:
    """Refuses the first request, and repeats that on the same connection.

    It runs the second request in any case, and answers it properly on a
    connection of its own.
    """

    def __init__(self, refusal: bytes) -> None:
        self._refusal = refusal
        self.runs = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        has_refused = False
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                is_second = f"{REQUEST_ID}: {SECOND}".encode() in head
                self.runs += is_second
                is_answered = is_second and not has_refused
                writer.write(ANSWER if is_answered else self._refusal)
                await writer.drain()
                has_refused = True
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


async def _send_both(
    dialect: _dialect.Dialect, refusal: bytes, *, is_repeatable: bool
) -> tuple[list[_upstream.SendResult], int]:
    server = _Server(refusal)
    listener = await asyncio.start_server(server.serve, HOST, 0)
    upstream = _upstream.Upstream(dialect=dialect, idle_connection_s=15.0)
    port = listener.sockets[0].getsockname()[1]
    try:
        exchanges = [
            await upstream.send_to_server(
                _upstream.OutgoingRequest(
                    method="POST",
                    target="/orders",
                    headers=multidict.CIMultiDict({REQUEST_ID: name}),
                    body=_bodies.Body(),
                    is_repeatable=is_repeatable,
                ),
                builders.build_server(port=port),
                TIMEOUT_S,
            )
            for name in (FIRST, SECOND)
        ]
        return exchanges, server.runs
    finally:
        await upstream.close()
        listener.close()


# Guards against 'not run' for a request that the server has run: it answers
# with the refusal of the request before.
@pytest.mark.parametrize("is_repeatable", [False, True])
@pytest.mark.parametrize("name", REFUSALS)
def test_the_refusal_of_another_request_proves_nothing(
    name: str, is_repeatable: bool
) -> None:
    dialect, header = REFUSALS[name]
    exchanges, runs = asyncio.run(
        _send_both(
            dialect, _refuse(FIRST, header), is_repeatable=is_repeatable
        )
    )
    assert runs == 1
    first, second = exchanges
    assert first.failure().run is node.RunState.NOT_RUN
    if isinstance(second, result.Failure):
        assert second.failure().run is node.RunState.MAY_HAVE_RUN
