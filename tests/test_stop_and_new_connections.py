"""New connections at the moment when a node stops taking any.

A caller has opened a connection and sends its first request on it just as
the node, at the end of a planned stop, closes its port and what is idle.  A
peer may do the same with an offer.
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
# Ends a test that would never end; no promise is read from it.
HANG_S = 10.0
# Ends the wait for an answer that never comes.
SILENCE_S = 5.0
REQUEST = b"GET / HTTP/1.1\r\nHost: shop\r\n\r\n"
PAGE = b"GET /pages/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n"
# Without a key; any answer to it says that nothing has run.
OFFER = b"GET / HTTP/1.1\r\nHost: shop\r\nMarjoramledge-Attempt: a.0\r\n\r\n"

NewLoop = collections.abc.Callable[[], asyncio.AbstractEventLoop]
LOOPS: list[NewLoop] = [_event_loop.new_event_loop, asyncio.new_event_loop]


class Moment(enum.Enum):
    """How far a connection has come when the node stops taking any."""

    IN_BACKLOG = enum.auto()
    TAKEN = enum.auto()
    REQUEST_READ = enum.auto()
    REQUEST_PICKED = enum.auto()


READ = (Moment.REQUEST_READ, Moment.REQUEST_PICKED)


def _build_process() -> _process._Process:
    """Build a node without a configuration, which answers with 503."""
    names = ("caller", "peer", "local")
    at = {
        name: node.Address(host=HOST, port=deployment.find_free_port(HOST))
        for name in names
    }
    return _process._Process(
        options=_options.Options(
            node_id=ids.NodeId("n0"),
            zone=ids.ZoneName("north"),
            caller_address=at["caller"],
            peer_address=at["peer"],
            local_address=at["local"],
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


async def _wait_until_taken(
    process: _process._Process,
) -> web_protocol.RequestHandler:
    """Wait until the node has a connection that waits for a request."""
    while not process._callers.connections:  # noqa: ASYNC110
        await asyncio.sleep(0)
    (connection,) = process._callers.connections
    while connection._waiter is None:  # noqa: ASYNC110
        await asyncio.sleep(0)
    return connection


async def _stop_at(moment: Moment) -> bytes:
    """Return what a caller reads whose connection has come so far."""
    process = _build_process()
    address = process._options.caller_address
    await process._listen(process._callers, address)
    caller = socket.create_connection((address.host, address.port))
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    with caller:
        if moment is not Moment.IN_BACKLOG:
            connection = await _wait_until_taken(process)
        if moment in READ:
            # As the loop does with what it reads from the socket.
            connection.data_received(REQUEST)
        if moment is Moment.REQUEST_PICKED:
            while connection._messages:  # noqa: ASYNC110
                await asyncio.sleep(0)
        process._stop_accepting(node.StopAccepting())
        try:
            if moment not in READ:
                await loop.sock_sendall(caller, REQUEST)
            return await loop.sock_recv(caller, 65536)
        except ConnectionError:
            return b""
        finally:
            await process._close()


def _run(new_loop: NewLoop, moment: Moment) -> bytes:
    async def run() -> bytes:
        async with asyncio.timeout(HANG_S):
            return await _stop_at(moment)

    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(run())


# Guards against: a request that the node has read whole, but not begun to
# serve, is thrown away because its connection still counts as idle.
@pytest.mark.parametrize("moment", READ)
@pytest.mark.parametrize("new_loop", LOOPS)
def test_a_stop_answers_a_request_that_was_read(
    new_loop: NewLoop, moment: Moment
) -> None:
    assert _run(new_loop, moment).startswith(b"HTTP/1.1 503")


# Guards against: a connection that the node has just taken is ended before
# the first request on it, which is on its way, is read.
@pytest.mark.parametrize("new_loop", LOOPS)
def test_a_stop_reads_the_first_request_of_a_taken_connection(
    new_loop: NewLoop,
) -> None:
    assert _run(new_loop, Moment.TAKEN).startswith(b"HTTP/1.1 503")


# Guards against: connections that the kernel has made, but the node not yet
# taken, are reset with the port that is closed.
@pytest.mark.parametrize("new_loop", LOOPS)
def test_a_stop_takes_the_connections_that_were_made(
    new_loop: NewLoop,
) -> None:
    assert _run(new_loop, Moment.IN_BACKLOG).startswith(b"HTTP/1.1 503")


async def _offer_after_stop() -> bytes:
    """Return what a peer reads that offers work on a kept connection."""
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
        await loop.sock_sendall(peer, OFFER)
        try:
            async with asyncio.timeout(SILENCE_S):
                return await loop.sock_recv(peer, 65536)
        except (TimeoutError, ConnectionError):
            return b""
        finally:
            await process._close()


# Guards against: a stopping node takes an offer in from a peer's kept
# connection and says nothing until its process ends; the entry must then
# tell its caller "may have run" of a call that nobody ran.
@pytest.mark.parametrize("new_loop", LOOPS)
def test_a_stop_answers_offers_on_kept_connections(new_loop: NewLoop) -> None:
    async def run() -> bytes:
        async with asyncio.timeout(HANG_S):
            return await _offer_after_stop()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        assert b"\r\nMarjoramledge-Run: not-run\r\n" in runner.run(run())


class _Server:
    """Backend server that answers at once and counts what it runs."""

    def __init__(self) -> None:
        self.runs = 0

    async def serve(self, request: web.BaseRequest) -> web.Response:
        """Serve one request."""
        self.runs += request.path == "/pages/1"
        return web.Response(body=b"whole")


async def _ask(caller: socket.socket, request: bytes = b"") -> bytes:
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(caller, request)
    try:
        return await loop.sock_recv(caller, 65536)
    except ConnectionError:
        return b""


async def _stop_while_picked() -> tuple[int, bytes]:
    """Return how often a request ran, and what its caller read.

    The node has a connection to its server from a request before.
    """
    server = _Server()
    loop = asyncio.get_running_loop()
    back = await loop.create_server(web.Server(server.serve), HOST, 0)
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
                port=back.sockets[0].getsockname()[1],
                slots=4,
                connections=40,
                cold_concurrency=4,
                is_cold=False,
                health_path="/health",
            )
        )
    )
    await process._listen(process._callers, address)
    at = (address.host, address.port)
    with socket.create_connection(at) as before:
        before.setblocking(False)
        assert (await _ask(before, PAGE)).startswith(b"HTTP/1.1 200")
    while process._callers.connections:  # noqa: ASYNC110
        await asyncio.sleep(0)
    server.runs = 0
    with socket.create_connection(at) as caller:
        caller.setblocking(False)
        connection = await _wait_until_taken(process)
        connection.data_received(PAGE)
        while connection._messages:  # noqa: ASYNC110
            await asyncio.sleep(0)
        process._stop_accepting(node.StopAccepting())
        read = await _ask(caller)
    # What was passed on is at the server before a request that is sent now.
    async with aiohttp.ClientSession() as session:
        url = f"http://{HOST}:{back.sockets[0].getsockname()[1]}/other"
        async with session.get(url) as response:
            await response.read()
    await process._close()
    back.close()
    return server.runs, read


# Guards against: a request at the end of a planned stop is passed on to a
# server and runs there, and its caller is left without an answer.
@pytest.mark.parametrize("new_loop", LOOPS)
def test_a_stop_cuts_no_request_that_is_passed_on(new_loop: NewLoop) -> None:
    async def run() -> tuple[int, bytes]:
        async with asyncio.timeout(HANG_S):
            return await _stop_while_picked()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runs, read = runner.run(run())
    assert runs == read.startswith(b"HTTP/1.1 200")
