"""State of a node's state machine and of one transition."""

import dataclasses
import enum
import math
import random
import typing

from marjoramledge_core import _answered_requests
from marjoramledge_core import _budget
from marjoramledge_core import _commands
from marjoramledge_core import _confirmation
from marjoramledge_core import _directory
from marjoramledge_core import _gate
from marjoramledge_core import _ids
from marjoramledge_core import _kind_priorities
from marjoramledge_core import _latency
from marjoramledge_core import _load
from marjoramledge_core import _members
from marjoramledge_core import _membership
from marjoramledge_core import _options
from marjoramledge_core import _outcomes
from marjoramledge_core import _quarantine
from marjoramledge_core import _queue
from marjoramledge_core import _quota_state
from marjoramledge_core import _records
from marjoramledge_core import _rollout_evidence
from marjoramledge_core import _rollout_state
from marjoramledge_core import _settings
from marjoramledge_core import _timers
from marjoramledge_core import _version_numbers
from marjoramledge_core import _versions
from marjoramledge_core import _zone_overflow


class CallPhase(enum.Enum):
    """Phase of a call at its entry node.

    A call ends as ``UNKNOWN`` if it got no answer but may have run, and as
    ``ABANDONED`` if its caller disconnected.
    """

    ACCEPTED = enum.auto()
    QUEUED = enum.auto()
    SENT = enum.auto()
    ANSWERED = enum.auto()
    REFUSED = enum.auto()
    UNKNOWN = enum.auto()
    ABANDONED = enum.auto()


# Allowed transitions.  An answer that is aborted before any of it was
# forwarded leads back to SENT; a refusal that proves that the call has not
# run leads back to ACCEPTED.
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
    """Phase of a planned stop.

    While ``DRAINING``, the node informs its peers; from ``CLOSED`` on, its
    gate accepts no calls, from ``NOT_ACCEPTING`` on, the node accepts no
    connections, and in ``LEFT`` it is no longer a member.
    """

    RUNNING = 0
    DRAINING = 1
    CLOSED = 2
    NOT_ACCEPTING = 3
    LEFT = 4
    STOPPED = 5


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """One attempt to run a call on one backend server.

    ``is_open`` is true until the outcome is known or no longer needed.
    ``holds_reroute_token`` is true while a reroute token is reserved, with
    which the call can be sent to another server if this one refuses it.
    ``expected_s`` is the latency that was expected of the server, and
    ``estimate_age_s`` the age of the load report behind that estimate; None
    if there was no report.  ``sample`` is how the attempt will be counted in a
    roll-out; None if it is not, or has been.
    """

    attempt: _ids.AttemptId
    server: _load.ServerLoad
    service: _ids.ServiceName
    sent_at: float
    holds_reroute_token: bool
    expected_s: float
    estimate_age_s: float | None
    is_open: bool = True
    sample: _rollout_evidence.Sample | None = None
    answered_sample: _rollout_evidence.Sample | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """A call from its arrival at this node to its end.

    ``tried`` are the nodes that an attempt was sent to, and ``faulty`` those
    where one failed for another reason than overload.  ``failed_runs``
    counts the failed attempts that ran or may have run.  ``workspace`` is the
    caller's workspace: empty if it has none, and None if the configuration
    lists no workspaces.  ``is_exposed`` is true if the first attempt may go to
    a version under test.  ``quota_at`` is the time at which the
    workspace's limit was charged for the call.
    """

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
    failed_runs: int = 0
    workspace: _ids.WorkspaceName | None = None
    is_exposed: bool = False
    quota_at: float | None = None

    def advance(self, phase: CallPhase) -> None:
        """Enter another phase; the transition must be an allowed one."""
        if phase not in _NEXT_PHASES[self.phase]:
            raise AssertionError(
                f"call {self.call}: transition from {self.phase} to {phase}"
                " is not allowed"
            )
        self.phase = phase

    last_reason: _outcomes.Reason = _outcomes.Reason.NO_SERVER


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LostRequest:
    """A request whose connection to a node was lost."""

    at: float
    fingerprint: _ids.Fingerprint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PresumedDeath:
    """A presumed crash of the local server that a probe is to confirm.

    ``fingerprints`` identify the requests that ran at that time, and
    ``is_published`` is true if the other nodes have been notified already.
    """

    death: _ids.DeathId
    fingerprints: tuple[_ids.Fingerprint, ...]
    is_published: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class NodeState:
    """The whole state of a node's state machine.

    ``directory_revision`` is the revision of members and configuration that
    ``directory`` was built from.  ``deaths`` counts the deaths of the local
    backend server, and ``ordinary_answers`` the calls that were answered in
    time at the first attempt; only a sample of these is recorded.
    ``answered_by_server`` holds the requests that the current start of the
    local server has answered, and ``answered_calls`` those of this entry that
    any server has answered.
    """

    node: _ids.NodeId
    zone: _ids.ZoneName
    options: _options.Options
    timers: _timers.TimerQueue
    gate: _gate.Gate
    membership: _membership.Membership
    versions: _versions.VersionTracker
    directory: _directory.Directory
    zone_overflow: _zone_overflow.Overflow
    directory_revision: tuple[int, int] = (-1, -1)
    calls: dict[_ids.CallId, Call]
    quarantine: _quarantine.Quarantine
    answered_by_server: _answered_requests.AnsweredRequests
    answered_calls: _answered_requests.AnsweredRequests
    lost_requests: dict[_ids.NodeId, list[LostRequest]]
    latencies: dict[
        tuple[_ids.ServiceName, _ids.KindName], _latency.QuantileEstimate
    ]
    budgets: dict[_ids.ServiceName, _budget.RetryBudget]
    prioritized_kinds: _kind_priorities.PrioritizedKinds
    confirmation: _confirmation.Confirmation
    confirmation_rounds: _confirmation.ConfirmationRounds
    rollouts: _rollout_state.RolloutTable = dataclasses.field(
        default_factory=_rollout_state.RolloutTable
    )
    deaths: int = 0
    ordinary_answers: int = 0
    presumed_death: PresumedDeath | None = None
    death_withdrawn_at: float = -math.inf
    is_drained_by_order: bool = False
    rate_start_timer: _timers.Timer | None = None
    stop_phase: StopPhase = StopPhase.RUNNING
    stop_begun_at: float = 0.0
    quota: _quota_state.QuotaState = dataclasses.field(
        default_factory=_quota_state.QuotaState
    )

    @property
    def is_server_released(self) -> bool:
        """Whether a planned stop has ended the use of the backend server."""
        if self.options.stop_keeps_server:
            return self.stop_phase >= StopPhase.CLOSED
        return self.stop_phase is not StopPhase.RUNNING

    def describe_unreadiness(self, now: float) -> str:
        """Describe why this node serves no callers; empty if it does."""
        if self.stop_phase is not StopPhase.RUNNING:
            return "the node is stopping"
        if self.versions.configuration is None:
            return "no configuration is in force yet"
        if self.versions.is_outdated(self.options.outdated_limit_s, now):
            wanted = _version_numbers.format_version(
                self.versions.wanted.version
            )
            return (
                f"version {wanted} is in force at other nodes, "
                f"version {self.versions.describe()} here"
            )
        return ""

    def outlasts_stop(self, deadline_at: float) -> bool:
        """Return whether a planned stop may cut a call with this deadline."""
        if self.stop_phase is StopPhase.RUNNING:
            return False
        return deadline_at > self.stop_begun_at + self.options.stop_limit_s


