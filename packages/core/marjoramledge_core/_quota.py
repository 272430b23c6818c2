"""Limits of workspaces over the whole fleet, at each node.

An entry asks the owner of a workspace's group before it dispatches a call,
and the owner grants whole requests from token buckets.  All calls that arrive
while an ask is open share the next one.  If no owner replies, the node's own
share of the limit decides.  See docs/design/21-fleet-limits.md.
"""

import collections.abc
import dataclasses
import typing

from marjoramledge_core import _commands
from marjoramledge_core import _ids
from marjoramledge_core import _manifest
from marjoramledge_core import _members
from marjoramledge_core import _quota_groups
from marjoramledge_core import _quota_messages
from marjoramledge_core import _quota_owner
from marjoramledge_core import _quota_state
from marjoramledge_core import _records
from marjoramledge_core import _timers

if typing.TYPE_CHECKING:
    from marjoramledge_core import _state

# An ask is sent again after this: several round trips between zones (9 ms),
# and less than a tenth of the longest wait for a decision.
RESEND_S: typing.Final = 0.025
# Attempts at a candidate before the next one is asked as well.
ATTEMPTS_PER_CANDIDATE: typing.Final = 2
# While no candidate replies, one ask per group is sent this often.
UNHEARD_ASK_PERIOD_S: typing.Final = 0.25
# Mean Retry-After while no owner replies: a new one has its votes within
# tenths of a second, and this node's own share is small.
UNHEARD_RETRY_AFTER_S: typing.Final = 1.0
# Asks and replies stay below the size of a datagram (8,192 bytes) with its
# envelope: this many bytes for the names and the fixed part of each entry.
MAX_CONTENT_BYTES: typing.Final = 6_000
ENTRY_BYTES: typing.Final = 60
# Period of the records about refused calls.
RECORD_PERIOD_S: typing.Final = 1.0
MAX_RECORDED_WORKSPACES: typing.Final = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """Whether a call may be dispatched, or is refused as not run."""

    call: _ids.CallId
    is_admitted: bool
    retry_after_s: float = 0.0


def is_limited(step: "_state.Step", workspace: _ids.WorkspaceName) -> bool:
    """Return whether a workspace has a limit."""
    return bool(workspace) and _find_limit(step, workspace) is not None


def admit(step: "_state.Step", call: "_state.Call") -> Decision | None:
    """Decide on a call of a limited workspace, or None if it must wait."""
    state = step.state.quota
    block = state.blocks.get(call.workspace)
    if block is not None:
        if step.now < block.until:
            return _refuse(step, call.call, call.workspace, block)
        del state.blocks[call.workspace]
    number = _quota_groups.group_of(call.workspace)
    group = state.groups[number]
    waiting = _quota_state.WaitingCall(
        call=call.call, workspace=call.workspace, since=step.now
    )
    if group.is_unheard:
        decision = _decide_locally(step, number, waiting)
        _send_ask(step, number, [])
        return decision
    group.waiting.append(waiting)
    decisions = _ask_for_waiting(step, number)
    # A node that is the owner itself decides at once.
    for decision in decisions:
        if decision.call == call.call:
            return decision
    return None


def give_back(step: "_state.Step", call: "_state.Call") -> None:
    """Return the token of a call that no server ran, if it is recent."""
    if call.quota_at is None:
        return
    charged_at, call.quota_at = call.quota_at, None
    bound = step.state.options.quota
    if step.now - charged_at > bound.give_back_s:
        return
    number = _quota_groups.group_of(call.workspace)
    group = step.state.quota.groups[number]
    group.returned.setdefault(call.workspace, []).append(charged_at)
    if group.ask is None and not group.is_unheard:
        _send_ask(step, number, [])


def receive(step: "_state.Step", message: _members.Message) -> list[Decision]:
    """Handle a datagram about limits; return what it decides."""
    decisions: list[Decision] = []
    votes = [r for r in message.quota_reports if r.vote]
    asks = tuple(r for r in message.quota_reports if not r.vote)
    for vote in votes:
        if 0 <= vote.group < _quota_groups.GROUPS:
            owner = step.state.quota.groups[vote.group].owner
            owner.receive_vote(
                message.sender, message.sequence, vote, step.now
            )
            decisions += _decide_asks(step, vote.group)
    if asks and 0 <= asks[0].group < _quota_groups.GROUPS:
        ask = _quota_owner.Ask(
            node=message.sender,
            address=message.sender_address,
            number=message.sequence,
            reports=asks,
            at=step.now,
        )
        decisions += _receive_ask(step, asks[0].group, ask)
    shares = message.quota_shares
    if shares and 0 <= shares[0].group < _quota_groups.GROUPS:
        if shares[0].is_poll:
            _answer_poll(step, shares[0].group, message)
        else:
            decisions += _receive_grants(
                step,
                shares[0].group,
                message.sequence,
                shares,
                message.sender,
            )
    return decisions


