"""Statistics of a gate, logged while it refuses calls.

Counts admitted and refused calls and sums up how the slot time of the backend
server was spent; ``_gate_handlers`` logs a summary periodically.  The sums
show whether calls are refused because there are too few slots, or because
slots are held by calls that are answered too late or not at all.
"""

import enum
import typing

from marjoramledge_core import _outcomes
from marjoramledge_core import _queue

MIN_SUMMARY_PERIOD_S: typing.Final = 1.0


class SlotUse(enum.Enum):
    """Outcome of the calls that slot time was spent on."""

    IN_TIME = "in time"
    LATE = "late"
    FAILED = "failed"
    CANCELLED = "cancelled"


class GateStatistics:
    """Counts of calls and sums of slot time since the last summary."""

    def __init__(self) -> None:
        self._summarized_at = 0.0
        self._started = 0
        self._refused = 0
        self._unserved = 0
        self._slot_s = dict.fromkeys(SlotUse, 0.0)

    def note_start(self) -> None:
        """Count a started call."""
        self._started += 1

    def note_refusal(self) -> None:
        """Count an offer that is refused or that displaces a queued call."""
        self._refused += 1

    def note_unserved(self) -> None:
        """Count a call that was queued but never started."""
        self._unserved += 1

    def note_end(
        self, work: _queue.Work, outcome: _outcomes.ServerOutcome, now: float
    ) -> None:
        """Add the slot time of a finished call."""
        self._slot_s[_classify(work, outcome, now)] += now - work.started_at

    def pop_summary(self, now: float) -> str | None:
        """Return a summary and reset all counts.

        None if no call was refused or left unserved.  Also None, without a
        reset, if the last one is more recent than ``MIN_SUMMARY_PERIOD_S``.
        """
        if now - self._summarized_at < MIN_SUMMARY_PERIOD_S:
            return None
        summary = None
        if self._refused + self._unserved:
            summary = self._describe(now)
        self._summarized_at = now
        self._started = self._refused = self._unserved = 0
        self._slot_s = dict.fromkeys(SlotUse, 0.0)
        return summary

    def _describe(self, now: float) -> str:
        slot_s = ", ".join(
            f"{self._slot_s[use]:.3f} {use.value}" for use in SlotUse
        )
        return (
            f"in {now - self._summarized_at:.1f} s: {self._started} started, "
            f"{self._refused} refused, {self._unserved} queued but unserved, "
            f"slot seconds: {slot_s}"
        )


def _classify(
    work: _queue.Work, outcome: _outcomes.ServerOutcome, now: float
) -> SlotUse:
    if outcome is _outcomes.ServerOutcome.CANCELLED:
        return SlotUse.CANCELLED
    if outcome is not _outcomes.ServerOutcome.ANSWERED:
        return SlotUse.FAILED
    return SlotUse.IN_TIME if now <= work.target_at else SlotUse.LATE
