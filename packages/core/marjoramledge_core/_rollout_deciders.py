"""Deciding nodes of roll-outs, and whether an entry hears of them.

They are the first live node by name in each of up to three zones.  An entry
exposes requests only while it would have heard of a reversal, since one that
is cut off, or was frozen, can't know of it.
"""

import typing

from marjoramledge_core import _ids
from marjoramledge_core import _roster
from marjoramledge_core import _state

DECIDING_ZONES: typing.Final = 3
# An entry that has heard from no deciding node for this share of the limit
# after a reversal exposes no more requests: the roll-out may have been
# reverted.  With a limit of 5 s, two announcements may be lost.
LEASE_SHARE: typing.Final = 0.5


def list_deciders(state: _state.NodeState) -> tuple[_ids.NodeId, ...]:
    """Return the deciding nodes: the first live one in each of a few zones."""
    revision, known = state.rollouts.deciders
    if revision == state.membership.revision:
        return known
    firsts = _roster.list_first_of_zones(
        state.membership.members.values(), DECIDING_ZONES, confirmed_only=True
    )
    deciders = tuple(member.node for member in firsts)
    state.rollouts.deciders = (state.membership.revision, deciders)
    return deciders


def has_lease(step: _state.Step) -> bool:
    """Return whether this entry would have heard of a reversal."""
    table = step.state.rollouts
    if step.now - table.decider_heard_at <= _lease_s(step):
        return True
    if step.state.node not in list_deciders(step.state):
        return False
    return has_contact(step)


def has_contact(step: _state.Step) -> bool:
    """Return whether messages of other nodes arrive, if there are any."""
    if step.state.membership.present_count == 1:
        return True
    return step.now - step.state.rollouts.received_at <= _lease_s(step)


def _lease_s(step: _state.Step) -> float:
    options = step.state.options.rollouts
    return 0.0 if options is None else LEASE_SHARE * options.reversal_limit_s
