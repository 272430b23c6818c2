"""Answers whose head is cut: the server stops in the middle and closes."""

import asyncio

from marjoramledge_node import _bodies
from marjoramledge_node import _dialect
from marjoramledge_node import _upstream
from marjoramledge_platform import _dialect as platform_dialect
from marjoramledge_standins import builders
import multidict
import pytest
from returns import result
import uvloop

HOST = "127.0.0.1"
TIMEOUT_S = 5.0
REQUEST_ID = platform_dialect.DIALECT.request_id or ""
NAME = "r-1"
HEAD = (
    f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {NAME}\r\n"
    "Content-Type: text/plain\r\nContent-Length: 5\r\n\r\n"
).encode()
DIALECTS = {
    "platform": platform_dialect.DIALECT,
    "own": _dialect.DEFAULT_DIALECT,
}


async def _find_answered(
    dialect: _dialect.Dialect, *, is_repeatable: bool
) -> list[int]:
    """Return the lengths of cut heads that are taken for an answer."""
    length = 0

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD[:length])
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(serve, HOST, 0)
    upstream = _upstream.Upstream(dialect=dialect, idle_connection_s=15.0)
    answered = []
    for length in range(len(HEAD)):
        exchange = await upstream.send_to_server(
            _upstream.OutgoingRequest(
                method="GET",
                target="/",
                headers=multidict.CIMultiDict({REQUEST_ID: NAME}),
                body=_bodies.Body(),
                is_repeatable=is_repeatable,
            ),
            builders.build_server(port=listener.sockets[0].getsockname()[1]),
            TIMEOUT_S,
        )
        if isinstance(exchange, result.Success):
            answered.append(length)
            exchange.unwrap().response.close()
    await upstream.close()
    listener.close()
    return answered


# Guards against a cut head that reaches the caller as a whole answer with an
# empty or short body.
@pytest.mark.parametrize("is_repeatable", [False, True])
@pytest.mark.parametrize("loop", ["asyncio", "uvloop"])
@pytest.mark.parametrize("name", DIALECTS)
def test_a_cut_head_is_no_answer(
    name: str, loop: str, is_repeatable: bool
) -> None:
    factory = uvloop.new_event_loop if loop == "uvloop" else None
    with asyncio.Runner(loop_factory=factory) as runner:
        answered = runner.run(
            _find_answered(DIALECTS[name], is_repeatable=is_repeatable)
        )
    assert answered == []
