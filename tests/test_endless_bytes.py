"""Endless bytes in each part of an answer, to each client of the system.

A stand-in sends an answer of which one part never ends, over real sockets, to
the node as the client of its backend server, of a peer and of the store, and
to the operator's command.  The client must close the connection long before
the stand-in has sent what would fill a VM's memory.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import typing

import aiohttp
import hypothesis
from hypothesis import strategies
from marjoramledge_cli import _fleet_client
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _bodies
from marjoramledge_node import _dialect
from marjoramledge_node import _upstream
from marjoramledge_node import peers
from marjoramledge_platform import _store
from marjoramledge_standins import builders
from marjoramledge_standins import endless
from marjoramledge_store import bounded_http
from marjoramledge_store import client
from marjoramledge_store import followed
import multidict
import pytest
from returns import result
import uvloop

HOST = "127.0.0.1"
KEYS = peers.parse_keys("k1:a-secret-of-this-test").unwrap()
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 20.0
DEADLINE_S = 10.0
# What a client may take: the largest document and the buffers of both sockets.
# The stand-in would go on to four times as much.
MAX_TAKEN_BYTES = 16 * 1024 * 1024
MAX_SENT_BYTES = 4 * MAX_TAKEN_BYTES

Use = collections.abc.Callable[
    [node.Address], collections.abc.Awaitable[object]
]


async def _send_to_server(address: node.Address) -> object:
    upstream = _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=1.0
    )
    outgoing = _upstream.OutgoingRequest(
        method="GET",
        target="/",
        headers=multidict.CIMultiDict({"Host": "shop"}),
        body=_bodies.Body(buffered=b"", stream=None),
    )
    server = dataclasses.replace(
        builders.build_server(), host=address.host, port=address.port
    )
    sent = await upstream.send_to_server(outgoing, server, DEADLINE_S)
    if isinstance(sent, result.Success):
        # A caller takes the body in its own time; the rest is cut off.
        with contextlib.suppress(aiohttp.ClientError):
            await sent.unwrap().response.content.readany()
        sent.unwrap().response.close()
    await upstream.close()
    return sent


async def _probe(address: node.Address) -> object:
    upstream = _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=1.0
    )
    server = dataclasses.replace(
        builders.build_server(), host=address.host, port=address.port
    )
    probed = await upstream.probe(server, DEADLINE_S)
    await upstream.close()
    return probed


async def _fetch_from_peer(address: node.Address) -> object:
    upstream = _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=1.0
    )
    fetched = await upstream.fetch(
        "GET",
        address,
        "/members",
        headers={},
        timeout_s=DEADLINE_S,
        idle_s=DEADLINE_S,
        max_bytes=peers.MAX_DOCUMENT_BYTES,
    )
    await upstream.close()
    return fetched


async def _read_platform_table(address: node.Address) -> object:
    tables = _store.PlatformTables(address=address)
    read = await tables.list_rows("servers")
    await tables.close()
    return read


async def _write_platform_row(address: node.Address) -> object:
    tables = _store.PlatformTables(address=address)
    written = await tables.put_row("fleet", "node/n0", b"{}")
    await tables.close()
    return written


async def _wait_for_platform_changes(address: node.Address) -> object:
    tables = _store.PlatformTables(address=address)
    read = await tables.wait_for_changes("op", 1, DEADLINE_S)
    await tables.close()
    return read


def _build_store_client(address: node.Address) -> client.StoreClient:
    return client.StoreClient(
        base_url=f"http://{address.host}:{address.port}", timeout_s=DEADLINE_S
    )


async def _read_version(address: node.Address) -> object:
    store = _build_store_client(address)
    read = await store.read_version()
    await store.close()
    return read


async def _get_manifest(address: node.Address) -> object:
    store = _build_store_client(address)
    read = await store.get_manifest(ids.Digest("d"))
    await store.close()
    return read


async def _read_status(address: node.Address) -> object:
    fleet = _fleet_client.FleetClient(keys=KEYS)
    status = await fleet.read_status(address)
    await fleet.close()
    return status


USES: dict[str, Use] = {
    "server": _send_to_server,
    "health": _probe,
    "peer": _fetch_from_peer,
    "table": _read_platform_table,
    "row": _write_platform_row,
    "feed": _wait_for_platform_changes,
    "version": _read_version,
    "manifest": _get_manifest,
    "status": _read_status,
}


class _Sender:
    """Sends an endless answer to each request on its port."""

    def __init__(self, form: endless.EndlessForm) -> None:
        self._first, self._piece = endless.pieces(form)
        self.taken = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._first)
            while self.taken < MAX_SENT_BYTES:
                writer.write(self._piece)
                await writer.drain()
                self.taken += len(self._piece)
        writer.transport.abort()


async def _use(use: Use, sender: _Sender) -> object:
    listener = await asyncio.start_server(sender.serve, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    try:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            return await use(node.Address(host=HOST, port=port))
    finally:
        listener.close()


# Guards against a node or command that runs out of memory, and with it the
# requests of all other callers, since a faulty server, peer or store sends
# bytes without end (operators' report; 726 MB of interim responses, 1.7 GB of
# a store's answers).
@pytest.mark.parametrize("form", list(endless.EndlessForm))
@pytest.mark.parametrize("use", USES)
def test_a_client_closes_an_endless_answer(
    use: str, form: endless.EndlessForm
) -> None:
    sender = _Sender(form)
    asyncio.run(_use(USES[use], sender))
    assert sender.taken < MAX_TAKEN_BYTES


# Guards against a store whose pages never end, or never get further.
@pytest.mark.parametrize("rows", [0, 1])
def test_a_table_without_a_last_page_is_given_up(
    rows: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_store, "MAX_TABLE_BYTES", 1000)
    pages = 0

    async def call(*_: object, **__: object) -> _store.Reply:
        nonlocal pages
        pages += 1
        row = {"key": f"k{pages:09}", "value": "AAAA"}
        fields = {"rows": [row] * rows, "ver": 1, "hasMore": 1}
        return result.Success(_store._Reply(fields=fields, era=0))

    async def read() -> object:
        tables = _store.PlatformTables(address=node.Address(host=HOST, port=1))
        monkeypatch.setattr(tables, "_call", call)
        async with asyncio.timeout(HANG_TIMEOUT_S):
            found = await tables.list_rows("servers")
        await tables.close()
        return found

    assert asyncio.run(read()) == result.Failure(client.StoreError.REJECTED)


class _GrowingTables:
    """Tables whose feed has more rows with each answer."""

    def __init__(self) -> None:
        self.version = 0

    async def list_rows(self, _table: str) -> object:
        return await self.wait_for_changes(_table, 0, 0.0)

    async def wait_for_changes(
        self, _table: str, _after: int, _wait_s: float
    ) -> object:
        self.version += 1
        row = {f"k{self.version}": bytes(100_000).hex().encode()}
        return result.Success(
            followed.Rows(rows=row, removed=frozenset(), version=self.version)
        )


# Guards against rows that pile up over many answers of a faulty store.
def test_a_configuration_that_grows_without_end_is_refused() -> None:
    tables = _GrowingTables()
    store = followed.ChangeFeedStore(
        tables=typing.cast(followed.RowTables, tables), operator_table="op"
    )

    async def read() -> list[object]:
        found: list[object] = []
        for _ in range(40):
            found.append(
                await store.wait_version(configuration.NO_VERSION, 0.0)
            )
        return found

    refused = result.Failure(client.StoreError.REJECTED)
    assert asyncio.run(read())[-1] == refused


INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
BODY = b"x" * 40_000
FINAL = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)


async def _fetch_in_pieces(content: bytes, cuts: list[int]) -> object:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        begin = 0
        for cut in (*sorted(cuts), len(content)):
            writer.write(content[begin:cut])
            await writer.drain()
            await asyncio.sleep(0)
            begin = cut
        writer.close()

    listener = await asyncio.start_server(serve, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    try:
        return await _fetch_from_peer(node.Address(host=HOST, port=port))
    finally:
        listener.close()


# Guards against a bound that breaks sound answers, whatever pieces they come
# in and however many interim responses and empty lines are still allowed.
@hypothesis.settings(max_examples=30, deadline=None)
@hypothesis.given(
    interim=strategies.integers(0, bounded_http.MAX_INTERIM_RESPONSES),
    empty_lines=strategies.integers(0, 5),
    cuts=strategies.lists(strategies.integers(0, 41_000), max_size=6),
)
def test_sound_answers_within_the_bounds_are_read(
    interim: int, empty_lines: int, cuts: list[int]
) -> None:
    content = b"\r\n" * empty_lines + INTERIM * interim + FINAL
    fetched = asyncio.run(_fetch_in_pieces(content, cuts))
    assert fetched == result.Success(BODY)


async def _read_slowly(content: bytes) -> int:
    """Return how much of an answer a reader gets that often pauses."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(content)
            await writer.drain()
            await reader.read()
        writer.close()

    listener = await asyncio.start_server(serve, HOST, 0)
    upstream = _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=1.0
    )
    server = dataclasses.replace(
        builders.build_server(), port=listener.sockets[0].getsockname()[1]
    )
    outgoing = _upstream.OutgoingRequest(
        method="GET",
        target="/",
        headers=multidict.CIMultiDict({"Host": "shop"}),
        body=_bodies.Body(),
    )
    sent = await upstream.send_to_server(outgoing, server, DEADLINE_S)
    reader = sent.unwrap().response.content
    size = 0
    while part := await reader.readany():
        size += len(part)
        await asyncio.sleep(0.01)
    await upstream.close()
    listener.close()
    return size


