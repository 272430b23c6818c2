"""State machine test of operators, nodes and the store.

Operators write concurrently; the store fails, responds slowly and loses
answers; nodes stop, start, pause and lose messages.  The oracle is the list of
accepted versions, which only the store decides on.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from marjoramledge_core import node
from marjoramledge_standins import builders
from marjoramledge_standins import virtual_network

NODES = 6
SETTLE_S = 60.0
NUMBERS = strategies.integers(0, NODES - 1)


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Drives six nodes, two operators and the store."""

    def __init__(self) -> None:
        super().__init__()
        self.network = virtual_network.Network(count=NODES, seed=1)
        self.network.store.accept(1)
        self.network.run(10.0)
        self.accepted = [1]
        self.read: dict[str, int] = {}
        self.highest_versions: dict[node.Address, int] = {}
        self.starts = 0

    @stateful.rule(operator=strategies.sampled_from(["ana", "bo"]))
    def read_current(self, operator: str) -> None:
        """Let an operator read the current version."""
        if self.network.store.is_up:
            self.read[operator] = self.network.store.ref.version

    @stateful.rule(
        operator=strategies.sampled_from(["ana", "bo"]),
        closed_zone=strategies.sampled_from(["", "north", "south"]),
    )
    def write(self, operator: str, closed_zone: str) -> None:
        """Let an operator write if the version they read is still current."""
        store = self.network.store
        base = self.read.pop(operator, None)
        if base is None or not store.is_up or base != store.ref.version:
            return
        store.accept(base + 1, closed_zone=closed_zone)
        self.accepted.append(base + 1)

    @stateful.rule()
    def lose_store(self) -> None:
        """Take the store down."""
        self.network.store.is_up = False

    @stateful.rule()
    def recover_store(self) -> None:
        """Bring the store back."""
        self.network.store.is_up = True

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.1, 0.4]),
        duplication=strategies.sampled_from([0.0, 0.3]),
        delay_s=strategies.sampled_from([0.003, 0.3]),
    )
    def change_link(
        self, loss: float, duplication: float, delay_s: float
    ) -> None:
        """Change the loss, duplication and delay of messages."""
        self.network.link = virtual_network.Link(
            loss=loss, duplication=duplication, max_delay_s=delay_s
        )

    @stateful.rule(number=NUMBERS, seconds=strategies.sampled_from([1, 8]))
    def pause(self, number: int, seconds: int) -> None:
        """Pause a node for some seconds."""
        if self.network.address(number) in self.network.nodes:
            self.network.pause(number, seconds)

    @stateful.rule(number=NUMBERS)
    def kill(self, number: int) -> None:
        """Kill a node, unless it is the last one."""
        address = self.network.address(number)
        if address in self.network.nodes and len(self.network.nodes) > 1:
            self.network.kill(number)

    @stateful.rule(number=NUMBERS)
    def start(self, number: int) -> None:
        """Start a node that is not running."""
        if self.network.address(number) not in self.network.nodes:
            self.starts += 1
            # A restarted node keeps no state, so it may start at version 0.
            self.highest_versions.pop(self.network.address(number), None)
            self.network.start(number, incarnation=self.starts)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 5.0]))
    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.network.run(seconds)

    @stateful.invariant()
    def versions_never_decrease(self) -> None:
        """Check that no node goes back to a lower version while it runs."""
        for address, state in self.network.nodes.items():
            version = state.versions.ref.version
            assert version >= self.highest_versions.get(address, 0)
            self.highest_versions[address] = version

    @stateful.invariant()
    def only_accepted_versions_are_in_force(self) -> None:
        """Check that each version in force was accepted with its content."""
        for state in self.network.nodes.values():
            ref = state.versions.ref
            if ref.version:
                assert ref.version in self.accepted
                assert ref == builders.build_ref(ref.version)
        assert self.accepted == list(range(1, len(self.accepted) + 1))

    def teardown(self) -> None:
        """Check that the last version is in force once all faults end."""
        self.network.link = virtual_network.Link()
        self.network.store.is_up = True
        self.network.run(SETTLE_S)
        assert self.network.versions() == {self.accepted[-1]}
        assert self.network.is_agreed()


ConfigurationMachine.TestCase.settings = hypothesis.settings(
    hypothesis.settings.get_profile("ci"),
    max_examples=25,
    stateful_step_count=30,
)
TestConfigurationMachine = ConfigurationMachine.TestCase
