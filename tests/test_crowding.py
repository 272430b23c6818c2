"""The limit that is learnt from how long calls take beside others."""

import math
import random

import hypothesis
from hypothesis import strategies
from marjoramledge_core import _contention
import pytest

SLOTS = 9
KNEE = 7
SLOWED = 1.7
CALL_S = 0.02


def _learn(
    seed: int, slots: int, knee: int, *, is_full: bool = False
) -> list[int]:
    """Fill a server up to its limit or less; return the limits chosen."""
    rng = random.Random(seed)
    crowding = _contention.ContentionEstimate(slots=slots)
    now, limit, limits = 100.0, slots, []
    for _ in range(3000):
        now += CALL_S
        running = limit if is_full else rng.randint(1, limit)
        ratio = rng.lognormvariate(0.0, 0.5)
        if running > knee:
            ratio *= SLOWED
        crowding.note(running, ratio, now)
        limit = crowding.choose_limit(now)
        limits.append(limit)
    return limits[1000:]


# Guards against late calls at servers that slow down when nearly full.
@pytest.mark.parametrize("is_full", [False, True])
@pytest.mark.parametrize(("slots", "knee"), [(4, 3), (9, 7), (12, 9)])
def test_the_limit_stays_where_a_server_slows_down(
    slots: int, knee: int, is_full: bool
) -> None:
    limits = _learn(1, slots, knee, is_full=is_full)
    assert sum(limit <= knee for limit in limits) >= 0.8 * len(limits)
    assert sum(limit >= knee - 1 for limit in limits) >= 0.8 * len(limits)


# Guards against servers held back that serve best when full.
@pytest.mark.parametrize("is_full", [False, True])
@pytest.mark.parametrize("slots", [1, 2, 4, 9, 12])
def test_a_server_that_does_not_slow_down_is_filled(
    slots: int, is_full: bool
) -> None:
    limits = _learn(1, slots, slots, is_full=is_full)
    assert sum(limits) >= 0.9 * slots * len(limits)


class _Naive:
    """Keeps every call and weighs them all anew for each choice."""

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
            return self.slots
        least = max(1, round(_contention.MIN_LIMIT_SHARE * self.slots))
        mean = sum(sums) / sum(weights)
        rates = []
        for place in range(self.slots):
            prior = _contention.PRIOR_CALLS
            mean = (sums[place] + prior * mean) / (weights[place] + prior)
            rates.append(math.log(place + 1) - mean)
        best = self.slots
        while rates[best - 1] < max(rates[least - 1 :]) - _contention.MIN_GAIN:
            best -= 1
        if weights[best - 1] < 2 * _contention.MIN_CALLS:
            return best
        unknown = [
            running
            for running in range(least, best)
            if weights[running - 1] < _contention.MIN_CALLS
        ]
        return max(unknown, default=best)


CALLS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, SLOTS),
        strategies.sampled_from([0.3, 0.7, 1.0, 1.7, 4.0]),
        strategies.sampled_from([0.0, 0.05, 1.3, 15.0]),
    ),
    max_size=60,
)


@hypothesis.given(CALLS)
def test_the_choice_is_that_of_the_naive_version(
    calls: list[tuple[int, float, float]],
) -> None:
    crowding = _contention.ContentionEstimate(slots=SLOTS)
    naive = _Naive(SLOTS)
    now = 100.0
    for running, ratio, pause_s in calls:
        now += pause_s
        crowding.note(running, ratio, now)
        naive.calls.append((running, ratio, now))
        limit = crowding.choose_limit(now)
        assert limit == naive.choose_limit(now)
        assert round(_contention.MIN_LIMIT_SHARE * SLOTS) <= limit <= SLOTS
