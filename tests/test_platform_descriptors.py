"""Updates of the configuration after a descriptor was closed wrongly.

An attempt that was cancelled while connecting used to close its descriptor
twice, when the number could already belong to another owner.  The tests close
descriptors as such a second close did.
"""

import asyncio
import base64
import collections.abc
import contextlib
import json
import os
import random
import socket
import subprocess
import sys

from aiohttp import web
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _auth
from marjoramledge_node import _config_content
from marjoramledge_node import _counts
from marjoramledge_node import _dialect
from marjoramledge_node import _document_exchange
from marjoramledge_node import _engine
from marjoramledge_node import _environment
from marjoramledge_node import _faults
from marjoramledge_node import _options
from marjoramledge_node import _peer_port
from marjoramledge_node import _timeline
from marjoramledge_node import _upstream
from marjoramledge_platform import _operator
from marjoramledge_platform import _store
from marjoramledge_standins import deployment
from marjoramledge_standins import descriptors
from marjoramledge_store import followed
import uvloop

HOST = "127.0.0.1"
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 20.0
# Exit status when the fault handler ends the process.
EXIT_STATUS = 3
REGIONS = {ids.ZoneName("north"): ids.RegionName("isle")}
CONFIG: dict[str, object] = {"listeners": [], "clusters": []}


class _StoreServer:
    """Server of the platform's store with one row and long polling."""

    def __init__(self) -> None:
        self.version = 1
        self.server = web.Server(self.serve)
        self.waiting: list[web.BaseRequest] = []
        self._changed = asyncio.Event()

    def change(self) -> None:
        """Change the operator's row."""
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def close_connections(self) -> None:
        """Close all connections."""
        for connection in list(self.server.connections):
            connection.force_close()
        self.waiting.clear()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve reads and discard writes."""
        after = request.query.get("after", "0")
        if int(after) >= self.version:
            changed = self._changed
            self.waiting.append(request)
            with contextlib.suppress(TimeoutError):
                wait_s = int(request.query["waitMs"]) / 1000.0
                await asyncio.wait_for(changed.wait(), wait_s)
            if request in self.waiting:
                self.waiting.remove(request)
        rows = []
        if request.query.get("table") == "op":
            value = json.dumps({**CONFIG, "note": self.version}).encode()
            text = base64.b64encode(value).decode()
            rows.append({"key": "config", "value": text})
        return web.json_response({"rows": rows, "ver": self.version})


class _Node:
    """The parts of a node that follow the store and fetch from peers."""

    def __init__(self, store_port: int | None) -> None:
        loop = asyncio.get_running_loop()
        address = node.Address(host=HOST, port=1)
        core_options = node.Options(stop_limit_s=1.0, waits_for_version=True)
        identity = node.Identity(
            node=ids.NodeId("n0"),
            address=address,
            zone=ids.ZoneName("north"),
            incarnation=1,
        )
        options = _options.Options(
            node_id=identity.node,
            zone=identity.zone,
            caller_address=address,
            peer_address=address,
            local_address=address,
            seeds=(),
            keys=_auth.parse_keys(deployment.KEYS).unwrap(),
            core_options=core_options,
            log_format=_options.LogFormat.TEXT,
            log_level=_options.LogLevel.INFO,
            statsd_address=None,
            statsd_prefix="",
        )
        self.engine = _engine.Engine(
            state=node.create_state(
                identity=identity,
                seeds=(),
                options=core_options,
                now=loop.time(),
            ),
            rng=random.Random(1),
            clock=loop.time,
        )
        for command_type in (node.WriteRecord, node.SendMessage):
            self.engine.connect(command_type, lambda command: None)
        self._upstream = _upstream.Upstream(
            dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=4.0
        )
        self._store: followed.ChangeFeedStore | None = None
        if store_port is not None:
            self._store = followed.ChangeFeedStore(
                tables=_store.PlatformTables(
                    address=node.Address(host=HOST, port=store_port)
                ),
                operator_table="op",
            )
        self._document_exchange = _document_exchange.DocumentExchange(
            engine=self.engine,
            upstream=self._upstream,
            store=self._store,
            options=options,
            timeline=_timeline.Timeline(),
            environment=_environment.Environment(
                read_configuration=lambda content, digest: (
                    _operator.read_configuration(content, REGIONS)
                )
            ),
            counts=_counts.Counts(),
        )

    @property
    def version(self) -> int:
        """Version of the configuration in use."""
        return int(self.engine.state.versions.ref.version)

    def receive_version(
        self,
        ref: configuration.VersionRef,
        source_address: node.Address,
        *,
        incarnation: int,
    ) -> None:
        """Receive a version in a message from a peer."""
        member = node.Member(
            node=ids.NodeId("n1"),
            address=source_address,
            zone=ids.ZoneName("north"),
            incarnation=incarnation,
            status=node.MemberStatus.ALIVE,
            service=ids.ServiceName("shop"),
            server=node.ServerState.WARM,
            slots=4,
        )
        self.engine.submit(node.MembersReceived(members=(member,)))
        self.engine.submit(
            node.MessageReceived(
                message=node.Message(
                    kind=node.MessageKind.NEWS,
                    sender=member.node,
                    sender_address=source_address,
                    sequence=0,
                    target=member.node,
                    config=ref,
                    updates=(),
                    suspicions=(),
                )
            )
        )

    async def close(self) -> None:
        """Stop the node and close all connections."""
        self.engine.stop()
        await self._document_exchange.close()
        await self._upstream.close()
        if self._store is not None:
            await self._store.close()


async def _wait_until(check: collections.abc.Callable[[], object]) -> bool:
    """Wait until a check holds; return False after a timeout."""
    try:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while not check():  # noqa: ASYNC110
                await asyncio.sleep(0.02)
    except TimeoutError:
        return False
    return True


@contextlib.asynccontextmanager
async def _following_node() -> collections.abc.AsyncIterator[
    tuple[_StoreServer, _Node]
]:
    loop = asyncio.get_running_loop()
    store_server = _StoreServer()
    listener = await loop.create_server(store_server.server, HOST, 0)
    follower = _Node(listener.sockets[0].getsockname()[1])
    try:
        follower.engine.start()
        assert await _wait_until(lambda: follower.version == 1)
        assert await _wait_until(lambda: store_server.waiting)
        yield store_server, follower
    finally:
        await follower.close()
        listener.close()


@contextlib.asynccontextmanager
async def _open_caller() -> collections.abc.AsyncIterator[
    asyncio.BaseTransport
]:
    """Open a caller's connection first, so that its descriptor is low."""
    loop = asyncio.get_running_loop()
    callers = await loop.create_server(asyncio.Protocol, HOST, 0)
    port = callers.sockets[0].getsockname()[1]
    caller, _ = await loop.create_connection(asyncio.Protocol, HOST, port)
    try:
        yield caller
    finally:
        caller.close()
        callers.close()


