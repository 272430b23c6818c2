"""Backend servers that slow down before their last slot is used."""

import dataclasses

from marjoramledge_standins import driver
from marjoramledge_standins import experiment

LOAD = 0.7
DURATION_S = 30.0
SEED = 1
# A learned limit must serve at least this share of the calls that the best
# fixed limit serves in time.
MIN_SHARE_OF_BEST = 0.9


def _share_in_time(
    pattern: str, *, announced_slots: int | None = None
) -> float:
    scenario = dataclasses.replace(
        experiment.build_scenario(pattern, LOAD, SEED),
        duration_s=DURATION_S,
        announced_slots=announced_slots,
    )
    result = driver.run_scenario(scenario, driver.Policy.OURS)
    return experiment.share_in_target(result)


# Guards against late calls because a gate uses the last slots of a backend
# server that slows down when it is nearly full.
def test_a_server_is_not_filled_beyond_the_point_where_it_slows_down() -> None:
    best = _share_in_time("knee", announced_slots=4)
    assert _share_in_time("knee") >= MIN_SHARE_OF_BEST * best
