"""Patterns of trouble under virtual time, ours beside the naive policies."""

import functools

from marjoramledge_standins import driver
from marjoramledge_standins import experiment
import pytest

LOAD = 0.5


@functools.cache
def _play(pattern: str, policy: driver.Policy) -> experiment.Row:
    return experiment.run_pattern(pattern, LOAD, policy, (1,))


@pytest.mark.parametrize("pattern", list(experiment.PATTERNS))
def test_more_calls_are_in_time_than_under_naive_policies(
    pattern: str,
) -> None:
    ours = _play(pattern, driver.Policy.OURS)
    for policy in (driver.Policy.ROUND_ROBIN, driver.Policy.TWO_CHOICES):
        naive = _play(pattern, policy)
        assert ours.in_target > naive.in_target


def test_a_server_that_tells_nothing_costs_little_where_it_is_found_out() -> (
    None
):
    sound = _play("noisy, told", driver.Policy.OURS)
    for pattern in ("slow without telling", "resets", "hangs"):
        found_out = _play(pattern, driver.Policy.OURS)
        assert found_out.in_target > sound.in_target - 0.02
        assert found_out.failed < 0.02


def test_the_table_has_a_line_for_each_combination() -> None:
    row = experiment.run_pattern("noisy", 0.3, driver.Policy.ROUND_ROBIN, (1,))
    head, rule, line = experiment.format_table([row]).splitlines()
    assert head.count("|") == rule.count("|") == line.count("|")
    assert line.startswith("| noisy | 0.3 | round-robin |")
