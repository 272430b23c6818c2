"""Estimates about a backend server, learned from the calls it runs.

Combines the estimates of service time, slowdown, error rate and best
concurrency.  ``_gate`` reports the start and end of each call and reads the
estimates; it alone decides on admission.
"""

import dataclasses
import typing

from marjoramledge_core import _contention
from marjoramledge_core import _error_rate
from marjoramledge_core import _ids
from marjoramledge_core import _latency_ratio
from marjoramledge_core import _load
from marjoramledge_core import _outcomes
from marjoramledge_core import _queue
from marjoramledge_core import _service_time
from marjoramledge_core import _slowdown

# A change of the service time by this factor is published immediately.
PUBLISH_RATIO: typing.Final = 1.6
# A call cancelled after this many times its baseline time was probably hanging
# and counts as a fault.
HANG_RATIO: typing.Final = 8.0
# Highest weight of the latest call in the mean service time of its kind.
MAX_KIND_WEIGHT: typing.Final = 0.1
# Window of the mean of a kind; long compared with slowdowns of a VM.
KIND_WINDOW_S: typing.Final = 10.0
MAX_KINDS: typing.Final = 512
# Period at which the contention limit is recomputed; a few service times.
LIMIT_UPDATE_PERIOD_S: typing.Final = 0.1

# Outcomes of calls that might have run for longer if not cut short, so that
# their elapsed time is only a lower bound of the service time.
_CENSORED: typing.Final = frozenset(
    {_outcomes.ServerOutcome.CANCELLED, _outcomes.ServerOutcome.ERRORED}
)
_FAULTS: typing.Final = frozenset(
    {
        _outcomes.ServerOutcome.ERRORED,
        _outcomes.ServerOutcome.SHED,
        _outcomes.ServerOutcome.ABORTED,
    }
)


@dataclasses.dataclass(slots=True, kw_only=True)
class _KindServiceTime:
    """Mean service time of one kind of call over a long window."""

    mean_s: float
    at: float
    count: int = 0

    def note(self, elapsed_s: float, now: float) -> None:
        self.count += 1
        weight = min(MAX_KIND_WEIGHT, (now - self.at) / KIND_WINDOW_S)
        # Until the window has filled, this is the arithmetic mean.
        weight = max(weight, 1.0 / self.count)
        self.mean_s += weight * (elapsed_s - self.mean_s)
        self.at = now


