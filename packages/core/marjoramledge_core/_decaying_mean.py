"""Exponentially decaying mean with a prior.

The weight of observed values decays, so the mean returns to the prior when no
more values arrive.
"""

import math


class DecayingMean:
    """Mean of values whose weight decays exponentially with their age.

    Parameters
    ----------
    time_constant_s
        Seconds after which the weight of a value is 1/e.
    prior_count, prior_value
        Weight and value of the prior.  It keeps a single value among few from
        dominating the mean.
    """

    def __init__(
        self, *, time_constant_s: float, prior_count: float, prior_value: float
    ) -> None:
        self._time_constant_s = time_constant_s
        self._prior_count = prior_count
        self._prior_value = prior_value
        self._at = 0.0
        self._count = 0.0
        self._sum = 0.0

    def note(self, value: float, now: float) -> None:
        """Add a value."""
        self._decay(now)
        self._count += 1.0
        self._sum += value

    def count(self, now: float) -> float:
        """Return the decayed number of values, without the prior."""
        self._decay(now)
        return self._count

    def total(self, now: float) -> float:
        """Return the decayed sum of the values, without the prior."""
        self._decay(now)
        return self._sum

    def mean(self, now: float) -> float:
        """Return the mean at time ``now``, including the prior."""
        self._decay(now)
        total = self._sum + self._prior_count * self._prior_value
        return total / (self._count + self._prior_count)

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._at) / self._time_constant_s)
        self._at = now
        self._count *= factor
        self._sum *= factor
