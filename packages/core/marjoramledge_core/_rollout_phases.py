"""Orders and phases of roll-outs: how one begins, changes and ends.

A configuration gives the orders.  Each phase that a node enters, by its own
decision or another's, is put in force, recorded and passed on here.
"""

import dataclasses
import typing

from marjoramledge_core import _records
from marjoramledge_core import _rollout_messages
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _state
from marjoramledge_core import _timers

# Interval of reports, decisions and store accesses while a roll-out runs.
TICK_S: typing.Final = 0.25
# A configuration that the fleet has known for at most this long has a new
# order, about which no decision can exist yet.
FRESH_ORDER_S: typing.Final = 2.0
_RECORD_OF_PHASE: typing.Final = {
    _rollout_orders.RolloutPhase.RUNNING: _records.RecordKind.ROLLOUT_STARTED,
    _rollout_orders.RolloutPhase.PROMOTING: (
        _records.RecordKind.ROLLOUT_PROMOTED
    ),
    _rollout_orders.RolloutPhase.REVERTED: (
        _records.RecordKind.ROLLOUT_REVERTED
    ),
    _rollout_orders.RolloutPhase.COMPLETED: (
        _records.RecordKind.ROLLOUT_COMPLETED
    ),
}


def apply_orders(step: _state.Step, *, is_first: bool) -> None:
    """Apply the orders of a configuration that has come into force.

    ``is_first`` is true for the first configuration of this node: its orders
    may be old.
    """
    table = step.state.rollouts
    configuration = step.state.versions.configuration
    if step.state.options.rollouts is None or configuration is None:
        return
    known_at = step.state.versions.in_force.known_at
    is_fresh = not is_first and step.now - known_at <= FRESH_ORDER_S
    ordered = configuration.rollouts
    for service in sorted(table.orders.keys() | ordered.keys()):
        before, after = table.orders.get(service), ordered.get(service)
        if before == after:
            continue
        if before is not None and (
            after is None or after.order != before.order
        ):
            _end_order(step, before, after)
        if after is None:
            del table.orders[service]
        else:
            table.orders[service] = after
            key = (service, after.order)
            table.ordered_at.setdefault(key, step.now)
            if is_fresh:
                table.fresh.add(key)
            problem = after.problem
            if service not in configuration.services:
                problem = problem or f"unknown service {service}"
            if problem and key not in table.states:
                start(
                    step,
                    after,
                    phase=_rollout_orders.RolloutPhase.REVERTED,
                    reason=problem,
                )
        table.refresh(service)
    set_timer(step, 0.0)


def _end_order(
    step: _state.Step,
    order: _rollout_orders.RolloutOrder,
    after: _rollout_orders.RolloutOrder | None,
) -> None:
    """End the roll-out of an order that is no longer in force.

    If another order for the same version replaces it, this is not stored: the
    row would be taken for the end of that order.
    """
    why = "withdrawn"
    if after is not None:
        why = f"replaced by an order for version {after.version}"
    is_settled = after is not None and after.version == order.version
    key = (order.service, order.order)
    known = step.state.rollouts.states.get(key)
    if known is None:
        start(
            step,
            order,
            phase=_rollout_orders.RolloutPhase.REVERTED,
            reason=f"the order was {why}",
            is_stored=is_settled,
        )
    elif not known.is_final:
        change(
            step,
            known,
            _rollout_orders.RolloutPhase.REVERTED,
            f"the order was {why}",
            is_stored=is_settled,
            is_untested=True,
        )


def start(
    step: _state.Step,
    order: _rollout_orders.RolloutOrder,
    *,
    phase: _rollout_orders.RolloutPhase = (
        _rollout_orders.RolloutPhase.RUNNING
    ),
    reason: str = "",
    is_stored: bool = False,
) -> None:
    """Begin a roll-out in a phase: it may have ended already."""
    table = step.state.rollouts
    key = (order.service, order.order)
    started_at = table.ordered_at.get(key, step.now)
    if key not in table.fresh:
        started_at = step.now
    adopt(
        step,
        _rollout_orders.RolloutState(
            service=order.service,
            version=order.version,
            order=order.order,
            phase=phase,
            started_at=started_at,
            changed_at=step.now,
            is_stored=is_stored,
            reason=reason,
            is_untested=not is_stored
            and phase is _rollout_orders.RolloutPhase.REVERTED,
        ),
    )


def change(
    step: _state.Step,
    known: _rollout_orders.RolloutState,
    phase: _rollout_orders.RolloutPhase,
    reason: str,
    *,
    is_stored: bool = False,
    is_untested: bool = False,
) -> None:
    """Enter another phase and tell all nodes."""
    adopt(
        step,
        dataclasses.replace(
            known,
            phase=phase,
            changed_at=step.now,
            is_stored=is_stored,
            reason=reason,
            is_untested=is_untested,
        ),
    )


def adopt(
    step: _state.Step,
    state: _rollout_orders.RolloutState,
    *,
    is_relayed: bool = False,
) -> None:
    """Put a state in force, and pass it on."""
    table = step.state.rollouts
    known = table.states.get(state.key)
    table.put(state)
    if known is None or known.phase is not state.phase:
        step.record(
            _RECORD_OF_PHASE[state.phase],
            service=state.service,
            detail=_describe(step, state),
        )
    _rollout_messages.spread_state(step, state, is_relayed=is_relayed)
    set_timer(step, 0.0)


def _describe(step: _state.Step, state: _rollout_orders.RolloutState) -> str:
    stored = "stored" if state.is_stored else "not stored yet"
    return (
        f"version {state.version}, order {state.order}, "
        f"{step.now - state.started_at:.3f} s after its start, {stored}"
        + (f"; {state.reason}" if state.reason else "")
    )


def set_timer(step: _state.Step, delay_s: float) -> None:
    """Set the timer of the next tick, unless it is set already."""
    table = step.state.rollouts
    if table.timer is None and table.services():
        table.timer = step.state.timers.set(
            step.now + delay_s, _timers.TimerKind.ROLLOUT_TICK
        )
