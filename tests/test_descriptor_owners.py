"""Every descriptor has one owner, whatever breaks a connect off and when.

The tests run on the event loop that the node runs on, whichever that is.
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
# A connect on loopback takes fewer turns of the loop.
TURNS = 24
# The turns that harm are two of them, and not always the same two.
ROUNDS = 6
# Turns in which another owner may open a descriptor after that.
LATER_TURNS = 8
# Ends a test that would never end; no promise is read from it.
HANG_S = 30.0
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
    """Find the factory of the loop that a node runs on."""
    with monkeypatch.context() as patch:
        return find_loop_factory(patch)


def find_loop_factory(patch: pytest.MonkeyPatch) -> LoopFactory:
    """Find what ``run_node`` gives its runner."""
    found: list[LoopFactory] = []

    class _Runner:
        def __init__(self, *, loop_factory: LoopFactory) -> None:
            found.append(loop_factory)

        def __enter__(self) -> "_Runner":
            return self

        def __exit__(self, *_: object) -> None:
            pass

        def run(self, main: collections.abc.Coroutine[None, None, int]) -> int:
            main.close()
            return 0

    patch.setattr(_logs, "configure_logs", lambda _options: None)
    patch.setattr(asyncio, "Runner", _Runner)
    nothing: typing.Any = None
    _process.run_node(nothing, nothing)
    (factory,) = found
    return factory


class _Sentinels:
    """Descriptors that nobody else may close."""

    def __init__(self) -> None:
        self._opened: list[tuple[int, int]] = []

    def open(self) -> None:
        """Open one under the lowest number that is free."""
        number = os.memfd_create("sentinel")
        self._opened.append((number, os.fstat(number).st_ino))

    def close(self) -> int:
        """Close them; return how many were closed by others already."""
        lost = 0
        for number, inode in self._opened:
            try:
                if os.fstat(number).st_ino == inode:
                    os.close(number)
                    continue
            except OSError:
                pass
            lost += 1
        return lost


class _Server:
    """Takes every connection; says or does one thing at once."""

    def __init__(self, *, says: bytes = b"", is_closing: bool = False) -> None:
        self._says = says
        self._is_closing = is_closing
        self._kept: list[socket.socket] = []
        self._listener = socket.create_server((HOST, 0), backlog=512)
        self.port: int = self._listener.getsockname()[1]
        self.taken = 0
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                taken, _ = self._listener.accept()
            except OSError:
                return
            self.taken += 1
            if self._says:
                taken.sendall(self._says)
            if self._is_closing:
                taken.close()
            else:
                self._kept.append(taken)

    def close(self) -> None:
        """Take no more connections."""
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
        HANG_S,
    )


def _make_upstream() -> _upstream.Upstream:
    return _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=15.0
    )


def _connect_socket(port: int) -> socket.socket:
    connected = socket.create_connection((HOST, port))
    connected.setblocking(False)
    return connected


async def _open_in_each_turn(sentinels: _Sentinels) -> None:
    for _ in range(LATER_TURNS):
        await asyncio.sleep(0)
        sentinels.open()
        gc.collect()


async def _break_off_at_each_turn(port: int, *, is_repeatable: bool) -> int:
    """Break a request off after 0, 1, ... turns; count what was lost."""
    upstream = _make_upstream()
    lost = 0
    for turns in ROUNDS * tuple(range(TURNS)):
        sentinels = _Sentinels()
        task = asyncio.create_task(
            _send(upstream, port, is_repeatable=is_repeatable)
        )
        for _ in range(turns):
            await asyncio.sleep(0)
        task.cancel()
        await _open_in_each_turn(sentinels)
        del task
        gc.collect()
        lost += sentinels.close()
    await upstream.close()
    return lost


# Guards against: a connect that is broken off closes its descriptor twice, so
# that a descriptor opened in between is closed under its owner and answers
# reach callers that they don't belong to (MIXED; issue 24).
@pytest.mark.parametrize("is_repeatable", [False, True])
def test_a_request_broken_off_at_any_turn_closes_only_its_own_descriptor(
    loop_factory: LoopFactory, is_repeatable: bool
) -> None:
    server = _Server()
    gc.collect()
    gc.freeze()
    try:
        with asyncio.Runner(loop_factory=loop_factory) as runner:
            lost = runner.run(
                _break_off_at_each_turn(
                    server.port, is_repeatable=is_repeatable
                )
            )
    finally:
        gc.unfreeze()
        server.close()
    assert lost == 0


async def _hand_over(port: int) -> None:
    connected = _connect_socket(port)
    await asyncio.get_running_loop().create_connection(
        asyncio.Protocol, sock=connected
    )


async def _go_on_when_cancelled(sentinels: _Sentinels) -> None:
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        await _open_in_each_turn(sentinels)


async def _end_after(port: int, turns: int, sentinels: _Sentinels) -> None:
    """End while a socket is handed over; the runner cancels what is left."""
    tasks = [
        asyncio.create_task(_go_on_when_cancelled(sentinels)),
        asyncio.create_task(_hand_over(port)),
    ]
    for _ in range(turns):
        await asyncio.sleep(0)
    del tasks


# Guards against: at its end the runner cancels every task, also one that
# hands a socket over on behalf of another and that nothing else can cancel;
# the descriptor is closed twice while other tasks still write and close.
@pytest.mark.parametrize("turns", range(6))
def test_the_end_of_the_loop_closes_every_descriptor_once(
    loop_factory: LoopFactory, turns: int
) -> None:
    server = _Server()
    sentinels = _Sentinels()
    try:
        with asyncio.Runner(loop_factory=loop_factory) as runner:
            runner.run(_end_after(server.port, turns, sentinels))
        gc.collect()
    finally:
        lost = sentinels.close()
        server.close()
    assert lost == 0


async def close_after_each_turn() -> None:
    """Break a hand-over off after 0, 1, ... turns and close the socket."""
    loop = asyncio.get_running_loop()
    server = _Server()

    async def hand_over() -> None:
        connected = _connect_socket(server.port)
        try:
            transport, _ = await loop.create_connection(
                asyncio.Protocol, sock=connected
            )
        except asyncio.CancelledError:
            connected.close()
            raise
        transport.abort()

    for turns in range(LATER_TURNS):
        task = asyncio.create_task(hand_over())
        for _ in range(turns):
            await asyncio.sleep(0)
        task.cancel()
        for _ in range(LATER_TURNS):
            await asyncio.sleep(0)
        if not task.cancelled():
            await task


# Guards against: who gave a socket away and was cancelled closes the object,
# which it still holds, while the hand-over goes on without it: the close
# failed, or the process aborted.
def test_a_socket_closed_by_its_caller_after_a_cancellation_does_no_harm() -> (
    None
):
    ended = subprocess.run(
        [sys.executable, "-c", CLOSED_BY_ITS_CALLER],
        capture_output=True,
        text=True,
        timeout=HANG_S,
        cwd=ROOT,
        check=False,
    )
    assert (ended.returncode, ended.stderr) == (0, "")


async def _count_connects(server: _Server) -> list[int]:
    """Send requests over a loop that is late; count each one's connects."""
    loop = asyncio.get_running_loop()
    upstream = _make_upstream()
    counts = []
    is_over = False

    def be_late() -> None:
        time.sleep(0.002)
        if not is_over:
            loop.call_soon(be_late)

    loop.call_soon(be_late)
    for _ in range(5):
        before = server.taken
        task = asyncio.create_task(
            _send(upstream, server.port, is_repeatable=False)
        )
        for _ in range(10 * TURNS):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        counts.append(server.taken - before)
    is_over = True
    await upstream.close()
    return counts


# Guards against: a server that closes each connection at once, or speaks
# first, is connected to without end for one request, since each connection is
# found unfit before it is handed out.
@pytest.mark.parametrize(
    ("says", "is_closing"),
    [
        (b"", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", False),
    ],
    ids=["closes", "speaks-first"],
)
def test_one_request_does_not_connect_without_end(
    loop_factory: LoopFactory, says: bytes, is_closing: bool
) -> None:
    server = _Server(says=says, is_closing=is_closing)
    try:
        with asyncio.Runner(loop_factory=loop_factory) as runner:
            counts = runner.run(_count_connects(server))
    finally:
        server.close()
    assert max(counts) <= 2
