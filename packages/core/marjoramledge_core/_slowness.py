"""How much longer calls take that begin while the VM is slow.

A backend server may tell how slow its VM is at present.  What that means for
a call depends on the VM: one may be slowed for as long as the spell lasts, or
for all of its time.  The gate therefore learns which power of the told ratio
calls have really taken: 0 when they are not touched, 1 when they take as many
times longer as the server told at their start.
"""

import math
import typing

from marjoramledge_core import _decaying_mean

# Time in which a VM that stays slow comes to be taken as usual.
CALM_WINDOW_S: typing.Final = 10.0
# A VM that is slower than usual by less than this counts as calm.
SLOW_RATIO: typing.Final = 1.6
FADE_S: typing.Final = 20.0
# Calls that are presumed to have taken what the server told.
PRIOR_CALLS: typing.Final = 4.0
PRIOR_POWER: typing.Final = 1.0
MAX_POWER: typing.Final = 1.5


class VmSlowdown:
    """What a backend server tells of its VM, and what calls make of it."""

    def __init__(self) -> None:
        self._told = 0.0
        self._calm = 0.0
        self._at = 0.0
        self._power = _decaying_mean.DecayingMean(
            time_constant_s=FADE_S,
            prior_count=PRIOR_CALLS,
            prior_value=PRIOR_POWER,
        )

    @property
    def told_at(self) -> float | None:
        """When the server last told how slow its VM is; None if never."""
        return self._at if self._told else None

    @property
    def ratio(self) -> float:
        """How many times slower than when calm the VM is, at least 1."""
        return self._told / self._calm if self._told else 1.0

    @property
    def is_slow(self) -> bool:
        """Whether the VM is slow at present."""
        return self.ratio >= SLOW_RATIO

    def describe(self, now: float) -> str:
        """Tell how slow the VM is, and the age of that figure."""
        if not self._told:
            return "slowdown never told"
        return (
            f"slowdown {self._told:g} told {now - self._at:.3f} s ago, "
            f"calls take its power {self._power.mean(now):.2f}"
        )

    def note_told(self, slowdown: float, now: float) -> None:
        """Take in how slow the VM is; the unit is free."""
        since_s = now - self._at if self._told else 0.0
        calm = self._calm or slowdown
        weight = min(1.0, since_s / CALM_WINDOW_S)
        self._calm = min(slowdown, calm + weight * (self._told - calm))
        self._told = slowdown
        self._at = now

    def stretch(self, ratio: float, now: float) -> float:
        """Tell how many times longer a call takes that begins at a ratio."""
        if ratio < SLOW_RATIO:
            return 1.0
        return float(ratio ** self._power.mean(now))

    def learn(self, ratio: float, times_usual: float, now: float) -> None:
        """Take in a call that began at a ratio, by its usual time."""
        if ratio >= SLOW_RATIO:
            power = math.log(max(1.0, times_usual)) / math.log(ratio)
            self._power.note(min(MAX_POWER, power), now)