class ServerEstimates:
    """Estimates of service time, slowdown and best concurrency of a server.

    The parameter ``running`` of the methods is the number of running calls.
    """

    def __init__(self) -> None:
        self._expected_s = _load.INITIAL_LATENCY_S
        self._service_time = _service_time.ServiceTimeEstimate()
        self._slowdown = _slowdown.VmSlowdown()
        self._published_service_s = 0.0
        self._error_rate = _error_rate.ErrorRate()
        self._latency_ratio = _latency_ratio.LatencyRatio()
        self._kind_service_times: dict[_ids.KindName, _KindServiceTime] = {}
        self._contention = _contention.ContentionEstimate(slots=1)
        self._limit = 1
        self._limit_updated_at = 0.0

    @property
    def limit(self) -> int:
        """Concurrency at which the server has its highest throughput."""
        return self._limit

    @property
    def mean_s(self) -> float:
        """Mean service time over a long window; 0 if no call has finished."""
        return self._service_time.mean_s

    @property
    def typical_service_s(self) -> float:
        """Mean service time; the expected one if no call has finished."""
        return self._service_time.mean_s or self._expected_s

    @property
    def slowdown_at(self) -> float | None:
        """Time of the server's last slowdown report; None if there is none."""
        return self._slowdown.reported_at

    @property
    def is_slow(self) -> bool:
        """Whether the VM is currently slower than its baseline."""
        return self._slowdown.is_slow

    def describe_limit(self, now: float) -> str:
        """Describe the data that the limit was chosen from."""
        return self._contention.describe(now)

    def describe(self, running: int, now: float) -> str:
        """Describe the estimated service time and slowdown."""
        return (
            f"service time {self.reported_s(running, now):.3f} s, "
            f"typically {self.mean_s:.3f} s, "
            f"{self._slowdown.describe(now)}"
        )

    def set_slots(self, slots: int) -> None:
        """Set the announced slots; a change discards contention data."""
        if self._contention.slots != slots:
            self._contention = _contention.ContentionEstimate(slots=slots)
            self._limit = self._contention.unmeasured_limit

    def set_expected(self, expected_s: float | None) -> None:
        """Set the service time to assume until a call has been measured."""
        self._expected_s = expected_s or _load.INITIAL_LATENCY_S

    def reported_s(self, running: int, now: float) -> float:
        """Return the current service time, to be published.

        It is increased by recent errors and unusually slow calls.
        """
        if self._slowdown.reported_at is None:
            service_s = self._service_time.service_s(running, now)
        else:
            # The reported slowdown is more recent than any finished call.
            service_s = self.typical_service_s * self._slowdown_factor(now)
        service_s *= self._error_rate.penalty(
            now
        ) * self._latency_ratio.factor(now)
        return service_s or self._expected_s

    def baseline_s(self, work: _queue.Work) -> float:
        """Return the mean time of a call's kind on an unloaded VM, in seconds.

        Until a call of that kind has finished, the mean of all calls, and
        before that the expected one.
        """
        return self._measured_s(work) or self._expected_s

    def _measured_s(self, work: _queue.Work) -> float:
        """Return the measured part of ``baseline_s``; 0 if there is none."""
        known = self._kind_service_times.get(work.kind.name)
        return self._service_time.mean_s if known is None else known.mean_s

    def predict_s(self, work: _queue.Work, now: float) -> float:
        """Estimate the service time of a call that starts now, in seconds."""
        return self.baseline_s(work) * self._slowdown_factor(now)

    def _slowdown_factor(self, now: float) -> float:
        return self._slowdown.slowdown_factor(self._slowdown.ratio, now)

    def note_slowdown(self, slowdown: float, running: int, now: float) -> bool:
        """Record a reported slowdown; return whether to publish the load."""
        self._slowdown.note_reported(slowdown, now)
        service_s = self.reported_s(running, now)
        published_s = self._published_service_s
        if (
            published_s / PUBLISH_RATIO
            < service_s
            < published_s * PUBLISH_RATIO
        ):
            return False
        self._published_service_s = service_s
        return True

    def note_start(self, work: _queue.Work, running: int, now: float) -> None:
        """Record a call that starts; ``running`` does not include it."""
        self._service_time.note_running(running, now)
        work.running = running + 1
        work.slowdown = self._slowdown.ratio

    def note_end(
        self,
        work: _queue.Work,
        outcome: _outcomes.ServerOutcome,
        running: int,
        now: float,
    ) -> None:
        """Record how a call ended; ``running`` includes it."""
        self._service_time.note_running(running, now)
        if outcome is not _outcomes.ServerOutcome.UNREACHABLE:
            self._error_rate.note(self._is_fault(work, outcome, now), now)

    def learn(
        self,
        work: _queue.Work,
        outcome: _outcomes.ServerOutcome,
        head_s: float,
        now: float,
        *,
        was_cold: bool,
    ) -> None:
        """Update the estimates from the service time of a call."""
        if outcome in _CENSORED:
            self._learn_censored(work, now, was_cold=was_cold)
        elif outcome is _outcomes.ServerOutcome.ANSWERED:
            time_factor = self._slowdown.slowdown_factor(work.slowdown, now)
            self._learn_slowdown(work, head_s, now)
            self._service_time.note_finished(head_s / time_factor, now)
            self._learn_limit(
                work, head_s / time_factor, now, was_cold=was_cold
            )
            self._learn_kind(work.kind.name, head_s / time_factor, now)

    def _is_fault(
        self, work: _queue.Work, outcome: _outcomes.ServerOutcome, now: float
    ) -> bool:
        if outcome is _outcomes.ServerOutcome.CANCELLED:
            typical_s = self._measured_s(work)
            return now - work.started_at > HANG_RATIO * typical_s > 0.0
        return outcome in _FAULTS

    def _learn_censored(
        self, work: _queue.Work, now: float, *, was_cold: bool
    ) -> None:
        typical_s = self._measured_s(work)
        elapsed_s = now - work.started_at
        time_factor = self._slowdown.slowdown_factor(work.slowdown, now)
        if elapsed_s > time_factor * typical_s > 0.0:
            self._learn_slowdown(work, elapsed_s, now)
            self._latency_ratio.note(elapsed_s / time_factor / typical_s, now)
            self._learn_limit(
                work, elapsed_s / time_factor, now, was_cold=was_cold
            )

    def _learn_slowdown(
        self, work: _queue.Work, elapsed_s: float, now: float
    ) -> None:
        typical_s = self._measured_s(work)
        if typical_s > 0.0:
            self._slowdown.learn(work.slowdown, elapsed_s / typical_s, now)

    def _learn_limit(
        self,
        work: _queue.Work,
        elapsed_s: float,
        now: float,
        *,
        was_cold: bool,
    ) -> None:
        typical_s = self._measured_s(work)
        if was_cold or min(typical_s, elapsed_s) <= 0.0:
            return
        self._contention.note(work.running, elapsed_s / typical_s, now)
        if now - self._limit_updated_at >= LIMIT_UPDATE_PERIOD_S:
            self._limit_updated_at = now
            self._limit = self._contention.choose_limit(now)

    def _learn_kind(
        self, name: _ids.KindName, elapsed_s: float, now: float
    ) -> None:
        known = self._kind_service_times.pop(name, None)
        if known is None:
            known = _KindServiceTime(mean_s=elapsed_s, at=now)
        elif known.mean_s > 0.0:
            self._latency_ratio.note(elapsed_s / known.mean_s, now)
        known.note(elapsed_s, now)
        self._kind_service_times[name] = known
        while len(self._kind_service_times) > MAX_KINDS:
            del self._kind_service_times[next(iter(self._kind_service_times))]
