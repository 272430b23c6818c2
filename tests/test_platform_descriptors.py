"""The way to a new configuration, when descriptors go wrong.

An attempt that is cancelled while it connects closes its descriptor twice;
in between another owner may have got the number.  The tests do to a
descriptor what such a second close does.
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
# Ends a test that would never end; no promise is read from it.
HANG_S = 20.0
# Status of a process that has ended as a node does.
ENDED = 3
REGIONS = {ids.ZoneName("north"): ids.RegionName("isle")}
CONFIG: dict[str, object] = {"listeners": [], "clusters": []}


class _Feed:
    """The platform's store with one row, whose changes are waited for."""

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

    def break_off(self) -> None:
        """Close all connections."""
        for connection in list(self.server.connections):
            connection.force_close()
        self.waiting.clear()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve reads; what is written is forgotten."""
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
    """The part of a node that follows the store and asks peers."""

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
        for ignored in (node.WriteRecord, node.SendMessage):
            self.engine.connect(ignored, lambda command: None)
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
        """Version in force."""
        return int(self.engine.state.versions.ref.version)

    def hear(
        self,
        ref: configuration.VersionRef,
        teller: node.Address,
        *,
        incarnation: int,
    ) -> None:
        """Hear of a version from a peer."""
        member = node.Member(
            node=ids.NodeId("n1"),
            address=teller,
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
                    sender_address=teller,
                    sequence=0,
                    target=member.node,
                    config=ref,
                    updates=(),
                    suspicions=(),
                )
            )
        )

    async def close(self) -> None:
        """End everything."""
        self.engine.stop()
        await self._document_exchange.close()
        await self._upstream.close()
        if self._store is not None:
            await self._store.close()


async def _wait_until(check: collections.abc.Callable[[], object]) -> bool:
    """Wait until a check holds; false when it does not for long."""
    try:
        async with asyncio.timeout(HANG_S):
            while not check():  # noqa: ASYNC110
                await asyncio.sleep(0.02)
    except TimeoutError:
        return False
    return True


@contextlib.asynccontextmanager
async def _following_node() -> collections.abc.AsyncIterator[
    tuple[_Feed, _Node]
]:
    loop = asyncio.get_running_loop()
    feed = _Feed()
    listener = await loop.create_server(feed.server, HOST, 0)
    follower = _Node(listener.sockets[0].getsockname()[1])
    try:
        follower.engine.start()
        assert await _wait_until(lambda: follower.version == 1)
        assert await _wait_until(lambda: feed.waiting)
        yield feed, follower
    finally:
        await follower.close()
        listener.close()


@contextlib.asynccontextmanager
async def _caller() -> collections.abc.AsyncIterator[asyncio.BaseTransport]:
    """Open the connection of a caller, before anything else is open."""
    loop = asyncio.get_running_loop()
    callers = await loop.create_server(asyncio.Protocol, HOST, 0)
    port = callers.sockets[0].getsockname()[1]
    caller, _ = await loop.create_connection(asyncio.Protocol, HOST, port)
    try:
        yield caller
    finally:
        caller.close()
        callers.close()


def _close_under_its_owner(transport: asyncio.BaseTransport) -> None:
    os.close(transport.get_extra_info("socket").fileno())


# Guards against a node that never reads a configuration again: the read
# after a caller's connection was closed under its owner gets that number,
# which the event loop refuses with an error that is no error of the network.
def test_a_read_that_gets_a_used_descriptor_is_not_the_last_one() -> None:
    async def read_on() -> bool:
        async with _caller() as caller, _following_node() as (feed, follower):
            _close_under_its_owner(caller)
            feed.break_off()
            # The next read begins half a second later at most.
            await asyncio.sleep(1.0)
            caller.close()
            feed.change()
            return await _wait_until(lambda: follower.version == feed.version)

    assert uvloop.run(read_on())


# Guards against a node that keeps an old configuration until the next one:
# the download that got a used number counted as under way for ever.
def test_a_download_that_gets_a_used_descriptor_is_tried_again() -> None:
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
        async with _caller() as caller:
            fetcher = _Node(None)
            try:
                fetcher.engine.start()
                _close_under_its_owner(caller)
                fetcher.hear(ref, peer, incarnation=1)
                await asyncio.sleep(0.5)
                caller.close()
                fetcher.hear(ref, peer, incarnation=2)
                return await _wait_until(lambda: fetcher.version == 7)
            finally:
                await fetcher.close()
                listener.close()

    assert uvloop.run(fetch())


@contextlib.contextmanager
def _silent_port() -> collections.abc.Iterator[int]:
    """Listen on a port where connections open for ever."""
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


async def _give_up() -> bool:
    """Lose a connection that opens; tell whether the node reads later on."""
    loop = asyncio.get_running_loop()
    log = _faults.FaultLog(
        counts=_counts.Counts(),
        clock=loop.time,
        end_node=lambda: os._exit(ENDED),
    )
    loop.set_exception_handler(log.handle_loop_fault)
    feed = _Feed()
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
        # It need not succeed: the number has another owner still.
        caller = asyncio.create_task(
            loop.create_connection(
                asyncio.Protocol, *callers.sockets[0].getsockname()
            )
        )
        stack.callback(caller.cancel)
        # All time limits of the store are over by then.
        await asyncio.sleep(3.0)
        listener = await loop.create_server(
            feed.server, HOST, port, reuse_port=True
        )
        stack.callback(listener.close)
        return await _wait_until(lambda: follower.version == 1)


# Guards against a time limit that ends nothing: a connection that opens loses
# its number to a caller's and can't be broken off any more.  The node reads on
# or ends, so that it is started again.
def test_a_node_goes_on_when_a_caller_gets_the_number_of_its_read() -> None:
    process = subprocess.Popen([sys.executable, __file__])
    try:
        assert process.wait(timeout=3 * HANG_S) in (0, ENDED)
    finally:
        process.kill()
        process.wait()


# Guards against a node that waits at the feed for ever, when the descriptor
# of the connection that waits is closed under it.
def test_a_wait_on_a_closed_descriptor_ends() -> None:
    async def wait_on() -> bool:
        async with _following_node() as (feed, follower):
            transport = feed.waiting[0].transport
            assert transport is not None
            peer = transport.get_extra_info("peername")[1]
            _replace_descriptors(peer)
            feed.change()
            return await _wait_until(lambda: follower.version == feed.version)

    assert uvloop.run(wait_on())


def _replace_descriptors(port: int) -> None:
    """Let other files have the numbers of the sockets bound to a port."""
    with open(os.devnull, "rb") as nothing:
        for name in os.listdir("/proc/self/fd"):
            if _is_bound(int(name), port):
                os.dup2(nothing.fileno(), int(name))


def _is_bound(descriptor: int, port: int) -> bool:
    try:
        with socket.socket(fileno=os.dup(descriptor)) as opened:
            return bool(opened.getsockname()[1] == port)
    except (OSError, IndexError):
        return False


if __name__ == "__main__":
    sys.exit(0 if uvloop.run(_give_up()) else 1)
