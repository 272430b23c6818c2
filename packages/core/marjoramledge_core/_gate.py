"""The gate: admission of calls to the backend server on this VM.

Every call for the backend server passes here, whether it entered at this
node or at a peer, so the gate's counts are exact.  It starts a call, lets it
wait for a short time, or refuses it; a refused call has not run, by
construction.
"""

import collections
import dataclasses
import enum
import math
import typing

from marjoramledge_core import _estimates
from marjoramledge_core import _ids
from marjoramledge_core import _limit
from marjoramledge_core import _members
from marjoramledge_core import _outcomes
from marjoramledge_core import _queue
from marjoramledge_core import _rate_limiter
from marjoramledge_core import _reports
from marjoramledge_core import _settings
from marjoramledge_core import _statistics

# A call with another server to go to waits only as long as about one call
# takes here, and only behind few others: a burst of a noisy neighbour ends
# later than that.
MAX_QUEUE_WAIT_S: typing.Final = 0.25
MIN_QUEUE_WAIT_S: typing.Final = 0.002
SHORT_WAIT_SERVICE_TIMES: typing.Final = 1.0
SHORT_QUEUE_PER_SLOT: typing.Final = 0.25
QUEUE_CAPACITY_PER_SLOT: typing.Final = 2
MIN_QUEUE_CAPACITY: typing.Final = 4
# Part of the slots that calls may hold which begin on a slowed VM and will be
# late: they are served where nobody else could be, but not by all slots.
LATE_SLOT_SHARE: typing.Final = 0.25
# Calls that broke off this long before a server was found dead ran on it.
DEATH_WINDOW_S: typing.Final = 2.0
MAX_ABORTED: typing.Final = 256
# Departed starts that are remembered; late announcements of them are few.
MAX_DEPARTED: typing.Final = 256
# Age at which a figure of how slow a VM is no longer helps: such states last
# some tenths of a second.
SLOWDOWN_PROBE_INTERVAL_S: typing.Final = 0.1
# A wait below this would be lost in the rounding of the clock.
MIN_START_WAIT_S: typing.Final = 0.001

