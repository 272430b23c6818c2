"""State of one node's decisions, and of one step over it."""

import dataclasses
import enum
import math
import random
import typing

from marjoramledge_core import _budget
from marjoramledge_core import _commands
from marjoramledge_core import _directory
from marjoramledge_core import _gate
from marjoramledge_core import _ids
from marjoramledge_core import _latency
from marjoramledge_core import _load
from marjoramledge_core import _members
from marjoramledge_core import _membership
from marjoramledge_core import _options
from marjoramledge_core import _outcomes
from marjoramledge_core import _quarantine
from marjoramledge_core import _queue
from marjoramledge_core import _records
from marjoramledge_core import _settings
from marjoramledge_core import _timers
from marjoramledge_core import _versions


class CallPhase(enum.Enum):
    """Where a call stands at the node where it entered."""

    ACCEPTED = enum.auto()
    QUEUED = enum.auto()
    SENT = enum.auto()
    ANSWERED = enum.auto()
    REFUSED = enum.auto()
    UNKNOWN = enum.auto()
    ABANDONED = enum.auto()


# What may follow each phase.  An answer that breaks off unread leads back to
# SENT; a refusal that proves nothing ran leads back to ACCEPTED.
_NEXT_PHASES: typing.Final = {
    CallPhase.ACCEPTED: frozenset(
        {
            CallPhase.QUEUED,
            CallPhase.SENT,
            CallPhase.REFUSED,
            CallPhase.UNKNOWN,
            CallPhase.ABANDONED,
        }
    ),
    CallPhase.QUEUED: frozenset(
        {
            CallPhase.ACCEPTED,
            CallPhase.SENT,
            CallPhase.REFUSED,
            CallPhase.UNKNOWN,
            CallPhase.ABANDONED,
        }
    ),
    CallPhase.SENT: frozenset(
        {
            CallPhase.ACCEPTED,
            CallPhase.SENT,
            CallPhase.ANSWERED,
            CallPhase.REFUSED,
            CallPhase.UNKNOWN,
            CallPhase.ABANDONED,
        }
    ),
    CallPhase.ANSWERED: frozenset({CallPhase.SENT, CallPhase.ABANDONED}),
    CallPhase.REFUSED: frozenset(),
    CallPhase.UNKNOWN: frozenset(),
    CallPhase.ABANDONED: frozenset(),
}


class StopPhase(enum.IntEnum):
    """How far a planned stop has come."""

    RUNNING = 0
    DRAINING = 1
    CLOSED = 2
    NOT_ACCEPTING = 3
    LEFT = 4
    STOPPED = 5


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """One sending of a call to one backend server.

    ``is_open`` holds until its outcome is known or no longer wanted;
    ``holds_reroute_token`` tells that a move to another server is paid for.
    ``expected_s`` and ``estimate_age_s`` are the time that the server was expected
    to take, and the age of what that was known from.
    """

    attempt: _ids.AttemptId
    server: _load.ServerLoad
    service: _ids.ServiceName
    sent_at: float
    holds_reroute_token: bool
    expected_s: float
    estimate_age_s: float
    is_open: bool = True


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """A call from its arrival at this node to its end."""

    call: _ids.CallId
    kind: _settings.RequestKind
    service: _ids.ServiceName
    arrived_at: float
    deadline_at: float
    target_at: float
    is_body_buffered: bool
    is_body_consumed: bool = False
    phase: CallPhase = CallPhase.ACCEPTED
    attempts: dict[_ids.AttemptId, Attempt]
    tried: set[_ids.NodeId]
    faulty: set[_ids.NodeId]
    timers: list[_timers.Timer]
    fingerprint: _ids.Fingerprint
    request: str = ""
    delivered: Attempt | None = None
    may_have_run: bool = False
    losses: int = 0

    def advance(self, phase: CallPhase) -> None:
        """Move to another phase, which must be one that may follow."""
        if phase not in _NEXT_PHASES[self.phase]:
            raise AssertionError(f"{self.call}: {self.phase} to {phase}")
        self.phase = phase

    last_reason: _outcomes.Reason = _outcomes.Reason.NO_SERVER


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LostRequest:
    """A request whose connection to a node broke."""

    at: float
    fingerprint: _ids.Fingerprint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PresumedDeath:
    """A death of the backend server here that a probe is to confirm.

    ``fingerprints`` are the requests that ran then, and ``is_published`` says whether the
    other nodes have been told already.
    """

    death: _ids.DeathId
    fingerprints: tuple[_ids.Fingerprint, ...]
    is_published: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class NodeState:
    """Everything that one node's decisions depend on."""

    node: _ids.NodeId
    zone: _ids.ZoneName
    options: _options.Options
    timers: _timers.TimerQueue
    gate: _gate.Gate
    membership: _membership.Membership
    versions: _versions.VersionTracker
    directory: _directory.Directory
    directory_revision: tuple[int, int] = (-1, -1)
    calls: dict[_ids.CallId, Call]
    quarantine: _quarantine.Quarantine
    losses: dict[_ids.NodeId, list[LostRequest]]
    latencies: dict[
        tuple[_ids.ServiceName, _ids.KindName], _latency.QuantileEstimate
    ]
    budgets: dict[_ids.ServiceName, _budget.RetryBudget]
    deaths: int = 0
    ordinary_answers: int = 0
    presumed_death: PresumedDeath | None = None
    death_withdrawn_at: float = -math.inf
    is_drained_by_order: bool = False
    cold_start_timer: _timers.Timer | None = None
    stop_phase: StopPhase = StopPhase.RUNNING
    stop_begun_at: float = 0.0

    @property
    def is_server_released(self) -> bool:
        """Whether a planned stop has ended the use of the backend server."""
        if self.options.stop_keeps_server:
            return self.stop_phase >= StopPhase.CLOSED
        return self.stop_phase is not StopPhase.RUNNING


