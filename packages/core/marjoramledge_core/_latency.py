"""Running estimate of a latency quantile of a kind of request.

The entry uses it to decide when a call is slow enough to justify a hedge.  The
estimate is a single number that steps up when a value lies above it and down
when one lies below, with step sizes that balance at the wanted quantile
(stochastic approximation: Robbins and Monro, "A Stochastic Approximation
Method", 1951, with steps proportional to the estimate).
"""

import typing

HEDGE_QUANTILE: typing.Final = 0.95
# Step size as a fraction of the estimate.
RELATIVE_STEP: typing.Final = 0.05


class QuantileEstimate:
    """Estimate of the ``HEDGE_QUANTILE`` of latencies, in seconds."""

    def __init__(self) -> None:
        self._value_s = 0.0

    @property
    def value_s(self) -> float:
        """Current estimate in seconds; 0 before the first value."""
        return self._value_s

    def note(self, elapsed_s: float) -> None:
        """Update the estimate with the latency of one call."""
        if not self._value_s:
            self._value_s = elapsed_s
        elif elapsed_s > self._value_s:
            self._value_s *= 1.0 + RELATIVE_STEP * HEDGE_QUANTILE
        else:
            self._value_s *= 1.0 - RELATIVE_STEP * (1.0 - HEDGE_QUANTILE)
