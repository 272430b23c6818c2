"""Concurrency limit of one backend server.

The gate holds it.  The announced slots are the ceiling, and what a cold
server bears is the floor.  A server announced as cold is held at the floor
until it announces itself warm; a warm one starts there too and is ramped up
by its own successes, doubling each round.  One that falls back without a word
is known by what it sheds or breaks off: the limit drops to the floor and is
held there for a time that doubles with each relapse.  Latency does not move
the limit: a noisy neighbour slows a server without making its slots fewer,
and the entries already avoid a slow one.
"""

import typing

LATENCY_WEIGHT: typing.Final = 0.1
# Part of a slot by which each success raises the limit while it ramps.
RAMP_STEP: typing.Final = 0.5
SHEDS_TO_FALL: typing.Final = 2
FIRST_HOLD_S: typing.Final = 1.0
MAX_HOLD_S: typing.Final = 30.0
# A relapse within this time of the last one doubles the hold.
RELAPSE_WINDOW_S: typing.Final = 60.0


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
        self._latency_s = 0.0
        self._held_until = 0.0
        self._hold_s = FIRST_HOLD_S
        self._fell_at = -RELAPSE_WINDOW_S
        self._sheds_in_row = 0

    @property
    def current(self) -> int:
        """Calls that may run at once."""
        return int(self._limit)

    @property
    def latency_s(self) -> float:
        """Recent mean time of a call at the server, in seconds."""
        return self._latency_s

    @property
    def is_cold(self) -> bool:
        """Whether the server is held as announced cold."""
        return self._is_cold

    def note_success(
        self, elapsed_s: float, in_flight: int, now: float
    ) -> None:
        """Take in the time of a call that the server answered."""
        self._sheds_in_row = 0
        if not self._latency_s:
            self._latency_s = elapsed_s
        self._latency_s += LATENCY_WEIGHT * (elapsed_s - self._latency_s)
        if self._is_cold or now < self._held_until:
            return
        if in_flight + 1 >= self.current:
            self._limit = min(self._slots, self._limit + RAMP_STEP)

    def note_shed(self, now: float) -> bool:
        """Take in a refusal or a failure; tell whether the server fell."""
        self._sheds_in_row += 1
        if self._sheds_in_row < SHEDS_TO_FALL or now < self._held_until:
            return False
        self._fall(now)
        return True

    def restart_ramp(self) -> None:
        """Begin again from what a cold server bears."""
        self._limit = float(self._floor)

    def _fall(self, now: float) -> None:
        relapsed = now - self._fell_at < RELAPSE_WINDOW_S
        self._hold_s = (
            min(MAX_HOLD_S, 2 * self._hold_s) if relapsed else FIRST_HOLD_S
        )
        self._fell_at = now
        self._held_until = now + self._hold_s
        self._sheds_in_row = 0
        self._limit = float(self._floor)
