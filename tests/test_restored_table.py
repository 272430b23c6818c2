"""Nodes that read a table which comes back from older copies.

The operator writes again what was lost.  Nodes read the store or one another,
start anew, and miss changes; in the end all have the rows of the store, and no
configuration that was in force is replaced by an earlier one.
"""

import asyncio
import copy
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_store import client
from marjoramledge_store import followed
from returns import result

TABLE = "operator"
CONFIG = "config"
ZONES = ("evacuate/a", "evacuate/b")
NODES = 3


@dataclasses.dataclass(slots=True)
class _State:
    """Rows with their versions, and the changes that led to them."""

    version: int
    rows: dict[str, tuple[bytes, int]]
    changes: list[tuple[int, str, bytes | None]]


class _Tables:
    """In-memory tables that can come back from a copy."""

    def __init__(self) -> None:
        self.era = 1
        self.state = _State(
            version=1, rows={CONFIG: (b"0", 1)}, changes=[(1, CONFIG, b"0")]
        )
        self.history_start = 0

    def change(self, key: str, value: bytes | None) -> None:
        state = self.state
        state.version += 1
        if value is None:
            if state.rows.pop(key, None) is None:
                return
        else:
            state.rows[key] = (value, state.version)
        state.changes.append((state.version, key, value))

    def restore(self, state: _State) -> None:
        self.era += 1
        self.state = copy.deepcopy(state)
        self.history_start = min(self.history_start, self.state.version)

    async def close(self) -> None:
        """Do nothing, since nothing is open."""

    async def list_rows(
        self, table: str
    ) -> result.Result[followed.Rows, client.StoreError]:
        assert table == TABLE
        rows = self.state.rows
        return result.Success(
            followed.Rows(
                rows={key: value for key, (value, _) in rows.items()},
                removed=frozenset(),
                version=self.state.version,
                row_versions={key: at for key, (_, at) in rows.items()},
                era=self.era,
            )
        )

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[followed.Rows, client.StoreError]:
        del wait_s
        assert table == TABLE
        if not self.history_start <= after <= self.state.version:
            return result.Failure(client.StoreError.HISTORY_GONE)
        latest = {
            key: (at, value)
            for at, key, value in self.state.changes
            if at > after
        }
        return result.Success(
            followed.Rows(
                rows={
                    key: value
                    for key, (_, value) in latest.items()
                    if value is not None
                },
                removed=frozenset(
                    key for key, (_, value) in latest.items() if value is None
                ),
                version=self.state.version,
                row_versions={key: at for key, (at, _) in latest.items()},
                era=self.era,
            )
        )

    async def put_row(
        self, table: str, key: str, value: bytes
    ) -> result.Result[None, client.StoreError]:
        raise AssertionError("the operator's table is not written")


def _is_later(key: str, text: str, other: str) -> bool:
    return key == CONFIG and int(other) > int(text)


class _Node:
    """What a node holds, and its reader of the store."""

    def __init__(self, tables: _Tables) -> None:
        self.store = followed.ChangeFeedStore(
            tables=tables, operator_table=TABLE, is_later=_is_later
        )
        self.document = b""
        self.version = configuration.NO_VERSION.version

    @property
    def rows(self) -> dict[str, str]:
        return followed.decode_rows(self.document) if self.document else {}

    def read(self) -> None:
        """Read the store, and merge what was read."""
        asyncio.run(self._read())

    async def _read(self) -> None:
        ref = configuration.VersionRef(
            version=self.version, digest=ids.Digest("")
        )
        read = await self.store.wait_version(ref, 0.0)
        row = read.unwrap()
        if row is not None:
            found = await self.store.get_manifest(row.ref.digest)
            self._merge(found.unwrap(), row.ref.version)

    def fetch(self, peer: "_Node") -> None:
        """Merge what a peer holds."""
        if peer.document:
            self._merge(peer.document, peer.version)

    def _merge(self, document: bytes, version: ids.ConfigVersion) -> None:
        before = self.rows.get(CONFIG)
        self.document = self.store.merge_documents(
            self.document, self.version, document, version
        )
        self.version = max(self.version, version)
        after = self.rows.get(CONFIG)
        if before is not None:
            assert after is not None
            assert int(after) >= int(before), "an earlier configuration"


class RestoredTableMachine(stateful.RuleBasedStateMachine):
    """Compares what nodes hold in the end with the rows of the store."""

    def __init__(self) -> None:
        super().__init__()
        self.tables = _Tables()
        self.revision = 0
        self.copy = copy.deepcopy(self.tables.state)
        self.written_since_copy: list[tuple[str, bytes | None]] = []
        self.lost: list[tuple[str, bytes | None]] = []
        self.nodes = [_Node(self.tables) for _ in range(NODES)]

    def _write(self, key: str, value: bytes | None) -> None:
        self.tables.change(key, value)
        self.written_since_copy.append((key, value))

    @stateful.rule()
    def operator_changes_the_configuration(self) -> None:
        """Write the next configuration, after what is to be written again."""
        self.operator_writes_again()
        self.revision += 1
        self._write(CONFIG, str(self.revision).encode())

    @stateful.rule(zone=strategies.sampled_from(ZONES))
    def operator_evacuates(self, zone: str) -> None:
        """Evacuate a zone."""
        self.operator_writes_again()
        self._write(zone, b"{}")

    @stateful.rule(zone=strategies.sampled_from(ZONES))
    def operator_takes_back(self, zone: str) -> None:
        """End the evacuation of a zone."""
        self.operator_writes_again()
        self._write(zone, None)

    @stateful.rule()
    def another_table_changes(self) -> None:
        """Let another writer use up a number."""
        self.tables.state.version += 1

    @stateful.rule()
    def store_is_copied(self) -> None:
        """Take a copy."""
        self.copy = copy.deepcopy(self.tables.state)
        self.written_since_copy.clear()

    @stateful.rule()
    def store_is_restored(self) -> None:
        """Come back from the copy; what was lost is to be written again."""
        self.lost = [*self.written_since_copy, *self.lost]
        self.tables.restore(self.copy)
        self.written_since_copy.clear()

    @stateful.rule()
    def operator_writes_again(self) -> None:
        """Write in order what was lost."""
        lost, self.lost = self.lost, []
        for key, value in lost:
            self._write(key, value)

    @stateful.rule(number=strategies.integers(0, NODES - 1))
    def node_reads(self, number: int) -> None:
        """Read the store."""
        self.nodes[number].read()

    @stateful.rule(
        number=strategies.integers(0, NODES - 1),
        peer=strategies.integers(0, NODES - 1),
    )
    def node_fetches(self, number: int, peer: int) -> None:
        """Merge what a peer holds."""
        self.nodes[number].fetch(self.nodes[peer])

    @stateful.rule(number=strategies.integers(0, NODES - 1))
    def node_starts_anew(self, number: int) -> None:
        """Lose all that a node knows."""
        self.nodes[number] = _Node(self.tables)

    def teardown(self) -> None:
        """Let all be written again, read and exchanged; compare the rows."""
        self.operator_writes_again()
        for _ in range(2):
            for each in self.nodes:
                each.read()
                for peer in self.nodes:
                    each.fetch(peer)
                    peer.fetch(each)
        expected = {
            key: value.decode()
            for key, (value, _) in self.tables.state.rows.items()
        }
        for each in self.nodes:
            assert each.rows == expected


# Guards against nodes that ignore what is written to a restored store, that
# fall back to its copy, or that keep for ever what the operator has removed.
TestRestoredTable = RestoredTableMachine.TestCase
TestRestoredTable.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=25, deadline=None
)
