"""What happens to a node, as its decisions are told of it."""

import dataclasses
import math

from marjoramledge_core import _gate
from marjoramledge_core import _ids
from marjoramledge_core import _manifest
from marjoramledge_core import _members
from marjoramledge_core import _options
from marjoramledge_core import _outcomes
from marjoramledge_core import _reports
from marjoramledge_core import _settings


@dataclasses.dataclass(slots=True, kw_only=True)
class CallArrived:
    """A caller's request came in at this node.

    ``deadline_s`` is what the caller allows, in seconds from now, and
    ``is_body_buffered`` tells that the whole body is at hand.  ``fingerprint``
    is the same for the same request, wherever it comes in, and ``request``
    is the caller's own name of it.
    """

    call: _ids.CallId
    host: str
    method: str
    path: str
    deadline_s: float | None
    is_body_buffered: bool
    fingerprint: _ids.Fingerprint
    request: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptAnswered:
    """The head of an answer came back.

    ``is_error`` marks an answer that speaks of a fault of the server.
    """

    call: _ids.CallId
    attempt: _ids.AttemptId
    is_error: bool
    load: _reports.LoadReport | None


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptFailed:
    """An attempt ended without an answer that can be passed on.

    ``is_body_consumed`` tells that part of a body that was not held has been
    taken from the caller, so that the request can't be sent again.
    """

    call: _ids.CallId
    attempt: _ids.AttemptId
    run: _outcomes.RunState
    reason: _outcomes.Reason
    load: _reports.LoadReport | None
    is_body_consumed: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class AnswerLost:
    """A delivered answer broke off before any of it was passed on."""

    call: _ids.CallId
    attempt: _ids.AttemptId


@dataclasses.dataclass(slots=True, kw_only=True)
class CallEnded:
    """Nothing more will be passed on to the caller."""

    call: _ids.CallId


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerDisconnected:
    """The caller hung up before its answer."""

    call: _ids.CallId


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkOffered:
    """A peer offers a request for the backend server on this VM.

    ``prefers_queueing`` tells that it rather waits here than comes back.  The
    ``service`` and ``kind`` that the entry found are taken where they are
    given, so that an entry and a gate whose configurations differ for a
    moment agree.  ``target_s`` is the time left in which an answer is worth
    its full value.
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


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkEnded:
    """The backend server is done with a request, for good or ill.

    ``head_s`` is the time from sending it to the head of the answer, and
    ``slowdown`` how slow the VM is, where the server tells it.
    """

    attempt: _ids.AttemptId
    outcome: _outcomes.ServerOutcome
    head_s: float
    slowdown: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkAbandoned:
    """The peer that offered a request no longer wants it."""

    attempt: _ids.AttemptId


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerAnnounced:
    """The backend server on this VM announced itself."""

    server: _gate.Server


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerDraining:
    """The backend server on this VM wants no new work.

    ``server`` names the start of it that is meant; without one, whichever
    there is.
    """

    server: _gate.ServerStart = _gate.ANY_START


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerWithdrawn:
    """The backend server on this VM is gone, by its own word."""

    server: _gate.ServerStart = _gate.ANY_START


@dataclasses.dataclass(slots=True, kw_only=True)
class DeparturesRead:
    """Starts of backend servers that were acknowledged as leaving."""

    servers: tuple[_gate.ServerStart, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class ProbeEnded:
    """A probe of the backend server on this VM ended, after some seconds.

    ``cold_left_s`` is how long it stays cold, where the server tells it.
    """

    is_healthy: bool
    elapsed_s: float
    cold_left_s: float | None = None
    slowdown: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class MessageReceived:
    """An authentic membership datagram came in."""

    message: _members.Message


@dataclasses.dataclass(slots=True, kw_only=True)
class MembersReceived:
    """A peer told of all members that it knows."""

    members: tuple[_members.Member, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class StoredMembersRead:
    """The store told of nodes that once were, see ``Member.is_confirmed``."""

    members: tuple[_members.Member, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class VersionRead:
    """The table named the version in force."""

    ref: _manifest.VersionRef


@dataclasses.dataclass(slots=True, kw_only=True)
class VersionReadEnded:
    """A read of the version in force has ended, well or not."""

    is_success: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class ManifestFetched:
    """A configuration was fetched and is valid."""

    ref: _manifest.VersionRef
    configuration: _settings.Configuration


@dataclasses.dataclass(slots=True, kw_only=True)
class ManifestFailed:
    """A configuration could not be fetched, or is not valid."""

    ref: _manifest.VersionRef
    detail: str


@dataclasses.dataclass(slots=True, kw_only=True)
class DrainOrdered:
    """An operator orders the gate of this node to take no new work.

    Or, with ``is_drained`` false, to take work again.  Such an order is no
    configuration: it is not kept, and a restart of the node ends it.
    """

    is_drained: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class OptionsChanged:
    """The settings were read again and are valid."""

    options: _options.Options


@dataclasses.dataclass(slots=True, kw_only=True)
class StopRequested:
    """The node is to stop, without cutting a call."""


@dataclasses.dataclass(slots=True, kw_only=True)
class TimePassed:
    """A moment asked for has come."""


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
    | DrainOrdered
    | OptionsChanged
    | StopRequested
    | TimePassed
)
