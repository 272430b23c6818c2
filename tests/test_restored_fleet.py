"""Nodes that follow a restored store, or hear of it from one another.

Drives the real version tracker, so that digests and numbers decide what a node
fetches, as in ``DocumentExchange`` but without concurrency.
"""

import asyncio
import copy
import random
import typing

from marjoramledge_core import _timers
from marjoramledge_core import _versions
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders
from marjoramledge_store import followed
import pytest
import restored_table

CONFIG = restored_table.CONFIG
ZONES = ("evacuate/a", "evacuate/b")
NODES = 5
FOLLOWERS = 2
STEPS = 60
# Contents that a node still serves after it has replaced them.
REPLACED = 4
STEP_S = 0.1


class _Node:
    """A version tracker and a reader of the store, and what is in force."""

    def __init__(self, fleet: "_Fleet", number: int) -> None:
        self._fleet = fleet
        self._number = number
        self.store = followed.ChangeFeedStore(
            tables=fleet.tables,
            operator_table=restored_table.TABLE,
            is_later=restored_table.is_later,
        )
        self.tracker = _versions.VersionTracker(
            timers=_timers.TimerQueue(), waits_for_change=True
        )
        self._document = b""
        self._replaced: list[bytes] = []
        self._merged_read = b""

    @property
    def rows(self) -> dict[str, str]:
        return followed.decode_rows(self._document) if self._document else {}

    def read(self) -> None:
        """Read the store, as a follower does."""
        found = asyncio.run(self.store.wait_version(self.tracker.ref, 0.0))
        row = found.value_or(None)
        if row is not None:
            self._merge_read(row.ref)
            self._observe(row.ref, None)

    def hear(self, peer: "_Node") -> None:
        """Receive a message of a peer."""
        if peer.tracker.ref.version:
            self._observe(peer.tracker.ref, peer)

    def _serve(self, digest: ids.Digest) -> bytes | None:
        for document in (self._document, *self._replaced):
            if document and _compute_digest(document) == digest:
                return document
        return None

    def _merge_read(self, ref: configuration.VersionRef) -> None:
        is_same = self.tracker.ref.version == ref.version
        if not self._document or not (
            is_same or _compute_digest(self._document) == ref.digest
        ):
            return
        read = asyncio.run(self.store.get_manifest(ref.digest)).value_or(b"")
        if read and read != self._merged_read:
            self._merged_read = read
            self._put(ref, self._merge(ref, read))

    def _merge(self, ref: configuration.VersionRef, fetched: bytes) -> bytes:
        return self.store.merge_documents(
            self._document, self.tracker.ref.version, fetched, ref.version
        )

    def _put(
        self, requested: configuration.VersionRef, document: bytes
    ) -> None:
        digest = _compute_digest(document)
        before = self.rows.get(CONFIG)
        version = requested.version
        if digest != requested.digest:
            version = max(version, self.tracker.ref.version)
        self.tracker.adopt(
            configuration.VersionRef(version=version, digest=digest),
            builders.build_configuration(),
            self._fleet.now,
            requested=requested,
        )
        if digest != self.tracker.ref.digest:
            return
        if self._document and _compute_digest(self._document) != digest:
            self._replaced = [*self._replaced, self._document][-REPLACED:]
        self._document = document
        assert before is None or int(self.rows[CONFIG]) >= int(before)

    def _observe(
        self, ref: configuration.VersionRef, source: typing.Optional["_Node"]
    ) -> None:
        address = None
        if source is not None:
            address = node.Address(host="127.0.0.1", port=source._number)
        out: list[node.Command] = []
        known = configuration.KnownVersion(ref=ref, known_at=self._fleet.now)
        self.tracker.observe_version(known, address, self._fleet.now, out)
        for command in out:
            if isinstance(command, node.FetchManifest):
                self._fetch(command)

    def _fetch(self, command: node.FetchManifest) -> None:
        digest = command.ref.digest
        fetched: bytes | None
        if command.source is None:
            read = asyncio.run(self.store.get_manifest(digest))
            fetched = read.value_or(None)
        else:
            fetched = self._fleet.nodes[command.source.port]._serve(digest)
        if fetched is None:
            self.tracker.fetch_failed(
                command.ref, self._fleet.now, self._fleet.rng
            )
        else:
            self._put(command.ref, self._merge(command.ref, fetched))


