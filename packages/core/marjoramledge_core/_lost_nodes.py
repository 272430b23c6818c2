"""Detection of backend servers that died together with their node.

A running node reports the death of its own backend server.  When a whole VM
is lost, no node is left to report it, so the entries that had calls there
infer the death: a connection broke during a call, and a later connection was
refused.
"""

import typing

from marjoramledge_core import _deaths
from marjoramledge_core import _events
from marjoramledge_core import _ids
from marjoramledge_core import _outcomes
from marjoramledge_core import _state

# Calls whose connection broke at most this long before a node was found
# unreachable are assumed to have run there when it died.
LOST_NODE_WINDOW_S: typing.Final = 10.0
# Maximum number of lost requests tracked for a peer, and of peers tracked.
MAX_TRACKED_LOSSES: typing.Final = 64


def note_broken_connection(
    step: _state.Step,
    call: _state.Call,
    attempt: _state.Attempt,
    event: _events.AttemptFailed,
) -> None:
    """Track a failed connection to a peer, to detect that its VM is lost."""
    if event.run is _outcomes.RunState.MAY_HAVE_RUN:
        _record_loss(step, attempt.server.node, call.fingerprint)
    elif event.reason is _outcomes.Reason.PEER_UNREACHABLE:
        _infer_death(step, attempt.server.node)


def _record_loss(
    step: _state.Step, peer: _ids.NodeId, fingerprint: _ids.Fingerprint
) -> None:
    lost_requests = step.state.lost_requests.setdefault(peer, [])
    lost_requests.append(
        _state.LostRequest(at=step.now, fingerprint=fingerprint)
    )
    del lost_requests[:-MAX_TRACKED_LOSSES]
    while len(step.state.lost_requests) > MAX_TRACKED_LOSSES:
        del step.state.lost_requests[next(iter(step.state.lost_requests))]


def _infer_death(step: _state.Step, peer: _ids.NodeId) -> None:
    lost_requests = step.state.lost_requests.pop(peer, ())
    member = step.state.membership.members.get(peer)
    if member is None:
        return
    ran = [
        loss.fingerprint
        for loss in lost_requests
        if step.now - loss.at <= LOST_NODE_WINDOW_S
        and not step.state.answered_calls.has(loss.fingerprint, step.now)
    ]
    # All entries that infer this death derive the same identifier for it.
    death = _ids.DeathId(f"{peer}@{member.incarnation}")
    _deaths.record_death(step, death, ran)
