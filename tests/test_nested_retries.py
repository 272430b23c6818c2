"""Calls that call other services, and levels that all retry."""

from marjoramledge_core import _budget
from marjoramledge_standins import measure_retries


# Guards against a retry storm: the lowest of eleven services fails half of
# its calls, and each level above repeats what the one below has repeated.
def test_nested_retries_do_not_multiply() -> None:
    measured = measure_retries.measure_amplification()
    assert measured.value <= measure_retries.BOUND


# Error answers are still replaced where the operators say what is borne.
def test_the_fleet_budget_pays_for_error_answers() -> None:
    budget = _budget.RetryBudget()
    budget.set_share(_budget.FleetRetryBudget(ratio=0.2, slack=60.0), 10)
    retried = 0
    for _ in range(1000):
        budget.earn()
        retried += budget.spend_on_error()
    assert retried >= 0.9 * 1000 * _budget.RATIO_FRACTION * 0.2
