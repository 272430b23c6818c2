"""Exchanges that are broken off leave the descriptors of others alone.

Guards against MIXED: under the loop that the node uses a connect that was
cancelled closed its descriptor twice, the second time under whatever had been
opened with that number in between, and answers went to other callers.
"""

import asyncio
import collections.abc
import contextlib
import gc
import os
import pathlib
import socket
import time

from aiohttp import connector
from marjoramledge_core import node
from marjoramledge_node import _bodies
from marjoramledge_node import _dialect
from marjoramledge_node import _event_loop
from marjoramledge_node import _headers
from marjoramledge_node import _relay
from marjoramledge_node import _upstream
from marjoramledge_platform import _store
from marjoramledge_standins import builders
from marjoramledge_store import client
import multidict
import pytest

HOST = "127.0.0.1"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
LIMIT_S = 5.0
# An exchange takes about twenty turns of the loop.
MAX_TURNS = 500
KERNEL_S = 0.002
# Turns after a break-off within which all that belongs to it is closed.
TURNS_AFTER = 12
SENTINELS_PER_TURN = 4

Limits = list[asyncio.Timeout]
Exchange = collections.abc.Callable[
    [int], contextlib.AbstractAsyncContextManager[asyncio.Task[None]]
]


class _Server:
    """Answers every request, in the turns that it is given.

    It lives in the test's own thread, so that nothing else in the process
    opens a descriptor at a moment of its own.
    """

    def __init__(self) -> None:
        self._listener = socket.create_server((HOST, 0))
        self._listener.setblocking(False)
        self._accepted: list[socket.socket] = []
        self.port: int = self._listener.getsockname()[1]

    def take_turn(self) -> None:
        """Accept what connects and answer what has come."""
        # The kernel must be done with what was sent, or an exchange takes
        # another number of turns each time.
        time.sleep(KERNEL_S)
        with contextlib.suppress(BlockingIOError):
            accepted, _ = self._listener.accept()
            accepted.setblocking(False)
            self._accepted.append(accepted)
        for accepted in self._accepted:
            with contextlib.suppress(BlockingIOError, ConnectionError):
                if accepted.recv(65536):
                    accepted.sendall(ANSWER)

    def close(self) -> None:
        """Close all sockets."""
        for opened in (*self._accepted, self._listener):
            opened.close()


