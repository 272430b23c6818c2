"""Roll-outs by a few nodes under virtual time."""

import dataclasses
import typing

from marjoramledge_core import ids
from marjoramledge_core import node
import pytest
import rollout_fleet

OLD: typing.Final = rollout_fleet.OLD
NEW: typing.Final = rollout_fleet.NEW
REVERTED: typing.Final = node.RolloutPhase.REVERTED
COMPLETED: typing.Final = node.RolloutPhase.COMPLETED
CALLS_PER_S: typing.Final = 250.0
EXPOSE_SHARE: typing.Final = 0.1


def _build_fleet(seed: int = 1) -> rollout_fleet.Fleet:
    """Build a fleet of six old and three new servers, with some traffic."""
    fleet = rollout_fleet.Fleet(versions=[OLD] * 6 + [NEW] * 3, seed=seed)
    return fleet


def _forget_counts(fleet: rollout_fleet.Fleet) -> None:
    fleet.sent.clear()
    fleet.sent_at.clear()
    fleet.calls = 0


def test_a_good_version_is_completed_before_the_deadline() -> None:
    fleet = _build_fleet()
    fleet.order(rollout_fleet.build_order())
    fleet.run(8.0, calls_per_s=CALLS_PER_S)
    assert fleet.sent[NEW] <= EXPOSE_SHARE * fleet.calls
    assert fleet.sent[NEW] >= 0.5 * EXPOSE_SHARE * fleet.calls
    fleet.run(4.0, calls_per_s=CALLS_PER_S)
    assert fleet.phases() == {COMPLETED}
    assert [row.phase for row in fleet.store.history] == [
        node.RolloutPhase.RUNNING,
        COMPLETED,
    ]
    _forget_counts(fleet)
    fleet.run(1.0, calls_per_s=CALLS_PER_S)
    assert not fleet.sent[OLD]


# Guards against old servers that stop while entries still send to them.
def test_all_requests_have_moved_when_the_completion_is_written() -> None:
    fleet = _build_fleet()
    fleet.order(rollout_fleet.build_order())
    while fleet.store.row is None or fleet.store.row.phase is not COMPLETED:
        fleet.run(0.05, calls_per_s=CALLS_PER_S)
    recent = [at for at, _, version in fleet.sent_at if version == OLD]
    assert fleet.now - recent[-1] >= 0.5


@pytest.mark.parametrize("is_slow", [False, True])
def test_a_bad_version_is_reverted_and_gets_no_request(is_slow: bool) -> None:
    fleet = _build_fleet()
    fleet.run(2.0, calls_per_s=CALLS_PER_S)
    fleet.order(rollout_fleet.build_order())
    if is_slow:
        fleet.response_s[NEW] = 0.16
    else:
        fleet.error_shares[NEW] = 0.45
    _forget_counts(fleet)
    fleet.run(6.0, calls_per_s=CALLS_PER_S)
    assert fleet.phases() == {REVERTED}
    assert fleet.store.row is not None
    assert fleet.store.row.phase is REVERTED
    assert fleet.sent[NEW] <= EXPOSE_SHARE * fleet.calls
    _forget_counts(fleet)
    fleet.run(8.0, calls_per_s=CALLS_PER_S)
    assert not fleet.sent[NEW]
    for number in range(6):
        fleet.kill(number)
    fleet.run(10.0, calls_per_s=10.0)
    assert not fleet.sent[NEW]


def test_the_deciders_may_die() -> None:
    fleet = _build_fleet()
    fleet.order(rollout_fleet.build_order())
    fleet.run(3.0, calls_per_s=CALLS_PER_S)
    # The first node of each zone decides.
    fleet.kill(0)
    fleet.kill(1)
    fleet.error_shares[NEW] = 0.45
    fleet.run(9.0, calls_per_s=CALLS_PER_S)
    assert fleet.phases() == {REVERTED}
    assert fleet.store.row is not None
    assert fleet.store.row.phase is REVERTED
    assert sum(version == NEW for _, _, version in fleet.sent_at) < 400


@pytest.mark.parametrize("error_share", [0.0, 0.45])
def test_the_decision_is_written_when_the_store_is_back(
    error_share: float,
) -> None:
    fleet = _build_fleet()
    fleet.order(rollout_fleet.build_order())
    fleet.run(1.0, calls_per_s=CALLS_PER_S)
    fleet.store.is_up = False
    fleet.error_shares[NEW] = error_share
    fleet.run(10.0, calls_per_s=CALLS_PER_S)
    _forget_counts(fleet)
    fleet.run(1.0, calls_per_s=CALLS_PER_S)
    assert not fleet.sent[NEW if error_share else OLD]
    assert fleet.store.row is not None
    assert fleet.store.row.phase is node.RolloutPhase.RUNNING
    fleet.store.is_up = True
    fleet.run(3.0, calls_per_s=CALLS_PER_S)
    assert fleet.phases() == {REVERTED if error_share else COMPLETED}


