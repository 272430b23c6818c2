"""Request bodies without a length, and what identifies their requests."""

import asyncio
import collections.abc
import dataclasses

import aiohttp
from aiohttp import web
import hypothesis
from hypothesis import strategies
from marjoramledge_core import ids
from marjoramledge_node import _bodies
from marjoramledge_node import _caller_port
import pytest

HOST = "127.0.0.1"
LIMIT = _bodies.MAX_BUFFERED_BODY_BYTES
SHORT = b"s" * 1000
LONG = b"l" * (3 * LIMIT)
# Longer than a node waits for the rest of a body.
PAUSE_S = 1.5 * _bodies.PREFIX_WAIT_S

Parts = list[bytes | float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Received:
    """A body as a node has received it."""

    is_buffered: bool
    content: bytes
    fingerprint: ids.Fingerprint


async def _receive(body: bytes | Parts) -> _Received:
    """Send a body, with a length or in parts with pauses between them."""
    received: list[_Received] = []

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        found = await _bodies.receive_body(request)
        fingerprint = _caller_port.compute_fingerprint(request, found)
        content = found.buffered or b""
        if found.stream is not None:
            async for chunk in found.stream.chunks():
                content += chunk
        received.append(
            _Received(
                is_buffered=found.buffered is not None,
                content=content,
                fingerprint=fingerprint,
            )
        )
        return web.Response()

    async def send_parts(
        parts: Parts,
    ) -> collections.abc.AsyncIterator[bytes]:
        for part in parts:
            if isinstance(part, bytes):
                yield part
            else:
                await asyncio.sleep(part)

    server = await asyncio.get_running_loop().create_server(
        web.Server(serve), HOST, 0
    )
    port = server.sockets[0].getsockname()[1]
    data = body if isinstance(body, bytes) else send_parts(body)
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"http://{HOST}:{port}/orders", data=data, headers={"Host": "shop"}
        ),
    ):
        pass
    server.close()
    (found,) = received
    return found


# Guards against requests that crash servers and are never quarantined, since
# nothing of a body in chunks identifies them (review, case 1).
@pytest.mark.parametrize("parts", [[SHORT], [SHORT[:7], 0.01, SHORT[7:]]])
def test_a_short_body_in_chunks_identifies_its_request(parts: Parts) -> None:
    found = asyncio.run(_receive(parts))
    other = asyncio.run(_receive([SHORT[:-1] + b"t"]))
    with_length = asyncio.run(_receive(SHORT))
    assert found.is_buffered
    assert found.content == SHORT
    assert found.fingerprint == with_length.fingerprint
    assert found.fingerprint != other.fingerprint


@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_long_body_is_identified_by_its_beginning(is_chunked: bool) -> None:
    found, other = (
        asyncio.run(_receive([body] if is_chunked else body))
        for body in (LONG, b"m" + LONG[1:])
    )
    assert not found.is_buffered
    assert found.content == LONG
    assert found.fingerprint != other.fingerprint


# Guards against a slow upload that is held back until all of it has come.
def test_a_slow_body_is_forwarded_while_it_is_received() -> None:
    found = asyncio.run(_receive([SHORT, PAUSE_S, SHORT]))
    assert not found.is_buffered
    assert found.content == SHORT + SHORT


# Guards against bytes that are lost or doubled between the beginning of a body
# and its rest.
@hypothesis.settings(max_examples=25, deadline=None)
@hypothesis.given(
    parts=strategies.lists(
        strategies.one_of(
            strategies.binary(min_size=1, max_size=LIMIT // 2),
            strategies.just(b"x" * LIMIT),
            strategies.just(0.001),
        ),
        max_size=6,
    )
)
def test_a_body_in_chunks_is_received_whole(parts: Parts) -> None:
    found = asyncio.run(_receive(parts))
    assert found.content == b"".join(p for p in parts if isinstance(p, bytes))
