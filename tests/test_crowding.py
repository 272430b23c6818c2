"""The limit that a gate learns from the contention of concurrent calls."""

import dataclasses
import math
import random

import hypothesis
from hypothesis import strategies
from marjoramledge_core import _contention
from marjoramledge_core import node
from marjoramledge_standins import builders
import pytest

SLOTS = 9
KNEE = 7
SLOWDOWN = 1.7
CALL_S = 0.02


def _learn_limits(
    seed: int, slots: int, knee: int, *, is_full: bool = False
) -> list[int]:
    """Run calls within the limit, and return the limits chosen."""
    rng = random.Random(seed)
    estimate = _contention.ContentionEstimate(slots=slots)
    now, limit, limits = 100.0, slots, []
    for _ in range(3000):
        now += CALL_S
        running = limit if is_full else rng.randint(1, limit)
        ratio = rng.lognormvariate(0.0, 0.5)
        if running > knee:
            ratio *= SLOWDOWN
        estimate.note(running, ratio, now)
        limit = estimate.choose_limit(now)
        limits.append(limit)
    return limits[1000:]


# Guards against late calls at servers that slow down when nearly full.
@pytest.mark.parametrize("seed", range(1, 9))
@pytest.mark.parametrize("is_full", [False, True])
@pytest.mark.parametrize(("slots", "knee"), [(4, 3), (9, 7), (12, 9)])
def test_the_limit_settles_where_a_server_slows_down(
    slots: int, knee: int, is_full: bool, seed: int
) -> None:
    limits = _learn_limits(seed, slots, knee, is_full=is_full)
    assert sum(limit <= knee for limit in limits) >= 0.8 * len(limits)
    assert sum(limit >= knee - 1 for limit in limits) >= 0.8 * len(limits)


# Guards against limits below the slots of servers that serve best when full.
@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("is_full", [False, True])
@pytest.mark.parametrize("slots", [1, 2, 4, 9, 12])
def test_the_limit_stays_at_the_slots_without_contention(
    slots: int, is_full: bool, seed: int
) -> None:
    limits = _learn_limits(seed, slots, slots, is_full=is_full)
    assert sum(limits) >= 0.9 * slots * len(limits)


# Guards against late calls after a common start: no server has been measured,
# and those that are cold are not measured until they are warm.
@pytest.mark.parametrize(
    ("slots", "expected"), [(1, 1), (2, 2), (4, 3), (9, 7), (11, 9), (12, 10)]
)
def test_an_unmeasured_server_is_not_filled(slots: int, expected: int) -> None:
    estimate = _contention.ContentionEstimate(slots=slots)
    assert estimate.choose_limit(100.0) == expected
    for number in range(4):
        estimate.note(expected, 1.0, 100.0 + CALL_S * number)
    assert estimate.choose_limit(101.0) == slots


def test_a_cold_gate_leaves_the_last_slots_unused() -> None:
    driver = builders.CoreDriver()
    driver.configure()
    server = builders.build_server(slots=9)
    driver.submit(
        node.ServerAnnounced(
            server=dataclasses.replace(server, cold_concurrency=9)
        )
    )
    started = [
        command
        for number in range(9)
        for command in driver.offer(f"c{number}")
        if isinstance(command, node.StartWork)
    ]
    assert len(started) == KNEE


class _Reference:
    """Keeps every call and recomputes all weights for each choice."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.calls: list[tuple[int, float, float]] = []

    def choose_limit(self, now: float) -> int:
        weights = [0.0] * self.slots
        sums = [0.0] * self.slots
        for running, ratio, at in self.calls:
            weight = math.exp(-(now - at) / _contention.TIME_CONSTANT_S)
            weights[running - 1] += weight
            sums[running - 1] += weight * math.log(ratio)
        if sum(weights) < _contention.MIN_CALLS:
            return max(1, round(_contention.UNMEASURED_SHARE * self.slots))
        min_limit = max(1, round(_contention.MIN_LIMIT_SHARE * self.slots))
        mean = sum(sums) / sum(weights)
        rates = []
        for index in range(self.slots):
            prior = _contention.PRIOR_CALLS
            mean = (sums[index] + prior * mean) / (weights[index] + prior)
            rates.append(math.log(index + 1) - mean)
        best = self.slots
        while (
            rates[best - 1]
            < max(rates[min_limit - 1 :]) - _contention.MIN_GAIN
        ):
            best -= 1
        if weights[best - 1] < 2 * _contention.MIN_CALLS:
            return best
        undersampled = [
            running
            for running in range(min_limit, best)
            if weights[running - 1] < _contention.SETTLED_CALLS
        ]
        return max(undersampled, default=best)


CALLS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, SLOTS),
        strategies.sampled_from([0.3, 0.7, 1.0, 1.7, 4.0]),
        strategies.sampled_from([0.0, 0.05, 1.3, 15.0]),
    ),
    max_size=60,
)


@hypothesis.given(CALLS)
def test_the_limit_matches_the_reference(
    calls: list[tuple[int, float, float]],
) -> None:
    estimate = _contention.ContentionEstimate(slots=SLOTS)
    reference = _Reference(SLOTS)
    now = 100.0
    for running, ratio, pause_s in calls:
        now += pause_s
        estimate.note(running, ratio, now)
        reference.calls.append((running, ratio, now))
        limit = estimate.choose_limit(now)
        assert limit == reference.choose_limit(now)
        assert round(_contention.MIN_LIMIT_SHARE * SLOTS) <= limit <= SLOTS