# Guards against a node that is cut off and never hears of the reversal.
def test_a_node_that_is_cut_off_exposes_no_more_requests() -> None:
    fleet = _build_fleet()
    fleet.order(rollout_fleet.build_order())
    fleet.run(3.0, calls_per_s=CALLS_PER_S)
    fleet.cut = {8}
    cut_at = fleet.now
    fleet.run(9.0, calls_per_s=CALLS_PER_S)
    late = [
        at
        for at, entry, version in fleet.sent_at
        if entry == 8 and version == NEW and at > cut_at + 2.5
    ]
    assert not late


def test_a_restarted_node_sends_nothing_before_it_knows_the_state() -> None:
    fleet = _build_fleet()
    fleet.order(rollout_fleet.build_order())
    fleet.run(1.0, calls_per_s=CALLS_PER_S)
    fleet.error_shares[NEW] = 0.45
    fleet.run(3.0, calls_per_s=CALLS_PER_S)
    assert fleet.phases() == {REVERTED}
    _forget_counts(fleet)
    for number in (0, 4, 8):
        fleet.restart(number)
    fleet.run(3.0, calls_per_s=CALLS_PER_S)
    assert not fleet.sent[NEW]
    assert fleet.phases() == {REVERTED}


# Guards against a fleet that forgets a decision when all nodes restart.
@pytest.mark.parametrize("error_share", [0.0, 0.45])
def test_a_restarted_fleet_reads_the_decision(error_share: float) -> None:
    fleet = _build_fleet()
    fleet.order(rollout_fleet.build_order())
    fleet.error_shares[NEW] = error_share
    fleet.run(12.0, calls_per_s=CALLS_PER_S)
    decided = {REVERTED if error_share else COMPLETED}
    assert fleet.phases() == decided
    for number in list(fleet.alive):
        fleet.kill(number)
    for number in range(9):
        fleet.restart(number)
    _forget_counts(fleet)
    fleet.run(5.0, calls_per_s=CALLS_PER_S)
    assert fleet.phases() == decided
    if error_share:
        assert not fleet.sent[NEW]


def test_a_decision_is_written_again_to_a_restored_store() -> None:
    fleet = _build_fleet()
    fleet.order(rollout_fleet.build_order())
    fleet.error_shares[NEW] = 0.45
    fleet.run(1.0, calls_per_s=CALLS_PER_S)
    copied = fleet.store.row
    fleet.run(5.0, calls_per_s=CALLS_PER_S)
    assert fleet.phases() == {REVERTED}
    fleet.store.row = copied
    fleet.enter_era(2)
    fleet.run(5.0, calls_per_s=CALLS_PER_S)
    assert fleet.store.row is not None
    assert fleet.store.row.phase is REVERTED


def test_a_withdrawn_order_ends_as_reverted() -> None:
    fleet = _build_fleet()
    fleet.order(rollout_fleet.build_order())
    fleet.run(3.0, calls_per_s=CALLS_PER_S)
    fleet.order()
    _forget_counts(fleet)
    fleet.run(2.0, calls_per_s=CALLS_PER_S)
    assert fleet.phases() == {REVERTED}
    assert fleet.store.row is not None
    assert fleet.store.row.phase is REVERTED
    assert not fleet.sent[NEW]


def test_a_second_order_replaces_the_first_one() -> None:
    other = ids.ServerVersion("v3")
    versions = [OLD] * 6 + [NEW] * 3 + [other] * 3
    fleet = rollout_fleet.Fleet(versions=versions, seed=1)
    fleet.order(rollout_fleet.build_order())
    fleet.run(3.0, calls_per_s=CALLS_PER_S)
    fleet.order(rollout_fleet.build_order("2", other))
    fleet.run(12.0, calls_per_s=CALLS_PER_S)
    assert fleet.phases("1") == {REVERTED}
    assert fleet.phases("2") == {COMPLETED}
    written = [(row.order, row.phase) for row in fleet.store.history]
    assert written == [
        ("1", node.RolloutPhase.RUNNING),
        ("1", REVERTED),
        ("2", node.RolloutPhase.RUNNING),
        ("2", COMPLETED),
    ]