class _Fleet:
    """Nodes, the store, and an operator who writes again what was lost."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.tables = restored_table.Tables()
        self.nodes = [_Node(self, number) for number in range(NODES)]
        self._revision = 0
        self._copy = copy.deepcopy(self.tables.state)
        self._written: list[tuple[str, bytes | None]] = []
        self._lost: list[tuple[str, bytes | None]] = []

    def step(self) -> None:
        """Let one thing happen."""
        self.now += STEP_S
        kinds = {
            self._configure: 2.0,
            self._evacuate: 1.5,
            self._take_back: 1.5,
            self._take_copy: 1.0,
            self._restore: 0.5,
            self._write_again: 1.0,
            self._read: 5.0,
            self._hear: 12.0,
            self._replace_node: 0.7,
            self._use_number: 1.0,
        }
        (kind,) = self.rng.choices(list(kinds), list(kinds.values()))
        kind()

    def settle(self) -> None:
        """Let all be written again, read and heard."""
        self._write_again()
        for _ in range(6):
            self.now += 1.0
            for follower in self.nodes[:FOLLOWERS]:
                follower.read()
            for _ in range(3):
                for each in self.nodes:
                    for peer in self.nodes:
                        each.hear(peer)

    def _write(self, key: str, value: bytes | None) -> None:
        self._write_again()
        self._apply(key, value)

    def _apply(self, key: str, value: bytes | None) -> None:
        self.tables.change(key, value)
        self._written.append((key, value))

    def _configure(self) -> None:
        self._revision += 1
        self._write(CONFIG, str(self._revision).encode())

    def _evacuate(self) -> None:
        self._write(self.rng.choice(ZONES), b"{}")

    def _take_back(self) -> None:
        self._write(self.rng.choice(ZONES), None)

    def _take_copy(self) -> None:
        self._copy = copy.deepcopy(self.tables.state)
        self._written = []

    def _restore(self) -> None:
        self._lost = [*self._written, *self._lost]
        self.tables.restore(self._copy)
        self._written = []

    def _write_again(self) -> None:
        lost, self._lost = self._lost, []
        for key, value in lost:
            self._apply(key, value)

    def _read(self) -> None:
        self.nodes[self.rng.randrange(FOLLOWERS)].read()

    def _hear(self) -> None:
        one, other = self.rng.sample(self.nodes, 2)
        one.hear(other)

    def _replace_node(self) -> None:
        number = self.rng.randrange(NODES)
        self.nodes[number] = _Node(self, number)
        self.nodes[number].read()

    def _use_number(self) -> None:
        self.tables.state.version += 1


def _compute_digest(document: bytes) -> ids.Digest:
    content, _ = followed.split_content(document)
    return configuration.compute_digest(content)


# Guards against nodes that hear of the era with the rows that they hold, and
# take later changes for known, or never fetch what a peer knows beyond them.
@pytest.mark.parametrize("seed", [*range(60), 793, 833, 837, 1333])
def test_all_nodes_end_with_the_rows_of_the_restored_store(seed: int) -> None:
    fleet = _Fleet(seed)
    for _ in range(STEPS):
        fleet.step()
    fleet.settle()
    rows = fleet.tables.state.rows
    expected = {key: value.decode() for key, (value, _) in rows.items()}
    assert [each.rows for each in fleet.nodes] == [expected] * NODES


# Guards against a row of the copy that counts as written in the new era: the
# node had read the store before the copy, and lacked a change that it has.
def test_a_change_before_the_copy_does_not_move_the_bound_of_the_era() -> None:
    tables = restored_table.Tables()
    behind = restored_table.Node(tables)
    behind.read()
    tables.change(CONFIG, b"1")
    copied = copy.deepcopy(tables.state)
    tables.change(CONFIG, b"2")
    ahead = restored_table.Node(tables)
    ahead.read()
    tables.restore(copied)
    behind.read()
    ahead.fetch(behind)
    assert ahead.rows[CONFIG] == "2"
