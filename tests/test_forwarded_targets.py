"""Targets of requests reach the server as the caller wrote them."""

import asyncio
import dataclasses

import hypothesis
from hypothesis import strategies
from marjoramledge_node import _bodies
from marjoramledge_node import _dialect
from marjoramledge_node import _upstream
from marjoramledge_standins import builders
import multidict
import pytest

HOST = "127.0.0.1"
TIMEOUT_S = 5.0


async def _forward(targets: list[str], host: str) -> list[str]:
    """Forward requests; return the targets that the server has read."""
    received = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        received.append(head.decode().split(" ")[1])
        writer.write(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(serve, host, 0)
    server = dataclasses.replace(
        builders.build_server(port=listener.sockets[0].getsockname()[1]),
        host=host,
    )
    upstream = _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=1.0
    )
    for target in targets:
        sent = await upstream.send_to_server(
            _upstream.OutgoingRequest(
                method="GET",
                target=target,
                headers=multidict.CIMultiDict({"Host": "shop"}),
                body=_bodies.Body(),
            ),
            server,
            TIMEOUT_S,
        )
        sent.unwrap().response.close()
    await upstream.close()
    listener.close()
    return received


# Guards against a server that runs a request with another target than the
# caller's: one that ended in "?" lost it, one with "#" all from there on.
@hypothesis.settings(max_examples=20, deadline=None)
@hypothesis.example(["/a?", "/?", "/a??", "/a#b", "/a?b#c", "/a?#"])
@hypothesis.example(["//a//b", "/./a/../b", "/%7e%2f?%3f", "/a;b=c", "/@b:1/"])
@hypothesis.given(
    strategies.lists(
        strategies.text("aZ0/?#.%&=+;:@[]{}|~!$'()*,-_\\^`\"<>").map(
            lambda text: "/" + text
        ),
        min_size=5,
        max_size=20,
    )
)
def test_a_target_is_forwarded_unchanged(targets: list[str]) -> None:
    assert asyncio.run(_forward(targets, HOST)) == targets


# Guards against a change of the address where the target is left alone.
@pytest.mark.parametrize("host", [HOST, "::1", "localhost"])
def test_a_server_is_reached_at_each_kind_of_address(host: str) -> None:
    assert asyncio.run(_forward(["/a?b"], host)) == ["/a?b"]
