"""New connections at the moment when a node stops accepting any.

A caller has opened a connection and sends its first request just as the node,
at the end of a planned stop, closes its port and idle connections.  A peer may
do the same with an attempt that it forwards.
"""

import asyncio
import collections.abc
import enum
import socket

import aiohttp
from aiohttp import web
from aiohttp import web_protocol
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _auth
from marjoramledge_node import _environment
from marjoramledge_node import _event_loop
from marjoramledge_node import _options
from marjoramledge_node import _process
from marjoramledge_standins import builders
from marjoramledge_standins import deployment
import pytest

HOST = "127.0.0.1"
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 10.0
# Ends the wait for an answer that does not arrive.
ANSWER_TIMEOUT_S = 5.0
REQUEST = b"GET / HTTP/1.1\r\nHost: shop\r\n\r\n"
PAGE = b"GET /pages/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n"
# Unsigned, so the node rejects it; the answer says that nothing has run.
ATTEMPT = b"GET / HTTP/1.1\r\nHost: shop\r\nMarjoramledge-Attempt: a.0\r\n\r\n"

NewLoop = collections.abc.Callable[[], asyncio.AbstractEventLoop]
LOOPS: list[NewLoop] = [_event_loop.new_event_loop, asyncio.new_event_loop]


class Moment(enum.Enum):
    """State of a connection when the node stops accepting new ones."""

    IN_BACKLOG = enum.auto()
    ACCEPTED = enum.auto()
    REQUEST_READ = enum.auto()
    REQUEST_DEQUEUED = enum.auto()


READ_MOMENTS = (Moment.REQUEST_READ, Moment.REQUEST_DEQUEUED)


def _build_process() -> _process._Process:
    """Build a node without a configuration, which answers 503."""
    names = ("caller", "peer", "local")
    addresses = {
        name: node.Address(host=HOST, port=deployment.find_free_port(HOST))
        for name in names
    }
    return _process._Process(
        options=_options.Options(
            node_id=ids.NodeId("n0"),
            zone=ids.ZoneName("north"),
            caller_address=addresses["caller"],
            peer_address=addresses["peer"],
            local_address=addresses["local"],
            ready_address=None,
            seeds=(),
            keys=_auth.parse_keys(deployment.KEYS).unwrap(),
            core_options=node.Options(stop_limit_s=1.0),
            log_format=_options.LogFormat.TEXT,
            log_level=_options.LogLevel.INFO,
            statsd_address=None,
            statsd_prefix="",
        ),
        environment=_environment.Environment(),
    )


async def _wait_until_accepted(
    process: _process._Process,
) -> web_protocol.RequestHandler:
    """Wait until a connection is accepted and waits for a request."""
    while not process._callers.connections:  # noqa: ASYNC110
        await asyncio.sleep(0)
    (connection,) = process._callers.connections
    while connection._waiter is None:  # noqa: ASYNC110
        await asyncio.sleep(0)
    return connection


async def _stop_at(moment: Moment) -> bytes:
    """Stop accepting at a moment; return what the caller receives."""
    process = _build_process()
    address = process._options.caller_address
    await process._listen(process._callers, address)
    caller = socket.create_connection((address.host, address.port))
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    with caller:
        if moment is not Moment.IN_BACKLOG:
            connection = await _wait_until_accepted(process)
        if moment in READ_MOMENTS:
            # As the event loop does with data read from the socket.
            connection.data_received(REQUEST)
        if moment is Moment.REQUEST_DEQUEUED:
            while connection._messages:  # noqa: ASYNC110
                await asyncio.sleep(0)
        process._stop_accepting(node.StopAccepting())
        try:
            if moment not in READ_MOMENTS:
                await loop.sock_sendall(caller, REQUEST)
            return await loop.sock_recv(caller, 65536)
        except ConnectionError:
            return b""
        finally:
            await process._close()


def _run(new_loop: NewLoop, moment: Moment) -> bytes:
    async def run() -> bytes:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            return await _stop_at(moment)

    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(run())


# Guards against a dropped request: the node has read it completely, but its
# connection still counts as idle because its handler has not started.
@pytest.mark.parametrize("moment", READ_MOMENTS)
@pytest.mark.parametrize("new_loop", LOOPS)
def test_a_stop_answers_a_request_that_was_read(
    new_loop: NewLoop, moment: Moment
) -> None:
    assert _run(new_loop, moment).startswith(b"HTTP/1.1 503")


# Guards against a new connection that is closed while its first request is in
# transit.
@pytest.mark.parametrize("new_loop", LOOPS)
def test_a_stop_reads_the_first_request_of_an_accepted_connection(
    new_loop: NewLoop,
) -> None:
    assert _run(new_loop, Moment.ACCEPTED).startswith(b"HTTP/1.1 503")


