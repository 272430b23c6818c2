"""Exchange of member lists, configurations and status with peers and store.

Runs one task for each of the core's commands that needs a document from a
peer, an operation of the store or a health probe, and serves documents to
peers and operators.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import functools
import json
import random
import typing

import loguru
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_store import client
from marjoramledge_store import followed
from returns import result

from marjoramledge_node import _config_content
from marjoramledge_node import _counts
from marjoramledge_node import _departure_keeper
from marjoramledge_node import _engine
from marjoramledge_node import _environment
from marjoramledge_node import _faults
from marjoramledge_node import _manifests
from marjoramledge_node import _options
from marjoramledge_node import _peer_port
from marjoramledge_node import _timeline
from marjoramledge_node import _upstream
from marjoramledge_node import _wire

CommandT = typing.TypeVar("CommandT", bound=node.Command)

PEER_TIMEOUT_S: typing.Final = 2.0
# A configuration is downloaded for as long as bytes arrive: a transfer that is
# aborted and started again with another peer takes the same full link again.
MANIFEST_TIMEOUT_S: typing.Final = 10.0
MANIFEST_IDLE_S: typing.Final = 1.0
MAX_INVALID_ROWS_LOGGED: typing.Final = 10
# Writes of this node's row to a restored store, and the first pause between
# them, which doubles.
MAX_RESTORE_WRITES: typing.Final = 6
MIN_RESTORE_PAUSE_S: typing.Final = 0.5
# Contents that are served to peers after they have been replaced.
MAX_REPLACED_CONTENTS: typing.Final = 4
# Bounds the members that a starting node takes from the store; more than any
# fleet has.  Nodes that start together learn of those beyond it by gossip
# only, which takes seconds.
MAX_STORED_MEMBERS: typing.Final = 4096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Parsed:
    """A parsed configuration and what it was parsed from.

    ``document`` is the content, and its history if it has one.  The compressed
    forms are those that peers fetch, without and with the history.
    """

    digest: ids.Digest
    document: bytes
    declared: configuration.Configuration
    compressed: bytes
    compressed_document: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class _FetchTimes:
    """Times of the steps of a fetch, in seconds of the engine's clock.

    ``reading_at`` is set when the worker thread begins to read the content.
    """

    ordered_at: float
    begun_at: float
    fetched_at: float = 0.0
    reading_at: float = 0.0

    def describe(self, ended_at: float) -> str:
        """Describe how long each step waited and took."""
        return (
            f"waited {self.begun_at - self.ordered_at:.3f} s to start and "
            f"{self.reading_at - self.fetched_at:.3f} s for the reader, "
            f"read in {ended_at - self.reading_at:.3f} s"
        )


def _check_digest(
    document: bytes, digest: ids.Digest
) -> result.Result[bytes, str]:
    """Check the content of a document, which its digest covers."""
    content, _ = followed.split_content(document)
    if configuration.compute_digest(content) != digest:
        return result.Failure(
            "the content does not match the requested digest"
        )
    return result.Success(document)


def _verify_fetched(
    command: node.FetchManifest, fetched: bytes
) -> result.Result[bytes, str]:
    """Decompress and check a fetched document; peers send it compressed."""
    decompressed: result.Result[bytes, str] = result.Success(fetched)
    if command.source is not None:
        decompressed = _config_content.decompress_content(
            fetched, configuration.MAX_MANIFEST_BYTES
        )
    return decompressed.bind(
        lambda document: _check_digest(document, command.ref.digest)
    )


def _parse_document(
    document: bytes,
    parse: collections.abc.Callable[
        [bytes, ids.Digest], _manifests.ParseResult
    ],
) -> result.Result[_Parsed, str]:
    content, _ = followed.split_content(document)
    digest = configuration.compute_digest(content)
    try:
        declared = parse(content, digest)
    except Exception as error:  # A parser's bug must not stop later fetches.
        return result.Failure(f"parsing the configuration failed: {error!r}")
    return declared.map(
        lambda value: _Parsed(
            digest=digest,
            document=document,
            declared=value,
            compressed=_config_content.compress_content(content),
            compressed_document=_config_content.compress_content(document),
        )
    )


class DocumentExchange:
    """Exchanges documents with peers and the store.

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
        Receives the changes of the store's availability and the fetches of
        configurations.
    environment
        Provides the parser of configurations.
    counts
        Counts the store operations.
    """

    def __init__(
        self,
        *,
        engine: _engine.Engine,
        upstream: _upstream.Upstream,
        store: client.NodeStore | None,
        options: _options.Options,
        timeline: _timeline.Timeline,
        environment: _environment.Environment,
        counts: _counts.Counts,
    ) -> None:
        self._counts = counts
        self._engine = engine
        self._read_configuration = environment.read_configuration
        self._upstream = upstream
        self._store = store
        self._options = options
        self._timeline = timeline
        self._worker = _config_content.WorkerThread()
        self._in_force: _Parsed | None = None
        # A peer may fetch a content that has been replaced meanwhile.
        self._replaced: collections.deque[_Parsed] = collections.deque(
            maxlen=MAX_REPLACED_CONTENTS
        )
        self._merged_read = b""
        self._is_store_up = True
        self._fleet_loaded = asyncio.Event()
        self._fleet_reading = asyncio.Lock()
        self._departures = _departure_keeper.DepartureKeeper(
            engine=engine,
            write_departure=None if store is None else self._write_departure,
            send_record=self._send_record,
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._connect(node.SyncMembers, self._sync_members)
        self._connect(node.RegisterMember, self._register)
        self._connect(node.StoreDeparture, self._keep_departure)
        self._connect(node.RestoreRows, self._restore_rows)
        self._connect(
            node.ProbeServer,
            self._probe_server,
            lambda _command: node.ProbeEnded(
                is_healthy=False, elapsed_s=_upstream.PROBE_TIMEOUT_S
            ),
        )
        self._connect(
            node.ReadVersion,
            self._read_version,
            lambda command: node.VersionReadEnded(
                is_success=False, is_confirming=command.is_confirming
            ),
        )
        self._connect(
            node.ReadRollout,
            self._read_rollout,
            lambda command: node.RolloutRead(
                service=command.service, row=None, is_success=False
            ),
        )
        self._connect(
            node.WriteRollout,
            self._write_rollout,
            lambda command: node.RolloutWritten(
                service=command.service, row=None
            ),
        )
        self._connect(
            node.FetchManifest,
            self._fetch_manifest,
            lambda command: node.ManifestFailed(
                ref=command.ref, detail="the fetch failed"
            ),
        )

    @property
    def fleet_loaded(self) -> asyncio.Event:
        """Set once members and departures have been read from the store."""
        return self._fleet_loaded

    @property
    def departures(self) -> _departure_keeper.DepartureKeeper:
        """Keeper of the backend server's departures."""
        return self._departures

    async def handle_request(
        self, method: str, target: str, body: bytes
    ) -> bytes | None:
        """Handle a document request of a peer or an operator.

        Return the body of the response, or None if the target is unknown or
        the request's body is invalid.
        """
        is_members = target == _peer_port.MEMBERS_TARGET
        if is_members and method in ("POST", "PUT"):
            received = _wire.decode_members(body)
            if isinstance(received, result.Failure):
                return None
            self._engine.submit(received.unwrap())
            return b"{}" if method == "PUT" else self._encode_view()
        if method == "PUT" and target.startswith(_peer_port.MANIFEST_TARGET):
            return await self._receive_manifest(target, body)
        if target == _peer_port.DRAIN_TARGET and method in ("PUT", "DELETE"):
            self._engine.submit(node.DrainOrdered(is_drained=method == "PUT"))
            return b"{}"
        if (method, target) == ("GET", _peer_port.STATUS_TARGET):
            return json.dumps(self._build_status()).encode()
        if method == "GET":
            return self._find_served(target)
        return None

    def _find_served(self, target: str) -> bytes | None:
        """Return the content or document that a peer fetches, if it is here.

        Peers of older builds fetch contents without their history.
        """
        if self._in_force is None:
            return None
        for parsed in (self._in_force, *self._replaced):
            if target == _peer_port.manifest_target(parsed.digest):
                return parsed.compressed
            if target == _peer_port.document_target(parsed.digest):
                return parsed.compressed_document
        return None

    async def _receive_manifest(
        self, target: str, content: bytes
    ) -> bytes | None:
        """Adopt an accepted version that an operator's command uploads."""
        digest = ids.Digest(target.removeprefix(_peer_port.MANIFEST_TARGET))
        manifest = configuration.decode_manifest(content, digest)
        if isinstance(manifest, result.Failure):
            return None
        accepted = manifest.unwrap()
        parsed = await self._worker.run(
            lambda: _parse_document(
                content,
                lambda _content, _digest: _manifests.parse_decoded_manifest(
                    accepted
                ),
            )
        )
        if isinstance(parsed, result.Failure):
            return None
        ref = configuration.VersionRef(version=accepted.version, digest=digest)
        self._adopt(ref, parsed.unwrap())
        return b"{}"

    def _adopt(
        self, requested: configuration.VersionRef, parsed: _Parsed
    ) -> None:
        """Put a document in force that was fetched, or merged from it."""
        held = self._engine.state.versions.ref
        version = requested.version
        if parsed.digest != requested.digest:
            version = max(version, held.version)
        self._engine.submit(
            node.ManifestFetched(
                ref=configuration.VersionRef(
                    version=version, digest=parsed.digest
                ),
                configuration=parsed.declared,
                requested=requested,
            )
        )
        # The content may be in force under a higher version number.
        if parsed.digest == self._engine.state.versions.ref.digest:
            self._set_in_force(parsed)

    def _set_in_force(self, parsed: _Parsed) -> None:
        replaced = self._in_force
        if replaced is not None and replaced.digest != parsed.digest:
            self._replaced.append(replaced)
        self._in_force = parsed

    async def close(self) -> None:
        """Cancel the running tasks and wait for them to end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._departures.close()
        self._worker.close()

    def _connect(
        self,
        command_type: type[CommandT],
        operation: collections.abc.Callable[
            [CommandT], collections.abc.Coroutine[None, None, None]
        ],
        build_failure: collections.abc.Callable[[CommandT], node.Event]
        | None = None,
    ) -> None:
        """Run an operation for each command of a type.

        For some types the core waits for a completion event before it starts
        the next operation.  ``build_failure`` builds that event if the
        operation raised.
        """

        async def operate(command: CommandT) -> None:
            try:
                await operation(command)
            except Exception as error:  # The core must not wait forever.
                _faults.report(f"{command_type.__name__} failed", error)
                if build_failure is not None:
                    self._engine.submit(build_failure(command))

        def start(command: CommandT) -> None:
            task = asyncio.create_task(operate(command))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        self._engine.connect(command_type, start)

    async def _sync_members(self, command: node.SyncMembers) -> None:
        fetched = await self._request_peer(
            "POST",
            command.address,
            _peer_port.MEMBERS_TARGET,
            self._encode_view(),
            _peer_port.MAX_DOCUMENT_BYTES,
        )
        decoded = fetched.bind(_wire.decode_members)
        if isinstance(decoded, result.Failure):
            loguru.logger.debug(
                "fetching the member list failed: {}", decoded.failure()
            )
            return
        self._engine.submit(decoded.unwrap())

    def _encode_view(self) -> bytes:
        """Encode what this node knows of the fleet, for a peer."""
        state = self._engine.state
        return _wire.encode_members(
            state.membership.members.values(),
            state.quarantine.list_suspicions(self._engine.now()),
        )

    async def _register(self, _command: node.RegisterMember) -> None:
        """Read the fleet from the store; update this node's entry there.

        The entry is written only if it has changed.
        """
        if self._store is None:
            return
        async with self._fleet_reading:
            stored = await self._read_fleet(self._store)
        if stored is None:
            return
        myself = self._build_stored_member()
        for member in stored.members:
            # A node that has just started does not know its server's slots.
            slots = myself.slots or member.slots
            version = myself.server_version or member.server_version
            if member == dataclasses.replace(
                myself, slots=slots, server_version=version
            ):
                return
        await self._write_member(self._store)

    async def _write_member(self, store: client.NodeStore) -> bool:
        """Write this node's entry; return whether the store confirmed it."""
        written = await store.put_member(self._build_stored_member())
        self._count_store_call("put-member", written)
        if isinstance(written, result.Failure):
            loguru.logger.bind(event="register-failed").warning(
                "writing this node to the store failed: {}", written.failure()
            )
        return isinstance(written, result.Success)

    async def _restore_rows(self, command: node.RestoreRows) -> None:
        """Write this node's rows to a store that has lost some."""
        if self._store is None:
            return
        await asyncio.sleep(command.delay_s)
        await self._departures.rewrite(
            self._engine.state.membership.myself.departed
        )
        pause_s = MIN_RESTORE_PAUSE_S
        for _ in range(MAX_RESTORE_WRITES):
            if await self._write_member(self._store):
                loguru.logger.bind(event="rows-restored").info(
                    "this node has written its rows to the store again"
                )
                return
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s *= 2.0
        loguru.logger.bind(event="rows-not-restored").warning(
            "this node's row could not be written to the store again"
        )

    def _build_stored_member(self) -> node.Member:
        """Build this node's entry for the store."""
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
            server_version=myself.server_version,
        )

    async def _keep_departure(self, command: node.StoreDeparture) -> None:
        self._departures.write(command.server)

    async def _write_departure(self, server: node.ServerStart) -> bool:
        if self._store is None:
            return False
        stored = await self._store.put_departure(server)
        self._count_store_call("put-departure", stored)
        return isinstance(stored, result.Success)

    async def _send_record(self, address: node.Address) -> bool:
        """Send this node's record to a peer; return whether it has it."""
        record = self._engine.state.membership.myself
        sent = await self._request_peer(
            "PUT",
            address,
            _peer_port.MEMBERS_TARGET,
            _wire.encode_members([record]),
            _peer_port.MAX_DOCUMENT_BYTES,
        )
        if isinstance(sent, result.Failure):
            loguru.logger.bind(
                event="record-not-sent", peer=str(address)
            ).info(
                "a peer did not confirm this node's record: {}", sent.failure()
            )
        return isinstance(sent, result.Success)

    async def _read_fleet_once(self, store: client.NodeStore) -> None:
        """Read the fleet from the store unless that has been done."""
        async with self._fleet_reading:
            if not self._fleet_loaded.is_set():
                await self._read_fleet(store)

    async def _read_fleet(
        self, store: client.NodeStore
    ) -> client.FleetRows | None:
        found = await store.read_fleet(
            self._engine.state.node, MAX_STORED_MEMBERS
        )
        self._count_store_call("read-fleet", found)
        self._set_store_status(isinstance(found, result.Success))
        if isinstance(found, result.Failure):
            return None
        fleet = found.unwrap()
        for description in fleet.invalid_rows[:MAX_INVALID_ROWS_LOGGED]:
            loguru.logger.bind(event="row-ignored").warning(
                "a row of the store can't be read: {}; {} in all",
                description,
                len(fleet.invalid_rows),
            )
        self._fleet_loaded.set()
        self._engine.submit(node.DeparturesRead(servers=fleet.departures))
        self._engine.submit(node.StoredMembersRead(members=fleet.members))
        return fleet

    async def _read_version(self, command: node.ReadVersion) -> None:
        if self._store is None:
            return
        started_at = self._engine.now()
        found = await self._store.wait_version(
            self._engine.state.versions.ref, command.wait_s
        )
        self._count_store_call("read-version", found)
        is_success = isinstance(found, result.Success)
        self._set_store_status(is_success)
        if is_success:
            row = found.unwrap()
            if row is not None:
                await self._merge_read(row.ref)
                self._engine.submit(
                    node.VersionRead(ref=row.ref, started_at=started_at)
                )
            if not self._fleet_loaded.is_set():
                # The store was unavailable when this node started, or the
                # first read has not ended yet.
                await self._read_fleet_once(self._store)
        self._engine.submit(
            node.VersionReadEnded(
                is_success=is_success, is_confirming=command.is_confirming
            )
        )

    async def _merge_read(self, ref: configuration.VersionRef) -> None:
        """Merge rows that were read and that the core will not fetch.

        They are those in force, or have the same version.  The operator may
        have written the same rows again since, or removed some.
        """
        held = self._in_force
        if held is None or self._store is None or not _has_era(ref):
            return
        held_version = self._engine.state.versions.ref.version
        if held.digest != ref.digest and held_version != ref.version:
            return
        read = await self._store.get_manifest(ref.digest)
        document = read.value_or(b"")
        if not document or document == self._merged_read:
            return
        parsed = await self._merge_and_parse(ref, document)
        if isinstance(parsed, result.Failure):
            loguru.logger.bind(event="rows-ignored").warning(
                "the rows of version {} can't be merged: {}",
                configuration.format_version(ref.version),
                parsed.failure(),
            )
            return
        self._merged_read = document
        if parsed.unwrap().digest == self._engine.state.versions.ref.digest:
            self._set_in_force(parsed.unwrap())
        else:
            self._adopt(ref, parsed.unwrap())

    async def _fetch_manifest(self, command: node.FetchManifest) -> None:
        ref = command.ref
        times = _FetchTimes(
            ordered_at=command.ordered_at, begun_at=self._engine.now()
        )
        fetched = await self._fetch_document(command)
        times.fetched_at = times.reading_at = self._engine.now()

        def verify() -> result.Result[bytes, str]:
            times.reading_at = self._engine.now()
            return fetched.bind(
                lambda document: _verify_fetched(command, document)
            )

        verified = await self._worker.run(verify)
        parsed: result.Result[_Parsed, str]
        if isinstance(verified, result.Failure):
            parsed = verified
        else:
            parsed = await self._merge_and_parse(ref, verified.unwrap())
        self._record_fetch(command, fetched, times)
        if isinstance(parsed, result.Failure):
            self._engine.submit(
                node.ManifestFailed(
                    ref=ref,
                    detail=parsed.failure(),
                    is_unreadable=isinstance(verified, result.Success),
                )
            )
            return
        self._adopt(ref, parsed.unwrap())

    async def _fetch_document(
        self, command: node.FetchManifest
    ) -> result.Result[bytes, str]:
        digest = command.ref.digest
        if command.source is not None:
            target = _peer_port.manifest_target(digest)
            if configuration.era_of(command.ref.version):
                target = _peer_port.document_target(digest)
            return await self._request_peer(
                "GET",
                command.source,
                target,
                b"",
                configuration.MAX_MANIFEST_BYTES,
                timeout_s=MANIFEST_TIMEOUT_S,
                idle_s=MANIFEST_IDLE_S,
            )
        if self._store is None:
            return result.Failure("no store is configured")
        read = await self._store.get_manifest(digest)
        self._count_store_call("read-manifest", read)
        self._set_store_status(isinstance(read, result.Success))
        return read.alt(str)

    async def _merge_and_parse(
        self, ref: configuration.VersionRef, fetched: bytes
    ) -> result.Result[_Parsed, str]:
        """Merge a fetched document with the one in force, and parse it.

        Does so again if another one has come into force meanwhile.
        """
        while True:
            held = self._in_force
            held_version = self._engine.state.versions.ref.version
            parsed = await self._worker.run(
                functools.partial(
                    self._parse_merged, held, held_version, fetched, ref
                )
            )
            is_current = held is self._in_force
            if is_current or isinstance(parsed, result.Failure):
                return parsed

    def _parse_merged(
        self,
        held: _Parsed | None,
        held_version: ids.ConfigVersion,
        fetched: bytes,
        ref: configuration.VersionRef,
    ) -> result.Result[_Parsed, str]:
        """Merge and parse a document, in the worker thread."""
        document = fetched
        if self._store is not None:
            try:
                document = self._store.merge_documents(
                    b"" if held is None else held.document,
                    held_version,
                    fetched,
                    ref.version,
                )
            except Exception as error:  # As a parser's bug.
                return result.Failure(f"merging failed: {error!r}")
        content, _ = followed.split_content(document)
        if held is not None and (
            configuration.compute_digest(content) == held.digest
        ):
            return result.Success(
                dataclasses.replace(
                    held,
                    document=document,
                    compressed_document=_config_content.compress_content(
                        document
                    ),
                )
            )
        return _parse_document(document, self._read_configuration)

    def _record_fetch(
        self,
        command: node.FetchManifest,
        fetched: result.Result[bytes, str],
        times: _FetchTimes,
    ) -> None:
        """Record the outcome, size and duration of a fetch."""
        source = command.source or "the store"
        outcome = "failed"
        if isinstance(fetched, result.Success):
            outcome = f"{len(fetched.unwrap())} bytes"
        fetch_s = times.fetched_at - times.begun_at
        self._timeline.write(
            node.Record(
                kind=node.RecordKind.CONFIG_FETCHED,
                detail=(
                    f"version "
                    f"{configuration.format_version(command.ref.version)} "
                    f"from {source} "
                    f"in {fetch_s:.3f} s: {outcome}, "
                    f"{times.describe(self._engine.now())}"
                ),
            )
        )

    async def _read_rollout(self, command: node.ReadRollout) -> None:
        """Read the row of a roll-out; without a store there is none."""
        row: node.RolloutRow | None = None
        is_success = True
        if self._store is not None:
            found = await self._store.read_rollout(command.service)
            self._count_store_call("read-rollout", found)
            is_success = isinstance(found, result.Success)
            row = found.value_or(None)
        self._engine.submit(
            node.RolloutRead(
                service=command.service, row=row, is_success=is_success
            )
        )

    async def _write_rollout(self, command: node.WriteRollout) -> None:
        """Write the row of a roll-out; without a store, nodes keep it."""
        written: result.Result[node.RolloutRow, client.StoreError]
        written = result.Success(command.row)
        if self._store is not None:
            written = await self._store.write_rollout(
                command.service, command.row, command.etag
            )
            self._count_store_call("write-rollout", written)
        is_conflict = written == result.Failure(client.StoreError.CONFLICT)
        self._engine.submit(
            node.RolloutWritten(
                service=command.service,
                row=written.value_or(None),
                is_conflict=is_conflict,
            )
        )

    async def _probe_server(self, command: node.ProbeServer) -> None:
        server = command.server
        began_at = self._engine.now()
        probed = await self._upstream.probe(server, _upstream.PROBE_TIMEOUT_S)
        if probed is None:
            # The core needs an outcome to decide whether the server has died.
            probed = await self._upstream.probe(
                server, _upstream.PROBE_TIMEOUT_S
            )
        if probed is None:
            probed = _upstream.ProbeResult(is_alive=False)
        elapsed_s = self._engine.now() - began_at
        self._engine.submit(
            node.ProbeEnded(
                is_healthy=probed.is_alive,
                elapsed_s=elapsed_s,
                cold_left_s=probed.cold_left_s,
                slowdown=probed.slowdown,
                signals=probed.signals,
            )
        )

    async def _request_peer(
        self,
        method: str,
        address: node.Address,
        target: str,
        body: bytes,
        max_bytes: int,
        *,
        timeout_s: float = PEER_TIMEOUT_S,
        idle_s: float = PEER_TIMEOUT_S,
    ) -> result.Result[bytes, str]:
        return await self._upstream.fetch(
            method,
            address,
            target,
            headers=_peer_port.sign_request(
                self._options.keys, method, target, body
            ),
            body=body,
            timeout_s=timeout_s,
            idle_s=idle_s,
            max_bytes=max_bytes,
        )

    def _count_store_call(
        self,
        operation: str,
        outcome: result.Result[typing.Any, client.StoreError],
    ) -> None:
        outcome_name = "done"
        if isinstance(outcome, result.Failure):
            outcome_name = outcome.failure().name.lower()
        self._counts.note_store_call(operation, outcome_name)

    def _set_store_status(self, is_up: bool) -> None:
        if is_up == self._is_store_up:
            return
        self._is_store_up = is_up
        kind = (
            node.RecordKind.STORE_RECOVERED
            if is_up
            else node.RecordKind.STORE_FAILED
        )
        self._timeline.write(node.Record(kind=kind))

    def _build_status(self) -> dict[str, object]:
        state = self._engine.state
        gate = state.gate
        return {
            "node": state.node,
            "zone": state.zone,
            "version": configuration.number_of(state.versions.ref.version),
            "era": configuration.era_of(state.versions.ref.version),
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
            "rollouts": node.describe_rollouts(state, self._engine.now()),
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
        "version": member.server_version,
    }


def _has_era(ref: configuration.VersionRef) -> bool:
    return configuration.era_of(ref.version) != configuration.UNKNOWN_ERA
