"""A mean of late values, steadied by some that are presumed.

Values fade within seconds, so that the mean comes back to what is presumed
when nothing is heard any more.
"""

import math


class DecayingMean:
    """Fading sums of values and of their number.

    Parameters
    ----------
    fade_s
        Seconds after which a value counts for 1/e.
    prior_count, prior_value
        Values that are presumed, so that one among few says little.
    """

    def __init__(
        self, *, time_constant_s: float, prior_count: float, prior_value: float
    ) -> None:
        self._fade_s = time_constant_s
        self._prior_count = prior_count
        self._prior_value = prior_value
        self._at = 0.0
        self._count = 0.0
        self._sum = 0.0

    def note(self, value: float, now: float) -> None:
        """Take in a value."""
        self._fade(now)
        self._count += 1.0
        self._sum += value

    def count(self, now: float) -> float:
        """Tell how many values still count."""
        self._fade(now)
        return self._count

    def total(self, now: float) -> float:
        """Tell the sum of the values that still count."""
        self._fade(now)
        return self._sum

    def mean(self, now: float) -> float:
        """Compute the mean at a moment."""
        self._fade(now)
        total = self._sum + self._prior_count * self._prior_value
        return total / (self._count + self._prior_count)

    def _fade(self, now: float) -> None:
        fade = math.exp(-max(0.0, now - self._at) / self._fade_s)
        self._at = now
        self._count *= fade
        self._sum *= fade
