"""Periodic work of roll-outs: queries, reports, decisions, store accesses.

Every entry bounds what it sends to the version under test, and reports what it
sees to a few deciding nodes: the first live node by name in each of up to
three zones.  Each of them tests the same evidence, so that any may die.  Their
decision holds as soon as it is made, spreads by gossip, and is written to the
store on condition that the row is unchanged; the row settles which of two
decisions holds.  See docs/design/19-rollouts.md.
"""

import typing

from marjoramledge_core import _ids
from marjoramledge_core import _rollout_deciders
from marjoramledge_core import _rollout_exchange
from marjoramledge_core import _rollout_messages
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _rollout_phases
from marjoramledge_core import _rollout_state
from marjoramledge_core import _rollout_store
from marjoramledge_core import _rollout_verdict
from marjoramledge_core import _state

QUERY_PERIOD_S: typing.Final = 0.5
# Time that a deciding node that does not know the state waits for its peers
# before it reads the store.
QUERY_WAIT_S: typing.Final = 0.5
# A deciding node has the counts of all entries after two of their reports.
MIN_DECIDING_S: typing.Final = 1.0


def tick(step: _state.Step) -> None:
    """Report, decide and access the store; called while a roll-out runs."""
    table = step.state.rollouts
    table.timer = None
    if step.state.options.rollouts is None:
        return
    deciders = _rollout_deciders.list_deciders(step.state)
    rank = None
    if step.state.node in deciders:
        rank = deciders.index(step.state.node)
    is_needed = False
    for service in sorted(table.services()):
        key = table.current_key(service)
        if key is not None:
            _query(step, key, rank)
            _rollout_exchange.report_counts(step, key, deciders)
            if rank is not None:
                _decide(step, key)
        if rank is not None:
            _rollout_store.access_store(step, service, rank)
        is_needed = is_needed or _needs_tick(table, service, rank)
    if rank is not None:
        _rollout_messages.announce(step)
    if is_needed:
        _rollout_phases.set_timer(step, _rollout_phases.TICK_S)


def _needs_tick(
    table: _rollout_state.RolloutTable,
    service: _ids.ServiceName,
    rank: int | None,
) -> bool:
    key = table.current_key(service)
    if key is not None:
        current = table.states.get(key)
        if current is None or not current.is_final:
            return True
    access = table.accesses.get(service)
    if rank is not None and access is not None and access.rewrites:
        return True
    return any(not s.is_stored for s in table.states_of(service))


def _query(
    step: _state.Step, key: _rollout_state.Key, rank: int | None
) -> None:
    """Ask for the state of a roll-out that this node does not know."""
    table = step.state.rollouts
    order = table.orders.get(key[0])
    if key in table.states or order is None:
        return
    waited_s = step.now - table.ordered_at[key]
    if rank is not None and (key in table.fresh or waited_s >= QUERY_WAIT_S):
        _rollout_store.read_row(step, key[0])
    if (
        key in table.fresh and waited_s < QUERY_WAIT_S
    ) or step.now - table.queried_at < QUERY_PERIOD_S:
        return
    table.queried_at = step.now
    _rollout_messages.query_state(step, order)


def _decide(step: _state.Step, key: _rollout_state.Key) -> None:
    """Decide on a roll-out by the evidence so far."""
    table = step.state.rollouts
    state, order = table.states.get(key), table.orders.get(key[0])
    if state is None or order is None or state.is_final:
        return
    deciding = table.deciding.setdefault(
        key, _rollout_state.Deciding(began_at=step.now)
    )
    elapsed_s = step.now - state.started_at
    verdict = deciding.test.decide(elapsed_s, order.duration_s, step.now)
    if not verdict.is_proven and elapsed_s <= order.duration_s:
        # A node that has just begun to decide, or is cut off, lacks evidence.
        is_new = step.now - deciding.began_at < MIN_DECIDING_S
        if is_new or not _rollout_deciders.has_contact(step):
            return
    is_running = state.phase is _rollout_orders.RolloutPhase.RUNNING
    if verdict.decision is _rollout_verdict.Decision.REVERT:
        phase = _rollout_orders.RolloutPhase.REVERTED
    elif is_running and (
        verdict.decision is _rollout_verdict.Decision.PROMOTE
    ):
        phase = _rollout_orders.RolloutPhase.PROMOTING
    else:
        return
    is_reverted = phase is _rollout_orders.RolloutPhase.REVERTED
    _rollout_phases.change(
        step,
        state,
        phase,
        verdict.reason,
        is_untested=is_reverted and not verdict.is_proven,
    )