def ask_due(step: "_state.Step", number: int) -> list[Decision]:
    """Send an open ask again, and decide on calls that waited too long."""
    group = step.state.quota.groups[number]
    ask = group.ask
    if ask is None:
        return []
    hold_s = step.state.options.quota.hold_s
    if step.now - ask.sent_at < hold_s:
        _set_ask_timer(step, number)
        return _transmit(step, number, ask)
    group.ask = None
    if not group.is_unheard:
        group.is_unheard = True
        step.record(
            _records.RecordKind.QUOTA_OWNER_SILENT,
            detail=f"group {number}: no owner replied in {hold_s:.2f} s",
        )
    decisions = [
        _decide_locally(step, number, waiting)
        for calls in ask.calls.values()
        for waiting in calls
    ]
    decisions += [
        _decide_locally(step, number, waiting) for waiting in group.waiting
    ]
    group.waiting = []
    return decisions


def poll_due(step: "_state.Step", number: int) -> list[Decision]:
    """Poll the voters while this node is asked as an owner."""
    state = step.state.quota
    owner = state.groups[number].owner
    if not owner.wants_polls(step.now):
        owner.is_polling = False
        return []
    view = _refresh_view(step)
    poll = owner.begin_poll(
        known_shares=len(view.voters),
        present_shares=sum(
            member.status is not _members.MemberStatus.FAILED
            for member in view.voters
        ),
        first_number=step.rng.getrandbits(30),
        now=step.now,
    )
    share = _quota_messages.QuotaShare(group=number, is_poll=True)
    for member in view.voters:
        if member.node == step.state.node:
            report = _vote(step, number, member.node, poll)
            if report is not None:
                owner.receive_vote(member.node, poll, report, step.now)
        elif member.status is not _members.MemberStatus.FAILED:
            _send(step, member.node, member.address, poll, shares=(share,))
    step.state.timers.set(
        step.now + owner.next_poll_s(step.now),
        _timers.TimerKind.QUOTA_POLL,
        number=number,
    )
    return _decide_asks(step, number)


def _find_limit(
    step: "_state.Step", name: _ids.WorkspaceName
) -> _quota_owner.Limit | None:
    configuration = step.state.versions.configuration
    if configuration is None:
        return None
    workspace = configuration.workspaces.get(name)
    if workspace is None or not workspace.rate_per_s:
        return None
    return _quota_owner.Limit(
        rate_per_s=workspace.rate_per_s, burst=max(0.0, workspace.burst)
    )


def _refresh_view(step: "_state.Step") -> _quota_groups.GroupView:
    view = step.state.quota.view
    membership = step.state.membership
    view.refresh(membership.members, membership.revision)
    return view


def _refuse(
    step: "_state.Step",
    call: _ids.CallId,
    workspace: _ids.WorkspaceName,
    block: _quota_state.Block,
) -> Decision:
    state = step.state.quota
    state.refused[workspace] = state.refused.get(workspace, 0) + 1
    recent = state.refused_since_record
    recent[workspace] = recent.get(workspace, 0) + 1
    if step.now - state.recorded_at >= RECORD_PERIOD_S:
        state.recorded_at = step.now
        most = sorted(recent, key=lambda name: (-recent[name], name))
        parts = []
        for name in most[:MAX_RECORDED_WORKSPACES]:
            limit = _find_limit(step, name)
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


def _note_admitted(
    step: "_state.Step", waiting: _quota_state.WaitingCall
) -> Decision:
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


