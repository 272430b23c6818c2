"""Concurrency limit of one backend server.

The ceiling is the number of announced slots; the floor is the concurrency
that a cold server can handle.  A server announced as cold is held at the
floor until it announces itself warm.  A warm one starts at the floor too, and
successful calls ramp the limit up exponentially.

A server that becomes cold again without announcing it is recognised by calls
that it sheds or aborts.  The limit then drops to the floor and stays there
until calls take about as long as before the drop, since a cold server is
slow.  If calls stay slow, the ramp restarts after a hold time that doubles
with each relapse.

Latency alone does not lower the limit: a noisy neighbour slows a server down
without reducing its slots, and entry nodes already avoid slow servers.
"""

import typing

# Slots by which each success raises the limit during the ramp.
RAMP_STEP: typing.Final = 0.5
SHEDS_TO_DROP: typing.Final = 2
FIRST_HOLD_S: typing.Final = 8.0
MAX_HOLD_S: typing.Final = 60.0
# A drop within this time of the previous one doubles the hold time.
RELAPSE_WINDOW_S: typing.Final = 120.0
# After a drop, a server counts as recovered when the mean time of this many
# consecutive calls is at most this ratio times the mean before the drop.
RECOVERED_CALLS: typing.Final = 8
RECOVERED_RATIO: typing.Final = 1.5


class ConcurrencyLimit:
    """Adaptive limit on the concurrent calls at one backend server.

    Parameters
    ----------
    slots
        Announced slots; the highest limit.
    cold_concurrency
        Concurrent calls that the server handles while cold; the lowest limit.
    is_cold
        Whether the server announced itself as cold.
    """

    def __init__(
        self, *, slots: int, cold_concurrency: int, is_cold: bool
    ) -> None:
        self._slots = slots
        self._floor = min(slots, cold_concurrency)
        self._is_cold = is_cold
        self._limit = float(self._floor)
        self._held_until = 0.0
        self._baseline_s = 0.0
        self._recent_s: list[float] = []
        self._hold_s = FIRST_HOLD_S
        self._dropped_at = -RELAPSE_WINDOW_S
        self._consecutive_sheds = 0

    @property
    def current(self) -> int:
        """Number of calls that may run concurrently."""
        return int(self._limit)

    @property
    def is_cold(self) -> bool:
        """Whether the server was announced as cold."""
        return self._is_cold

    def note_success(
        self, elapsed_s: float, in_flight: int, now: float
    ) -> None:
        """Record an answered call; ``in_flight`` calls still run."""
        self._consecutive_sheds = 0
        if self._is_cold or not self._has_recovered(elapsed_s, now):
            return
        if in_flight + 1 >= self.current:
            self._limit = min(self._slots, self._limit + RAMP_STEP)

    def note_shed(self, baseline_s: float, in_flight: int, now: float) -> bool:
        """Record a shed or aborted call; return whether the limit dropped.

        ``baseline_s`` is the mean service time so far, in seconds, and
        ``in_flight`` how many calls still run.  A single failure is enough if
        no other call is running.
        """
        self._consecutive_sheds += 1
        if self._consecutive_sheds < SHEDS_TO_DROP and in_flight:
            return False
        self._consecutive_sheds = 0
        self._drop_to_floor(baseline_s, now)
        return True

    def restart_ramp(self) -> None:
        """Restart the ramp from the floor."""
        self._limit = float(self._floor)

    def _has_recovered(self, elapsed_s: float, now: float) -> bool:
        if not self._baseline_s:
            return True
        self._recent_s.append(elapsed_s)
        del self._recent_s[:-RECOVERED_CALLS]
        mean_s = sum(self._recent_s) / len(self._recent_s)
        is_fast = mean_s <= RECOVERED_RATIO * self._baseline_s
        if now >= self._held_until or (
            is_fast and len(self._recent_s) == RECOVERED_CALLS
        ):
            self._baseline_s = 0.0
            return True
        return False

    def _drop_to_floor(self, baseline_s: float, now: float) -> None:
        self._limit = float(self._floor)
        self._recent_s.clear()
        if not self._baseline_s:
            self._baseline_s = baseline_s
        is_relapse = now - self._dropped_at < RELAPSE_WINDOW_S
        self._hold_s = (
            min(MAX_HOLD_S, 2 * self._hold_s) if is_relapse else FIRST_HOLD_S
        )
        self._dropped_at = now
        self._held_until = now + self._hold_s
