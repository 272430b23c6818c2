"""Slots and calls of abandoned requests, over real sockets.

A node and a simulated backend server share one event loop, so that the number
of running requests at the gate can be compared with that at the server.
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
# Polling interval and count; they only end a hanging wait.
POLL_INTERVAL_S = 0.005
MAX_POLLS = 600
SHORT_CONNECT_TIMEOUT_S = 0.05
# Raised by uvloop for a descriptor that belongs to another transport, and by
# the operating system for one that is closed or can't be allocated.
USED_DESCRIPTOR = RuntimeError("File descriptor 24 is used by transport")
LOCAL_ERRORS = (
    OSError(errno.EBADF, "Bad file descriptor"),
    OSError(errno.EMFILE, "Too many open files"),
)


class _Clock:
    """A clock that is advanced only by assignment."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


class _Server:
    """Counts running requests; each ends after a release of ``ends``."""

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
    """Engine and ports of a node, without a store, peers or processes."""

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
        """Number of requests that run at the server according to the gate."""
        return self.engine.state.gate.running

    def announce(self, port: int, slots: int) -> None:
        """Apply a configuration and announce a server."""
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
async def _serving_node(
    local_node: _Node, server: _Server, *, slots: int = 4
) -> collections.abc.AsyncIterator[int]:
    """Open the ports of a node and a server; yield the callers' port."""
    backend = web.Server(server.serve, handler_cancellation=True)
    listeners = [
        await _listen(local_node.callers),
        await _listen(local_node.peers, local_node.address.port),
        await _listen(backend),
    ]
    local_node.announce(_port_of(listeners[2]), slots)
    try:
        yield _port_of(listeners[0])
    finally:
        local_node.engine.stop()
        for listener in listeners:
            listener.close()
        for handler in (local_node.callers, local_node.peers, backend):
            await handler.shutdown(timeout=0.1)
        await local_node.upstream.close()


async def _call(port: int, *, deadline_ms: int = 4000) -> bytes:
    """Make one call; return the status line of its answer."""
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
    condition: collections.abc.Callable[[], bool],
) -> None:
    """Wait for a condition for a limited time."""
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)


def _refuse_sockets(monkeypatch: pytest.MonkeyPatch, error: Exception) -> None:
    """Make every connect of the node fail locally."""

    def fail(_address: object) -> socket.socket:
        raise error

    monkeypatch.setattr(_connections, "_open_socket", fail)


def _run(
    test: collections.abc.Coroutine[typing.Any, typing.Any, None],
) -> None:
    asyncio.run(test)


# Guards against a leaked slot: sending to the local server fails with an error
# that neither the HTTP library nor the operating system defines.
def test_a_request_that_fails_with_an_unknown_error_frees_its_slot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run_test() -> None:
        _refuse_sockets(monkeypatch, USED_DESCRIPTOR)
        local_node = _Node()
        async with _serving_node(local_node, _Server()) as port:
            await _call(port)
            assert not local_node.engine.state.calls
            assert local_node.running == 0

    _run(run_test())


# Guards against an attempt whose failure is not reported to the core: after a
# hedge that failed in this way, the call waits until its deadline.
def test_an_error_of_the_event_loop_fails_the_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run_test() -> None:
        _refuse_sockets(monkeypatch, USED_DESCRIPTOR)
        local_node = _Node()
        try:
            exchange = await local_node.upstream.send_to_peer(
                _upstream.OutgoingRequest(
                    method="GET",
                    target="/pages/1",
                    headers=multidict.CIMultiDict({_headers.ATTEMPT: "c.0"}),
                    body=_bodies.Body(),
                ),
                local_node.address,
                1.0,
            )
        finally:
            await local_node.upstream.close()
        assert isinstance(exchange, result.Failure)

    _run(run_test())