class _Sentinels:
    """Files that must stay what they are."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._opened: dict[int, int] = {}
        self.lost = 0

    def open_some(self) -> None:
        """Open a few, under the lowest numbers that are free."""
        for _ in range(SENTINELS_PER_TURN):
            path = self._folder / str(len(list(self._folder.iterdir())))
            number = os.open(path, os.O_CREAT | os.O_RDWR)
            self._opened[number] = os.fstat(number).st_ino

    def check(self) -> None:
        """Count those that are no longer there, and forget them."""
        for number, inode in list(self._opened.items()):
            try:
                is_there = os.fstat(number).st_ino == inode
            except OSError:
                is_there = False
            if not is_there:
                self.lost += 1
                del self._opened[number]

    def close(self) -> None:
        """Close those that are still there."""
        self.check()
        for number in self._opened:
            os.close(number)


def _open_upstream() -> _upstream.Upstream:
    return _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=15.0
    )


def _build_outgoing(*, is_repeatable: bool) -> _upstream.OutgoingRequest:
    return _upstream.OutgoingRequest(
        method="GET",
        target="/",
        headers=multidict.CIMultiDict({_headers.ATTEMPT: "c.0"}),
        body=_bodies.Body(),
        is_repeatable=is_repeatable,
    )


async def _read(exchange: _upstream.Exchange) -> None:
    answer = exchange.value_or(None)
    if answer is not None:
        await _relay.read_body_start(answer, "GET")


@contextlib.asynccontextmanager
async def _to_server(
    port: int, *, is_repeatable: bool
) -> collections.abc.AsyncIterator[asyncio.Task[None]]:
    upstream = _open_upstream()

    async def exchange() -> None:
        await _read(
            await upstream.send_to_server(
                _build_outgoing(is_repeatable=is_repeatable),
                builders.build_server(port=port),
                LIMIT_S,
            )
        )

    yield asyncio.create_task(exchange())
    await upstream.close()


def _once(
    port: int,
) -> contextlib.AbstractAsyncContextManager[asyncio.Task[None]]:
    return _to_server(port, is_repeatable=False)


def _repeatable(
    port: int,
) -> contextlib.AbstractAsyncContextManager[asyncio.Task[None]]:
    return _to_server(port, is_repeatable=True)


@contextlib.asynccontextmanager
async def _to_peer(
    port: int,
) -> collections.abc.AsyncIterator[asyncio.Task[None]]:
    upstream = _open_upstream()

    async def exchange() -> None:
        await _read(
            await upstream.send_to_peer(
                _build_outgoing(is_repeatable=True),
                node.Address(host=HOST, port=port),
                LIMIT_S,
            )
        )

    yield asyncio.create_task(exchange())
    await upstream.close()


@contextlib.asynccontextmanager
async def _probe(
    port: int,
) -> collections.abc.AsyncIterator[asyncio.Task[None]]:
    upstream = _open_upstream()

    async def exchange() -> None:
        await upstream.probe(builders.build_server(port=port), LIMIT_S)

    yield asyncio.create_task(exchange())
    await upstream.close()


@contextlib.asynccontextmanager
async def _store_of_the_product(
    port: int,
) -> collections.abc.AsyncIterator[asyncio.Task[None]]:
    store = client.StoreClient(base_url=f"http://{HOST}:{port}")

    async def exchange() -> None:
        await store.read_version()

    yield asyncio.create_task(exchange())
    await store.close()


@contextlib.asynccontextmanager
async def _store_of_the_platform(
    port: int,
) -> collections.abc.AsyncIterator[asyncio.Task[None]]:
    tables = _store.PlatformTables(address=node.Address(host=HOST, port=port))

    async def exchange() -> None:
        await tables.list_rows("members")

    yield asyncio.create_task(exchange())
    await tables.close()


CLIENTS = (
    _once,
    _repeatable,
    _to_peer,
    _probe,
    _store_of_the_product,
    _store_of_the_platform,
)


async def _break_off(
    begin: Exchange, turns: int, folder: pathlib.Path, limits: Limits | None
) -> tuple[bool, int]:
    """Break an exchange off after some turns.

    It is cancelled from outside, or, where ``limits`` are given, by the
    innermost of the time limits that run.

    Returns
    -------
    tuple
        Whether it had completed by itself, and the sentinels lost.
    """
    loop = asyncio.get_running_loop()
    server = _Server()
    sentinels = _Sentinels(folder)
    try:
        async with begin(server.port) as task:
            for _ in range(turns):
                await asyncio.sleep(0)
                server.take_turn()
            is_complete = task.done()
            if limits is None:
                task.cancel()
            elif limits:
                limits[-1].reschedule(loop.time())
            for _ in range(TURNS_AFTER):
                await asyncio.sleep(0)
                sentinels.open_some()
                sentinels.check()
            task.cancel()
            await asyncio.wait([task])
            del task
            gc.collect()
            sentinels.check()
        gc.collect()
        await asyncio.sleep(0)
        sentinels.check()
    finally:
        sentinels.close()
        server.close()
    return is_complete, sentinels.lost


def _find_losses(
    begin: Exchange, folder: pathlib.Path, limits: Limits | None
) -> dict[int, int]:
    """Break exchanges off after every number of turns that one takes.

    Returns
    -------
    dict
        The sentinels lost by the number of turns; none where none was.
    """
    losses: dict[int, int] = {}
    # What is left of an exchange must be collected after its descriptors'
    # numbers were used again, not by chance before.
    gc.collect()
    gc.freeze()
    gc.disable()
    try:
        for turns in range(MAX_TURNS):
            own = folder / str(turns)
            own.mkdir()
            with asyncio.Runner(
                loop_factory=_event_loop.new_event_loop
            ) as runner:
                is_complete, lost = runner.run(
                    _break_off(begin, turns, own, limits)
                )
            if lost:
                losses[turns] = lost
            if is_complete:
                return losses
    finally:
        gc.enable()
        gc.unfreeze()
    raise AssertionError("the exchange never completes")


# Guards against MIXED: a descriptor closed under its owner by a connect that
# was cancelled.
@pytest.mark.parametrize("begin", CLIENTS)
def test_a_connect_broken_off_closes_no_descriptor_of_another(
    begin: Exchange, tmp_path: pathlib.Path
) -> None:
    assert _find_losses(begin, tmp_path, None) == {}


# Guards against MIXED: a descriptor closed under its owner by a connect whose
# own time limit ran out.
@pytest.mark.parametrize("begin", CLIENTS)
def test_a_connect_out_of_time_closes_no_descriptor_of_another(
    begin: Exchange, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    limits: Limits = []
    seen = 0

    @contextlib.asynccontextmanager
    async def limit_connect(
        *_: object, **__: object
    ) -> collections.abc.AsyncIterator[None]:
        nonlocal seen
        seen += 1
        async with asyncio.timeout(None) as limit:
            limits.append(limit)
            try:
                yield
            finally:
                limits.remove(limit)

    monkeypatch.setattr(connector, "ceil_timeout", limit_connect)
    assert _find_losses(begin, tmp_path, limits) == {}
    assert seen, "connects have no time limit of the library any more"
