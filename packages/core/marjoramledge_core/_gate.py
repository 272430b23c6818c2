"""The gate: admission control before the backend server on this VM.

Every call to the backend server passes through the gate, whether it entered
at this node or at a peer, so the gate's counts are exact.  The gate starts a
call, queues it for a short time, or refuses it.  A refused call has never
reached the backend server.
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
from marjoramledge_core import _named_limit
from marjoramledge_core import _outcomes
from marjoramledge_core import _queue
from marjoramledge_core import _rate_limiter
from marjoramledge_core import _reports
from marjoramledge_core import _server_starts
from marjoramledge_core import _server_status
from marjoramledge_core import _settings
from marjoramledge_core import _statistics

# Limits for calls that can be sent to another server instead: they wait for
# about one mean service time, and only behind a short queue.  A slowdown by a
# noisy neighbour lasts longer than that, so waiting it out does not pay.
MIN_QUEUE_WAIT_S: typing.Final = 0.002
SHORT_WAIT_SERVICE_TIMES: typing.Final = 1.0
SHORT_QUEUE_PER_SLOT: typing.Final = 0.25
# Capacity of the queue.
QUEUE_CAPACITY_PER_SLOT: typing.Final = 2
MIN_QUEUE_CAPACITY: typing.Final = 4
# On a slowed VM, a call that is predicted to miss its latency target may start
# only while less than this share of the limit is in use, and only if it has no
# other server to go to.  Such calls must not occupy all slots.
LATE_SLOT_SHARE: typing.Final = 0.25
# Calls that were aborted mid-request up to this long before the server was
# found dead count as running at its death.
DEATH_WINDOW_S: typing.Final = 2.0
MAX_ABORTED: typing.Final = 256
# Slowdowns of a VM last some tenths of a second, so an older measurement of
# the slowdown is of no use.
SLOWDOWN_PROBE_INTERVAL_S: typing.Final = 0.1
# A server that became cold longer than this before its node started may have
# run calls of a node before it.  Longer than a node takes to start, since
# servers start together with their nodes.
NODE_START_S: typing.Final = 1.5
# Shorter timers would be lost to the clock's resolution.
MIN_START_WAIT_S: typing.Final = 0.001

# Outcomes that may show that the server has become cold again.
_FAILURES: typing.Final = frozenset(
    {_outcomes.ServerOutcome.SHED, _outcomes.ServerOutcome.ABORTED}
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Server:
    """A backend server, as it announced itself.

    ``start`` and ``sequence`` order announcements, so that delayed ones can
    be ignored.  ``cold_left_s`` is the time until the server is warm, and
    ``version`` its software version, if it tells one.
    """

    service: _ids.ServiceName
    host: str
    port: int
    slots: int
    connections: int
    cold_concurrency: int
    is_cold: bool
    health_path: str
    start: _server_status.ServerStart = _server_status.ANY_START
    sequence: int = 0
    cold_left_s: float = 0.0
    version: _ids.ServerVersion = _ids.NO_SERVER_VERSION


class Admission(enum.Enum):
    """Decision of the gate on an offered call."""

    STARTED = enum.auto()
    QUEUED = enum.auto()
    REFUSED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OfferResult:
    """Decision on an offered call.

    ``displaced`` is the queued call that was removed to make room for it.
    """

    admission: Admission
    displaced: _queue.Work | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class EndResult:
    """Consequences of the end of a call.

    ``started`` holds queued calls that took the free slot, and ``refused``
    those that were removed from the queue.  ``fell_cold`` is true if failed
    calls show that the server is cold again, and ``became_unreachable`` if
    connecting to it failed.
    """

    started: list[_queue.Work]
    refused: list[_queue.Work]
    fell_cold: bool = False
    became_unreachable: bool = False


class Gate:
    """Admission control for the local backend server.

    Parameters
    ----------
    started_at
        Monotonic time in seconds at which the node started.
    """

    def __init__(self, *, started_at: float = -math.inf) -> None:
        self._started_at = started_at
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
        self._named_limit = _named_limit.NamedLimit()
        self._has_said_to_leave = False
        self._service: _settings.Service | None = None
        self._starts = _server_starts.ServerStarts()
        self._aborted: collections.deque[tuple[float, _ids.Fingerprint]] = (
            collections.deque(maxlen=MAX_ABORTED)
        )

    @property
    def server(self) -> Server | None:
        """The local backend server; None until one has announced itself."""
        return self._server

    @property
    def state(self) -> _members.ServerState:
        """State of the backend server."""
        return self._state

    @property
    def running(self) -> int:
        """Number of calls that run at the backend server."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of calls in the queue."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Number of calls that may run concurrently."""
        return min(self._limit.current, self._estimates.limit)

    @property
    def typical_service_s(self) -> float:
        """Mean service time over a long window, in seconds.

        Until a call has finished, the configured expectation.
        """
        return self._estimates.typical_service_s

    @property
    def last_seen_at(self) -> float:
        """Time of the last announcement, answer or successful probe."""
        return self._last_seen_at

    @property
    def accepts_work(self) -> bool:
        """Whether the state of the backend server allows new calls."""
        return self._state in _members.ACCEPTING_STATES

    def describe_limit(self, now: float) -> str:
        """Describe the data that the contention limit was chosen from."""
        return self._estimates.describe_limit(now)

    def describe_rate_limit(self) -> str:
        """Describe the limit that the server names."""
        if self.rate_limit_per_s is None:
            return "no named limit"
        return f"named limit {self.rate_limit_per_s:g} calls a second"

    def pop_summary(self, now: float) -> str | None:
        """Return a summary of load and refusals, and reset its counts.

        Returns
        -------
        str or None
            None if nothing was refused, or the last summary was too recent.
        """
        summary = self._statistics.pop_summary(now)
        if summary is None:
            return None
        return (
            f"{len(self._running)} running of at most {self.limit}, "
            f"{len(self._waiting)} queued, ramp limit {self._limit.current}, "
            f"{self.describe_rate_limit()}, "
            f"{self._estimates.describe(len(self._running), now)}, {summary}"
        )

    def has_capacity(self, now: float) -> bool:
        """Return whether an offered call would start without queueing."""
        return (
            self._state in _members.ACCEPTING_STATES
            and not self._waiting
            and len(self._running) < self.limit
            and self._start_wait_s(now) <= 0.0
        )

    def report(self, now: float) -> _reports.LoadReport:
        """Return the current load, to be sent to other nodes."""
        return _reports.LoadReport(
            in_flight=len(self._running) + len(self._waiting),
            limit=self.limit,
            service_s=self._estimates.reported_s(len(self._running), now),
        )

    @property
    def starts(self) -> _server_starts.ServerStarts:
        """Starts of the backend server, and their departures."""
        return self._starts

    def announce(
        self, server: Server, now: float, *, is_doubted: bool = False
    ) -> bool:
        """Apply an announcement; return False if it is outdated.

        Running and queued calls are kept.  The limit restarts from the cold
        level, unless the announcement merely repeats the known values.
        """
        is_repeat = self._server is not None and (
            self._server.start == server.start
            and self._server.port == server.port
            and self._server.slots == server.slots
            and self._server.is_cold == server.is_cold
        )
        is_new_start = self._is_new_start(server)
        if not self._accept_start(server, now, is_doubted):
            return False
        if is_new_start:
            self._named_limit.forget()
            self._has_said_to_leave = False
        self._server = server
        self._last_seen_at = now
        self._cold_until = now + server.cold_left_s
        if is_repeat and self.accepts_work:
            return True
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
        return True

    def _accept_start(
        self, server: Server, now: float, is_doubted: bool
    ) -> bool:
        if server.start == _server_status.ANY_START:
            # Only a new start is cold, and not leaving any more.
            is_accepted = server.is_cold or not self._has_said_to_leave
            if is_accepted:
                self._starts.remove()
            return is_accepted
        return self._starts.accept(
            server.start, server.sequence, now, is_doubted=is_doubted
        )

    def _is_new_start(self, server: Server) -> bool:
        """Return whether an announcement is that of another start."""
        if server.start == _server_status.ANY_START:
            return server.is_cold
        return not self._starts.matches(server.start)

    def set_service(
        self, service: _settings.Service, expected_s: float | None = None
    ) -> None:
        """Set the configuration of the service that the server belongs to.

        ``expected_s`` is the service time to assume until calls have been
        measured.
        """
        self._service = service
        self._estimates.set_expected(expected_s)

    @property
    def rate_limit_per_s(self) -> float | None:
        """Calls per second that the server named as its limit, if any."""
        return self._named_limit.named_per_s

    def name_rate_limit(self, rate_per_s: float, now: float) -> bool:
        """Set the limit that the server names; return whether it changed."""
        return self._named_limit.name(rate_per_s, now)

    def note_unlimited_answer(self, work: _queue.Work) -> bool:
        """Note an answer without a limit; return whether it ended one.

        An answer to a call that had started before the limit was last named
        may be older than the limit.
        """
        limit = self._named_limit
        if work.started_at <= limit.named_at:
            return False
        is_end = limit.named_per_s is not None
        limit.end()
        return is_end

    def recall_rate_limit(self, rate_per_s: float, now: float) -> bool:
        """Set a limit that another node remembers; return whether it is new.

        Without effect once the server has answered to this gate.
        """
        return self._named_limit.recall(rate_per_s, now)

    @property
    def has_said_to_leave(self) -> bool:
        """Whether the server has said in an answer that it leaves."""
        return self._has_said_to_leave

    def note_leaving(self, start: _server_status.ServerStart) -> None:
        """Record that the server has said in an answer that it leaves."""
        self._starts.depart(start)
        self._has_said_to_leave = True

    def rate_wait_s(self, now: float) -> float:
        """Return the seconds until the named limit permits another call.

        Calls that are queued already come first.
        """
        return self._named_limit.wait_s(now, len(self._waiting))

    def draw_pause_s(self, now: float) -> float:
        """Return for how long the entry of a refused call should pause."""
        return self._named_limit.draw_pause_s(now)

    def assume_cold(self, now: float) -> None:
        """Treat the backend server as cold until it reports otherwise."""
        self._limit.restart_ramp()
        if self._service is not None:
            self._cold_until = now + self._service.cold_s

    def next_start_at(self, now: float) -> float | None:
        """Return when the rate limits let the next queued call start.

        None if no call is queued, or none of them waits for these limits.
        """
        if not self._waiting or len(self._running) >= self.limit:
            return None
        wait_s = self._start_wait_s(now)
        return now + max(MIN_START_WAIT_S, wait_s) if wait_s > 0.0 else None

    def start_waiting(self, now: float) -> list[_queue.Work]:
        """Start queued calls up to the limits; return them."""
        return self._start_waiting(now) if self.accepts_work else []

    def drain(self) -> list[_queue.Work]:
        """Stop accepting calls; return those removed from the queue."""
        if self._state is not _members.ServerState.ABSENT:
            self._state = _members.ServerState.DRAINING
        return self.drop_waiting()

    def withdraw(self) -> list[_queue.Work]:
        """Remove the backend server; return the calls that were queued."""
        self._state = _members.ServerState.ABSENT
        self._server = None
        self._starts.remove()
        self._named_limit.forget()
        self._has_said_to_leave = False
        return self.drop_waiting()

    def offer(self, work: _queue.Work, now: float) -> OfferResult:
        """Start, queue or refuse a new call."""
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
        max_wait_s = self.max_wait_s(work, now)
        if max_wait_s <= 0.0 or self.rate_wait_s(now) > max_wait_s:
            return OfferResult(admission=Admission.REFUSED)
        displaced = self._queue.push(work)
        if displaced is work:
            return OfferResult(admission=Admission.REFUSED)
        self._waiting[work.attempt] = work
        if displaced is not None:
            del self._waiting[displaced.attempt]
        return OfferResult(admission=Admission.QUEUED, displaced=displaced)

    def max_wait_s(self, work: _queue.Work, now: float) -> float:
        """Return how long a call may be queued, in seconds.

        A call that could no longer meet its latency target is not queued: its
        slot is of more use to a call that still can.
        """
        spare_s = work.target_at - work.offered_at
        if spare_s < math.inf:
            spare_s = max(0.0, spare_s - self._estimates.baseline_s(work))
        if work.prefers_queueing:
            return min(_queue.MAX_QUEUE_WAIT_S, spare_s)
        short_wait_s = SHORT_WAIT_SERVICE_TIMES * self._estimates.mean_s
        short_wait_s = min(
            _queue.MAX_QUEUE_WAIT_S, max(MIN_QUEUE_WAIT_S, short_wait_s)
        )
        return min(short_wait_s, spare_s)

    def end(
        self,
        attempt: _ids.AttemptId,
        outcome: _outcomes.ServerOutcome,
        head_s: float,
        now: float,
    ) -> EndResult:
        """Record the end of a running call and start queued ones.

        Parameters
        ----------
        attempt
            The call that ended.
        outcome
            How the backend server ended it.
        head_s
            Seconds until the response head; only used if it was answered.
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
        """Remove a call from the queue; return whether it was queued."""
        work = self._waiting.pop(attempt, None)
        if work is None:
            return False
        self._queue.remove(work)
        self._statistics.note_unserved()
        return True

    def find(self, attempt: _ids.AttemptId) -> _queue.Work | None:
        """Return a running or queued call."""
        return self._running.get(attempt) or self._waiting.get(attempt)

    def probe_interval_s(self, measuring: _settings.ProbeBudget) -> float:
        """Return the seconds between probes that the budget allows.

        A server that reports the slowdown of its VM answers probes at once
        and without using a slot, so it is probed at a short fixed interval.
        """
        if self._estimates.slowdown_at is not None:
            return SLOWDOWN_PROBE_INTERVAL_S
        slots = 1 if self._server is None else self._server.slots
        by_share_s = self._probe_duration_s / (slots * measuring.slot_share)
        return max(1.0 / measuring.calls_per_s, by_share_s)

    def note_slowdown(self, slowdown: float, now: float) -> bool:
        """Record a reported slowdown; return whether to publish the load."""
        return self._estimates.note_slowdown(slowdown, len(self._running), now)

    @property
    def slowdown_at(self) -> float | None:
        """Time of the server's last slowdown report; None if there is none."""
        return self._estimates.slowdown_at

    def note_probe(
        self,
        is_healthy: bool,
        elapsed_s: float,
        cold_left_s: float | None,
        now: float,
    ) -> bool:
        """Record a probe; return whether reachability changed."""
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
        """Whether a request suspected of crashing servers is running."""
        return any(work.is_suspect for work in self._running.values())

    def running_fingerprints(self) -> list[_ids.Fingerprint]:
        """Return the fingerprints of the running requests."""
        return [work.fingerprint for work in self._running.values()]

    def pop_aborted(self, now: float) -> list[_ids.Fingerprint]:
        """Return and clear the recently aborted requests."""
        aborted = [
            fingerprint
            for at, fingerprint in self._aborted
            if now - at <= DEATH_WINDOW_S
        ]
        self._aborted.clear()
        return aborted

    def drop_waiting(self) -> list[_queue.Work]:
        """Remove and return all queued calls."""
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
        self._named_limit.note_start(now)
        self._statistics.note_start()
        self._estimates.note_start(work, len(self._running), now)
        self._running[work.attempt] = work
        name = work.kind.name
        self._running_by_kind[name] = self._running_by_kind.get(name, 0) + 1

    def _may_start(self, work: _queue.Work, now: float) -> bool:
        """Return whether a call may start at the current slowdown of the VM.

        A call that starts on a slowed VM holds its slot for longer, often
        beyond the end of the slowdown, and keeps the slot from calls that
        would meet their target.
        """
        if not self._estimates.is_slow:
            return True
        done_at = now + self._estimates.predict_s(work, now)
        if done_at <= min(work.target_at, work.deadline_at):
            return True
        max_running = LATE_SLOT_SHARE * self.limit
        return (
            work.prefers_queueing
            and done_at <= work.deadline_at
            and len(self._running) < max_running
        )

    def _is_queue_long(self) -> bool:
        max_queued = max(1.0, SHORT_QUEUE_PER_SLOT * self.limit)
        return len(self._waiting) >= max_queued

    def _start_waiting(self, now: float) -> list[_queue.Work]:
        started = []
        while (
            self._waiting
            and len(self._running) < self.limit
            and self._start_wait_s(now) <= 0.0
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

    def _start_wait_s(self, now: float) -> float:
        """Return the seconds until the rate limits permit the next call."""
        return max(self._cold_wait_s(now), self._named_limit.wait_s(now))

    def _cold_wait_s(self, now: float) -> float:
        """Return the seconds until a cold server may get the next call."""
        service = self._service
        if service is None or service.cold_rate_per_s is None:
            return 0.0
        if now >= self._cold_until:
            return 0.0
        wait_s = self._cold_rate_limiter.wait_s(service.cold_rate_per_s, now)
        cold_since = self._cold_until - service.cold_s
        if cold_since < self._started_at - NODE_START_S:
            # The node before this one may have used the rate of the last
            # second, which nobody has counted here.
            handover_at = self._started_at + _rate_limiter.WINDOW_S
            wait_s = max(wait_s, handover_at - now)
        return min(wait_s, self._cold_until - now)

    def _is_over_share(self, work: _queue.Work) -> bool:
        share = work.kind.max_slot_share
        if share >= 1.0 or self._server is None:
            return False
        held = self._running_by_kind.get(work.kind.name, 0)
        return held >= max(1.0, share * self._server.slots)
