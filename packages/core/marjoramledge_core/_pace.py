"""What the gate learns of its backend server from the calls that it runs.

Joins the estimates of how long calls take, what they take more than usual,
how many fail, and how many are best run at once.  ``_gate`` tells of each
start and end of a call and reads the figures; admission stays there.
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

# A change of speed by this factor is told to the other nodes at once.
PUBLISH_RATIO: typing.Final = 1.6
# A cancelled call that had run for this many times the usual was hanging.
HANG_RATIO: typing.Final = 8.0
# Most weight of the latest call in the mean time of its kind, the window of
# that mean, long against what makes a VM slow, and the kinds kept.
MAX_KIND_WEIGHT: typing.Final = 0.1
KIND_WINDOW_S: typing.Final = 10.0
MAX_KINDS: typing.Final = 512
# How often the limit that crowding sets is chosen anew: some calls' time.
LIMIT_UPDATE_PERIOD_S: typing.Final = 0.1

# A call that ended so may have had to take longer than it ran.
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
    """Mean time of the calls of a kind over a long window."""

    mean_s: float
    at: float
    count: int = 0

    def note(self, elapsed_s: float, now: float) -> None:
        self.count += 1
        weight = min(MAX_KIND_WEIGHT, (now - self.at) / KIND_WINDOW_S)
        # Until the window is full, this is the plain mean.
        weight = max(weight, 1.0 / self.count)
        self.mean_s += weight * (elapsed_s - self.mean_s)
        self.at = now


class ServerEstimates:
    """Estimates of one backend server.

    ``running`` is everywhere the number of calls that run at the moment.
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
        self._limited_at = 0.0

    @property
    def limit(self) -> int:
        """Calls at once that the server serves best."""
        return self._limit

    @property
    def mean_s(self) -> float:
        """Mean time of a call over a long time; 0 when none has finished."""
        return self._service_time.mean_s

    @property
    def usual_s(self) -> float:
        """Mean time of a call, or what it is thought to be."""
        return self._service_time.mean_s or self._expected_s

    @property
    def slowdown_at(self) -> float | None:
        """When the server last told how slow its VM is; None if never."""
        return self._slowdown.reported_at

    @property
    def is_slow(self) -> bool:
        """Whether the VM is slower at present than it usually is."""
        return self._slowdown.is_slow

    def describe_limit(self, now: float) -> str:
        """Tell what the limit was chosen from."""
        return self._contention.describe(now)

    def describe(self, running: int, now: float) -> str:
        """Tell how long a call is thought to take, and what slows it."""
        return (
            f"{self.reported_s(running, now):.3f} s a call, "
            f"{self.mean_s:.3f} s usually, "
            f"{self._slowdown.describe(now)}"
        )

    def set_slots(self, slots: int) -> None:
        """Take in the announced slots; what is known of them is kept."""
        if self._contention.slots != slots:
            self._contention = _contention.ContentionEstimate(slots=slots)
            self._limit = slots

    def set_expected(self, expected_s: float | None) -> None:
        """Set what a call is thought to take before any was measured."""
        self._expected_s = expected_s or _load.INITIAL_LATENCY_S

    def reported_s(self, running: int, now: float) -> float:
        """Time of a call now, longer by what fails or takes long of late."""
        if self._slowdown.reported_at is None:
            service_s = self._service_time.service_s(running, now)
        else:
            # The server's own figure is fresher than any finished call.
            service_s = self._service_time.mean_s * self._stretch(now)
        service_s *= self._error_rate.penalty(
            now
        ) * self._latency_ratio.factor(now)
        return service_s or self._expected_s

    def calm_s(self, work: _queue.Work) -> float:
        """Mean time of a call's kind here on a calm VM.

        Before the first call of the kind it is that of all calls.
        """
        known = self._kind_service_times.get(work.kind.name)
        return self._service_time.mean_s if known is None else known.mean_s

    def predict_s(self, work: _queue.Work, now: float) -> float:
        """Estimate how long a call takes that starts here at present."""
        return self.calm_s(work) * self._stretch(now)

    def _stretch(self, now: float) -> float:
        return self._slowdown.slowdown_factor(self._slowdown.ratio, now)

    def note_slowdown(self, slowdown: float, running: int, now: float) -> bool:
        """Take in how slow the VM is; tell whether that is news to others."""
        self._slowdown.note_reported(slowdown, now)
        if not self._service_time.mean_s:
            return False
        service_s = self.reported_s(running, now)
        told_s = self._published_service_s
        if told_s / PUBLISH_RATIO < service_s < told_s * PUBLISH_RATIO:
            return False
        self._published_service_s = service_s
        return True

    def note_start(self, work: _queue.Work, running: int, now: float) -> None:
        """Take in a call that starts; ``running`` is without it."""
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
        """Take in how a call ended; ``running`` is with it."""
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
        """Learn from the time that a call took."""
        if outcome in _CENSORED:
            self._learn_censored(work, now, was_cold=was_cold)
        elif outcome is _outcomes.ServerOutcome.ANSWERED:
            slowdown_factor = self._slowdown.slowdown_factor(
                work.slowdown, now
            )
            self._learn_slowdown(work, head_s, now)
            self._service_time.note_finished(head_s / slowdown_factor, now)
            self._learn_limit(
                work, head_s / slowdown_factor, now, was_cold=was_cold
            )
            self._learn_kind(work.kind.name, head_s / slowdown_factor, now)

    def _is_fault(
        self, work: _queue.Work, outcome: _outcomes.ServerOutcome, now: float
    ) -> bool:
        if outcome is _outcomes.ServerOutcome.CANCELLED:
            usual_s = self.calm_s(work)
            return now - work.started_at > HANG_RATIO * usual_s > 0.0
        return outcome in _FAULTS

    def _learn_censored(
        self, work: _queue.Work, now: float, *, was_cold: bool
    ) -> None:
        usual_s = self.calm_s(work)
        elapsed_s = now - work.started_at
        slowdown_factor = self._slowdown.slowdown_factor(work.slowdown, now)
        if elapsed_s > slowdown_factor * usual_s > 0.0:
            self._learn_slowdown(work, elapsed_s, now)
            self._latency_ratio.note(
                elapsed_s / slowdown_factor / usual_s, now
            )
            self._learn_limit(
                work, elapsed_s / slowdown_factor, now, was_cold=was_cold
            )

    def _learn_slowdown(
        self, work: _queue.Work, elapsed_s: float, now: float
    ) -> None:
        usual_s = self.calm_s(work)
        if usual_s > 0.0:
            self._slowdown.learn(work.slowdown, elapsed_s / usual_s, now)

    def _learn_limit(
        self,
        work: _queue.Work,
        elapsed_s: float,
        now: float,
        *,
        was_cold: bool,
    ) -> None:
        usual_s = self.calm_s(work)
        if was_cold or min(usual_s, elapsed_s) <= 0.0:
            return
        self._contention.note(work.running, elapsed_s / usual_s, now)
        if now - self._limited_at >= LIMIT_UPDATE_PERIOD_S:
            self._limited_at = now
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
