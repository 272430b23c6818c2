"""What is decided on calls of limited workspaces, and told of it.

Calls are admitted by an owner's grant (``_quota``), or by this node's own
share of the limit if no owner replies.
"""

import dataclasses
import typing

from marjoramledge_core import _commands
from marjoramledge_core import _ids
from marjoramledge_core import _members
from marjoramledge_core import _quota_groups
from marjoramledge_core import _quota_messages
from marjoramledge_core import _quota_owner
from marjoramledge_core import _quota_state
from marjoramledge_core import _records

if typing.TYPE_CHECKING:
    from marjoramledge_core import _state

# An ask is sent again after this: several round trips between zones (9 ms)
# and the delay of a busy node.  With two asks and the votes for an owner that
# has died, a call still waits no longer than it may.
RESEND_S: typing.Final = 0.035
# Mean Retry-After while no owner replies: a new one has its votes within
# tenths of a second, and this node's own share is small.
UNHEARD_RETRY_AFTER_S: typing.Final = 1.0
# Period of the records about refused calls.
RECORD_PERIOD_S: typing.Final = 1.0
MAX_RECORDED_WORKSPACES: typing.Final = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """Whether a call may be dispatched, or is refused as not run."""

    call: _ids.CallId
    is_admitted: bool
    retry_after_s: float = 0.0


def find_limit(
    step: "_state.Step", name: _ids.WorkspaceName
) -> _quota_owner.Limit | None:
    """Return the limit of a workspace, or None."""
    configuration = step.state.versions.configuration
    if configuration is None:
        return None
    workspace = configuration.workspaces.get(name)
    rate_per_s = None if workspace is None else workspace.rate_per_s
    if workspace is None or rate_per_s is None or rate_per_s <= 0.0:
        return None
    return _quota_owner.Limit(
        rate_per_s=rate_per_s, burst=max(0.0, workspace.burst)
    )


def refresh_view(step: "_state.Step") -> _quota_groups.GroupView:
    """Return the candidates and voters by the current members."""
    view = step.state.quota.view
    membership = step.state.membership
    view.refresh(membership.members, membership.revision)
    return view


def refuse(
    step: "_state.Step",
    call: _ids.CallId,
    workspace: _ids.WorkspaceName,
    block: _quota_state.Block,
) -> Decision:
    """Count a refused call; return its decision."""
    state = step.state.quota
    state.refused[workspace] = state.refused.get(workspace, 0) + 1
    recent = state.refused_since_record
    recent[workspace] = recent.get(workspace, 0) + 1
    if step.now - state.recorded_at >= RECORD_PERIOD_S:
        state.recorded_at = step.now
        most = sorted(recent, key=lambda name: (-recent[name], name))
        parts = []
        for name in most[:MAX_RECORDED_WORKSPACES]:
            limit = find_limit(step, name)
            number = _quota_groups.group_of(name)
            group = state.groups[number]
            rate_per_s = 0.0 if limit is None else limit.rate_per_s
            heard = "no owner" if group.is_unheard else "owner"
            parts.append(
                f"{name}: {recent[name]} refused, limit {rate_per_s:g}/s,"
                f" group {number}, {heard} {group.owner_node}"
            )
        recent.clear()
        step.record(_records.RecordKind.QUOTA_PRESSED, detail="; ".join(parts))
    # Jitter keeps callers that were refused together from returning together.
    retry_after_s = block.retry_after_s * step.rng.uniform(0.7, 1.3)
    return Decision(call=call, is_admitted=False, retry_after_s=retry_after_s)


def note_admitted(
    step: "_state.Step", waiting: _quota_state.WaitingCall
) -> Decision:
    """Count an admitted call; return its decision."""
    state = step.state.quota
    name = waiting.workspace
    state.admitted[name] = state.admitted.get(name, 0) + 1
    call = step.state.calls.get(waiting.call)
    if call is None:
        # Its caller disconnected while it waited.
        number = _quota_groups.group_of(name)
        returned = state.groups[number].returned
        returned.setdefault(name, []).append(step.now)
    else:
        call.quota_at = step.now
    return Decision(call=waiting.call, is_admitted=True)


def decide_locally(
    step: "_state.Step", number: int, waiting: _quota_state.WaitingCall
) -> Decision:
    """Decide by this node's own share, since no owner replies."""
    limit = find_limit(step, waiting.workspace)
    if limit is None:
        return Decision(call=waiting.call, is_admitted=True)
    state = step.state.quota
    view = refresh_view(step)
    index = view.index_of(step.state.node)
    hold_s = step.state.options.quota.hold_s
    is_late = step.now - waiting.since > hold_s + RESEND_S
    if (
        index is not None
        and not is_late
        and state.groups[number].voter.take_locally(
            waiting.workspace,
            limit,
            step.state.options.quota,
            index=index,
            share_count=len(view.voters),
            started_at=state.started_at,
            now=step.now,
        )
    ):
        return note_admitted(step, waiting)
    block = _quota_state.Block(
        until=step.now, retry_after_s=UNHEARD_RETRY_AFTER_S
    )
    return refuse(step, waiting.call, waiting.workspace, block)


def send(
    step: "_state.Step",
    node: _ids.NodeId,
    address: _members.Address,
    number: int,
    *,
    reports: tuple[_quota_messages.QuotaReport, ...] = (),
    shares: tuple[_quota_messages.QuotaShare, ...] = (),
) -> None:
    """Send a datagram about limits to a node."""
    message = _members.build_bare_message(
        step.state.membership.myself,
        _members.MessageKind.QUOTA,
        target=node,
        sequence=number,
        quota_reports=reports,
        quota_shares=shares,
    )
    step.out.append(_commands.SendMessage(address=address, message=message))
