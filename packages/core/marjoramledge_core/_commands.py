"""What a node's decisions ask of its surroundings.

Commands with a ``call`` go to the task that serves that caller; those with
only an ``attempt`` go to the task that serves a peer's offer.
"""

import dataclasses

from marjoramledge_core import _gate
from marjoramledge_core import _ids
from marjoramledge_core import _manifest
from marjoramledge_core import _members
from marjoramledge_core import _outcomes
from marjoramledge_core import _records
from marjoramledge_core import _settings


@dataclasses.dataclass(slots=True, kw_only=True)
class RunOnServer:
    """Send a caller's request to the backend server on this VM."""

    call: _ids.CallId
    attempt: _ids.AttemptId
    server: _gate.Server
    deadline_at: float
    is_repeatable: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class SendToPeer:
    """Send a caller's request to the gate of another node.

    ``is_hedge`` marks a second sending beside one that is still open;
    ``prefers_queueing`` that the gate should rather let it wait than refuse
    it.
    """

    call: _ids.CallId
    attempt: _ids.AttemptId
    node: _ids.NodeId
    address: _members.Address
    service: _ids.ServiceName
    kind: _settings.RequestKind
    deadline_at: float
    target_at: float
    is_hedge: bool
    prefers_queueing: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class DeliverAnswer:
    """Pass the answer of an attempt on to the caller, by its deadline."""

    call: _ids.CallId
    attempt: _ids.AttemptId
    kind: _ids.KindName
    deadline_at: float


@dataclasses.dataclass(slots=True, kw_only=True)
class RefuseCall:
    """Answer the caller in the system's own name, for good.

    ``kind`` is None when the rules say nothing of the request.
    """

    call: _ids.CallId
    kind: _ids.KindName | None
    reason: _outcomes.Reason
    run: _outcomes.RunState
    retry_after_s: float | None


@dataclasses.dataclass(slots=True, kw_only=True)
class CancelAttempt:
    """Break off an attempt; its answer is no longer wanted."""

    attempt: _ids.AttemptId


@dataclasses.dataclass(slots=True, kw_only=True)
class StartWork:
    """Send a peer's request to the backend server on this VM."""

    attempt: _ids.AttemptId
    server: _gate.Server
    deadline_at: float
    is_repeatable: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class RefuseWork:
    """Tell a peer that its request has not run here."""

    attempt: _ids.AttemptId
    reason: _outcomes.Reason


@dataclasses.dataclass(slots=True, kw_only=True)
class ProbeServer:
    """Ask the backend server on this VM for a sign of life."""

    server: _gate.Server


@dataclasses.dataclass(slots=True, kw_only=True)
class SendMessage:
    """Send a membership datagram."""

    address: _members.Address
    message: _members.Message


@dataclasses.dataclass(slots=True, kw_only=True)
class SyncMembers:
    """Exchange all members with a peer."""

    address: _members.Address


@dataclasses.dataclass(slots=True, kw_only=True)
class RegisterMember:
    """Write this node to the table and read a few others from it."""


@dataclasses.dataclass(slots=True, kw_only=True)
class ReadVersion:
    """Read from the table which configuration is in force.

    A store that can wait for a change may wait up to ``wait_s``; when the
    read has ended, ``VersionReadEnded`` is expected.
    """

    wait_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class FetchManifest:
    """Fetch a configuration from a peer or, without one, the store."""

    ref: _manifest.VersionRef
    source: _members.Address | None


@dataclasses.dataclass(slots=True, kw_only=True)
class StopAccepting:
    """Take no new connections and end the idle ones."""


@dataclasses.dataclass(slots=True, kw_only=True)
class StopNode:
    """End the process; nothing is left to do."""

    aborted_calls: int


@dataclasses.dataclass(slots=True, kw_only=True)
class WriteRecord:
    """Add an event to the time line."""

    record: _records.Record


Command = (
    RunOnServer
    | SendToPeer
    | DeliverAnswer
    | RefuseCall
    | CancelAttempt
    | StartWork
    | RefuseWork
    | ProbeServer
    | SendMessage
    | SyncMembers
    | RegisterMember
    | ReadVersion
    | FetchManifest
    | StopAccepting
    | StopNode
    | WriteRecord
)
