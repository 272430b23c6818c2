"""Estimate of the time that a call takes at a backend server right now.

The gate keeps it and puts it on its answers.  An average over finished calls
learns of a slowdown only when slow calls finish, which is late by just the
time that matters.  The ratio of slot time spent to calls finished, both over
a short fading window, grows as soon as calls stop finishing: it is Little's
law, mean time = mean number in service / rate of completion.
"""

import math
import typing

# Window of the estimate: long against one call, short against a burst.
WINDOW_S: typing.Final = 0.01
LONG_WINDOW_S: typing.Final = 10.0
# Calls' worth of the long average that steadies the short one.
PRIOR_CALLS: typing.Final = 1.0


class ServiceTimeEstimate:
    """Fading integrals of slot time and of finished calls."""

    def __init__(self) -> None:
        self._at = 0.0
        self._busy_s = 0.0
        self._finished = 0.0
        self._mean_s = 0.0
        self._count = 0
        self._finished_at = 0.0

    @property
    def mean_s(self) -> float:
        """Mean time of a call over the long window, in seconds."""
        return self._mean_s

    def note_running(self, running: int, now: float) -> None:
        """Take in that ``running`` calls have run since the last change."""
        elapsed_s = now - self._at
        self._at = now
        if elapsed_s <= 0.0:
            return
        fade = math.exp(-elapsed_s / WINDOW_S)
        self._finished *= fade
        # The integral of the running calls over the fading window.
        self._busy_s = self._busy_s * fade + running * WINDOW_S * (1 - fade)

    def note_finished(self, elapsed_s: float, now: float) -> None:
        """Take in a finished call and the time that it took."""
        self._finished += 1.0
        self._count += 1
        # Until the window is full, this is the plain mean.
        since_s = now - self._finished_at
        self._finished_at = now
        weight = max(1.0 / self._count, since_s / LONG_WINDOW_S)
        self._mean_s += min(1.0, weight) * (elapsed_s - self._mean_s)

    def service_s(self, running: int, now: float) -> float:
        """Seconds that a call takes; 0 when none has finished yet."""
        if not self._mean_s:
            return 0.0
        self.note_running(running, now)
        return (self._busy_s + PRIOR_CALLS * self._mean_s) / (
            self._finished + PRIOR_CALLS
        )
