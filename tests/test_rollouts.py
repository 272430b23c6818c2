"""Roll-outs by a few nodes under virtual time."""

import typing

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
