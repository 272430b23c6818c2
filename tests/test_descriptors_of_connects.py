"""Cancelled exchanges close no descriptor that they do not own.

On the node's event loop, a cancelled connect closed its descriptor twice.  The
second close hit whatever had been opened with that number in between, and
answers went to other callers.
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
TIMEOUT_S = 5.0
# An exchange takes about twenty iterations of the event loop.
MAX_ITERATIONS = 500
DELIVERY_S = 0.002
# Iterations after a cancellation within which its resources are closed.
ITERATIONS_AFTER = 12
SENTINELS_PER_ITERATION = 4

Limits = list[asyncio.Timeout]
Exchange = collections.abc.Callable[
    [int], contextlib.AbstractAsyncContextManager[asyncio.Task[None]]
]


class _Server:
    """Answers every request when ``take_turn`` is called.

    It runs in the thread of the test, so that nothing else in the process
    opens descriptors at arbitrary moments.
    """

    def __init__(self) -> None:
        self._listener = socket.create_server((HOST, 0))
        self._listener.setblocking(False)
        self._accepted: list[socket.socket] = []
        self.port: int = self._listener.getsockname()[1]

    def take_turn(self) -> None:
        """Accept pending connections and answer pending requests."""
        # The kernel must have delivered the data, or the number of iterations
        # of an exchange varies.
        time.sleep(DELIVERY_S)
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
        for sock in (*self._accepted, self._listener):
            sock.close()


class _Sentinels:
    """Open files whose descriptors must not be closed by other code."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._opened: dict[int, int] = {}
        self.lost = 0

    def open_some(self) -> None:
        """Open a few files under the lowest free descriptor numbers."""
        for _ in range(SENTINELS_PER_ITERATION):
            path = self._folder / str(len(list(self._folder.iterdir())))
            descriptor = os.open(path, os.O_CREAT | os.O_RDWR)
            self._opened[descriptor] = os.fstat(descriptor).st_ino

    def check(self) -> None:
        """Count and remove descriptors that no longer refer to their file."""
        for descriptor, inode in list(self._opened.items()):
            try:
                is_intact = os.fstat(descriptor).st_ino == inode
            except OSError:
                is_intact = False
            if not is_intact:
                self.lost += 1
                del self._opened[descriptor]

    def close(self) -> None:
        """Close the remaining files."""
        self.check()
        for descriptor in self._opened:
            os.close(descriptor)


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


async def _read(exchange: _upstream.SendResult) -> None:
    answer = exchange.value_or(None)
    if answer is not None:
        await _relay.read_body_start(answer, "GET")


@contextlib.asynccontextmanager
async def _exchange_with_server(
    port: int, *, is_repeatable: bool
) -> collections.abc.AsyncIterator[asyncio.Task[None]]:
    upstream = _open_upstream()

    async def exchange() -> None:
        await _read(
            await upstream.send_to_server(
                _build_outgoing(is_repeatable=is_repeatable),
                builders.build_server(port=port),
                TIMEOUT_S,
            )
        )

    yield asyncio.create_task(exchange())
    await upstream.close()


def _send_non_idempotent(
    port: int,
) -> contextlib.AbstractAsyncContextManager[asyncio.Task[None]]:
    return _exchange_with_server(port, is_repeatable=False)


def _send_idempotent(
    port: int,
) -> contextlib.AbstractAsyncContextManager[asyncio.Task[None]]:
    return _exchange_with_server(port, is_repeatable=True)


