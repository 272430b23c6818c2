"""Running estimate of a quantile of a kind's latency.

Tells the entry when a call takes so long that a second sending is worth its
cost.  Keeps one number: it steps up when a value lies above it and down when
one lies below, in the proportion that balances at the wanted quantile (the
stochastic approximation of Robbins and Monro, "A Stochastic Approximation
Method", 1951, with steps in proportion to the estimate).
"""

import typing

HEDGE_QUANTILE: typing.Final = 0.95
RELATIVE_STEP: typing.Final = 0.05


class QuantileEstimate:
    """Estimate of one quantile, in seconds."""

    def __init__(self) -> None:
        self._value_s = 0.0

    @property
    def value_s(self) -> float:
        """The estimate; 0 before the first value."""
        return self._value_s

    def note(self, elapsed_s: float) -> None:
        """Take in one latency."""
        if not self._value_s:
            self._value_s = elapsed_s
        elif elapsed_s > self._value_s:
            self._value_s *= 1.0 + RELATIVE_STEP * HEDGE_QUANTILE
        else:
            self._value_s *= 1.0 - RELATIVE_STEP * (1.0 - HEDGE_QUANTILE)
