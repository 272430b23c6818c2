"""Commands that the state machine of a node gives to its environment.

Commands with a ``call`` go to the task that serves that caller; those with
only an ``attempt`` go to the task that serves the peer's request.
"""

import dataclasses

from marjoramledge_core import _gate
from marjoramledge_core import _ids
from marjoramledge_core import _manifest
from marjoramledge_core import _members
from marjoramledge_core import _outcomes
from marjoramledge_core import _records
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _server_status
from marjoramledge_core import _settings


@dataclasses.dataclass(slots=True, kw_only=True)
class RunOnServer:
    """Send a caller's request to the backend server on this VM.

    ``is_repeatable`` is true if the request is idempotent.  ``workspace`` is
    that of the caller: empty if it has none, and None if the configuration
    lists no workspaces.
    """

    call: _ids.CallId
    attempt: _ids.AttemptId
    server: _gate.Server
    deadline_at: float
    is_repeatable: bool
    workspace: _ids.WorkspaceName | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class SendToPeer:
    """Send a caller's request to the gate of another node.

    ``is_hedge`` marks an attempt that is made while another one is still
    open.  With ``prefers_queueing`` the gate should queue the request rather
    than refuse it early.  ``status`` is what this node has learned about the
    server.  ``workspace`` is as in ``RunOnServer``.
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
    status: _server_status.ServerStatus | None = None
    workspace: _ids.WorkspaceName | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class DeliverAnswer:
    """Forward the answer of an attempt to the caller by its deadline."""

    call: _ids.CallId
    attempt: _ids.AttemptId
    kind: _ids.KindName
    deadline_at: float


@dataclasses.dataclass(slots=True, kw_only=True)
class RefuseCall:
    """Answer the caller with an error of the load balancer itself.

    ``kind`` is None if no kind was found for the request.
    """

    call: _ids.CallId
    kind: _ids.KindName | None
    reason: _outcomes.Reason
    run: _outcomes.RunState
    retry_after_s: float | None


@dataclasses.dataclass(slots=True, kw_only=True)
class CancelAttempt:
    """Abort an attempt whose answer is no longer needed."""

    attempt: _ids.AttemptId


@dataclasses.dataclass(slots=True, kw_only=True)
class StartWork:
    """Send a peer's request to the backend server on this VM.

    ``is_repeatable`` is true if the request is idempotent.
    """

    attempt: _ids.AttemptId
    server: _gate.Server
    deadline_at: float
    is_repeatable: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class RefuseWork:
    """Reject a peer's request; it has not run here.

    ``status`` is what the entry node is told about the server.
    """

    attempt: _ids.AttemptId
    reason: _outcomes.Reason
    status: _server_status.ServerStatus | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class ProbeServer:
    """Send a health probe to the backend server on this VM."""

    server: _gate.Server


@dataclasses.dataclass(slots=True, kw_only=True)
class SendMessage:
    """Send a membership datagram."""

    address: _members.Address
    message: _members.Message


@dataclasses.dataclass(slots=True, kw_only=True)
class SyncMembers:
    """Exchange the full member list with a peer."""

    address: _members.Address


@dataclasses.dataclass(slots=True, kw_only=True)
class RegisterMember:
    """Write this node to the store and read some other members from it."""


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreDeparture:
    """Store that a start of the backend server on this VM is leaving."""

    server: _server_status.ServerStart


@dataclasses.dataclass(slots=True, kw_only=True)
class RestoreRows:
    """Write this node's rows to the store again: it has lost some.

    All nodes learn of it at once; each waits for ``delay_s`` first.
    """

    delay_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class ReadVersion:
    """Read the current configuration version from the store.

    A store that supports long polling may wait for a change for up to
    ``wait_s``.  The event ``VersionReadEnded`` must follow.  With
    ``is_confirming``, it is read in addition to the regular reads.
    """

    wait_s: float
    is_confirming: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class FetchManifest:
    """Fetch a configuration from a peer, or from the store.

    ``source`` is the peer, or None for the store, and ``ordered_at`` the
    monotonic time of this command in seconds.
    """

    ref: _manifest.VersionRef
    source: _members.Address | None
    ordered_at: float


@dataclasses.dataclass(slots=True, kw_only=True)
class ReadRollout:
    """Read the row of a service's roll-out; ``RolloutRead`` must follow."""

    service: _ids.ServiceName


@dataclasses.dataclass(slots=True, kw_only=True)
class WriteRollout:
    """Write the row of a service's roll-out; ``RolloutWritten`` must follow.

    The row must still have ``etag``; empty if there must be none.
    """

    service: _ids.ServiceName
    row: _rollout_orders.RolloutRow
    etag: str


@dataclasses.dataclass(slots=True, kw_only=True)
class StopAccepting:
    """Accept no new connections and close the idle ones."""


@dataclasses.dataclass(slots=True, kw_only=True)
class StopNode:
    """End the process.

    ``aborted_calls`` is the number of calls that have not finished.
    """

    aborted_calls: int


@dataclasses.dataclass(slots=True, kw_only=True)
class WriteRecord:
    """Append a record to the time line."""

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
    | RestoreRows
    | StoreDeparture
    | ReadVersion
    | FetchManifest
    | ReadRollout
    | WriteRollout
    | StopAccepting
    | StopNode
    | WriteRecord
)