def _close_descriptor(transport: asyncio.BaseTransport) -> None:
    os.close(transport.get_extra_info("socket").fileno())


# Guards against a node that never reads a configuration again: the next read
# gets the descriptor number of a caller's connection that was closed under its
# transport, and the event loop raises an error that isn't a network error.
def test_reads_continue_after_one_got_a_used_descriptor() -> None:
    async def read_after_loss() -> bool:
        async with (
            _open_caller() as caller,
            _following_node() as (store_server, follower),
        ):
            _close_descriptor(caller)
            store_server.close_connections()
            # The next read starts within half a second.
            await asyncio.sleep(1.0)
            caller.close()
            store_server.change()
            return await _wait_until(
                lambda: follower.version == store_server.version
            )

    assert uvloop.run(read_after_loss())


# Guards against a node that skips a configuration: the download that got a
# used descriptor was considered to be in progress forever.
def test_a_download_that_got_a_used_descriptor_is_retried() -> None:
    row = json.dumps({"config": json.dumps(CONFIG)}).encode()
    ref = configuration.VersionRef(
        version=ids.ConfigVersion(7), digest=configuration.compute_digest(row)
    )

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != _peer_port.manifest_target(ref.digest):
            return web.Response(status=404)
        return web.Response(body=_config_content.compress_content(row))

    async def fetch() -> bool:
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(web.Server(serve), HOST, 0)
        port = listener.sockets[0].getsockname()[1]
        peer = node.Address(host=HOST, port=port)
        async with _open_caller() as caller:
            fetcher = _Node(None)
            try:
                fetcher.engine.start()
                _close_descriptor(caller)
                fetcher.receive_version(ref, peer, incarnation=1)
                await asyncio.sleep(0.5)
                caller.close()
                fetcher.receive_version(ref, peer, incarnation=2)
                return await _wait_until(lambda: fetcher.version == 7)
            finally:
                await fetcher.close()
                listener.close()

    assert uvloop.run(fetch())


