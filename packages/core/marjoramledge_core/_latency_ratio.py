"""Recent latency of calls relative to the typical latency of their kind.

A VM may be slow without reporting it.  Calls that it does not finish in time
are cancelled and never count as finished, so the mean over finished calls
makes a slow server look fast.  A cancelled call took at least as long as it
ran, and is counted with that time.  Old calls lose their weight within
seconds, so that a server that was avoided for slowness is tried again.
"""

import typing

from marjoramledge_core import _decaying_mean

# Time constant of the decay of old calls.
TIME_CONSTANT_S: typing.Final = 2.0
# Weight of the prior ratio 1.0, in calls: keeps a single slow call from
# dominating the mean when few calls were seen.
PRIOR_CALLS: typing.Final = 3.0
# Upper bound of one call's ratio: a call that hung must not outweigh all
# others.
MAX_RATIO: typing.Final = 10.0


class LatencyRatio:
    """Decaying mean of the ratio of call latency to typical latency."""

    def __init__(self) -> None:
        self._ratio = _decaying_mean.DecayingMean(
            time_constant_s=TIME_CONSTANT_S,
            prior_count=PRIOR_CALLS,
            prior_value=1.0,
        )

    def note(self, ratio: float, now: float) -> None:
        """Record a call that took ``ratio`` times its typical latency."""
        self._ratio.note(min(MAX_RATIO, ratio), now)

    def factor(self, now: float) -> float:
        """Return the factor, at least 1, by which calls are slowed now."""
        return max(1.0, self._ratio.mean(now))
