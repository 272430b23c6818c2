"""What a gate did of late, for the record of a gate under pressure.

The gate counts here what it admitted and refused and how the backend
server's slot time was spent; ``_work`` tells it once in a while.  Whether
calls are refused for want of slots, or slots are held by runs whose callers
get nothing in time, shows only in these sums.
"""

import enum
import typing

from marjoramledge_core import _outcomes
from marjoramledge_core import _queue

# Least time between two records of one gate.
PERIOD_S: typing.Final = 1.0


class Use(enum.Enum):
    """What slot time was spent on."""

    IN_TIME = "in time"
    LATE = "late"
    FAILED = "failed"
    CANCELLED = "cancelled"


class GateStatistics:
    """Counts and slot times since the last record."""

    def __init__(self) -> None:
        self._told_at = 0.0
        self._started = 0
        self._refused = 0
        self._gave_up = 0
        self._slot_s = dict.fromkeys(Use, 0.0)

    def note_start(self) -> None:
        """Count a call that starts."""
        self._started += 1

    def note_refusal(self) -> None:
        """Count a call that is refused on its offer, or has to give way."""
        self._refused += 1

    def note_unserved(self) -> None:
        """Count a call that leaves the queue unserved."""
        self._gave_up += 1

    def note_end(
        self, work: _queue.Work, outcome: _outcomes.ServerOutcome, now: float
    ) -> None:
        """Add the slot time of a call that ends."""
        self._slot_s[_classify(work, outcome, now)] += now - work.started_at

    def pop_summary(self, now: float) -> str | None:
        """Describe what happened, and begin anew.

        None when nothing was refused nor given up, or it is too early.
        """
        if now - self._told_at < PERIOD_S:
            return None
        summary = None
        if self._refused + self._gave_up:
            summary = self._describe(now)
        self._told_at = now
        self._started = self._refused = self._gave_up = 0
        self._slot_s = dict.fromkeys(Use, 0.0)
        return summary

    def _describe(self, now: float) -> str:
        slot_s = ", ".join(
            f"{self._slot_s[use]:.3f} {use.value}" for use in Use
        )
        return (
            f"in {now - self._told_at:.1f} s {self._started} started, "
            f"{self._refused} refused, {self._gave_up} waited in vain, "
            f"slot seconds {slot_s}"
        )


def _classify(
    work: _queue.Work, outcome: _outcomes.ServerOutcome, now: float
) -> Use:
    if outcome is _outcomes.ServerOutcome.CANCELLED:
        return Use.CANCELLED
    if outcome is not _outcomes.ServerOutcome.ANSWERED:
        return Use.FAILED
    return Use.IN_TIME if now <= work.target_at else Use.LATE
