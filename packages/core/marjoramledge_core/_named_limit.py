"""The rate limit that a backend server names in its answers.

Every call to a backend server starts at its one local gate, so a token bucket
at the gate enforces the limit for the whole fleet, whichever node a call
entered at.  Entry nodes spread their offers: a gate tells each entry whose
offer it refuses for how long it need not offer another call, and gives each
its own time, as if the refused calls had queued.
"""

import math
import typing

# A server that names less than this still gets calls at this rate: only the
# answers show that it takes more again.
MIN_RATE_PER_S: typing.Final = 0.2
# Capacity of the bucket, in seconds at the named rate.  Calls that come
# irregularly would otherwise use less than the limit.
BURST_S: typing.Final = 0.5
# Longest time for which an entry holds back its offers: it must notice that a
# limit has ended.
MAX_PAUSE_S: typing.Final = 5.0


class NamedLimit:
    """Token bucket at the rate that the local backend server names."""

    def __init__(self) -> None:
        self._named_per_s: float | None = None
        self._named_at = -math.inf
        self._is_known = False
        self._tokens = 0.0
        self._updated_at = 0.0
        self._paused_until = -math.inf

    @property
    def named_per_s(self) -> float | None:
        """Calls per second that the server names; None without a limit."""
        return self._named_per_s

    @property
    def named_at(self) -> float:
        """Time at which the server last named its limit."""
        return self._named_at

    def name(self, rate_per_s: float, now: float) -> bool:
        """Set the limit; return whether it changed."""
        is_first = self._named_per_s is None
        is_change = rate_per_s != self._named_per_s
        self._refill(now)
        self._named_per_s = rate_per_s
        self._named_at = now
        self._is_known = True
        self._tokens = min(1.0 if is_first else self._tokens, self._capacity)
        return is_change

    def recall(self, rate_per_s: float, now: float) -> bool:
        """Set a limit of the past, unless the server has answered since.

        Return whether the limit was set.
        """
        if self._is_known or self._named_per_s is not None:
            return False
        self.name(rate_per_s, now)
        # Any answer is newer than what an entry remembers.
        self._named_at = -math.inf
        self._is_known = False
        return True

    def end(self) -> None:
        """Lift the limit, as an answer without one does."""
        self._named_per_s = None
        self._is_known = True
        self._paused_until = -math.inf

    def forget(self) -> None:
        """Forget the limit of a server that was replaced or is gone."""
        self.end()
        self._is_known = False

    def note_start(self, now: float) -> None:
        """Count a call that starts at the server."""
        self._refill(now)
        self._tokens -= 1.0

    def wait_s(self, now: float, queued: int = 0) -> float:
        """Return the seconds until a call may start after ``queued`` others.

        Zero if it may start now, or if the server names no limit.
        """
        if self._named_per_s is None:
            return 0.0
        self._refill(now)
        missing = queued + 1.0 - self._tokens
        return max(0.0, missing / self._rate_per_s)

    def draw_pause_s(self, now: float) -> float:
        """Return for how long the entry of a refused call should pause.

        Zero if the refusal has another reason than the limit.  Each call of
        this method returns a later time, a call's share of the rate apart, up
        to ``MAX_PAUSE_S``.
        """
        wait_s = self.wait_s(now)
        if wait_s <= 0.0:
            return 0.0
        free_at = now + wait_s
        self._paused_until = min(
            max(free_at, self._paused_until + 1.0 / self._rate_per_s),
            now + MAX_PAUSE_S,
        )
        return self._paused_until - now

    @property
    def _rate_per_s(self) -> float:
        return max(MIN_RATE_PER_S, self._named_per_s or 0.0)

    @property
    def _capacity(self) -> float:
        return max(1.0, BURST_S * self._rate_per_s)

    def _refill(self, now: float) -> None:
        if self._named_per_s is not None:
            earned = (now - self._updated_at) * self._rate_per_s
            self._tokens = min(self._capacity, self._tokens + earned)
        self._updated_at = now
