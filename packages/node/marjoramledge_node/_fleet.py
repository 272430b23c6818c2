"""Documents that nodes exchange: members, configurations and status.

Consumes the core's commands that want a document from a peer or from the
store, one task each, and serves the same documents to others.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import typing

import loguru
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_store import client
from returns import result

from marjoramledge_node import _contents
from marjoramledge_node import _counts
from marjoramledge_node import _engine
from marjoramledge_node import _environment
from marjoramledge_node import _faults
from marjoramledge_node import _manifests
from marjoramledge_node import _options
from marjoramledge_node import _peer_port
from marjoramledge_node import _timeline
from marjoramledge_node import _upstream
from marjoramledge_node import _wire

C = typing.TypeVar("C", bound=node.Command)

PEER_TIMEOUT_S: typing.Final = 2.0
PROBE_TIMEOUT_S: typing.Final = 1.0
# What is waited for the departed servers before one that runs is taken in.
FLEET_WAIT_S: typing.Final = 0.3
# Nodes that one which starts is told of by the store; in a larger fleet it
# hears of the others from these.
KEPT_MEMBERS: typing.Final = 128


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Read:
    """A configuration, and its content as peers are sent it."""

    declared: configuration.Configuration
    packed: bytes


def _check_digest(
    content: bytes, digest: ids.Digest
) -> result.Result[bytes, str]:
    if configuration.compute_digest(content) != digest:
        return result.Failure("another content than was asked for")
    return result.Success(content)


def _read_content(
    content: bytes, read: collections.abc.Callable[[], _manifests.Read]
) -> result.Result[_Read, str]:
    try:
        declared = read()
    except Exception as error:  # A reader's fault must not end the fetches.
        return result.Failure(f"can't be read: {error!r}")
    return declared.map(
        lambda value: _Read(declared=value, packed=_contents.pack(content))
    )


class Fleet:
    """Exchange of documents with peers and the store.

    Parameters
    ----------
    engine
        The node's engine.
    upstream
        Client to peers.
    store
        Client of the platform's store, if there is one.
    options
        The node's settings.
    timeline
        Where changes of the store's standing are recorded.
    surroundings
        Reads configurations.
    counts
        Where operations at the store are counted.
    """

    def __init__(
        self,
        *,
        engine: _engine.Engine,
        upstream: _upstream.Upstream,
        store: client.NodeStore | None,
        options: _options.Options,
        timeline: _timeline.Timeline,
        surroundings: _environment.Environment,
        counts: _counts.Counts,
    ) -> None:
        self._counts = counts
        self._engine = engine
        self._read_configuration = surroundings.read_configuration
        self._upstream = upstream
        self._store = store
        self._options = options
        self._timeline = timeline
        self._reader = _contents.Reader()
        self._packed = b""
        self._is_store_up = True
        self._fleet_read = asyncio.Event()
        self._kept_departure: node.ServerStart | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._connect(node.SyncMembers, self._sync_members)
        self._connect(node.RegisterMember, self._register)
        self._connect(
            node.ProbeServer,
            self._probe_server,
            lambda _command: node.ProbeEnded(
                is_healthy=False, elapsed_s=PROBE_TIMEOUT_S
            ),
        )
        self._connect(
            node.ReadVersion,
            self._read_version,
            lambda _command: node.VersionReadEnded(is_success=False),
        )
        self._connect(
            node.FetchManifest,
            self._fetch_manifest,
            lambda command: node.ManifestFailed(
                ref=command.ref, detail="the fetch failed"
            ),
        )

    async def find_document(
        self, method: str, target: str, body: bytes
    ) -> bytes | None:
        """Find what a peer or an operator asks for."""
        state = self._engine.state
        if (method, target) == ("POST", _peer_port.MEMBERS_TARGET):
            received = _wire.decode_members(body)
            if isinstance(received, result.Failure):
                return None
            self._engine.submit(
                node.MembersReceived(members=received.unwrap())
            )
            return _wire.encode_members(state.membership.members.values())
        if method == "PUT" and target.startswith(_peer_port.MANIFEST_TARGET):
            return await self._take_manifest(target, body)
        if target == _peer_port.DRAIN_TARGET and method in ("PUT", "DELETE"):
            self._engine.submit(node.DrainOrdered(is_drained=method == "PUT"))
            return b"{}"
        if (method, target) == ("GET", _peer_port.STATUS_TARGET):
            return json.dumps(self._describe()).encode()
        current = _peer_port.manifest_target(state.versions.ref.digest)
        if (method, target) == ("GET", current) and self._packed:
            return self._packed
        return None

    async def _take_manifest(
        self, target: str, content: bytes
    ) -> bytes | None:
        """Take in a version that an operator's command has had accepted."""
        digest = ids.Digest(target.removeprefix(_peer_port.MANIFEST_TARGET))
        manifest = configuration.decode_manifest(content, digest)
        if isinstance(manifest, result.Failure):
            return None
        accepted = manifest.unwrap()
        read = await self._reader.run(
            lambda: _read_content(
                content, lambda: _manifests.read_documents(accepted)
            )
        )
        if isinstance(read, result.Failure):
            return None
        ref = configuration.VersionRef(version=accepted.version, digest=digest)
        self._adopt(ref, read.unwrap())
        return b"{}"

    def _adopt(self, ref: configuration.VersionRef, read: _Read) -> None:
        if ref.version > self._engine.state.versions.ref.version:
            self._packed = read.packed
        self._engine.submit(
            node.ManifestFetched(ref=ref, configuration=read.declared)
        )

    async def close(self) -> None:
        """End the tasks that still run."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._reader.close()

    def _connect(
        self,
        command_type: type[C],
        operation: collections.abc.Callable[
            [C], collections.abc.Coroutine[None, None, None]
        ],
        build_failure: collections.abc.Callable[[C], node.Event] | None = None,
    ) -> None:
        """Run an operation for each command of a type.

        For some types the core waits for an event before it begins the next
        operation; ``build_failure`` builds that event for one that raised.
        """

        async def operate(command: C) -> None:
            try:
                await operation(command)
            except Exception as error:  # The core waits for an end.
                _faults.report(f"{command_type.__name__} failed", error)
                if build_failure is not None:
                    self._engine.submit(build_failure(command))

        def start(command: C) -> None:
            task = asyncio.create_task(operate(command))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        self._engine.connect(command_type, start)

    async def _sync_members(self, command: node.SyncMembers) -> None:
        members = self._engine.state.membership.members.values()
        fetched = await self._ask_peer(
            "POST",
            command.address,
            _peer_port.MEMBERS_TARGET,
            _wire.encode_members(members),
            _peer_port.MAX_DOCUMENT_BYTES,
        )
        decoded = fetched.bind(_wire.decode_members)
        if isinstance(decoded, result.Failure):
            loguru.logger.debug("no members came: {}", decoded.failure())
            return
        self._engine.submit(node.MembersReceived(members=decoded.unwrap()))

    async def _register(self, _command: node.RegisterMember) -> None:
        """Read what is kept of the fleet; keep what is new of this node."""
        if self._store is None:
            return
        kept = await self._read_fleet(self._store)
        if kept is None:
            return
        myself = self._describe_myself()
        for member in kept.members:
            # A node that has just started does not know its server's slots.
            slots = myself.slots or member.slots
            if member == dataclasses.replace(myself, slots=slots):
                return
        written = await self._store.put_member(myself)
        self._count_store_call("put-member", written)
        if isinstance(written, result.Failure):
            loguru.logger.bind(event="register-failed").warning(
                "the store has not kept this node: {}", written.failure()
            )

    def _describe_myself(self) -> node.Member:
        """Describe this node as the store keeps it."""
        myself = self._engine.state.membership.myself
        hint = self._options.server_hint
        service = myself.service
        if not service and hint is not None:
            service = hint.service
        return node.build_stored_member(
            node=myself.node,
            address=myself.address,
            zone=myself.zone,
            service=service,
            slots=myself.slots,
        )

    async def announce_running_server(self, hint: _options.ServerHint) -> None:
        """Look for a backend server that runs already, and announce it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLEET_WAIT_S):
                await self._fleet_read.wait()
        declared = self._engine.state.versions.configuration
        if declared is None:
            return
        service = declared.services.get(hint.service)
        if service is None or service.health_path is None:
            return
        server = node.Server(
            service=hint.service,
            host=hint.address.host,
            port=hint.address.port,
            slots=1,
            connections=service.connections,
            cold_concurrency=1,
            is_cold=False,
            health_path=service.health_path,
        )
        probed = await self._upstream.probe(server, PROBE_TIMEOUT_S)
        if probed is None or not probed.is_healthy or probed.slots is None:
            return
        if self._engine.state.gate.server is not None:
            return
        cold_left_s = probed.cold_left_s or 0.0
        self._engine.submit(
            node.ServerAnnounced(
                server=dataclasses.replace(
                    server,
                    slots=probed.slots,
                    cold_concurrency=probed.slots,
                    is_cold=cold_left_s > 0.0,
                    cold_left_s=cold_left_s,
                    start=node.ServerStart(server=probed.server),
                )
            )
        )

    async def store_departure(self, server: node.ServerStart) -> bool:
        """Keep that a start of a backend server is leaving for good."""
        is_kept = server == self._kept_departure
        if self._store is None or not server.server or is_kept:
            # A server that is leaving says so again and again.
            return True
        kept = await self._store.put_departure(server)
        self._count_store_call("put-departure", kept)
        if isinstance(kept, result.Failure):
            return False
        self._kept_departure = server
        return True

    async def _read_fleet(
        self, store: client.NodeStore
    ) -> client.FleetRows | None:
        found = await store.read_fleet(self._engine.state.node, KEPT_MEMBERS)
        self._count_store_call("read-fleet", found)
        self._note_store(isinstance(found, result.Success))
        if isinstance(found, result.Failure):
            return None
        fleet = found.unwrap()
        self._fleet_read.set()
        self._engine.submit(node.DeparturesRead(servers=fleet.departures))
        self._engine.submit(node.StoredMembersRead(members=fleet.members))
        return fleet

    async def _read_version(self, command: node.ReadVersion) -> None:
        if self._store is None:
            return
        found = await self._store.wait_version(
            self._engine.state.versions.ref, command.wait_s
        )
        self._count_store_call("read-version", found)
        is_success = isinstance(found, result.Success)
        self._note_store(is_success)
        if is_success:
            row = found.unwrap()
            if row is not None:
                self._engine.submit(node.VersionRead(ref=row.ref))
            if not self._fleet_read.is_set():
                # An outage hid it when this node started.
                await self._read_fleet(self._store)
        self._engine.submit(node.VersionReadEnded(is_success=is_success))

    async def _fetch_manifest(self, command: node.FetchManifest) -> None:
        ref = command.ref
        began_at = self._engine.now()
        fetched: result.Result[bytes, str]
        if command.source is not None:
            fetched = await self._ask_peer(
                "GET",
                command.source,
                _peer_port.manifest_target(ref.digest),
                b"",
                configuration.MAX_MANIFEST_BYTES,
            )
        elif self._store is not None:
            stored = await self._store.get_manifest(ref.digest)
            self._count_store_call("read-manifest", stored)
            self._note_store(isinstance(stored, result.Success))
            fetched = stored.alt(str)
        else:
            fetched = result.Failure("no store is set")
        fetched_at = self._engine.now()
        read = await self._reader.run(
            lambda: fetched.bind(
                lambda content: self._read_fetched(command, content)
            )
        )
        self._record_fetch(command, fetched, fetched_at - began_at, fetched_at)
        if isinstance(read, result.Failure):
            self._engine.submit(
                node.ManifestFailed(ref=ref, detail=read.failure())
            )
            return
        self._adopt(ref, read.unwrap())

    def _read_fetched(
        self, command: node.FetchManifest, fetched: bytes
    ) -> result.Result[_Read, str]:
        """Read what a fetch brought; peers send it packed."""
        unpacked: result.Result[bytes, str] = result.Success(fetched)
        if command.source is not None:
            unpacked = _contents.unpack(
                fetched, configuration.MAX_MANIFEST_BYTES
            )
        named = unpacked.bind(
            lambda content: _check_digest(content, command.ref.digest)
        )
        return named.bind(
            lambda content: _read_content(
                content,
                lambda: self._read_configuration(content, command.ref.digest),
            )
        )

    def _record_fetch(
        self,
        command: node.FetchManifest,
        fetched: result.Result[bytes, str],
        fetch_s: float,
        fetched_at: float,
    ) -> None:
        """Record what a fetch brought and what it cost."""
        source = command.source or "the store"
        outcome = "failed"
        if isinstance(fetched, result.Success):
            read_s = self._engine.now() - fetched_at
            size = len(fetched.unwrap())
            outcome = f"{size} bytes, read in {read_s:.3f} s"
        self._timeline.write(
            node.Record(
                kind=node.RecordKind.CONFIG_FETCHED,
                detail=(
                    f"version {command.ref.version} from {source} "
                    f"in {fetch_s:.3f} s: {outcome}"
                ),
            )
        )

    async def _probe_server(self, command: node.ProbeServer) -> None:
        server = command.server
        began_at = self._engine.now()
        probed = await self._upstream.probe(server, PROBE_TIMEOUT_S)
        if probed is None:
            # A presumed death stays open until a probe has an outcome.
            probed = await self._upstream.probe(server, PROBE_TIMEOUT_S)
        if probed is None:
            probed = _upstream.ProbeResult(is_alive=False)
        elapsed_s = self._engine.now() - began_at
        self._engine.submit(
            node.ProbeEnded(
                is_healthy=probed.is_alive,
                elapsed_s=elapsed_s,
                cold_left_s=probed.cold_left_s,
                slowdown=probed.slowdown,
            )
        )

    async def _ask_peer(
        self,
        method: str,
        address: node.Address,
        target: str,
        body: bytes,
        max_bytes: int,
    ) -> result.Result[bytes, str]:
        return await self._upstream.fetch(
            method,
            address,
            target,
            headers=_peer_port.sign_request(
                self._options.keys, method, target, body
            ),
            body=body,
            timeout_s=PEER_TIMEOUT_S,
            max_bytes=max_bytes,
        )

    def _count_store_call(
        self,
        operation: str,
        outcome: result.Result[typing.Any, client.StoreError],
    ) -> None:
        told = "done"
        if isinstance(outcome, result.Failure):
            told = outcome.failure().name.lower()
        self._counts.note_store_call(operation, told)

    def _note_store(self, is_up: bool) -> None:
        if is_up == self._is_store_up:
            return
        self._is_store_up = is_up
        kind = (
            node.RecordKind.STORE_RECOVERED
            if is_up
            else node.RecordKind.STORE_FAILED
        )
        self._timeline.write(node.Record(kind=kind))

    def _describe(self) -> dict[str, object]:
        state = self._engine.state
        gate = state.gate
        return {
            "node": state.node,
            "zone": state.zone,
            "version": state.versions.ref.version,
            "digest": state.versions.ref.digest,
            "is_store_up": self._is_store_up,
            "is_drained_by_order": state.is_drained_by_order,
            "stop_phase": state.stop_phase.name.lower(),
            "gate": {
                "state": gate.state.name.lower(),
                "running": gate.running,
                "queued": gate.queued,
                "limit": gate.limit,
            },
            "calls": len(state.calls),
            "members": [
                _describe_member(member)
                for member in state.membership.members.values()
            ],
        }


def _describe_member(member: node.Member) -> dict[str, object]:
    return {
        "node": member.node,
        "host": member.address.host,
        "port": member.address.port,
        "zone": member.zone,
        "status": member.status.name.lower(),
        "service": member.service,
        "server": member.server.name.lower(),
        "slots": member.slots,
    }
