"""Keeps a store that is in trouble from being asked too much.

A circuit breaker stops asking for a while after failures in a row, then lets
one operation try (Nygard, "Release It!", 2007); a token bucket bounds the
operations of one process whatever happens.  Both are told the time.
"""

import dataclasses
import typing

FAILURE_THRESHOLD: typing.Final = 5
FIRST_PAUSE_S: typing.Final = 0.5
MAX_PAUSE_S: typing.Final = 5.0
OPERATIONS_PER_S: typing.Final = 5.0
BURST: typing.Final = 40.0


@dataclasses.dataclass(slots=True, kw_only=True)
class CircuitBreaker:
    """Breaker of one store.

    ``jitter`` of ``note_failure`` lies in 0 to 1 and spreads the tries of
    many processes.
    """

    failures_in_row: int = 0
    pause_s: float = FIRST_PAUSE_S
    open_until: float = 0.0
    is_probing: bool = False

    def allows(self, now: float) -> bool:
        """Tell whether an operation may be sent, and count it as sent."""
        if self.failures_in_row < FAILURE_THRESHOLD:
            return True
        if now < self.open_until or self.is_probing:
            return False
        self.is_probing = True
        return True

    def note_success(self) -> None:
        """Take in an answer, whatever it says."""
        self.failures_in_row = 0
        self.pause_s = FIRST_PAUSE_S
        self.is_probing = False

    def note_cancelled(self, *, was_try: bool) -> None:
        """Take in that an operation was cancelled, perhaps the try."""
        if was_try:
            self.is_probing = False

    def note_failure(self, now: float, jitter: float) -> None:
        """Take in that no answer came."""
        self.failures_in_row += 1
        self.is_probing = False
        if self.failures_in_row >= FAILURE_THRESHOLD:
            self.open_until = now + self.pause_s * (0.5 + jitter)
            self.pause_s = min(MAX_PAUSE_S, 2.0 * self.pause_s)


@dataclasses.dataclass(slots=True, kw_only=True)
class OperationBudget:
    """Token bucket of one process's operations."""

    tokens: float = BURST
    at: float = 0.0

    def spend(self, now: float) -> bool:
        """Take a token; false when there is none."""
        earned = max(0.0, now - self.at) * OPERATIONS_PER_S
        self.at = now
        self.tokens = min(BURST, self.tokens + earned)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
