"""Random faults while a roll-out runs: one verdict, and bounded exposure.

Guards against two nodes that decide differently, a decision that changes after
it was written, and exposure that adds up over cut-off or restarted nodes.
"""

import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from marjoramledge_core import node
import rollout_fleet

EXPOSE_SHARE: typing.Final = 0.1
CALLS_PER_S: typing.Final = 120.0
MAX_DEAD: typing.Final = 2
NODES: typing.Final = 7
FINAL: typing.Final = (
    node.RolloutPhase.REVERTED,
    node.RolloutPhase.COMPLETED,
)


class RolloutMachine(stateful.RuleBasedStateMachine):
    """A fleet with an order, and faults of nodes, links and the store."""

    @stateful.initialize(
        seed=strategies.integers(0, 1000),
        error_share=strategies.sampled_from([0.0, 0.0, 0.4, 0.5]),
    )
    def begin(self, seed: int, error_share: float) -> None:
        """Order the roll-out."""
        old, new = rollout_fleet.OLD, rollout_fleet.NEW
        self.fleet = rollout_fleet.Fleet(
            versions=[old, new, old, old, new, old, new],
            zones=("north", "south"),
            seed=seed,
        )
        self.fleet.order(rollout_fleet.build_order())
        self.fleet.error_shares[new] = error_share

    @stateful.rule(seconds=strategies.sampled_from([0.3, 1.0, 2.5]))
    def pass_time(self, seconds: float) -> None:
        """Serve callers."""
        self.fleet.run(seconds, calls_per_s=CALLS_PER_S)

    @stateful.rule(number=strategies.integers(0, NODES - 1))
    def kill(self, number: int) -> None:
        """End a node, often one that decides."""
        if NODES - len(self.fleet.alive) < MAX_DEAD:
            self.fleet.kill(number)

    @stateful.rule()
    def restart(self) -> None:
        """Start a dead node."""
        dead = sorted(set(range(NODES)) - self.fleet.alive)
        if dead:
            self.fleet.restart(dead[0])

    @stateful.rule(
        numbers=strategies.sets(
            strategies.integers(0, NODES - 1), max_size=NODES - 1
        )
    )
    def cut(self, numbers: set[int]) -> None:
        """Cut some nodes off from the others and from the store."""
        self.fleet.cut = numbers

    @stateful.rule(is_up=strategies.booleans(), loses=strategies.booleans())
    def disturb_store(self, is_up: bool, loses: bool) -> None:
        """Stop the store, or let it lose answers and execute writes late."""
        self.fleet.store.is_up = is_up
        self.fleet.store.loses_answers = loses

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.2, 0.5]))
    def lose_messages(self, loss: float) -> None:
        """Lose a share of the datagrams."""
        self.fleet.message_loss = loss

    @stateful.rule(error_share=strategies.sampled_from([0.0, 0.1, 0.5]))
    def change_errors(self, error_share: float) -> None:
        """Change what the new version answers."""
        self.fleet.error_shares[rollout_fleet.NEW] = error_share

    @stateful.invariant()
    def exposure_is_bounded(self) -> None:
        """Check the sum over all entries against the share."""
        fleet = getattr(self, "fleet", None)
        if fleet is not None:
            assert fleet.exposed <= EXPOSE_SHARE * fleet.calls
            assert not fleet.sent_after_reversal

    @stateful.invariant()
    def a_written_decision_stays(self) -> None:
        """Check that no final row is followed by another."""
        fleet = getattr(self, "fleet", None)
        if fleet is None:
            return
        phases = [row.phase for row in fleet.store.history]
        finals = [phase for phase in phases if phase in FINAL]
        assert len(set(finals)) <= 1
        if finals:
            assert phases[-1] == finals[0]

    def teardown(self) -> None:
        """Without faults, all nodes end with the decision of the store."""
        fleet = getattr(self, "fleet", None)
        if fleet is None:
            return
        fleet.cut = set()
        fleet.message_loss = 0.0
        fleet.store.is_up, fleet.store.loses_answers = True, False
        for number in sorted(set(range(NODES)) - fleet.alive):
            fleet.restart(number)
        fleet.run(25.0, calls_per_s=CALLS_PER_S / 4)
        self.a_written_decision_stays()
        assert fleet.store.row is not None
        assert fleet.store.row.phase in FINAL
        assert fleet.phases() == {fleet.store.row.phase}


TestRollouts = RolloutMachine.TestCase
TestRollouts.settings = hypothesis.settings(
    max_examples=20, stateful_step_count=12, deadline=None
)
