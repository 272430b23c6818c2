"""Slowdown of calls that start while the VM is slow.

A backend server may report how slow its VM currently is.  How that affects a
call depends on the VM: a call may be slowed only until the VM recovers, or for
its whole run.  The gate therefore learns the exponent to which the reported
slowdown ratio has to be raised to give the observed slowdown of calls: 0 if
calls are not affected, 1 if they are slowed by the full ratio that the server
reported at their start.
"""

import math
import typing

from marjoramledge_core import _decaying_mean

# Time over which the baseline adapts to a VM that stays slow.
BASELINE_WINDOW_S: typing.Final = 10.0
# Below this ratio to the baseline a VM does not count as slow.
SLOW_RATIO: typing.Final = 1.6
# Time constant of the decay of learned exponents.
TIME_CONSTANT_S: typing.Final = 20.0
# Weight of the prior exponent, in calls.  The prior assumes that calls are
# slowed by the full reported ratio.
PRIOR_CALLS: typing.Final = 4.0
PRIOR_EXPONENT: typing.Final = 1.0
MAX_EXPONENT: typing.Final = 1.5


class VmSlowdown:
    """Reported slowdown of a VM and its learned effect on calls.

    Ratios are relative to a baseline: the lowest value that the server has
    reported, which slowly adapts to a VM that stays slow.
    """

    def __init__(self) -> None:
        self._reported = 0.0
        self._baseline = 0.0
        self._reported_at = 0.0
        self._exponent = _decaying_mean.DecayingMean(
            time_constant_s=TIME_CONSTANT_S,
            prior_count=PRIOR_CALLS,
            prior_value=PRIOR_EXPONENT,
        )

    @property
    def reported_at(self) -> float | None:
        """Time of the server's last slowdown report; None if none came."""
        return self._reported_at if self._reported else None

    @property
    def ratio(self) -> float:
        """Current slowdown of the VM relative to its baseline, at least 1."""
        return self._reported / self._baseline if self._reported else 1.0

    @property
    def is_slow(self) -> bool:
        """Whether the VM is currently slow."""
        return self.ratio >= SLOW_RATIO

    def describe(self, now: float) -> str:
        """Describe the last reported slowdown, its age, and the exponent."""
        if not self._reported:
            return "slowdown never reported"
        return (
            f"slowdown {self._reported:g} reported "
            f"{now - self._reported_at:.3f} s ago, "
            f"exponent {self._exponent.mean(now):.2f}"
        )

    def note_reported(self, slowdown: float, now: float) -> None:
        """Record a slowdown reported by the server, in any unit."""
        since_s = now - self._reported_at if self._reported else 0.0
        baseline = self._baseline or slowdown
        weight = min(1.0, since_s / BASELINE_WINDOW_S)
        self._baseline = min(
            slowdown, baseline + weight * (self._reported - baseline)
        )
        self._reported = slowdown
        self._reported_at = now

    def slowdown_factor(self, ratio: float, now: float) -> float:
        """Return the expected slowdown of a call that starts at ``ratio``."""
        if ratio < SLOW_RATIO:
            return 1.0
        return float(ratio ** self._exponent.mean(now))

    def learn(self, ratio: float, relative_latency: float, now: float) -> None:
        """Update the exponent with the latency of a finished call.

        ``ratio`` is the slowdown ratio at the start of the call, and
        ``relative_latency`` its latency relative to the typical one.
        """
        if ratio >= SLOW_RATIO:
            exponent = math.log(max(1.0, relative_latency)) / math.log(ratio)
            self._exponent.note(min(MAX_EXPONENT, exponent), now)