@contextlib.asynccontextmanager
async def _exchange_with_peer(
    port: int,
) -> collections.abc.AsyncIterator[asyncio.Task[None]]:
    upstream = _open_upstream()

    async def exchange() -> None:
        await _read(
            await upstream.send_to_peer(
                _build_outgoing(is_repeatable=True),
                node.Address(host=HOST, port=port),
                TIMEOUT_S,
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
        await upstream.probe(builders.build_server(port=port), TIMEOUT_S)

    yield asyncio.create_task(exchange())
    await upstream.close()


@contextlib.asynccontextmanager
async def _read_product_store(
    port: int,
) -> collections.abc.AsyncIterator[asyncio.Task[None]]:
    store = client.StoreClient(base_url=f"http://{HOST}:{port}")

    async def exchange() -> None:
        await store.read_version()

    yield asyncio.create_task(exchange())
    await store.close()


@contextlib.asynccontextmanager
async def _read_platform_store(
    port: int,
) -> collections.abc.AsyncIterator[asyncio.Task[None]]:
    tables = _store.PlatformTables(address=node.Address(host=HOST, port=port))

    async def exchange() -> None:
        await tables.list_rows("members")

    yield asyncio.create_task(exchange())
    await tables.close()


CLIENTS = (
    _send_non_idempotent,
    _send_idempotent,
    _exchange_with_peer,
    _probe,
    _read_product_store,
    _read_platform_store,
)


async def _cancel_exchange(
    begin: Exchange,
    iterations: int,
    folder: pathlib.Path,
    limits: Limits | None,
) -> tuple[bool, int]:
    """Cancel an exchange after some event loop iterations.

    The task is cancelled directly or, if ``limits`` is given, by the innermost
    active timeout.

    Returns
    -------
    tuple
        Whether the exchange had completed before, and the number of lost
        sentinels.
    """
    loop = asyncio.get_running_loop()
    server = _Server()
    sentinels = _Sentinels(folder)
    try:
        async with begin(server.port) as task:
            for _ in range(iterations):
                await asyncio.sleep(0)
                server.take_turn()
            is_complete = task.done()
            if limits is None:
                task.cancel()
            elif limits:
                limits[-1].reschedule(loop.time())
            for _ in range(ITERATIONS_AFTER):
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
    """Cancel an exchange after 0, 1, ... iterations until it completes.

    Returns
    -------
    dict
        Number of lost sentinels by number of iterations, without zeros.
    """
    losses: dict[int, int] = {}
    # The garbage of an exchange must be collected only after the numbers of
    # its descriptors were reused.
    gc.collect()
    gc.freeze()
    gc.disable()
    try:
        for iterations in range(MAX_ITERATIONS):
            subfolder = folder / str(iterations)
            subfolder.mkdir()
            with asyncio.Runner(
                loop_factory=_event_loop.new_event_loop
            ) as runner:
                is_complete, lost = runner.run(
                    _cancel_exchange(begin, iterations, subfolder, limits)
                )
            if lost:
                losses[iterations] = lost
            if is_complete:
                return losses
    finally:
        gc.enable()
        gc.unfreeze()
    raise AssertionError("the exchange did not complete")


# Guards against a cancelled connect that closes a descriptor of another owner.
@pytest.mark.parametrize("begin", CLIENTS)
def test_a_cancelled_connect_closes_no_descriptor_of_another(
    begin: Exchange, tmp_path: pathlib.Path
) -> None:
    assert _find_losses(begin, tmp_path, None) == {}


# Guards against a timed out connect that closes a descriptor of another owner.
@pytest.mark.parametrize("begin", CLIENTS)
def test_a_timed_out_connect_closes_no_descriptor_of_another(
    begin: Exchange, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    limits: Limits = []
    connect_count = 0

    @contextlib.asynccontextmanager
    async def limit_connect(
        *_: object, **__: object
    ) -> collections.abc.AsyncIterator[None]:
        nonlocal connect_count
        connect_count += 1
        async with asyncio.timeout(None) as limit:
            limits.append(limit)
            try:
                yield
            finally:
                limits.remove(limit)

    monkeypatch.setattr(connector, "ceil_timeout", limit_connect)
    assert _find_losses(begin, tmp_path, limits) == {}
    assert connect_count, "the library no longer limits the time of connects"
