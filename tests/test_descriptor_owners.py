"""Every descriptor has one owner, no matter when a connect is cancelled.

The tests run on the event loop that ``run_node`` chooses.
"""

import asyncio
import collections.abc
import gc
import os
import pathlib
import socket
import subprocess
import sys
import threading
import time
import typing

from marjoramledge_node import _bodies
from marjoramledge_node import _dialect
from marjoramledge_node import _logs
from marjoramledge_node import _process
from marjoramledge_node import _upstream
from marjoramledge_standins import builders
import multidict
import pytest

HOST = "127.0.0.1"
# More event loop iterations ("turns") than a connect on loopback takes.
ITERATIONS = 24
# The fault occurs at two of the iterations, which vary between rounds.
ROUNDS = 6
# Iterations after the cancellation in which other descriptors are opened.
LATER_ITERATIONS = 8
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 30.0
ROOT = pathlib.Path(__file__).parent.parent

LoopFactory = collections.abc.Callable[[], asyncio.AbstractEventLoop]

CLOSED_BY_ITS_CALLER = """
import asyncio
from tests import test_descriptor_owners

def main():
    patch = test_descriptor_owners.pytest.MonkeyPatch()
    factory = test_descriptor_owners.find_loop_factory(patch)
    patch.undo()
    with asyncio.Runner(loop_factory=factory) as runner:
        runner.run(test_descriptor_owners.close_after_each_turn())

main()
"""


@pytest.fixture
def loop_factory(monkeypatch: pytest.MonkeyPatch) -> LoopFactory:
    """Return the factory of the event loop of a node."""
    with monkeypatch.context() as patch:
        return find_loop_factory(patch)


def find_loop_factory(patch: pytest.MonkeyPatch) -> LoopFactory:
    """Return the loop factory that ``run_node`` passes to its runner."""
    factories: list[LoopFactory] = []

    class _Runner:
        def __init__(self, *, loop_factory: LoopFactory) -> None:
            factories.append(loop_factory)

        def __enter__(self) -> "_Runner":
            return self

        def __exit__(self, *_: object) -> None:
            pass

        def run(self, main: collections.abc.Coroutine[None, None, int]) -> int:
            main.close()
            return 0

    patch.setattr(_logs, "configure_logs", lambda _options: None)
    patch.setattr(asyncio, "Runner", _Runner)
    unused: typing.Any = None
    _process.run_node(unused, unused)
    (factory,) = factories
    return factory


class _Sentinels:
    """Descriptors that must not be closed by other code."""

    def __init__(self) -> None:
        self._opened: list[tuple[int, int]] = []

    def open(self) -> None:
        """Open a file under the lowest free descriptor number."""
        descriptor = os.memfd_create("sentinel")
        self._opened.append((descriptor, os.fstat(descriptor).st_ino))

    def close(self) -> int:
        """Close the files; return how many were already closed."""
        lost = 0
        for descriptor, inode in self._opened:
            try:
                if os.fstat(descriptor).st_ino == inode:
                    os.close(descriptor)
                    continue
            except OSError:
                pass
            lost += 1
        return lost


class _Server:
    """Accepts every connection, then sends data, closes it or keeps it."""

    def __init__(self, *, says: bytes = b"", is_closing: bool = False) -> None:
        self._says = says
        self._is_closing = is_closing
        self._accepted: list[socket.socket] = []
        self._listener = socket.create_server((HOST, 0), backlog=512)
        self.port: int = self._listener.getsockname()[1]
        self.accepted_count = 0
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.accepted_count += 1
            if self._says:
                connection.sendall(self._says)
            if self._is_closing:
                connection.close()
            else:
                self._accepted.append(connection)

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


async def _send(
    upstream: _upstream.Upstream, port: int, *, is_repeatable: bool
) -> _upstream.SendResult:
    return await upstream.send_to_server(
        _upstream.OutgoingRequest(
            method="GET",
            target="/",
            headers=multidict.CIMultiDict(),
            body=_bodies.Body(),
            is_repeatable=is_repeatable,
        ),
        builders.build_server(port=port),
        HANG_TIMEOUT_S,
    )


def _build_upstream() -> _upstream.Upstream:
    return _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=15.0
    )


def _connect_socket(port: int) -> socket.socket:
    connected = socket.create_connection((HOST, port))
    connected.setblocking(False)
    return connected


async def _open_in_each_iteration(sentinels: _Sentinels) -> None:
    for _ in range(LATER_ITERATIONS):
        await asyncio.sleep(0)
        sentinels.open()
        gc.collect()


async def _cancel_at_each_iteration(port: int, *, is_repeatable: bool) -> int:
    """Cancel a request after 0, 1, ... iterations; count lost sentinels."""
    upstream = _build_upstream()
    lost = 0
    for turns in ROUNDS * tuple(range(ITERATIONS)):
        sentinels = _Sentinels()
        task = asyncio.create_task(
            _send(upstream, port, is_repeatable=is_repeatable)
        )
        for _ in range(turns):
            await asyncio.sleep(0)
        task.cancel()
        await _open_in_each_iteration(sentinels)
        del task
        gc.collect()
        lost += sentinels.close()
    await upstream.close()
    return lost