@contextlib.contextmanager
def _silent_port() -> collections.abc.Iterator[int]:
    """Listen on a port where connects do not complete."""
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listening.bind((HOST, 0))
        listening.listen(0)
        for _ in range(2):
            filling = stack.enter_context(socket.socket())
            filling.setblocking(False)
            filling.connect_ex(listening.getsockname())
        yield listening.getsockname()[1]


async def _lose_connecting_descriptor() -> bool:
    """Close a connecting descriptor; return whether the node reads later."""
    loop = asyncio.get_running_loop()
    log = _faults.FaultLog(
        counts=_counts.Counts(),
        clock=loop.time,
        abort_node=lambda: os._exit(EXIT_STATUS),
    )
    loop.set_exception_handler(log.handle_loop_fault)
    store_server = _StoreServer()
    async with contextlib.AsyncExitStack() as stack:
        callers = await loop.create_server(asyncio.Protocol, HOST, 0)
        stack.callback(callers.close)
        port = stack.enter_context(_silent_port())
        follower = _Node(port)
        stack.push_async_callback(follower.close)
        before = descriptors.find_connecting_sockets()
        follower.engine.start()
        await asyncio.sleep(0.5)
        opening = descriptors.find_connecting_sockets() - before
        assert opening
        for descriptor in opening:
            os.close(descriptor)
        # It may fail, since the number still has another owner.
        caller = asyncio.create_task(
            loop.create_connection(
                asyncio.Protocol, *callers.sockets[0].getsockname()
            )
        )
        stack.callback(caller.cancel)
        # All timeouts of the store have expired by then.
        await asyncio.sleep(3.0)
        listener = await loop.create_server(
            store_server.server, HOST, port, reuse_port=True
        )
        stack.callback(listener.close)
        return await _wait_until(lambda: follower.version == 1)


# Guards against a timeout without effect: a connecting descriptor is closed,
# its number is reused by a caller's connection, and the connect can no longer
# be cancelled.  The node must keep reading, or exit so that it is restarted.
def test_a_node_recovers_when_a_caller_gets_the_descriptor_of_a_read() -> None:
    process = subprocess.Popen([sys.executable, __file__])
    try:
        assert process.wait(timeout=3 * HANG_TIMEOUT_S) in (0, EXIT_STATUS)
    finally:
        process.kill()
        process.wait()


# Guards against a node that waits for changes forever after the descriptor of
# the waiting connection was closed.
def test_a_wait_on_a_closed_descriptor_times_out() -> None:
    async def wait_after_loss() -> bool:
        async with _following_node() as (store_server, follower):
            transport = store_server.waiting[0].transport
            assert transport is not None
            peer = transport.get_extra_info("peername")[1]
            _replace_descriptors(peer)
            store_server.change()
            return await _wait_until(
                lambda: follower.version == store_server.version
            )

    assert uvloop.run(wait_after_loss())


def _replace_descriptors(port: int) -> None:
    """Replace the descriptors of the sockets bound to a port by files."""
    with open(os.devnull, "rb") as null_file:
        for name in os.listdir("/proc/self/fd"):
            if _is_bound(int(name), port):
                os.dup2(null_file.fileno(), int(name))


def _is_bound(descriptor: int, port: int) -> bool:
    try:
        with socket.socket(fileno=os.dup(descriptor)) as opened:
            return bool(opened.getsockname()[1] == port)
    except (OSError, IndexError):
        return False


if __name__ == "__main__":
    sys.exit(0 if uvloop.run(_lose_connecting_descriptor()) else 1)