# Guards against a local error being attributed to the server, which would be
# removed from the fleet and its requests suspected of crashing it.
@pytest.mark.parametrize(
    "error", LOCAL_ERRORS, ids=lambda error: errno.errorcode[error.errno]
)
def test_a_local_connect_error_does_not_disable_the_server(
    error: OSError, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run_test() -> None:
        _refuse_sockets(monkeypatch, error)
        local_node = _Node()
        async with _serving_node(local_node, _Server()) as port:
            await _call(port)
            assert local_node.engine.state.gate.accepts_work

    _run(run_test())


# Guards against a server being considered unreachable because this process was
# blocked: the connect completed in time but was noticed late.
@pytest.mark.parametrize("loop", ["asyncio", "uvloop"])
def test_a_blocked_event_loop_does_not_disable_the_server(
    loop: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        _upstream, "CONNECT_TIMEOUT_S", SHORT_CONNECT_TIMEOUT_S
    )
    open_socket = _connections._open_socket

    def open_and_block_loop(
        address: tuple[
            int | socket.AddressFamily,
            int | socket.SocketKind,
            int,
            str,
            tuple[typing.Any, ...],
        ],
    ) -> socket.socket:
        asyncio.get_running_loop().call_soon(
            time.sleep, 2 * SHORT_CONNECT_TIMEOUT_S
        )
        return open_socket(address)

    monkeypatch.setattr(_connections, "_open_socket", open_and_block_loop)

    async def run_test() -> None:
        local_node = _Node()
        server = _Server()
        server.ends.release()
        async with _serving_node(local_node, server) as port:
            await _call(port)
            assert local_node.engine.state.gate.accepts_work

    factory = uvloop.new_event_loop if loop == "uvloop" else None
    with asyncio.Runner(loop_factory=factory) as runner:
        runner.run(run_test())


# Guards against a call without an answer at its deadline: it is admitted and
# expires in the same event loop iteration, and its cancellation is submitted
# before a handler is registered for it.
def test_a_call_admitted_at_its_deadline_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run_test() -> None:
        clock = _Clock()
        local_node = _Node(clock=clock)
        server = _Server()
        submit = local_node.engine.submit

        def submit_late(event: node.Event) -> None:
            submit(event)
            if isinstance(event, node.WorkEnded):
                clock.now += 1.0
                submit(node.TimePassed())

        monkeypatch.setattr(local_node.engine, "submit", submit_late)
        async with _serving_node(local_node, server, slots=1) as port:
            first = asyncio.create_task(_call(port))
            await _wait_until(lambda: server.running == 1)
            second = asyncio.create_task(_call(port, deadline_ms=900))
            await _wait_until(lambda: local_node.engine.state.gate.queued == 1)
            server.ends.release()
            await _wait_until(second.done)
            is_answered = second.done()
            server.ends.release()
            await asyncio.gather(first, second)
            assert is_answered

    _run(run_test())


# Guards against a slot that is occupied beyond the deadline of its request:
# the entry node can no longer send a cancellation.
def test_a_request_of_a_disconnected_entry_ends_at_its_deadline() -> None:
    async def run_test() -> None:
        local_node = _Node()
        server = _Server()
        async with _serving_node(local_node, server):
            attempt_task = asyncio.create_task(
                _send_attempt(local_node, deadline_s=0.1)
            )
            await _wait_until(lambda: server.running == 1)
            await _wait_until(lambda: local_node.running == 0)
            running = local_node.running
            server.ends.release()
            await attempt_task
            assert running == 0

    _run(run_test())


async def _send_attempt(
    local_node: _Node, *, deadline_s: float
) -> _upstream.SendResult:
    """Send an attempt to a node as a peer that sends no cancellation."""
    stamp = _auth.Stamper(run="p-").stamp()
    signed = _auth.signed_message_content(
        stamp,
        local_node.address,
        _auth.signed_request_content("GET", "/pages/1", "c.0 ", b""),
    )
    return await local_node.upstream.send_to_peer(
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
        local_node.address,
        deadline_s,
    )