# Guards against answers to the wrong caller: a cancelled connect closes its
# descriptor twice, the second time when the number may already belong to
# another connection (issue 24).
@pytest.mark.parametrize("is_repeatable", [False, True])
def test_a_request_cancelled_at_any_time_closes_only_its_descriptor(
    loop_factory: LoopFactory, is_repeatable: bool
) -> None:
    server = _Server()
    gc.collect()
    gc.freeze()
    try:
        with asyncio.Runner(loop_factory=loop_factory) as runner:
            lost = runner.run(
                _cancel_at_each_iteration(
                    server.port, is_repeatable=is_repeatable
                )
            )
    finally:
        gc.unfreeze()
        server.close()
    assert lost == 0


async def _transfer_socket(port: int) -> None:
    connected = _connect_socket(port)
    await asyncio.get_running_loop().create_connection(
        asyncio.Protocol, sock=connected
    )


async def _continue_when_cancelled(sentinels: _Sentinels) -> None:
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        await _open_in_each_iteration(sentinels)


async def _return_after(port: int, turns: int, sentinels: _Sentinels) -> None:
    """Return during the transfer of a socket; the runner cancels the tasks."""
    tasks = [
        asyncio.create_task(_continue_when_cancelled(sentinels)),
        asyncio.create_task(_transfer_socket(port)),
    ]
    for _ in range(turns):
        await asyncio.sleep(0)
    del tasks


# Guards against a double close at the end of the loop: the runner cancels
# every task, also one that transfers a socket for another task and is
# otherwise never cancelled, while other tasks still write and close.
@pytest.mark.parametrize("turns", range(6))
def test_the_end_of_the_event_loop_closes_descriptors_once(
    loop_factory: LoopFactory, turns: int
) -> None:
    server = _Server()
    sentinels = _Sentinels()
    try:
        with asyncio.Runner(loop_factory=loop_factory) as runner:
            runner.run(_return_after(server.port, turns, sentinels))
        gc.collect()
    finally:
        lost = sentinels.close()
        server.close()
    assert lost == 0


async def close_after_each_turn() -> None:
    """Cancel a transfer after 0, 1, ... iterations and close the socket."""
    loop = asyncio.get_running_loop()
    server = _Server()

    async def transfer_socket() -> None:
        connected = _connect_socket(server.port)
        try:
            transport, _ = await loop.create_connection(
                asyncio.Protocol, sock=connected
            )
        except asyncio.CancelledError:
            connected.close()
            raise
        transport.abort()

    for turns in range(LATER_ITERATIONS):
        task = asyncio.create_task(transfer_socket())
        for _ in range(turns):
            await asyncio.sleep(0)
        task.cancel()
        for _ in range(LATER_ITERATIONS):
            await asyncio.sleep(0)
        if not task.cancelled():
            await task


# Guards against a failed close or an abort of the process: a caller that is
# cancelled during the transfer closes the socket object, which it still holds,
# while the transfer continues.
def test_a_cancelled_caller_may_close_the_socket_it_transferred() -> None:
    process = subprocess.run(
        [sys.executable, "-c", CLOSED_BY_ITS_CALLER],
        capture_output=True,
        text=True,
        timeout=HANG_TIMEOUT_S,
        cwd=ROOT,
        check=False,
    )
    assert (process.returncode, process.stderr) == (0, "")


async def _count_connects(server: _Server) -> list[int]:
    """Send requests on a slow event loop; return the connects of each."""
    loop = asyncio.get_running_loop()
    upstream = _build_upstream()
    counts = []
    is_finished = False

    def delay_loop() -> None:
        time.sleep(0.002)
        if not is_finished:
            loop.call_soon(delay_loop)

    loop.call_soon(delay_loop)
    for _ in range(5):
        before = server.accepted_count
        task = asyncio.create_task(
            _send(upstream, server.port, is_repeatable=False)
        )
        for _ in range(10 * ITERATIONS):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        counts.append(server.accepted_count - before)
    is_finished = True
    await upstream.close()
    return counts


# Guards against unlimited connects for one request: a server closes each
# connection at once, or sends data first, so that each connection is found
# unusable before the request is sent.
@pytest.mark.parametrize(
    ("says", "is_closing"),
    [
        (b"", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", False),
    ],
    ids=["closes", "speaks-first"],
)
def test_one_request_connects_a_limited_number_of_times(
    loop_factory: LoopFactory, says: bytes, is_closing: bool
) -> None:
    server = _Server(says=says, is_closing=is_closing)
    try:
        with asyncio.Runner(loop_factory=loop_factory) as runner:
            counts = runner.run(_count_connects(server))
    finally:
        server.close()
    assert max(counts) <= 2