# Guards against a row that reports the end of an earlier order for the same
# version: it would be taken for the end of the order in force.
def test_a_second_order_for_the_same_version_does_not_end_as_the_first() -> (
    None
):
    fleet = _build_fleet()
    fleet.order(rollout_fleet.build_order())
    fleet.run(3.0, calls_per_s=CALLS_PER_S)
    fleet.order(rollout_fleet.build_order("2"))
    fleet.run(12.0, calls_per_s=CALLS_PER_S)
    assert fleet.phases("1") == {REVERTED}
    assert fleet.phases("2") == {COMPLETED}
    written = [(row.order, row.phase) for row in fleet.store.history]
    assert written == [
        ("1", node.RolloutPhase.RUNNING),
        ("2", node.RolloutPhase.RUNNING),
        ("2", COMPLETED),
    ]


@pytest.mark.parametrize(
    "order",
    [
        rollout_fleet.build_order(version=rollout_fleet.ABSENT),
        rollout_fleet.build_order(problem="no duration"),
    ],
)
def test_an_order_that_cant_be_followed_ends_as_reverted(
    order: rollout_fleet.Order,
) -> None:
    fleet = _build_fleet()
    fleet.order(order)
    fleet.run(12.0, calls_per_s=CALLS_PER_S)
    assert fleet.phases() == {REVERTED}
    assert fleet.store.row is not None
    assert fleet.store.row.phase is REVERTED
    # A reverted version gets no requests; others serve as before.
    assert fleet.sent[OLD]
    assert bool(fleet.sent[NEW]) == (order.version != NEW)
    assert any(
        record.kind is node.RecordKind.ROLLOUT_REVERTED
        for record in fleet.records
    )


# Guards against retries, hedges and the preference of the local server.
def test_only_first_attempts_go_to_the_new_version() -> None:
    fleet = _build_fleet()
    fleet.order(rollout_fleet.build_order())
    fleet.run(1.0, calls_per_s=CALLS_PER_S)
    fleet.error_shares[OLD] = 0.5
    fleet.response_s[OLD] = 0.2
    fleet.run(6.0, calls_per_s=CALLS_PER_S)
    assert fleet.sent[OLD] > fleet.calls
    assert fleet.sent[NEW] <= EXPOSE_SHARE * fleet.calls


def test_mixed_versions_without_an_order_are_served_alike() -> None:
    fleet = _build_fleet()
    fleet.run(2.0, calls_per_s=CALLS_PER_S)
    assert fleet.sent[NEW] > 0.2 * fleet.calls


# Guards against an order that stops a service: there is nothing to compare.
def test_an_order_for_the_only_version_refuses_nothing() -> None:
    fleet = rollout_fleet.Fleet(versions=[NEW] * 4)
    fleet.order(rollout_fleet.build_order())
    fleet.run(3.0, calls_per_s=CALLS_PER_S)
    assert fleet.sent[NEW] >= fleet.calls
    assert not fleet.refused


# Guards against an order that refuses all requests of its service.
@pytest.mark.parametrize("problem", ["invalid duration", ""])
def test_an_order_for_the_only_version_that_ends_refuses_nothing(
    problem: str,
) -> None:
    fleet = rollout_fleet.Fleet(versions=[OLD] * 4, seed=1)
    fleet.run(5.0, calls_per_s=40.0)
    order = rollout_fleet.build_order()
    fleet.order(dataclasses.replace(order, version=OLD, problem=problem))
    fleet.run(3.0, calls_per_s=40.0)
    if not problem:
        fleet.order()
    fleet.run(10.0, calls_per_s=40.0)
    assert fleet.phases() == {REVERTED}
    assert not fleet.refused


# Guards against a reversal that blocks a version after its order has gone.
def test_a_version_serves_alone_once_no_order_reverts_it() -> None:
    fleet = rollout_fleet.Fleet(versions=[OLD, OLD, NEW, NEW], seed=1)
    fleet.run(5.0, calls_per_s=40.0)
    fleet.order(rollout_fleet.build_order())
    fleet.run(3.0, calls_per_s=40.0)
    fleet.order()
    fleet.run(3.0, calls_per_s=40.0)
    for number in range(2):
        fleet.versions[number] = NEW
        fleet.announce(number)
    fleet.run(2.0)
    refused = fleet.refused
    fleet.run(10.0, calls_per_s=40.0)
    assert fleet.refused == refused