# Guards against a long answer that is aborted since its reader is slow: what
# waits to be read is no overhead.
@pytest.mark.parametrize(
    "loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop]
)
@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_long_answer_is_read_whole_however_slowly(
    loop_factory: collections.abc.Callable[[], asyncio.AbstractEventLoop],
    is_chunked: bool,
) -> None:
    body = b"x" * 4_000_000
    head = b"Content-Length: %d" % len(body)
    content = body
    if is_chunked:
        head = b"Transfer-Encoding: chunked"
        content = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    answer = b"HTTP/1.1 200 OK\r\n%b\r\n\r\n%b" % (head, content)
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        assert runner.run(_read_slowly(answer)) == len(body)


# Guards against the memory of answers that come on an idle connection.
def test_a_connection_with_an_unrequested_answer_is_closed() -> None:
    closed: list[int] = []
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(0.05)
        with contextlib.suppress(OSError):
            for sent in range(1000):
                closed.append(sent)
                writer.write(answer * 100)
                await writer.drain()
                await asyncio.sleep(0.001)
        writer.transport.abort()

    async def run() -> None:
        listener = await asyncio.start_server(serve, HOST, 0)
        port = listener.sockets[0].getsockname()[1]
        upstream = _upstream.Upstream(
            dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=30.0
        )
        server = dataclasses.replace(builders.build_server(), port=port)
        assert await upstream.probe(server, DEADLINE_S) is not None
        await asyncio.sleep(0.5)
        await upstream.close()
        listener.close()

    asyncio.run(run())
    assert closed
    assert len(closed) < 100
