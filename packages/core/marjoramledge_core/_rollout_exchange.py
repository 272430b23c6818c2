"""Exchange of states and evidence of roll-outs between nodes.

Received states are merged with the known ones.  Entries report their counts to
the deciding nodes, each of which tests the same evidence.
"""

import collections.abc

from marjoramledge_core import _ids
from marjoramledge_core import _members
from marjoramledge_core import _rollout_deciders
from marjoramledge_core import _rollout_messages
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _rollout_phases
from marjoramledge_core import _rollout_state
from marjoramledge_core import _state


def receive(step: _state.Step, message: _members.Message) -> None:
    """Handle what a message tells of roll-outs."""
    table = step.state.rollouts
    table.received_at = step.now
    if step.state.options.rollouts is None:
        return
    if message.sender in _rollout_deciders.list_deciders(step.state) and (
        message.kind is _members.MessageKind.ROLLOUT
    ):
        table.decider_heard_at = step.now
    answers = []
    for notice in message.rollouts:
        key = notice.state.key
        if notice.state.phase is _rollout_orders.RolloutPhase.UNKNOWN:
            known = table.states.get(key)
            if known is not None:
                answers.append(_rollout_orders.RolloutNotice(state=known))
            continue
        _merge(step, notice.state)
        if notice.report is not None:
            _take_report(step, message.sender, key, notice.report)
    if answers:
        _rollout_messages.send(step, message.sender_address, tuple(answers))


def _merge(step: _state.Step, received: _rollout_orders.RolloutState) -> None:
    """Merge a state that another node has sent."""
    table = step.state.rollouts
    known = table.states.get(received.key)
    if known is None:
        _rollout_phases.adopt(step, received, is_relayed=True)
        order = table.orders.get(received.service)
        is_withdrawn = received.key in table.ordered_at and (
            order is None or order.order != received.order
        )
        if is_withdrawn and not received.is_final:
            _rollout_phases.change(
                step,
                received,
                _rollout_orders.RolloutPhase.REVERTED,
                "the order was withdrawn",
                is_untested=True,
            )
        return
    merged = _rollout_orders.merge_states(known, received)
    if merged is known:
        return
    if merged.phase is known.phase and merged.is_stored == known.is_stored:
        table.put(merged)
    else:
        _rollout_phases.adopt(step, merged, is_relayed=True)


def report_counts(
    step: _state.Step,
    key: _rollout_state.Key,
    deciders: collections.abc.Sequence[_ids.NodeId],
) -> None:
    """Send the counts of this entry to the deciding nodes."""
    table = step.state.rollouts
    state, counts = table.states.get(key), table.counts.get(key)
    if state is None or counts is None or state.is_final:
        return
    report = counts.take_report()
    if report is None:
        return
    notice = _rollout_orders.RolloutNotice(state=state, report=report)
    for decider in deciders:
        if decider == step.state.node:
            _take_report(step, decider, key, report)
        else:
            member = step.state.membership.members[decider]
            _rollout_messages.send(step, member.address, (notice,))


def _take_report(
    step: _state.Step,
    entry: _ids.NodeId,
    key: _rollout_state.Key,
    report: _rollout_orders.EvidenceReport,
) -> None:
    table = step.state.rollouts
    state = table.states.get(key)
    if state is None or state.is_final:
        return
    deciding = table.deciding.setdefault(
        key, _rollout_state.Deciding(began_at=step.now)
    )
    deciding.test.note(deciding.ledger.take_new(entry, report), step.now)