@dataclasses.dataclass(slots=True, kw_only=True)
class Step:
    """One step: the state, the moment, and what follows.

    ``returned_work`` holds calls of this same node that the gate gave back
    unrun; they are placed anew before the step ends.
    """

    state: NodeState
    now: float
    rng: random.Random
    out: list[_commands.Command]
    returned_work: list[tuple[_queue.Work, _outcomes.Reason]]

    def record(
        self,
        kind: _records.RecordKind,
        *,
        service: _ids.ServiceName = _ids.NO_SERVICE,
        call: _ids.CallId = _ids.NO_CALL,
        peer: _ids.NodeId = _ids.NO_NODE,
        request: str = "",
        detail: str = "",
    ) -> None:
        """Add an event to the time line."""
        record = _records.Record(
            kind=kind,
            service=service,
            call=call,
            peer=peer,
            request=request,
            detail=detail,
        )
        self.out.append(_commands.WriteRecord(record=record))

    def publish_server(self) -> None:
        """Tell the other nodes how the backend server stands."""
        gate = self.state.gate
        server = gate.server
        standing = gate.state
        is_leaving = (
            self.state.is_drained_by_order or self.state.is_server_released
        )
        if is_leaving and gate.accepts_work:
            standing = _members.ServerState.DRAINING
        myself = self.state.membership.myself
        self.state.membership.update_myself(
            service=myself.service if server is None else server.service,
            server=standing,
            slots=myself.slots if server is None else server.slots,
            now=self.now,
        )

    def budget_of(self, service: _ids.ServiceName) -> _budget.RetryBudget:
        """Find the budget for further attempts at a service."""
        budget = self.state.budgets.get(service)
        if budget is None:
            budget = _budget.RetryBudget()
            self.state.budgets[service] = budget
        repeats = self.state.options.repeats
        if repeats is not None:
            budget.set_share(repeats, self.state.membership.max_present_count)
        return budget

    def latency_of(
        self, kind: _settings.RequestKind
    ) -> _latency.QuantileEstimate:
        """Find the usual latency of a kind of request."""
        key = (kind.service, kind.name)
        estimate = self.state.latencies.get(key)
        if estimate is None:
            estimate = _latency.QuantileEstimate()
            self.state.latencies[key] = estimate
        return estimate

    def publish_suspicions(
        self,
        news: tuple[_quarantine.Suspicion, ...],
        *,
        is_relayed: bool = False,
    ) -> None:
        """Tell the other nodes of suspected or cleared requests, at once."""
        if news:
            self.state.membership.publish_suspicions(
                news, self.rng, self.out, is_relayed=is_relayed
            )

    def is_zone_open(self) -> bool:
        """Tell whether this node's zone takes work."""
        configuration = self.state.versions.configuration
        return configuration is not None and configuration.zone_takes_work(
            self.state.zone
        )
