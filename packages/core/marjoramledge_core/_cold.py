"""Rate of calls that a cold backend server is given.

Every call for a backend server starts at the one gate beside it, so a count
of the gate's own starts keeps a bound that holds for the whole fleet.  All
starts are counted, so that the second before a server fell cold counts too.
"""

import collections
import typing

WINDOW_S: typing.Final = 1.0
# A cold server bears its rate and breaks well above it; a little more is used
# since it is the scarcest when all servers of a service start together.
RATE_FACTOR: typing.Final = 1.2
# More starts than any rate allows need not be remembered.
MAX_STARTS: typing.Final = 4096


class ColdRateLimiter:
    """Starts within the last second."""

    def __init__(self) -> None:
        self._starts: collections.deque[float] = collections.deque(
            maxlen=MAX_STARTS
        )

    def note_start(self, now: float) -> None:
        """Count a call that starts now."""
        self._starts.append(now)
        while self._starts[0] <= now - WINDOW_S:
            self._starts.popleft()

    def wait_s(self, per_s: float, now: float) -> float:
        """Seconds until another call may start at a given rate."""
        most = max(1, int(RATE_FACTOR * per_s * WINDOW_S))
        recent = [at for at in self._starts if at > now - WINDOW_S]
        if len(recent) < most:
            return 0.0
        return recent[-most] + WINDOW_S - now
