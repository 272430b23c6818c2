"""Concurrency limit of one backend server.

The gate holds it.  The announced slots are the ceiling, and what a cold
server bears is the floor.  A server announced as cold is held at the floor
until it announces itself warm; a warm one starts there too and is ramped up
by its own successes, doubling each round. One that falls back
without a word is known by what it sheds or breaks off: the limit drops to the
floor and stays there until calls take about as long as before the fall, since
a cold server is a slow one.  Should it stay slow for good, the limit is tried
again after a hold that doubles with each relapse.  Latency alone does not
lower the limit: a noisy neighbour slows a server without making its slots
fewer, and the entries already avoid a slow one.
"""

import typing

# Part of a slot by which each success raises the limit while it ramps.
RAMP_STEP: typing.Final = 0.5
SHEDS_TO_DROP: typing.Final = 2
FIRST_HOLD_S: typing.Final = 8.0
MAX_HOLD_S: typing.Final = 60.0
# A relapse within this time of the last one doubles the hold.
RELAPSE_WINDOW_S: typing.Final = 120.0
# A fallen server counts as recovered when so many calls in a row, on average,
# took at most this many times as long as before the fall.
RECOVERED_CALLS: typing.Final = 8
RECOVERED_RATIO: typing.Final = 1.5


class ConcurrencyLimit:
    """Adaptive limit on the calls that run at one backend server.

    Parameters
    ----------
    slots
        Ceiling, as announced.
    cold_concurrency
        Calls that the server bears while it is cold.
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
        """Calls that may run at once."""
        return int(self._limit)

    @property
    def is_cold(self) -> bool:
        """Whether the server is held as announced cold."""
        return self._is_cold

    def note_success(
        self, elapsed_s: float, in_flight: int, now: float
    ) -> None:
        """Take in an answer, its time, and how many calls still run."""
        self._consecutive_sheds = 0
        if self._is_cold or not self._has_recovered(elapsed_s, now):
            return
        if in_flight + 1 >= self.current:
            self._limit = min(self._slots, self._limit + RAMP_STEP)

    def note_shed(self, baseline_s: float, in_flight: int, now: float) -> bool:
        """Take in a refusal or a failure; tell whether the server fell.

        ``baseline_s`` is the mean time of a call so far, in seconds, and
        ``in_flight`` how many calls still run.  A failure of all that ran is
        enough of a sign.
        """
        self._consecutive_sheds += 1
        if self._consecutive_sheds < SHEDS_TO_DROP and in_flight:
            return False
        self._consecutive_sheds = 0
        self._drop_to_floor(baseline_s, now)
        return True

    def restart_ramp(self) -> None:
        """Begin again from what a cold server bears."""
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