_FAILURES: typing.Final = frozenset(
    {_outcomes.ServerOutcome.SHED, _outcomes.ServerOutcome.ABORTED}
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerStart:
    """One start of a backend server.

    The same ``server`` may start again; ``born`` tells the starts apart and
    grows from one to the next.  Both are empty where servers have no names.
    """

    server: _ids.ServerId = _ids.NO_SERVER_ID
    born: int = 0


ANY_START: typing.Final = ServerStart()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Server:
    """A backend server as it announced itself.

    ``start`` and ``sequence`` tell a late announcement from a new one, and
    ``cold_left_s`` is how long the server will go on being cold.
    """

    service: _ids.ServiceName
    host: str
    port: int
    slots: int
    connections: int
    cold_concurrency: int
    is_cold: bool
    health_path: str
    start: ServerStart = ANY_START
    sequence: int = 0
    cold_left_s: float = 0.0


class Admission(enum.Enum):
    """Answer of the gate to an offered call."""

    STARTED = enum.auto()
    QUEUED = enum.auto()
    REFUSED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OfferResult:
    """Answer to an offered call, and the call that gave way to it."""

    admission: Admission
    displaced: _queue.Work | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class EndResult:
    """What followed from the end of a call at the gate."""

    started: list[_queue.Work]
    refused: list[_queue.Work]
    fell_cold: bool = False
    became_unreachable: bool = False


class Gate:
    """State of the gate."""

    def __init__(self) -> None:
        self._server: Server | None = None
        self._state = _members.ServerState.ABSENT
        self._limit = _limit.ConcurrencyLimit(
            slots=1, cold_concurrency=1, is_cold=True
        )
        self._queue = _queue.WorkQueue(capacity=MIN_QUEUE_CAPACITY)
        self._running: dict[_ids.AttemptId, _queue.Work] = {}
        self._waiting: dict[_ids.AttemptId, _queue.Work] = {}
        self._running_by_kind: dict[_ids.KindName, int] = {}
        self._last_seen_at = 0.0
        self._estimates = _estimates.ServerEstimates()
        self._statistics = _statistics.GateStatistics()
        self._probe_duration_s = 0.0
        self._cold_rate_limiter = _rate_limiter.ColdRateLimiter()
        self._cold_until = 0.0
        self._service: _settings.Service | None = None
        self._departed: dict[_ids.ServerId, int] = {}
        self._aborted: collections.deque[tuple[float, _ids.Fingerprint]] = (
            collections.deque(maxlen=MAX_ABORTED)
        )

    @property
    def server(self) -> Server | None:
        """The backend server, when one has announced itself."""
        return self._server

    @property
    def state(self) -> _members.ServerState:
        """Standing of the backend server."""
        return self._state

    @property
    def running(self) -> int:
        """Calls that the backend server holds."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return min(self._limit.current, self._estimates.limit)

    @property
    def typical_service_s(self) -> float:
        """Mean time of a call over a long time, in seconds."""
        return self._estimates.typical_service_s

    @property
    def last_seen_at(self) -> float:
        """Time of the last sign of life from the backend server."""
        return self._last_seen_at

    @property
    def accepts_work(self) -> bool:
        """Whether the backend server may be given new work at all."""
        return self._state in _members.ACCEPTING_STATES

    def describe_limit(self, now: float) -> str:
        """Tell what the limit that crowding sets was chosen from."""
        return self._estimates.describe_limit(now)

    def pop_summary(self, now: float) -> str | None:
        """Tell what was refused of late and why; None if there is nothing."""
        summary = self._statistics.pop_summary(now)
        if summary is None:
            return None
        return (
            f"{len(self._running)} of {self.limit} run, "
            f"{len(self._waiting)} wait, ramped up to {self._limit.current}, "
            f"{self._estimates.describe(len(self._running), now)}, {summary}"
        )

    def has_capacity(self, now: float) -> bool:
        """Tell whether an offered call would start at once."""
        return (
            self._state in _members.ACCEPTING_STATES
            and not self._waiting
            and len(self._running) < self.limit
            and self._cold_wait_s(now) <= 0.0
        )

    def report(self, now: float) -> _reports.LoadReport:
        """Describe the load at this moment."""
        return _reports.LoadReport(
            in_flight=len(self._running) + len(self._waiting),
            limit=self.limit,
            service_s=self._estimates.reported_s(len(self._running), now),
        )

    def announce(self, server: Server, now: float) -> None:
        """Take in the announcement of a backend server.

        A repeated announcement of the same server only moves it between cold
        and warm; calls that run are kept.
        """
        is_repeat = self._server is not None and (
            self._server.start == server.start
            and self._server.port == server.port
            and self._server.slots == server.slots
            and self._server.is_cold == server.is_cold
        )
        self._server = server
        self._last_seen_at = now
        self._cold_until = now + server.cold_left_s
        if is_repeat and self.accepts_work:
            return
        self._estimates.set_slots(server.slots)
        self._limit = _limit.ConcurrencyLimit(
            slots=server.slots,
            cold_concurrency=server.cold_concurrency,
            is_cold=server.is_cold,
        )
        self._state = (
            _members.ServerState.COLD
            if server.is_cold
            else _members.ServerState.WARM
        )
        self._queue.resize(
            max(MIN_QUEUE_CAPACITY, QUEUE_CAPACITY_PER_SLOT * server.slots)
        )

    def is_newer(self, server: Server) -> bool:
        """Tell whether an announcement is newer than what is known.

        One that was held up on its way may be of an earlier start, or of a
        start that has been acknowledged as leaving since.
        """
        start = server.start
        if start == ANY_START:
            return True
        if self._departed.get(start.server, -1) >= start.born:
            return False
        known = self._server
        if known is None or start.server != known.start.server:
            return known is None or start.born >= known.start.born
        if start.born != known.start.born:
            return start.born > known.start.born
        return server.sequence > known.sequence

    def matches_start(self, start: ServerStart) -> bool:
        """Tell whether the backend server here is of the start named."""
        if start == ANY_START:
            return True
        if self._server is None or self._server.start.server != start.server:
            return False
        known = self._server.start.born
        # A start without a time of birth was named by somebody who did not
        # know it.
        return start.born == known or 0 in (start.born, known)

    def note_departure(self, start: ServerStart) -> None:
        """Remember that a start of a backend server is leaving for good."""
        if start == ANY_START:
            return
        born = start.born
        if self._server is not None and self.matches_start(start):
            born = self._server.start.born
        known = self._departed.pop(start.server, -1)
        self._departed[start.server] = max(known, born)
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def set_service(
        self, service: _settings.Service, expected_s: float | None = None
    ) -> None:
        """Take in what the configuration says of the server's service.

        ``expected_s`` is what a call is thought to take until some have been
        measured.
        """
        self._service = service
        self._estimates.set_expected(expected_s)

    def assume_cold(self, now: float) -> None:
        """Take the backend server as cold until it says otherwise."""
        self._limit.restart_ramp()
        if self._service is not None:
            self._cold_until = now + self._service.cold_s

    def next_start_at(self, now: float) -> float | None:
        """Tell when a call that waits for a cold server may start."""
        if not self._waiting or len(self._running) >= self.limit:
            return None
        wait_s = self._cold_wait_s(now)
        return now + max(MIN_START_WAIT_S, wait_s) if wait_s > 0.0 else None

    def start_waiting(self, now: float) -> list[_queue.Work]:
        """Start the calls that wait, as far as there is room."""
        return self._start_waiting(now) if self.accepts_work else []

    def drain(self) -> list[_queue.Work]:
        """Take no new work; return the calls that waited."""
        if self._state is not _members.ServerState.ABSENT:
            self._state = _members.ServerState.DRAINING
        return self.drop_waiting()

    def withdraw(self) -> list[_queue.Work]:
        """Forget the backend server; return the calls that waited."""
        self._state = _members.ServerState.ABSENT
        self._server = None
        return self.drop_waiting()

    def offer(self, work: _queue.Work, now: float) -> OfferResult:
        """Decide on a new call."""
        offer = self._decide(work, now)
        if offer.admission is Admission.REFUSED or offer.displaced is not None:
            self._statistics.note_refusal()
        return offer

    def _decide(self, work: _queue.Work, now: float) -> OfferResult:
        if not self.accepts_work or self._is_over_share(work):
            return OfferResult(admission=Admission.REFUSED)
        if self.has_capacity(now) and self._may_start(work, now):
            self._start(work, now)
            return OfferResult(admission=Admission.STARTED)
        if not work.prefers_queueing and (
            self._estimates.is_slow or self._is_queue_long()
        ):
            return OfferResult(admission=Admission.REFUSED)
        if self.max_wait_s(work, now) <= 0.0:
            return OfferResult(admission=Admission.REFUSED)
        displaced = self._queue.push(work)
        if displaced is work:
            return OfferResult(admission=Admission.REFUSED)
        self._waiting[work.attempt] = work
        if displaced is not None:
            del self._waiting[displaced.attempt]
        return OfferResult(admission=Admission.QUEUED, displaced=displaced)

    def max_wait_s(self, work: _queue.Work, now: float) -> float:
        """Seconds for which a call may wait here.

        One that could no longer be answered in time does not wait: the slot
        that it would take is worth more to one that still can.
        """
        spare_s = work.target_at - work.offered_at
        if spare_s < math.inf:
            spare_s = max(0.0, spare_s - self._estimates.baseline_s(work))
        if work.prefers_queueing:
            return min(MAX_QUEUE_WAIT_S, spare_s)
        typical_service_s = SHORT_WAIT_SERVICE_TIMES * self._estimates.mean_s
        typical_service_s = min(
            MAX_QUEUE_WAIT_S, max(MIN_QUEUE_WAIT_S, typical_service_s)
        )
        return min(typical_service_s, spare_s)

    def end(
        self,
        attempt: _ids.AttemptId,
        outcome: _outcomes.ServerOutcome,
        head_s: float,
        now: float,
    ) -> EndResult:
        """Take in the end of a running call and start others in its place.

        Parameters
        ----------
        attempt
            The call that ended.
        outcome
            How the backend server ended it.
        head_s
            Seconds until the head of the answer; only read for an answer.
        now
            Monotonic time in seconds.
        """
        running = len(self._running)
        work = self._running.pop(attempt, None)
        if work is None:
            raise AssertionError(f"attempt {attempt} is not running")
        self._running_by_kind[work.kind.name] -= 1
        self._estimates.note_end(work, outcome, running, now)
        self._statistics.note_end(work, outcome, now)
        result = EndResult(started=[], refused=[])
        if outcome is _outcomes.ServerOutcome.ABORTED:
            self._aborted.append((now, work.fingerprint))
        self._apply_outcome(work, outcome, head_s, now, result)
        if self.accepts_work:
            result.started = self._start_waiting(now)
        return result

    def abandon(self, attempt: _ids.AttemptId) -> bool:
        """Remove a call that waits; false when it does not wait."""
        work = self._waiting.pop(attempt, None)
        if work is None:
            return False
        self._queue.remove(work)
        self._statistics.note_unserved()
        return True

    def find(self, attempt: _ids.AttemptId) -> _queue.Work | None:
        """Find a call that runs or waits."""
        return self._running.get(attempt) or self._waiting.get(attempt)

    def probe_interval_s(self, measuring: _settings.ProbeBudget) -> float:
        """Seconds between probes that the budget allows.

        A server that tells how slow its VM is answers probes at once, at no
        cost to a slot, and is asked whenever its answers do not tell it.
        """
        if self._estimates.slowdown_at is not None:
            return SLOWDOWN_PROBE_INTERVAL_S
        slots = 1 if self._server is None else self._server.slots
        by_share_s = self._probe_duration_s / (slots * measuring.slot_share)
        return max(1.0 / measuring.calls_per_s, by_share_s)

    def note_slowdown(self, slowdown: float, now: float) -> bool:
        """Take in how slow the VM is; tell whether that is news to others."""
        return self._estimates.note_slowdown(slowdown, len(self._running), now)

    @property
    def slowdown_at(self) -> float | None:
        """When the server last told how slow its VM is; None if never."""
        return self._estimates.slowdown_at

    def note_probe(
        self,
        is_healthy: bool,
        elapsed_s: float,
        cold_left_s: float | None,
        now: float,
    ) -> bool:
        """Take in a probe; tell whether the server came back or went."""
        self._probe_duration_s = elapsed_s
        if is_healthy and self._state is _members.ServerState.UNREACHABLE:
            self.assume_cold(now)
        if is_healthy and cold_left_s is not None:
            self._cold_until = now + cold_left_s
        if is_healthy:
            self._last_seen_at = now
            if self._state is not _members.ServerState.UNREACHABLE:
                return False
            self._state = _members.ServerState.WARM
            return True
        if not self.accepts_work:
            return False
        self._state = _members.ServerState.UNREACHABLE
        return True

    @property
    def runs_suspect(self) -> bool:
        """Whether a suspected request runs."""
        return any(work.is_suspect for work in self._running.values())

    def running_fingerprints(self) -> list[_ids.Fingerprint]:
        """List the requests that run."""
        return [work.fingerprint for work in self._running.values()]

    def pop_aborted(self, now: float) -> list[_ids.Fingerprint]:
        """Return the requests that broke off of late, once."""
        aborted = [
            fingerprint
            for at, fingerprint in self._aborted
            if now - at <= DEATH_WINDOW_S
        ]
        self._aborted.clear()
        return aborted

    def drop_waiting(self) -> list[_queue.Work]:
        """Remove and return the calls that wait."""
        self._waiting.clear()
        return self._queue.drain()

    def _apply_outcome(
        self,
        work: _queue.Work,
        outcome: _outcomes.ServerOutcome,
        head_s: float,
        now: float,
        result: EndResult,
    ) -> None:
        self._estimates.learn(
            work,
            outcome,
            head_s,
            now,
            was_cold=work.started_at < self._cold_until,
        )
        if outcome is _outcomes.ServerOutcome.ANSWERED:
            self._last_seen_at = now
            self._limit.note_success(head_s, len(self._running), now)
        elif outcome is _outcomes.ServerOutcome.UNREACHABLE:
            if self.accepts_work:
                self._state = _members.ServerState.UNREACHABLE
                result.became_unreachable = True
                result.refused = self.drop_waiting()
        elif outcome in _FAILURES:
            result.fell_cold = self._limit.note_shed(
                self._estimates.mean_s, len(self._running), now
            )

    def _start(self, work: _queue.Work, now: float) -> None:
        work.started_at = now
        self._cold_rate_limiter.note_start(now)
        self._statistics.note_start()
        self._estimates.note_start(work, len(self._running), now)
        self._running[work.attempt] = work
        name = work.kind.name
        self._running_by_kind[name] = self._running_by_kind.get(name, 0) + 1

    def _may_start(self, work: _queue.Work, now: float) -> bool:
        """Tell whether a call may begin while the VM is as slow as it is.

        A call that begins on a slowed VM holds its slot for longer, often
        beyond the end of the spell, and keeps it from calls that would be
        in time.
        """
        if not self._estimates.is_slow:
            return True
        done_at = now + self._estimates.predict_s(work, now)
        if done_at <= min(work.target_at, work.deadline_at):
            return True
        most = LATE_SLOT_SHARE * self.limit
        return (
            work.prefers_queueing
            and done_at <= work.deadline_at
            and len(self._running) < most
        )

    def _is_queue_long(self) -> bool:
        most = max(1.0, SHORT_QUEUE_PER_SLOT * self.limit)
        return len(self._waiting) >= most

    def _start_waiting(self, now: float) -> list[_queue.Work]:
        started = []
        while (
            self._waiting
            and len(self._running) < self.limit
            and self._cold_wait_s(now) <= 0.0
        ):
            work = self._queue.pop_next(
                lambda waiting: self._may_start(waiting, now)
            )
            if work is None:
                break
            del self._waiting[work.attempt]
            self._start(work, now)
            started.append(work)
        return started

    def _cold_wait_s(self, now: float) -> float:
        """Seconds until a cold server may be given the next call."""
        service = self._service
        if service is None or service.cold_rate_per_s is None:
            return 0.0
        if now >= self._cold_until:
            return 0.0
        wait_s = self._cold_rate_limiter.wait_s(service.cold_rate_per_s, now)
        return min(wait_s, self._cold_until - now)

    def _is_over_share(self, work: _queue.Work) -> bool:
        share = work.kind.max_slot_share
        if share >= 1.0 or self._server is None:
            return False
        held = self._running_by_kind.get(work.kind.name, 0)
        return held >= max(1.0, share * self._server.slots)
