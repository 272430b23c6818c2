"""Nodes that read a table which comes back from older copies.

The operator writes again what was lost.  Nodes read the store or one another,
start anew, and miss changes; in the end all have the rows of the store, and no
configuration that was in force is replaced by an earlier one.
"""

import copy

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import restored_table

ZONES = ("evacuate/a", "evacuate/b")
NODES = 3


class RestoredTableMachine(stateful.RuleBasedStateMachine):
    """Compares what nodes hold in the end with the rows of the store."""

    def __init__(self) -> None:
        super().__init__()
        self.tables = restored_table.Tables()
        self.revision = 0
        self.copy = copy.deepcopy(self.tables.state)
        self.written_since_copy: list[tuple[str, bytes | None]] = []
        self.lost: list[tuple[str, bytes | None]] = []
        self.nodes = [restored_table.Node(self.tables) for _ in range(NODES)]

    def _write(self, key: str, value: bytes | None) -> None:
        self.tables.change(key, value)
        self.written_since_copy.append((key, value))

    @stateful.rule()
    def operator_changes_the_configuration(self) -> None:
        """Write the next configuration, after what is to be written again."""
        self.operator_writes_again()
        self.revision += 1
        self._write(restored_table.CONFIG, str(self.revision).encode())

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
        self.nodes[number] = restored_table.Node(self.tables)

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