# Guards against reset connections: closing the port resets the connections
# that the kernel has established but the node has not yet accepted.
@pytest.mark.parametrize("new_loop", LOOPS)
def test_a_stop_takes_the_connections_that_were_made(
    new_loop: NewLoop,
) -> None:
    assert _run(new_loop, Moment.IN_BACKLOG).startswith(b"HTTP/1.1 503")


async def _send_attempt_after_stop() -> bytes:
    """Stop accepting; return the answer to a peer on an open connection."""
    process = _build_process()
    address = process._options.peer_address
    await process._listen(process._peers, address)
    loop = asyncio.get_running_loop()
    peer = socket.create_connection((address.host, address.port))
    peer.setblocking(False)
    with peer:
        while not process._peers.connections:  # noqa: ASYNC110
            await asyncio.sleep(0)
        (connection,) = process._peers.connections
        while connection._waiter is None:  # noqa: ASYNC110
            await asyncio.sleep(0)
        process._stop_accepting(node.StopAccepting())
        await loop.sock_sendall(peer, ATTEMPT)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await loop.sock_recv(peer, 65536)
        except (TimeoutError, ConnectionError):
            return b""
        finally:
            await process._close()


# Guards against a needless "may have run": a stopping node reads an attempt
# from a peer's open connection and does not answer until its process exits, so
# the entry can't tell its caller that the call has not run.
@pytest.mark.parametrize("new_loop", LOOPS)
def test_a_stop_answers_attempts_on_open_connections(
    new_loop: NewLoop,
) -> None:
    async def run() -> bytes:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            return await _send_attempt_after_stop()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        assert b"\r\nMarjoramledge-Run: not-run\r\n" in runner.run(run())


class _Server:
    """Backend server that answers immediately and counts its runs."""

    def __init__(self) -> None:
        self.runs = 0

    async def serve(self, request: web.BaseRequest) -> web.Response:
        """Serve one request."""
        self.runs += request.path == "/pages/1"
        return web.Response(body=b"whole")


async def _exchange(caller: socket.socket, request: bytes = b"") -> bytes:
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(caller, request)
    try:
        return await loop.sock_recv(caller, 65536)
    except ConnectionError:
        return b""


async def _stop_after_dequeue() -> tuple[int, bytes]:
    """Return how often a request ran, and what its caller received.

    The node has an idle connection to its server from an earlier request.
    """
    server = _Server()
    loop = asyncio.get_running_loop()
    backend = await loop.create_server(web.Server(server.serve), HOST, 0)
    process = _build_process()
    address = process._options.caller_address
    process._engine.submit(
        node.ManifestFetched(
            ref=builders.build_ref(1),
            configuration=builders.build_configuration(),
        )
    )
    process._engine.submit(
        node.ServerAnnounced(
            server=node.Server(
                service=ids.ServiceName("shop"),
                host=HOST,
                port=backend.sockets[0].getsockname()[1],
                slots=4,
                connections=40,
                cold_concurrency=4,
                is_cold=False,
                health_path="/health",
            )
        )
    )
    await process._listen(process._callers, address)
    caller_endpoint = (address.host, address.port)
    with socket.create_connection(caller_endpoint) as earlier:
        earlier.setblocking(False)
        assert (await _exchange(earlier, PAGE)).startswith(b"HTTP/1.1 200")
    while process._callers.connections:  # noqa: ASYNC110
        await asyncio.sleep(0)
    server.runs = 0
    with socket.create_connection(caller_endpoint) as caller:
        caller.setblocking(False)
        connection = await _wait_until_accepted(process)
        connection.data_received(PAGE)
        while connection._messages:  # noqa: ASYNC110
            await asyncio.sleep(0)
        process._stop_accepting(node.StopAccepting())
        read = await _exchange(caller)
    # A request that was forwarded reaches the server before this one.
    async with aiohttp.ClientSession() as session:
        url = f"http://{HOST}:{backend.sockets[0].getsockname()[1]}/other"
        async with session.get(url) as response:
            await response.read()
    await process._close()
    backend.close()
    return server.runs, read


# Guards against a lost answer: a request at the end of a planned stop is
# forwarded to a server and runs there, but its caller gets no answer.
@pytest.mark.parametrize("new_loop", LOOPS)
def test_a_stop_answers_every_forwarded_request(new_loop: NewLoop) -> None:
    async def run() -> tuple[int, bytes]:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            return await _stop_after_dequeue()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runs, read = runner.run(run())
    assert runs == read.startswith(b"HTTP/1.1 200")
