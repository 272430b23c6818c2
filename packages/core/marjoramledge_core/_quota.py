"""Limits of workspaces over the whole fleet, at each node.

An entry asks the owner of a workspace's group before it dispatches a call,
and the owner grants whole requests from token buckets.  All calls that arrive
while an ask is open share the next one.  If no owner replies, the node's own
share of the limit decides.  See docs/design/21-fleet-limits.md.
"""

import collections.abc
import math
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _members
from marjoramledge_core import _quota_decisions
from marjoramledge_core import _quota_groups
from marjoramledge_core import _quota_messages
from marjoramledge_core import _quota_owner
from marjoramledge_core import _quota_state
from marjoramledge_core import _records
from marjoramledge_core import _timers

if typing.TYPE_CHECKING:
    from marjoramledge_core import _state

# Attempts at a candidate before the next one is asked as well.
ATTEMPTS_PER_CANDIDATE: typing.Final = 2
# An owner on a busy VM replies late.  With a fixed time before an ask is sent
# again, delays of 50 to 200 ms multiplied asks by four and polls by three.
RESEND_REPLIES: typing.Final = 1.2
REPLY_DECAY: typing.Final = 0.9
MAX_RESEND_S: typing.Final = 0.12
# While no candidate replies, one ask per group is sent this often.
UNHEARD_ASK_PERIOD_S: typing.Final = 0.25
# Asks and replies stay below the size of a datagram (8,192 bytes) with its
# envelope: this many bytes for the names and the fixed part of each entry.
MAX_CONTENT_BYTES: typing.Final = 6_000
ENTRY_BYTES: typing.Final = 60

Decision = _quota_decisions.Decision


def admit(
    step: "_state.Step", call: "_state.Call", workspace: _ids.WorkspaceName
) -> Decision | None:
    """Decide on a call of a limited workspace, or None if it must wait."""
    state = step.state.quota
    block = state.blocks.get(workspace)
    if block is not None:
        if step.now < block.until:
            return _quota_decisions.refuse(step, call.call, workspace, block)
        del state.blocks[workspace]
    number = _quota_groups.group_of(workspace)
    group = state.groups[number]
    waiting = _quota_state.WaitingCall(
        call=call.call, workspace=workspace, since=step.now
    )
    if group.is_unheard:
        decision = _quota_decisions.decide_locally(step, number, waiting)
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
    if call.quota_at is None or call.workspace is None:
        return
    charged_at, call.quota_at = call.quota_at, None
    if charged_at < _oldest_returnable(step, call.workspace):
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
        _quota_decisions.decide_locally(step, number, waiting)
        for calls in ask.calls.values()
        for waiting in calls
    ]
    decisions += [
        _quota_decisions.decide_locally(step, number, waiting)
        for waiting in group.waiting
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
    view = _quota_decisions.refresh_view(step)
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
            _quota_decisions.send(
                step, member.node, member.address, poll, shares=(share,)
            )
    step.state.timers.set(
        step.now + owner.next_poll_s(step.now),
        _timers.TimerKind.QUOTA_POLL,
        number=number,
    )
    return _decide_asks(step, number)


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
    if not step.state.quota.next_number:
        # An owner must not take the first ask for one of a former process.
        step.state.quota.next_number = step.rng.getrandbits(30)
    step.state.quota.next_number += 1
    ask = _quota_state.OpenAsk(
        number=step.state.quota.next_number,
        sent_at=min([step.now, *(call.since for call in waiting)]),
        asked_at=step.now,
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
    returned: dict[_ids.WorkspaceName, int] = {}
    for name, charged in group.returned.items():
        oldest = _oldest_returnable(step, name)
        count = sum(charged_at >= oldest for charged_at in charged)
        if name not in calls:
            size += ENTRY_BYTES + len(name.encode())
        if count and size <= MAX_CONTENT_BYTES:
            returned[name] = count
    group.returned.clear()
    return returned


def _oldest_returnable(
    step: "_state.Step", workspace: _ids.WorkspaceName
) -> float:
    """Return since when a token must have been charged to be given back."""
    limit = _quota_decisions.find_limit(step, workspace)
    if limit is None:
        return math.inf
    bound = step.state.options.quota
    return step.now - bound.give_back_s(limit.rate_per_s, limit.burst)


def _set_ask_timer(step: "_state.Step", number: int) -> None:
    group = step.state.quota.groups[number]
    if group.ask_timer is not None:
        group.ask_timer.is_cancelled = True
    resend_s = max(_quota_decisions.RESEND_S, RESEND_REPLIES * group.reply_s)
    group.ask_timer = step.state.timers.set(
        step.now + min(MAX_RESEND_S, resend_s),
        _timers.TimerKind.QUOTA_ASK,
        number=number,
    )


def _transmit(
    step: "_state.Step", number: int, ask: _quota_state.OpenAsk
) -> list[Decision]:
    """Send an ask to the first candidate, and to others if it is silent."""
    group = step.state.quota.groups[number]
    candidates = _quota_decisions.refresh_view(step).candidates(number)
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
            _quota_decisions.send(
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
        limit = _quota_decisions.find_limit(step, name)
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
    _quota_decisions.send(
        step, ask.node, ask.address, ask.number, shares=reply.shares
    )
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
    group.reply_s = max(step.now - ask.asked_at, REPLY_DECAY * group.reply_s)
    oldest = (
        step.now - step.state.options.quota.hold_s - _quota_decisions.RESEND_S
    )
    granted = {share.workspace: share for share in shares}
    decisions = []
    for name, calls in ask.calls.items():
        share = granted.get(name)
        count = 0 if share is None else share.granted
        # A node that was frozen meanwhile must not admit what came before.
        timely = [call for call in calls if call.since >= oldest][:count]
        admitted = {call.call for call in timely}
        decisions += [
            _quota_decisions.note_admitted(step, call) for call in timely
        ]
        if share is None or count >= len(calls):
            block = _quota_state.Block(
                until=step.now,
                retry_after_s=_quota_decisions.UNHEARD_RETRY_AFTER_S,
            )
        else:
            block = _quota_state.Block(
                until=step.now + share.wait_s,
                retry_after_s=share.retry_after_s,
            )
            step.state.quota.blocks[name] = block
        decisions += [
            _quota_decisions.refuse(step, call.call, name, block)
            for call in calls
            if call.call not in admitted
        ]
    if group.waiting:
        waiting, group.waiting = group.waiting, []
        for call in waiting:
            blocked = step.state.quota.blocks.get(call.workspace)
            if blocked is not None and step.now < blocked.until:
                decisions.append(
                    _quota_decisions.refuse(
                        step, call.call, call.workspace, blocked
                    )
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
        _quota_decisions.send(
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
    view = _quota_decisions.refresh_view(step)
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
