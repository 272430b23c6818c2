"""Deaths of backend servers whose nodes went with them.

A node that lives tells of its server's death itself.  When a whole VM is
lost nobody is left to tell, so the entries that had calls there conclude it:
a connection that broke under a call, followed by one that was refused.
"""

import typing

from marjoramledge_core import _deaths
from marjoramledge_core import _events
from marjoramledge_core import _ids
from marjoramledge_core import _outcomes
from marjoramledge_core import _state

# Calls lost with a node this long before it was found gone ran on it.
LOST_NODE_WINDOW_S: typing.Final = 10.0
MAX_KEPT: typing.Final = 64


def note_broken_connection(
    step: _state.Step,
    call: _state.Call,
    attempt: _state.Attempt,
    event: _events.AttemptFailed,
) -> None:
    """Take in that a connection to a peer broke, or was not to be had."""
    if event.run is _outcomes.RunState.MAY_HAVE_RUN:
        _keep_loss(step, attempt.server.node, call.fingerprint)
    elif event.reason is _outcomes.Reason.PEER_UNREACHABLE:
        _conclude_death(step, attempt.server.node)


def _keep_loss(
    step: _state.Step, peer: _ids.NodeId, fingerprint: _ids.Fingerprint
) -> None:
    lost_requests = step.state.lost_requests.setdefault(peer, [])
    lost_requests.append(
        _state.LostRequest(at=step.now, fingerprint=fingerprint)
    )
    del lost_requests[:-MAX_KEPT]
    while len(step.state.lost_requests) > MAX_KEPT:
        del step.state.lost_requests[next(iter(step.state.lost_requests))]


def _conclude_death(step: _state.Step, peer: _ids.NodeId) -> None:
    lost_requests = step.state.lost_requests.pop(peer, ())
    member = step.state.membership.members.get(peer)
    if member is None:
        return
    ran = [
        loss.fingerprint
        for loss in lost_requests
        if step.now - loss.at <= LOST_NODE_WINDOW_S
    ]
    # Every entry that concludes it gives the death the same name.
    death = _ids.DeathId(f"{peer}@{member.incarnation}")
    _deaths.record_death(step, death, ran)
