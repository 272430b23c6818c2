"""A large fleet through a burst, as its callers see it."""

import functools

from marjoramledge_standins import driver
from marjoramledge_standins import fleet_burst
from marjoramledge_standins import scenarios
import pytest

SEEDS = (1, 2)
# Part of what they are owed that callers of the busiest kind must get.
BROWSE_FLOOR = 0.38
# Within this time after a burst the service is as it was before it.
RETURN_S = 2.0
PART_AFTER = 0.9


@functools.cache
def _play(seed: int) -> scenarios.RunResult:
    return driver.run_scenario(
        fleet_burst.build_scenario(seed), driver.Policy.OURS
    )


# Guards against slots that are held by calls which come too late, so that
# callers who could be served in time are not.
@pytest.mark.parametrize("seed", SEEDS)
def test_callers_are_served_in_time_through_a_burst(seed: int) -> None:
    result = _play(seed)
    assert (
        fleet_burst.mean_value(result, kind=fleet_burst.BROWSE) >= BROWSE_FLOOR
    )


# Guards against an overload that lasts after the load that brought it on.
@pytest.mark.parametrize("seed", SEEDS)
def test_the_end_of_a_burst_ends_what_it_brought_on(seed: int) -> None:
    result = _play(seed)
    before = fleet_burst.share_in_time(
        result, until_s=fleet_burst.BURST.from_s
    )
    after = fleet_burst.share_in_time(
        result, from_s=fleet_burst.BURST.until_s + RETURN_S
    )
    assert after >= PART_AFTER * before
