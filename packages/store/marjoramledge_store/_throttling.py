"""Limits on the load that one process puts on the store.

After several failures in a row a circuit breaker sends nothing for a while and
then a single probe (Nygard, "Release It!", 2007).  A token bucket bounds the
rate of operations at all times.  Neither reads a clock: callers pass the time.
"""

import dataclasses
import typing

FAILURE_THRESHOLD: typing.Final = 5
INITIAL_PAUSE_S: typing.Final = 0.5
MAX_PAUSE_S: typing.Final = 5.0
OPERATIONS_PER_S: typing.Final = 5.0
BURST: typing.Final = 40.0


@dataclasses.dataclass(slots=True, kw_only=True)
class CircuitBreaker:
    """Circuit breaker of one store.

    While it is open, no operation is sent before ``open_until``.  The next
    one after that is the probe; until it ends, no other is sent.
    """

    consecutive_failures: int = 0
    pause_s: float = INITIAL_PAUSE_S
    open_until: float = 0.0
    is_probing: bool = False

    def allow_operation(self, now: float) -> bool:
        """Return whether an operation may be sent now.

        The first one that may be sent after ``open_until`` becomes the probe.
        """
        if self.consecutive_failures < FAILURE_THRESHOLD:
            return True
        if now < self.open_until or self.is_probing:
            return False
        self.is_probing = True
        return True

    def record_success(self) -> None:
        """Record that the store answered, and close the breaker."""
        self.consecutive_failures = 0
        self.pause_s = INITIAL_PAUSE_S
        self.is_probing = False

    def record_cancellation(self, *, was_probe: bool) -> None:
        """Record that an operation, perhaps the probe, was cancelled."""
        if was_probe:
            self.is_probing = False

    def record_failure(self, now: float, jitter: float) -> None:
        """Record that the store did not answer.

        ``jitter``, from 0 to 1, spreads the probes of many processes.
        """
        self.consecutive_failures += 1
        self.is_probing = False
        if self.consecutive_failures >= FAILURE_THRESHOLD:
            self.open_until = now + self.pause_s * (0.5 + jitter)
            self.pause_s = min(MAX_PAUSE_S, 2.0 * self.pause_s)


@dataclasses.dataclass(slots=True, kw_only=True)
class OperationBudget:
    """Token bucket that limits the operations of one process."""

    tokens: float = BURST
    refilled_at: float = 0.0

    def take_token(self, now: float) -> bool:
        """Take a token; return whether there was one."""
        refill = max(0.0, now - self.refilled_at) * OPERATIONS_PER_S
        self.refilled_at = now
        self.tokens = min(BURST, self.tokens + refill)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
