"""A large fleet during and after a burst of calls, as callers see it."""

import functools

from marjoramledge_standins import driver
from marjoramledge_standins import fleet_burst
from marjoramledge_standins import scenarios
import pytest

SEEDS = (1, 2)
# Minimum value of the answers to calls of the busiest kind; 1.0 means that
# all are in time.
MIN_BROWSE_VALUE = 0.38
# Time after a burst within which the service must recover.
RECOVERY_S = 2.0
MIN_RECOVERED_SHARE = 0.9


@functools.cache
def _run_scenario(seed: int) -> scenarios.RunResult:
    return driver.run_scenario(
        fleet_burst.build_scenario(seed), driver.Policy.OURS
    )


# Guards against slots held by calls that will be late, so that calls which
# could be served in time are not.
@pytest.mark.parametrize("seed", SEEDS)
def test_callers_are_served_in_time_through_a_burst(seed: int) -> None:
    result = _run_scenario(seed)
    assert (
        fleet_burst.mean_value(result, kind=fleet_burst.BROWSE)
        >= MIN_BROWSE_VALUE
    )


# Guards against an overload that outlasts the burst that caused it.
@pytest.mark.parametrize("seed", SEEDS)
def test_service_recovers_after_a_burst(seed: int) -> None:
    result = _run_scenario(seed)
    before = fleet_burst.share_in_time(
        result, until_s=fleet_burst.BURST.from_s
    )
    after = fleet_burst.share_in_time(
        result, from_s=fleet_burst.BURST.until_s + RECOVERY_S
    )
    assert after >= MIN_RECOVERED_SHARE * before
