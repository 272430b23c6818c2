"""Backend servers that slow down before their last slot is used."""

import dataclasses

from marjoramledge_standins import driver
from marjoramledge_standins import experiment

LOAD = 0.7
DURATION_S = 30.0
SEED = 1
# Part of what a limit set by hand serves in time that one which has to be
# learnt must serve.
PART_OF_BEST = 0.9


def _serve_in_time(
    pattern: str, *, announced_slots: int | None = None
) -> float:
    scenario = dataclasses.replace(
        experiment.build_scenario(pattern, LOAD, SEED),
        duration_s=DURATION_S,
        announced_slots=announced_slots,
    )
    result = driver.run_scenario(scenario, driver.Policy.OURS)
    return experiment.share_in_target(result)


# Guards against calls that come late because a gate uses the last slots of a
# backend server that works slower when it is nearly full.
def test_a_server_is_not_filled_beyond_where_it_slows_down() -> None:
    best = _serve_in_time("knee", announced_slots=4)
    assert _serve_in_time("knee") >= PART_OF_BEST * best
