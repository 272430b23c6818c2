"""How much longer calls take of late than calls of their kind usually do.

A VM may be slow without telling it, and what it does not finish in time is
cut off and never counted among the finished calls: the mean of those that
finish shows a slow server as a fast one.  A call that was cut off took at
least as long as it ran, and counts with that.  Old calls fade within seconds,
so that a server that was avoided is tried again.
"""

import typing

from marjoramledge_core import _decaying_mean

FADE_S: typing.Final = 2.0
# Usual calls that are presumed, so that one slow call among few says little.
PRIOR_CALLS: typing.Final = 3.0
# One call that hung must not outweigh all others.
MAX_RATIO: typing.Final = 10.0


class LatencyRatio:
    """Fading mean of the times of calls, relative to what is usual."""

    def __init__(self) -> None:
        self._ratio = _decaying_mean.DecayingMean(
            time_constant_s=FADE_S, prior_count=PRIOR_CALLS, prior_value=1.0
        )

    def note(self, ratio: float, now: float) -> None:
        """Take in a call that took ``ratio`` times what is usual."""
        self._ratio.note(min(MAX_RATIO, ratio), now)

    def factor(self, now: float) -> float:
        """Compute by how many times longer a call is to be expected."""
        return max(1.0, self._ratio.mean(now))
