"""Bound on what workspaces may send, and how its tolerance is used.

The bound on any sliding window is
``(rate * window + burst) * (1 + overage) + slack`` (see
docs/design/21-fleet-limits.md).  A token may be used somewhat later than it
was earned, and a new owner begins with some tokens; this module divides the
tolerance among these causes.
"""

import dataclasses
import typing

# Parts of the ``overage``, which is worth ``overage * window`` seconds of the
# rate: a request may wait the first part for its decision, and a new owner
# begins with the second.
HOLD_SHARE: typing.Final = 0.6
MOVE_SHARE: typing.Final = 0.3
# A call that finds no room is refused after a few waits of 0.25 s in queues;
# its token can be given back until then.  Tokens that may still come back are
# part of what a bucket holds, so they must be a small part of it.
MAX_GIVE_BACK_S: typing.Final = 1.0
GIVE_BACK_BUCKET_SHARE: typing.Final = 0.25
# Parts of the ``slack``: bursts above the rate, for arrivals are irregular
# even below it, and what a new owner begins with.  The rest covers rounding.
BURST_SLACK_SHARE: typing.Final = 0.5
MOVE_SLACK_SHARE: typing.Final = 0.4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaBound:
    """Bound on the requests of a workspace in a sliding window."""

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    @property
    def tolerance_s(self) -> float:
        """Seconds of a workspace's rate that the overage is worth."""
        return self.overage * self.window_s

    @property
    def hold_s(self) -> float:
        """Longest time that a request may wait for its decision."""
        return HOLD_SHARE * self.tolerance_s

    def give_back_s(self, rate_per_s: float, burst: float) -> float:
        """Return the age up to which a token can be given back."""
        bucket_s = (burst + self.burst_slack) / rate_per_s
        return min(MAX_GIVE_BACK_S, GIVE_BACK_BUCKET_SHARE * bucket_s)

    @property
    def burst_slack(self) -> float:
        """Tokens that a bucket holds in addition to the burst."""
        return BURST_SLACK_SHARE * self.slack

    def allows(self, rate_per_s: float, burst: float) -> float:
        """Return the most requests that a window may contain."""
        within = rate_per_s * self.window_s + burst
        return within * (1.0 + self.overage) + self.slack

    def move_tokens(self, rate_per_s: float) -> float:
        """Return the tokens that a new owner of all shares begins with."""
        return (
            MOVE_SHARE * self.tolerance_s * rate_per_s
            + MOVE_SLACK_SHARE * self.slack
        )