def _decide_locally(
    step: "_state.Step", number: int, waiting: _quota_state.WaitingCall
) -> Decision:
    """Decide by this node's own share, since no owner replies."""
    limit = _find_limit(step, waiting.workspace)
    if limit is None:
        return Decision(call=waiting.call, is_admitted=True)
    state = step.state.quota
    view = _refresh_view(step)
    index = view.index_of(step.state.node)
    if index is not None and state.groups[number].voter.take_locally(
        waiting.workspace,
        limit,
        step.state.options.quota,
        index=index,
        share_count=len(view.voters),
        started_at=state.started_at,
        now=step.now,
    ):
        return _note_admitted(step, waiting)
    block = _quota_state.Block(
        until=step.now, retry_after_s=UNHEARD_RETRY_AFTER_S
    )
    return _refuse(step, waiting.call, waiting.workspace, block)


def _ask_for_waiting(step: "_state.Step", number: int) -> list[Decision]:
    """Send an ask for the calls that wait, unless one is open."""
    group = step.state.quota.groups[number]
    if group.ask is not None or not group.waiting:
        return []
    waiting, group.waiting = group.waiting, []
    return _send_ask(step, number, waiting)


def _send_ask(
    step: "_state.Step",
    number: int,
    waiting: list[_quota_state.WaitingCall],
) -> list[Decision]:
    group = step.state.quota.groups[number]
    if group.ask is not None:
        return []
    if not waiting and group.is_unheard:
        if step.now < group.next_unheard_ask_at:
            return []
        group.next_unheard_ask_at = step.now + UNHEARD_ASK_PERIOD_S
    calls: dict[_ids.WorkspaceName, list[_quota_state.WaitingCall]] = {}
    size = 0
    for position, call in enumerate(waiting):
        if call.workspace not in calls:
            size += ENTRY_BYTES + len(call.workspace.encode())
            if calls and size > MAX_CONTENT_BYTES:
                group.waiting = waiting[position:] + group.waiting
                break
            calls[call.workspace] = []
        calls[call.workspace].append(call)
    returned = _take_returned(step, group, size, calls)
    step.state.quota.next_number += 1
    ask = _quota_state.OpenAsk(
        number=step.state.quota.next_number,
        sent_at=min([step.now, *(call.since for call in waiting)]),
        calls=calls,
        reports=tuple(
            _quota_messages.QuotaReport(
                group=number,
                workspace=name,
                wanted=len(calls.get(name, ())),
                returned=returned.get(name, 0),
            )
            for name in dict.fromkeys([*calls, *returned])
        )
        or (_quota_messages.QuotaReport(group=number),),
    )
    group.ask = ask
    _set_ask_timer(step, number)
    return _transmit(step, number, ask)


def _take_returned(
    step: "_state.Step",
    group: _quota_state.GroupState,
    size: int,
    calls: collections.abc.Container[_ids.WorkspaceName],
) -> dict[_ids.WorkspaceName, int]:
    """Return the tokens to give back that are still recent enough."""
    oldest = step.now - step.state.options.quota.give_back_s
    returned: dict[_ids.WorkspaceName, int] = {}
    for name, charged in group.returned.items():
        count = sum(charged_at >= oldest for charged_at in charged)
        if name not in calls:
            size += ENTRY_BYTES + len(name.encode())
        if count and size <= MAX_CONTENT_BYTES:
            returned[name] = count
    group.returned.clear()
    return returned


def _set_ask_timer(step: "_state.Step", number: int) -> None:
    group = step.state.quota.groups[number]
    if group.ask_timer is not None:
        group.ask_timer.is_cancelled = True
    group.ask_timer = step.state.timers.set(
        step.now + RESEND_S, _timers.TimerKind.QUOTA_ASK, number=number
    )


def _transmit(
    step: "_state.Step", number: int, ask: _quota_state.OpenAsk
) -> list[Decision]:
    """Send an ask to the first candidate, and to others if it is silent."""
    group = step.state.quota.groups[number]
    candidates = _refresh_view(step).candidates(number)
    skipped = 0
    for member in candidates:
        if member.node not in group.silent:
            break
        skipped += 1
    reached = skipped + 1 + ask.attempts // ATTEMPTS_PER_CANDIDATE
    if ask.attempts == ATTEMPTS_PER_CANDIDATE and skipped < len(candidates):
        silent = candidates[skipped].node
        group.silent.add(silent)
        step.record(
            _records.RecordKind.QUOTA_OWNER_SILENT,
            peer=silent,
            detail=f"group {number}: no reply to {ask.attempts} asks",
        )
    ask.attempts += 1
    decisions: list[Decision] = []
    for member in candidates[:reached]:
        if member.node == step.state.node:
            decisions += _receive_ask(
                step,
                number,
                _quota_owner.Ask(
                    node=member.node,
                    address=member.address,
                    number=ask.number,
                    reports=ask.reports,
                    at=step.now,
                ),
            )
        else:
            _send(
                step,
                member.node,
                member.address,
                ask.number,
                reports=ask.reports,
            )
    return decisions


