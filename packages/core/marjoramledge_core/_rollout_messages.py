"""Messages about roll-outs that a node sends to others.

A change goes to all nodes directly, or to a sample of a large fleet.  Deciding
nodes repeat the states in progress, and messages that are sent for another
purpose carry the known states.
"""

import dataclasses
import typing

from marjoramledge_core import _commands
from marjoramledge_core import _members
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _rollout_state
from marjoramledge_core import _state

# Deciding nodes repeat the state at this interval while a roll-out runs.
ANNOUNCE_PERIOD_S: typing.Final = 1.0
# Up to this many other nodes are told of a change directly.
MAX_BROADCAST_MEMBERS: typing.Final = 128
CHANGE_FANOUT: typing.Final = 16
RELAY_FANOUT: typing.Final = 3
# States that have ended and are stored are attached for this long.  Later,
# nodes that start read the row or ask.
ATTACHED_S: typing.Final = 60.0
# States in one message that is sent for another purpose.
MAX_ATTACHED_STATES: typing.Final = 8
_ATTACHED_KINDS: typing.Final = frozenset(
    {
        _members.MessageKind.PING,
        _members.MessageKind.ACK,
        _members.MessageKind.NEWS,
    }
)


def spread_state(
    step: _state.Step,
    state: _rollout_orders.RolloutState,
    *,
    is_relayed: bool,
) -> None:
    """Send a state that has changed to other nodes.

    A relayed one goes to a few, since its origin has told all or many.
    """
    others = _list_others(step)
    if is_relayed:
        others = _sample(step, others, RELAY_FANOUT)
    elif len(others) > MAX_BROADCAST_MEMBERS:
        others = _sample(step, others, CHANGE_FANOUT)
    notice = _rollout_orders.RolloutNotice(state=state)
    for member in others:
        send(step, member.address, (notice,))


def query_state(
    step: _state.Step, order: _rollout_orders.RolloutOrder
) -> None:
    """Ask a few other nodes for the state of an order's roll-out."""
    asked = _rollout_orders.RolloutState(
        service=order.service,
        version=order.version,
        order=order.order,
        phase=_rollout_orders.RolloutPhase.UNKNOWN,
        started_at=step.now,
        changed_at=step.now,
    )
    notice = _rollout_orders.RolloutNotice(state=asked)
    for member in _sample(step, _list_others(step), RELAY_FANOUT):
        send(step, member.address, (notice,))


def announce(step: _state.Step) -> None:
    """Repeat the states of roll-outs in progress to all nodes."""
    table = step.state.rollouts
    if step.now - table.announced_at < ANNOUNCE_PERIOD_S:
        return
    notices = tuple(
        _rollout_orders.RolloutNotice(state=state)
        for state in table.states.values()
        if not state.is_final
    )
    if not notices:
        return
    table.announced_at = step.now
    for member in _list_others(step):
        send(step, member.address, notices[:MAX_ATTACHED_STATES])


def attach_states(step: _state.Step) -> None:
    """Add the known states to the messages that a step sends anyway."""
    table = step.state.rollouts
    if not table.states or step.state.options.rollouts is None:
        return
    notices: tuple[_rollout_orders.RolloutNotice, ...] = ()
    for command in step.out:
        if not isinstance(command, _commands.SendMessage):
            continue
        if command.message.kind in _ATTACHED_KINDS:
            notices = notices or _list_notices(table, step.now)
            command.message = dataclasses.replace(
                command.message, rollouts=notices
            )


def _list_notices(
    table: _rollout_state.RolloutTable, now: float
) -> tuple[_rollout_orders.RolloutNotice, ...]:
    recent = [
        state
        for state in table.states.values()
        if not (state.is_final and state.is_stored)
        or now - state.changed_at < ATTACHED_S
    ]
    latest = sorted(recent, key=lambda state: -state.changed_at)
    return tuple(
        _rollout_orders.RolloutNotice(
            state=dataclasses.replace(state, reason="")
        )
        for state in latest[:MAX_ATTACHED_STATES]
    )


def send(
    step: _state.Step,
    address: _members.Address,
    notices: tuple[_rollout_orders.RolloutNotice, ...],
) -> None:
    """Send notices of roll-outs to one node."""
    message = _members.build_bare_message(
        step.state.membership.myself,
        _members.MessageKind.ROLLOUT,
        rollouts=notices,
    )
    step.out.append(_commands.SendMessage(address=address, message=message))


def _list_others(step: _state.Step) -> list[_members.Member]:
    return [
        member
        for member in step.state.membership.members.values()
        if member.node != step.state.node
        and member.status <= _members.MemberStatus.SUSPECT
    ]


def _sample(
    step: _state.Step, members: list[_members.Member], count: int
) -> list[_members.Member]:
    return step.rng.sample(members, min(count, len(members)))
