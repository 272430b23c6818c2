"""What stays in use of work that somebody gave up, over real sockets.

A node and a backend server's stand-in share one event loop, so that what the
gate believes to run can be compared with what the server runs.
"""

import asyncio
import collections.abc
import contextlib
import errno
import random
import socket
import time
import typing

from aiohttp import web
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _auth
from marjoramledge_node import _bodies
from marjoramledge_node import _caller_port
from marjoramledge_node import _connections
from marjoramledge_node import _counts
from marjoramledge_node import _dialect
from marjoramledge_node import _engine
from marjoramledge_node import _headers
from marjoramledge_node import _peer_port
from marjoramledge_node import _upstream
from marjoramledge_standins import builders
from marjoramledge_standins import deployment
import multidict
import pytest
from returns import result
import uvloop

HOST = "127.0.0.1"
KEYS = _auth.parse_keys(deployment.KEYS).unwrap()
# Only ends what would otherwise never end.
LOOK_S = 0.005
MAX_LOOKS = 600
CONNECT_S = 0.05
# What uvloop raises where a descriptor has another owner by now, and what the
# system says of one that was closed or can't be had.
USED = RuntimeError("File descriptor 24 is used by transport")
OWN_FAULTS = (
    OSError(errno.EBADF, "Bad file descriptor"),
    OSError(errno.EMFILE, "Too many open files"),
)


class _Clock:
    """A clock that stands still until it is put ahead."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        """Read the clock."""
        return self.now


class _Server:
    """Stand-in that counts what it runs; each run ends when one may."""

    def __init__(self) -> None:
        self.running = 0
        self.ends = asyncio.Semaphore(0)

    async def serve(self, _request: web.BaseRequest) -> web.Response:
        """Serve one request."""
        self.running += 1
        try:
            await self.ends.acquire()
        finally:
            self.running -= 1
        return web.Response(body=b"whole")


class _Node:
    """A node's engine and ports, without store, peers and processes."""

    def __init__(
        self, *, clock: collections.abc.Callable[[], float] | None = None
    ) -> None:
        now = clock or asyncio.get_running_loop().time
        self.address = node.Address(
            host=HOST, port=deployment.find_free_port(HOST)
        )
        self.engine = _engine.Engine(
            state=node.create_state(
                identity=node.Identity(
                    node=ids.NodeId("n0"),
                    address=self.address,
                    zone=ids.ZoneName("north"),
                    incarnation=1,
                ),
                seeds=(),
                options=node.Options(stop_limit_s=30.0),
                now=now(),
            ),
            rng=random.Random(1),
            clock=now,
        )
        for command in (
            node.FetchManifest,
            node.ProbeServer,
            node.ReadVersion,
            node.RegisterMember,
            node.SendMessage,
            node.SyncMembers,
            node.WriteRecord,
        ):
            self.engine.connect(command, lambda _command: None)
        self.upstream = _upstream.Upstream(
            dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=15.0
        )
        self.callers = _caller_port.make_server(
            _caller_port.CallerPort(
                engine=self.engine,
                upstream=self.upstream,
                keys=KEYS,
                stamper=_auth.Stamper(run="r-"),
                call_prefix="r-",
                dialect=_dialect.DEFAULT_DIALECT,
                caller_service="",
                counts=_counts.Counts(),
            )
        )
        self.peers = _peer_port.make_server(
            _peer_port.PeerPort(
                engine=self.engine,
                upstream=self.upstream,
                keys=KEYS,
                guard=node.ReplayGuard(),
                handle_document_request=_find_nothing,
                counts=_counts.Counts(),
            )
        )

    @property
    def running(self) -> int:
        """What the gate believes to run at the server."""
        return self.engine.state.gate.running

    def announce(self, port: int, slots: int) -> None:
        """Put a configuration in force and a server behind the gate."""
        self.engine.submit(
            node.ManifestFetched(
                ref=builders.build_ref(1),
                configuration=builders.build_configuration(),
            )
        )
        self.engine.submit(
            node.ServerAnnounced(
                server=builders.build_server(port=port, slots=slots)
            )
        )


async def _find_nothing(
    _method: str, _target: str, _body: bytes
) -> bytes | None:
    return None


async def _listen(server: web.Server, port: int = 0) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    return await loop.create_server(server, HOST, port)


def _port_of(server: asyncio.Server) -> int:
    return int(server.sockets[0].getsockname()[1])


@contextlib.asynccontextmanager
async def _started(
    started: _Node, server: _Server, *, slots: int = 4
) -> collections.abc.AsyncIterator[int]:
    """Open the ports of a node and its server; yield that of the callers."""
    behind = web.Server(server.serve, handler_cancellation=True)
    listeners = [
        await _listen(started.callers),
        await _listen(started.peers, started.address.port),
        await _listen(behind),
    ]
    started.announce(_port_of(listeners[2]), slots)
    try:
        yield _port_of(listeners[0])
    finally:
        started.engine.stop()
        for listener in listeners:
            listener.close()
        for handler in (started.callers, started.peers, behind):
            await handler.shutdown(timeout=0.1)
        await started.upstream.close()


