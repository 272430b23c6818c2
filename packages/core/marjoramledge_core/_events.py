"""Events that the state machine of a node handles."""

import dataclasses
import math

from marjoramledge_core import _gate
from marjoramledge_core import _ids
from marjoramledge_core import _manifest
from marjoramledge_core import _members
from marjoramledge_core import _options
from marjoramledge_core import _outcomes
from marjoramledge_core import _quarantine
from marjoramledge_core import _reports
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _server_status
from marjoramledge_core import _settings
from marjoramledge_core import _signals


@dataclasses.dataclass(slots=True, kw_only=True)
class CallArrived:
    """A caller's request arrived at this node.

    ``deadline_s`` is the caller's timeout in seconds from now, and
    ``is_body_buffered`` is true if the whole body is in memory.  Equal
    requests have the same ``fingerprint`` at every entry node, and
    ``request`` is the request ID that the caller chose.  ``credentials`` are
    the values of the ``Authorization`` header fields.
    """

    call: _ids.CallId
    host: str
    method: str
    path: str
    deadline_s: float | None
    is_body_buffered: bool
    fingerprint: _ids.Fingerprint
    request: str = ""
    credentials: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptAnswered:
    """The status line and headers of an answer arrived.

    ``is_error`` marks an answer that reports a fault of the server,
    ``config`` is the version of the gate's node if it is newer, and
    ``status`` what the gate tells about the server.
    """

    call: _ids.CallId
    attempt: _ids.AttemptId
    is_error: bool
    load: _reports.LoadReport | None
    config: _manifest.KnownVersion | None = None
    status: _server_status.ServerStatus | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptFailed:
    """An attempt ended without an answer that can be forwarded.

    ``is_body_consumed`` is true if part of an unbuffered body has been read
    from the caller, so that the request cannot be sent again.  ``config`` is
    the version of the gate's node if it is newer, and ``status`` what the gate
    tells about the server.
    """

    call: _ids.CallId
    attempt: _ids.AttemptId
    run: _outcomes.RunState
    reason: _outcomes.Reason
    load: _reports.LoadReport | None
    is_body_consumed: bool
    config: _manifest.KnownVersion | None = None
    status: _server_status.ServerStatus | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class AnswerLost:
    """The chosen answer was aborted before any of it was forwarded."""

    call: _ids.CallId
    attempt: _ids.AttemptId