def _receive_ask(
    step: "_state.Step", number: int, ask: _quota_owner.Ask
) -> list[Decision]:
    owner = step.state.quota.groups[number].owner
    reply = owner.receive_ask(ask)
    if reply is not None:
        return _deliver(step, number, reply)
    if not owner.is_polling:
        owner.is_polling = True
        return poll_due(step, number)
    return _decide_asks(step, number)


def _decide_asks(step: "_state.Step", number: int) -> list[Decision]:
    owner = step.state.quota.groups[number].owner
    limits = {}
    for name in owner.list_waiting():
        limit = _find_limit(step, name)
        if limit is not None:
            limits[name] = limit
    decisions: list[Decision] = []
    for reply in owner.decide(limits, step.state.options.quota, step.now):
        decisions += _deliver(step, number, reply)
    return decisions


def _deliver(
    step: "_state.Step", number: int, reply: _quota_owner.Reply
) -> list[Decision]:
    ask = reply.ask
    if ask.node == step.state.node:
        return _receive_grants(
            step, number, ask.number, reply.shares, ask.node
        )
    _send(step, ask.node, ask.address, ask.number, shares=reply.shares)
    return []


def _receive_grants(
    step: "_state.Step",
    number: int,
    ask_number: int,
    shares: tuple[_quota_messages.QuotaShare, ...],
    sender: _ids.NodeId,
) -> list[Decision]:
    """Apply the reply to the open ask; any other reply is too late."""
    group = step.state.quota.groups[number]
    group.silent.discard(sender)
    ask = group.ask
    if ask is None or ask.number != ask_number:
        return []
    group.ask = None
    group.is_unheard = False
    group.owner_node = sender
    granted = {share.workspace: share for share in shares}
    decisions = []
    for name, calls in ask.calls.items():
        share = granted.get(name)
        count = 0 if share is None else share.granted
        decisions += [_note_admitted(step, call) for call in calls[:count]]
        if share is None or count >= len(calls):
            block = _quota_state.Block(
                until=step.now, retry_after_s=UNHEARD_RETRY_AFTER_S
            )
        else:
            block = _quota_state.Block(
                until=step.now + share.wait_s,
                retry_after_s=share.retry_after_s,
            )
            step.state.quota.blocks[name] = block
        decisions += [
            _refuse(step, call.call, name, block) for call in calls[count:]
        ]
    if group.waiting:
        waiting, group.waiting = group.waiting, []
        for call in waiting:
            blocked = step.state.quota.blocks.get(call.workspace)
            if blocked is not None and step.now < blocked.until:
                decisions.append(
                    _refuse(step, call.call, call.workspace, blocked)
                )
            else:
                group.waiting.append(call)
        decisions += _ask_for_waiting(step, number)
    return decisions


def _answer_poll(
    step: "_state.Step", number: int, message: _members.Message
) -> None:
    report = _vote(step, number, message.sender, message.sequence)
    if report is not None:
        _send(
            step,
            message.sender,
            message.sender_address,
            message.sequence,
            reports=(report,),
        )


def _vote(
    step: "_state.Step", number: int, node: _ids.NodeId, poll: int
) -> _quota_messages.QuotaReport | None:
    state = step.state.quota
    view = _refresh_view(step)
    if view.index_of(step.state.node) is None:
        return None
    return state.groups[number].voter.vote(
        node,
        poll,
        len(view.voters),
        step.state.options.quota,
        state.started_at,
        step.now,
    )


def _send(
    step: "_state.Step",
    node: _ids.NodeId,
    address: _members.Address,
    number: int,
    *,
    reports: tuple[_quota_messages.QuotaReport, ...] = (),
    shares: tuple[_quota_messages.QuotaShare, ...] = (),
) -> None:
    myself = step.state.membership.myself
    message = _members.Message(
        kind=_members.MessageKind.QUOTA,
        sender=myself.node,
        sender_address=myself.address,
        sequence=number,
        target=node,
        config=_manifest.NO_VERSION,
        updates=(),
        suspicions=(),
        quota_reports=reports,
        quota_shares=shares,
    )
    step.out.append(_commands.SendMessage(address=address, message=message))
