"""Fault patterns under virtual time, compared with naive policies."""

import functools

from marjoramledge_standins import driver
from marjoramledge_standins import experiment
import pytest

LOAD = 0.5


@functools.cache
def _run_pattern(pattern: str, policy: driver.Policy) -> experiment.Row:
    return experiment.run_pattern(pattern, LOAD, policy, (1,))


@pytest.mark.parametrize("pattern", list(experiment.PATTERNS))
def test_more_calls_are_in_time_than_under_naive_policies(
    pattern: str,
) -> None:
    ours = _run_pattern(pattern, driver.Policy.OURS)
    for policy in (driver.Policy.ROUND_ROBIN, driver.Policy.TWO_CHOICES):
        naive = _run_pattern(pattern, policy)
        assert ours.in_target > naive.in_target


def test_servers_that_report_no_trouble_are_detected_at_little_cost() -> None:
    reported = _run_pattern("noisy, told", driver.Policy.OURS)
    for pattern in ("slow without telling", "resets", "hangs"):
        unreported = _run_pattern(pattern, driver.Policy.OURS)
        assert unreported.in_target > reported.in_target - 0.02
        assert unreported.failed < 0.02


def test_the_table_has_a_line_for_each_row() -> None:
    row = experiment.run_pattern("noisy", 0.3, driver.Policy.ROUND_ROBIN, (1,))
    head, rule, line = experiment.format_table([row]).splitlines()
    assert head.count("|") == rule.count("|") == line.count("|")
    assert line.startswith("| noisy | 0.3 | round-robin |")
