"""Sliding-window rate limiter for calls to a cold backend server.

Every call to a backend server starts at its one local gate, so limiting the
gate's own starts enforces the limit for the whole fleet.  Starts are counted
while the server is warm too, so that the window is already filled when the
server becomes cold.

A gate that takes over from one that was killed doesn't know how much of the
window that one has used.  Starts are therefore spread over the window: two
gates that follow each other then stay near the limit together.
"""

import collections
import math
import typing

WINDOW_S: typing.Final = 1.0
# Parts of the window, each with an equal share of its starts.
WINDOW_PARTS: typing.Final = 3
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
        part_starts = math.ceil(max_starts / WINDOW_PARTS)
        return max(
            self._wait_s(max_starts, WINDOW_S, now),
            self._wait_s(part_starts, WINDOW_S / WINDOW_PARTS, now),
        )

    def _wait_s(self, max_starts: int, window_s: float, now: float) -> float:
        recent = [at for at in self._starts if at > now - window_s]
        if len(recent) < max_starts:
            return 0.0
        return recent[-max_starts] + window_s - now
