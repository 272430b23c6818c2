"""Estimate of the current service time of a call at a backend server.

The gate keeps the estimate and reports it with its answers.  An average over
finished calls shows a slowdown only after the slow calls have finished, too
late to route around it.  The ratio of slot time used to calls finished, both
over a short, exponentially decaying window, grows as soon as calls stop
finishing.  By Little's law, mean time = mean number in service / completion
rate.
"""

import math
import typing

# Window of the estimate: longer than a call, shorter than a burst of load.
SHORT_WINDOW_S: typing.Final = 0.01
LONG_WINDOW_S: typing.Final = 10.0
# Weight of the long-window mean in the estimate, in calls: keeps the estimate
# stable when few calls have finished in the short window.
PRIOR_CALLS: typing.Final = 1.0


class ServiceTimeEstimate:
    """Decaying sums of slot time and of finished calls."""

    def __init__(self) -> None:
        self._updated_at = 0.0
        self._slot_time_s = 0.0
        self._recent_finished = 0.0
        self._mean_s = 0.0
        self._total_finished = 0
        self._last_finished_at = 0.0

    @property
    def mean_s(self) -> float:
        """Mean service time over the long window, in seconds."""
        return self._mean_s

    def note_running(self, running: int, now: float) -> None:
        """Record that ``running`` calls have run since the last update."""
        elapsed_s = now - self._updated_at
        self._updated_at = now
        if elapsed_s <= 0.0:
            return
        decay = math.exp(-elapsed_s / SHORT_WINDOW_S)
        self._recent_finished *= decay
        # Integral of the number of running calls over the decaying window.
        self._slot_time_s = (
            self._slot_time_s * decay + running * SHORT_WINDOW_S * (1 - decay)
        )

    def note_finished(self, elapsed_s: float, now: float) -> None:
        """Record a finished call that took ``elapsed_s`` seconds."""
        self._recent_finished += 1.0
        self._total_finished += 1
        # The plain mean until the window is full.
        since_s = now - self._last_finished_at
        self._last_finished_at = now
        weight = max(1.0 / self._total_finished, since_s / LONG_WINDOW_S)
        self._mean_s += min(1.0, weight) * (elapsed_s - self._mean_s)

    def service_s(self, running: int, now: float) -> float:
        """Estimate the current service time; 0 if no call has finished."""
        if not self._mean_s:
            return 0.0
        self.note_running(running, now)
        return (self._slot_time_s + PRIOR_CALLS * self._mean_s) / (
            self._recent_finished + PRIOR_CALLS
        )
