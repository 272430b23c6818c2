"""Sliding-window rate limiter for calls to a cold backend server.

Every call to a backend server starts at its one local gate, so limiting the
gate's own starts enforces the limit for the whole fleet.  Starts are counted
while the server is warm too, so that the window is already filled when the
server becomes cold.
"""

import collections
import typing

WINDOW_S: typing.Final = 1.0
# Factor on the configured rate, slightly above 1: a cold server fails only
# well above that rate, and the rate is the bottleneck when all servers of a
# service start together.
RATE_FACTOR: typing.Final = 1.2
# Bounds the memory.  Rates that allow more starts in a window are not
# enforced; no configured rate is expected to be that high.
MAX_STARTS: typing.Final = 4096


class ColdRateLimiter:
    """Limiter of the calls that start within a sliding window."""

    def __init__(self) -> None:
        self._starts: collections.deque[float] = collections.deque(
            maxlen=MAX_STARTS
        )

    def note_start(self, now: float) -> None:
        """Record the start of a call."""
        self._starts.append(now)
        while self._starts[0] <= now - WINDOW_S:
            self._starts.popleft()

    def wait_s(self, rate_per_s: float, now: float) -> float:
        """Return the seconds until a call may start at the given rate."""
        max_starts = max(1, int(RATE_FACTOR * rate_per_s * WINDOW_S))
        recent = [at for at in self._starts if at > now - WINDOW_S]
        if len(recent) < max_starts:
            return 0.0
        return recent[-max_starts] + WINDOW_S - now
