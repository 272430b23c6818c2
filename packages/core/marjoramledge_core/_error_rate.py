"""Recent error rate of a backend server.

A faulty server may pass its health probes and yet fail many calls, and fail
them fast, so that it looks like the fastest server.  The gate sees every call
and therefore reports a latency that grows with the error rate.  Old outcomes
lose weight, so that a server that gets few calls because of its errors gets
more again after some seconds.
"""

import typing

from marjoramledge_core import _decaying_mean

# Time after which the weight of an outcome has decayed to 1/e.
TIME_CONSTANT_S: typing.Final = 4.0
# Successful calls assumed beforehand, so that one error among few calls has
# little effect.
PRIOR_SUCCESSES: typing.Final = 6.0
# Rates up to this have no penalty: some requests fail on a healthy server.
BASELINE_ERROR_RATE: typing.Final = 0.05
# Added to the latency factor of 1 per unit of error rate above the baseline.
PENALTY_PER_ERROR_RATE: typing.Final = 20.0


class ErrorRate:
    """Exponentially decaying error rate."""

    def __init__(self) -> None:
        self._mean = _decaying_mean.DecayingMean(
            time_constant_s=TIME_CONSTANT_S,
            prior_count=PRIOR_SUCCESSES,
            prior_value=0.0,
        )

    def note(self, is_error: bool, now: float) -> None:
        """Record the outcome of a call."""
        self._mean.note(float(is_error), now)

    def penalty(self, now: float) -> float:
        """Return the factor by which to increase the reported latency."""
        excess = self._mean.mean(now) - BASELINE_ERROR_RATE
        return 1.0 + PENALTY_PER_ERROR_RATE * max(0.0, excess)