@dataclasses.dataclass(slots=True, kw_only=True)
class Step:
    """One transition: the state, the current time and the output commands.

    ``returned_work`` holds calls of this entry node that the local gate
    returned without having run them; they are placed again before the step
    ends.
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
        """Add a record to the time line."""
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
        """Publish the state of the local backend server to the other nodes."""
        gate = self.state.gate
        server = gate.server
        server_state = gate.state
        is_leaving = (
            self.state.is_drained_by_order or self.state.is_server_released
        )
        if is_leaving and gate.accepts_work:
            server_state = _members.ServerState.DRAINING
        myself = self.state.membership.myself
        self.state.membership.update_myself(
            service=myself.service if server is None else server.service,
            server=server_state,
            slots=myself.slots if server is None else server.slots,
            departed=gate.starts.last_departed,
            server_version=None if server is None else server.version,
            now=self.now,
        )

    def budget_of(self, service: _ids.ServiceName) -> _budget.RetryBudget:
        """Return the retry budget of a service."""
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
        """Return the estimate of a latency quantile of a kind of request."""
        key = (kind.service, kind.name)
        estimate = self.state.latencies.get(key)
        if estimate is None:
            estimate = _latency.QuantileEstimate()
            self.state.latencies[key] = estimate
        return estimate

    def publish_suspicions(
        self,
        suspicions: tuple[_quarantine.Suspicion, ...],
        *,
        is_relayed: bool = False,
    ) -> None:
        """Publish new suspicions and clearances to the other nodes."""
        if suspicions:
            self.state.membership.publish_suspicions(
                suspicions, self.rng, self.out, is_relayed=is_relayed
            )

    def is_zone_open(self) -> bool:
        """Return whether this node's zone takes work."""
        configuration = self.state.versions.configuration
        return configuration is not None and configuration.zone_takes_work(
            self.state.zone
        )