@dataclasses.dataclass(slots=True, kw_only=True)
class CallEnded:
    """The response to the caller is complete or was aborted."""

    call: _ids.CallId


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerDisconnected:
    """The caller closed its connection before it was answered."""

    call: _ids.CallId


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkOffered:
    """A peer offers a request for the backend server on this VM.

    With ``prefers_queueing`` the gate should queue the request rather than
    refuse it early.  The ``service`` and ``kind`` that the entry node
    determined are used if present, so that entry and gate agree while their
    configuration versions differ.  ``target_s`` is the remaining time until
    the latency target of the request, ``config`` the version by which the
    entry node decided, and ``status`` what it has learned about the server,
    if it tells.
    """

    attempt: _ids.AttemptId
    host: str
    method: str
    path: str
    deadline_s: float
    prefers_queueing: bool
    fingerprint: _ids.Fingerprint
    service: _ids.ServiceName = _ids.NO_SERVICE
    kind: _settings.RequestKind | None = None
    target_s: float = math.inf
    config: _manifest.VersionRef | None = None
    status: _server_status.ServerStatus | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkEnded:
    """The backend server finished or failed a request.

    ``head_s`` is the time from sending the request to the answer's headers,
    and ``slowdown`` is the slowdown factor of the VM, if the server reports
    one.  ``signals`` is None if there was no answer.
    """

    attempt: _ids.AttemptId
    outcome: _outcomes.ServerOutcome
    head_s: float
    slowdown: float | None = None
    signals: _signals.ServerSignals | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerSignalled:
    """The headers of an answer of the local server contain signals.

    ``server`` is the start of the server that the request was sent to.
    """

    server: _server_status.ServerStart
    signals: _signals.ServerSignals


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkAbandoned:
    """The peer that offered a request cancelled it."""

    attempt: _ids.AttemptId


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerAnnounced:
    """The backend server on this VM registered with the node.

    ``is_doubted`` is true if its health page contradicts it, and this node may
    not know of its departure: it must announce itself again.
    """

    server: _gate.Server
    is_doubted: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerDraining:
    """The backend server on this VM asked for no new work.

    ``server`` names the start of the server that asked; ``ANY_START`` stands
    for the current one.  ``said_at_ms`` is the time of day in milliseconds at
    which it asked, on the clock that the start times are of.
    """

    server: _server_status.ServerStart = _server_status.ANY_START
    said_at_ms: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerWithdrawn:
    """The backend server on this VM deregistered from the node.

    The fields are those of ``ServerDraining``.
    """

    server: _server_status.ServerStart = _server_status.ANY_START
    said_at_ms: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class DeparturesRead:
    """The store returned the server starts whose departure was recorded."""

    servers: tuple[_server_status.ServerStart, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class ProbeEnded:
    """A health probe of the backend server on this VM ended.

    It took ``elapsed_s``.  ``cold_left_s`` is how long the server will stay
    cold, and ``slowdown`` the slowdown factor of the VM, if the server
    reports them.  ``signals`` is None if there was no answer; without a rate
    limit they do not end one, since a health page need not name it.
    """

    is_healthy: bool
    elapsed_s: float
    cold_left_s: float | None = None
    slowdown: float | None = None
    signals: _signals.ServerSignals | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class MessageReceived:
    """An authenticated membership datagram arrived."""

    message: _members.Message


@dataclasses.dataclass(slots=True, kw_only=True)
class MembersReceived:
    """A peer sent all members, and all suspicions, that it knows."""

    members: tuple[_members.Member, ...]
    suspicions: tuple[_quarantine.Suspicion, ...] = ()


@dataclasses.dataclass(slots=True, kw_only=True)
class StoredMembersRead:
    """The store returned members that may be gone by now.

    See ``Member.is_confirmed``.
    """

    members: tuple[_members.Member, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class VersionRead:
    """The store returned the current configuration version.

    ``started_at`` is the monotonic time at which the read began, if known.
    """

    ref: _manifest.VersionRef
    started_at: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class VersionReadEnded:
    """A read of the current configuration version ended.

    ``is_confirming`` is that of the command.
    """

    is_success: bool
    is_confirming: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class ManifestFetched:
    """A configuration was fetched and passed validation.

    ``requested`` is the version that was fetched, if the configuration was
    merged from it and the one in force; ``ref`` is then the merged version.
    """

    ref: _manifest.VersionRef
    configuration: _settings.Configuration
    requested: _manifest.VersionRef | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class ManifestFailed:
    """A configuration could not be fetched or is invalid.

    ``is_unreadable`` is true if its content was fetched and verified, but
    this node cannot read it.
    """

    ref: _manifest.VersionRef
    detail: str
    is_unreadable: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class RolloutRead:
    """A read of the row of a service's roll-out ended.

    ``row`` is None if there is no row, or the read failed.
    """

    service: _ids.ServiceName
    row: _rollout_orders.RolloutRow | None
    is_success: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class RolloutWritten:
    """A write of the row of a service's roll-out ended.

    ``row`` is what was written, or None if that is not known;
    ``is_conflict`` is true if the row had changed before.
    """

    service: _ids.ServiceName
    row: _rollout_orders.RolloutRow | None
    is_conflict: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class DrainOrdered:
    """An operator started or ended the draining of this node's gate.

    A drained gate accepts no new work.  The order is not part of the
    configuration: it is not stored, and a restart of the node ends it.
    """

    is_drained: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class OptionsChanged:
    """The settings were reloaded and passed validation."""

    options: _options.Options


@dataclasses.dataclass(slots=True, kw_only=True)
class StopRequested:
    """The node was asked to stop gracefully."""


@dataclasses.dataclass(slots=True, kw_only=True)
class TimePassed:
    """The time returned by ``next_wakeup`` has been reached."""


Event = (
    CallArrived
    | AttemptAnswered
    | AttemptFailed
    | AnswerLost
    | CallEnded
    | CallerDisconnected
    | WorkOffered
    | WorkEnded
    | WorkAbandoned
    | ServerAnnounced
    | ServerSignalled
    | ServerDraining
    | ServerWithdrawn
    | DeparturesRead
    | ProbeEnded
    | MessageReceived
    | MembersReceived
    | StoredMembersRead
    | VersionRead
    | VersionReadEnded
    | ManifestFetched
    | ManifestFailed
    | RolloutRead
    | RolloutWritten
    | DrainOrdered
    | OptionsChanged
    | StopRequested
    | TimePassed
)
