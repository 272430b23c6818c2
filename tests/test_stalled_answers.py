"""Long answers that a server doesn't complete by the deadline."""

import asyncio
import collections.abc
import dataclasses
import functools

import aiohttp
from aiohttp import web
from marjoramledge_core import node
from marjoramledge_node import _bodies
from marjoramledge_node import _dialect
from marjoramledge_node import _relay
from marjoramledge_node import _upstream
from marjoramledge_standins import builders
import multidict
import pytest

HOST = "127.0.0.1"
# Longer than what a node buffers.
BODY = b"x" * 300_000
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY)
DEADLINE_S = 0.3
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 5.0

Send = collections.abc.Callable[
    [asyncio.StreamWriter], collections.abc.Awaitable[None]
]
Read = collections.abc.Callable[
    [aiohttp.ClientResponse], collections.abc.Awaitable[bytes]
]


async def _stop_after_head(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD)


async def _stop_midway(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + BODY[: len(BODY) // 2])


async def _trickle(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + BODY[: len(BODY) // 2])
    for _ in range(1000):
        writer.write(b"x")
        await asyncio.sleep(0.02)


async def _send_all(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + BODY)


async def _read(response: aiohttp.ClientResponse) -> bytes:
    return await response.read()


async def _read_slowly(response: aiohttp.ClientResponse) -> bytes:
    """Begin to read long after the deadline."""
    await asyncio.sleep(DEADLINE_S + 3 * _relay.ANSWER_GRACE_S)
    return await response.read()


async def _relay_answer(
    send: Send, read: Read, hops: int
) -> tuple[bytes | None, list[node.ServerOutcome]]:
    """Relay an answer; return what the caller read.

    None if the answer was cut, and an empty body if it never ended.
    """
    outcomes: list[node.ServerOutcome] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            await send(writer)
            await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    upstream = _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=1.0
    )
    listener = await asyncio.start_server(serve, HOST, 0)
    port: int = listener.sockets[0].getsockname()[1]
    servers: list[asyncio.AbstractServer] = [listener]

    async def pass_on(
        request: web.BaseRequest, port: int
    ) -> web.StreamResponse:
        outgoing = _upstream.OutgoingRequest(
            method="GET",
            target="/",
            headers=multidict.CIMultiDict({"Host": "shop"}),
            body=_bodies.Body(buffered=b"", stream=None),
        )
        server = dataclasses.replace(builders.build_server(), port=port)
        sent = await upstream.send_to_server(outgoing, server, DEADLINE_S)
        response, outcome = await _relay.relay(
            request,
            sent.unwrap(),
            {},
            closes_connection=False,
            remaining_s=DEADLINE_S,
        )
        outcomes.append(outcome)
        return response or web.Response(status=504)

    for _ in range(hops):
        ahead = await asyncio.get_running_loop().create_server(
            web.Server(functools.partial(pass_on, port=port)), HOST, 0
        )
        servers.append(ahead)
        port = ahead.sockets[0].getsockname()[1]
    body: bytes | None = None
    async with aiohttp.ClientSession() as session:
        try:
            async with (
                asyncio.timeout(HANG_TIMEOUT_S),
                session.get(f"http://{HOST}:{port}/") as response,
            ):
                body = await read(response)
        except aiohttp.ClientPayloadError:
            pass
        except TimeoutError:
            body = b""
    await upstream.close()
    for server in servers:
        server.close()
    return body, outcomes


# Guards against callers that are kept waiting beyond the timeout of their
# route, for a minute, by a server that stops amid a long answer (review, case
# 3).
@pytest.mark.parametrize("hops", [1, 2])
@pytest.mark.parametrize("send", [_stop_after_head, _stop_midway, _trickle])
def test_a_long_answer_that_is_late_is_cut(send: Send, hops: int) -> None:
    body, outcomes = asyncio.run(_relay_answer(send, _read, hops))
    assert body is None
    assert node.ServerOutcome.ANSWERED not in outcomes


# Guards against an answer that is cut though its server has sent all of it.
@pytest.mark.parametrize("hops", [1, 2])
@pytest.mark.parametrize("read", [_read, _read_slowly])
def test_a_complete_answer_is_delivered_late_too(
    read: Read, hops: int
) -> None:
    body, outcomes = asyncio.run(_relay_answer(_send_all, read, hops))
    assert body == BODY
    assert set(outcomes) == {node.ServerOutcome.ANSWERED}