async def _ask(port: int, *, deadline_ms: int = 4000) -> bytes:
    """Make one call; return the first line of its answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(
        b"GET /pages/1 HTTP/1.1\r\nHost: shop.example\r\n"
        b"Marjoramledge-Deadline-Ms: %d\r\n\r\n" % deadline_ms
    )
    try:
        return await reader.readline()
    finally:
        writer.close()


async def _wait_until(
    is_so: collections.abc.Callable[[], bool],
) -> None:
    """Wait for a condition, but not for ever."""
    for _ in range(MAX_LOOKS):
        if is_so():
            return
        await asyncio.sleep(LOOK_S)


def _refuse_sockets(monkeypatch: pytest.MonkeyPatch, error: Exception) -> None:
    """Let every connecting of the node fail before it reaches anybody."""

    def fail(_address: object) -> socket.socket:
        raise error

    monkeypatch.setattr(_connections, "_open_socket", fail)


def _run(
    test: collections.abc.Coroutine[typing.Any, typing.Any, None],
) -> None:
    asyncio.run(test)


# Guards against a slot that stays in use for ever when the sending to the own
# server ends in an error that is neither the library's nor the system's.
def test_a_run_that_ends_in_an_unknown_error_frees_its_slot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        _refuse_sockets(monkeypatch, USED)
        started = _Node()
        async with _started(started, _Server()) as port:
            await _ask(port)
            assert not started.engine.state.calls
            assert started.running == 0

    _run(play())


# Guards against an attempt that ends without the core's hearing of it: a
# hedge that failed so keeps its call waiting until the deadline.
def test_an_error_of_the_event_loop_is_a_fault_of_the_exchange(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        _refuse_sockets(monkeypatch, USED)
        started = _Node()
        try:
            exchange = await started.upstream.send_to_peer(
                _upstream.OutgoingRequest(
                    method="GET",
                    target="/pages/1",
                    headers=multidict.CIMultiDict({_headers.ATTEMPT: "c.0"}),
                    body=_bodies.Body(),
                ),
                started.address,
                1.0,
            )
        finally:
            await started.upstream.close()
        assert isinstance(exchange, result.Failure)

    _run(play())


# Guards against a server that is taken out of the fleet, and its requests
# suspected of its death, for an error on this side of the connection.
@pytest.mark.parametrize(
    "error", OWN_FAULTS, ids=lambda error: errno.errorcode[error.errno]
)
def test_an_own_fault_at_connecting_does_not_take_the_server_out(
    error: OSError, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        _refuse_sockets(monkeypatch, error)
        started = _Node()
        async with _started(started, _Server()) as port:
            await _ask(port)
            assert started.engine.state.gate.accepts_work

    _run(play())


# Guards against a standstill of this process that is taken for a server that
# can't be reached: connecting was over in time, only nobody looked.
@pytest.mark.parametrize("loop", ["asyncio", "uvloop"])
def test_an_own_standstill_does_not_take_the_server_out(
    loop: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_upstream, "CONNECT_TIMEOUT_S", CONNECT_S)
    open_socket = _connections._open_socket

    def open_and_stand_still(
        address: tuple[
            int | socket.AddressFamily,
            int | socket.SocketKind,
            int,
            str,
            tuple[typing.Any, ...],
        ],
    ) -> socket.socket:
        asyncio.get_running_loop().call_soon(time.sleep, 2 * CONNECT_S)
        return open_socket(address)

    monkeypatch.setattr(_connections, "_open_socket", open_and_stand_still)

    async def play() -> None:
        started = _Node()
        server = _Server()
        server.ends.release()
        async with _started(started, server) as port:
            await _ask(port)
            assert started.engine.state.gate.accepts_work

    factory = uvloop.new_event_loop if loop == "uvloop" else None
    with asyncio.Runner(loop_factory=factory) as runner:
        runner.run(play())


# Guards against a call that is let in and out of time in one turn of the
# loop: the word to break it off came before anybody could hear it, so that
# its caller waits for a server that may never answer.
def test_a_call_let_in_as_its_deadline_passes_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        clock = _Clock()
        started = _Node(clock=clock)
        server = _Server()
        submit = started.engine.submit

        def submit_late(event: node.Event) -> None:
            submit(event)
            if isinstance(event, node.WorkEnded):
                clock.now += 1.0
                submit(node.TimePassed())

        monkeypatch.setattr(started.engine, "submit", submit_late)
        async with _started(started, server, slots=1) as port:
            first = asyncio.create_task(_ask(port))
            await _wait_until(lambda: server.running == 1)
            second = asyncio.create_task(_ask(port, deadline_ms=900))
            await _wait_until(lambda: started.engine.state.gate.queued == 1)
            server.ends.release()
            await _wait_until(second.done)
            is_answered = second.done()
            server.ends.release()
            await asyncio.gather(first, second)
            assert is_answered

    _run(play())


# Guards against a slot that a run keeps beyond its deadline because the node
# that sent it can no longer say that it has given up.
def test_a_run_whose_entry_is_cut_off_ends_at_its_deadline() -> None:
    async def play() -> None:
        started = _Node()
        server = _Server()
        async with _started(started, server):
            offer = asyncio.create_task(_offer(started, deadline_s=0.1))
            await _wait_until(lambda: server.running == 1)
            await _wait_until(lambda: started.running == 0)
            running = started.running
            server.ends.release()
            await offer
            assert running == 0

    _run(play())


async def _offer(started: _Node, *, deadline_s: float) -> _upstream.SendResult:
    """Offer a call to a node's gate as a peer does that is then cut off."""
    stamp = _auth.Stamper(run="p-").stamp()
    signed = _auth.signed_message_content(
        stamp,
        started.address,
        _auth.signed_request_content("GET", "/pages/1", "c.0 ", b""),
    )
    return await started.upstream.send_to_peer(
        _upstream.OutgoingRequest(
            method="GET",
            target="/pages/1",
            headers=multidict.CIMultiDict(
                {
                    "Host": "shop.example",
                    _headers.ATTEMPT: "c.0",
                    _headers.STAMP: str(stamp),
                    _headers.AUTH: KEYS.sign_header(signed),
                }
            ),
            body=_bodies.Body(),
        ),
        started.address,
        deadline_s,
    )
