"""Access to the rows of roll-outs in the store.

A decision is written on condition that the row is unchanged since it was read.
After a conflict or a lost answer the row is read again, and what it says
holds.
"""

import dataclasses
import typing

from marjoramledge_core import _commands
from marjoramledge_core import _events
from marjoramledge_core import _ids
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _rollout_phases
from marjoramledge_core import _rollout_state
from marjoramledge_core import _state

# Time between promotion and completion; new requests have moved by then, and
# those of a typical duration have ended.
PROMOTION_S: typing.Final = 1.0
# Each further deciding node waits this much longer before it writes.
WRITE_STAGGER_S: typing.Final = 0.8
# With a fresh order, the roll-out starts without the store after this time.
START_WITHOUT_STORE_S: typing.Final = 1.0


def access_store(
    step: _state.Step, service: _ids.ServiceName, rank: int
) -> None:
    """Write the earliest state that the store does not have yet."""
    table = step.state.rollouts
    access = table.accesses.setdefault(service, _rollout_state.StoreAccess())
    if access.is_pending or step.now < access.next_at:
        return
    state = _next_to_store(step, service, access)
    if state is None:
        return
    if step.now - state.changed_at < rank * WRITE_STAGGER_S:
        return
    if not access.is_read:
        read_row(step, service)
        return
    phase = state.phase
    if phase is _rollout_orders.RolloutPhase.PROMOTING:
        if step.now - state.changed_at < PROMOTION_S:
            return
        phase = _rollout_orders.RolloutPhase.COMPLETED
    access.is_pending = True
    access.writing = dataclasses.replace(state, phase=phase)
    step.out.append(
        _commands.WriteRollout(
            service=service,
            row=_rollout_orders.RolloutRow(
                service=service,
                version=state.version,
                phase=phase,
                order=state.order,
            ),
            etag=access.etag,
        )
    )


def _next_to_store(
    step: _state.Step,
    service: _ids.ServiceName,
    access: _rollout_state.StoreAccess,
) -> _rollout_orders.RolloutState | None:
    table = step.state.rollouts
    states = table.states_of(service)
    current = table.current_key(service) or (
        states[-1].key if states else None
    )
    for state in states:
        is_due = not state.is_stored or state.key in access.rewrites
        if is_due and (state.is_final or state.key == current):
            return state
    return None


def read_row(step: _state.Step, service: _ids.ServiceName) -> None:
    """Read the row of a service, unless an access is pending or too early."""
    table = step.state.rollouts
    access = table.accesses.setdefault(service, _rollout_state.StoreAccess())
    if access.is_pending or step.now < access.next_at:
        return
    access.is_pending = True
    step.out.append(_commands.ReadRollout(service=service))


def row_read(step: _state.Step, event: _events.RolloutRead) -> None:
    """Adopt what the store has, or learn that a read failed."""
    table = step.state.rollouts
    access = table.accesses.setdefault(
        event.service, _rollout_state.StoreAccess()
    )
    access.is_pending = False
    access.is_read = event.is_success
    order = table.orders.get(event.service)
    if not event.is_success:
        access.note_failure(step.now)
        key = table.current_key(event.service)
        if order is not None and key not in table.states:
            waited_s = step.now - table.ordered_at[event.service, order.order]
            if key in table.fresh and waited_s >= START_WITHOUT_STORE_S:
                _rollout_phases.start(step, order)
        _rollout_phases.set_timer(step, _rollout_phases.TICK_S)
        return
    access.retry_s = _rollout_state.FIRST_STORE_RETRY_S
    access.etag = "" if event.row is None else event.row.etag
    if event.row is not None:
        _adopt_row(step, access, event.row)
    key = table.current_key(event.service)
    if order is not None and key is not None and key not in table.states:
        _rollout_phases.start(step, order)
    _rollout_phases.set_timer(step, 0.0)


def _adopt_row(
    step: _state.Step,
    access: _rollout_state.StoreAccess,
    row: _rollout_orders.RolloutRow,
) -> None:
    """Let the row of the store take precedence over what this node knows."""
    table = step.state.rollouts
    order = table.orders.get(row.service)
    current = table.current_key(row.service)
    if (
        order is not None
        and current not in table.states
        and row.concerns(order.version, order.order)
    ):
        _rollout_phases.start(
            step,
            order,
            phase=row.phase,
            reason="read from the store",
            is_stored=True,
        )
    for state in reversed(table.states_of(row.service)):
        if not row.concerns(state.version, state.order):
            continue
        is_same = row.phase is state.phase
        if is_same and (not state.is_stored or state.key in access.rewrites):
            access.rewrites.discard(state.key)
            _rollout_phases.adopt(
                step, dataclasses.replace(state, is_stored=True)
            )
        elif not is_same and row.phase in _rollout_orders.FINAL_PHASES:
            access.rewrites.discard(state.key)
            _rollout_phases.change(
                step, state, row.phase, "read from the store", is_stored=True
            )
        if state.key == current:
            _settle_earlier(step, row.service, state.key)
        return


def _settle_earlier(
    step: _state.Step,
    service: _ids.ServiceName,
    key: _rollout_state.Key,
) -> None:
    """Write nothing more about roll-outs before the one in the store."""
    table = step.state.rollouts
    for state in table.states_of(service):
        if state.key != key and not state.is_stored and state.is_final:
            table.put(dataclasses.replace(state, is_stored=True))


def row_written(step: _state.Step, event: _events.RolloutWritten) -> None:
    """Settle a decision that the store has accepted, or read the row again."""
    table = step.state.rollouts
    access = table.accesses.setdefault(
        event.service, _rollout_state.StoreAccess()
    )
    access.is_pending = False
    written, access.writing = access.writing, None
    _rollout_phases.set_timer(step, 0.0)
    if event.row is None or written is None:
        # Another node wrote first, or the answer was lost: the row tells.
        access.is_read = False
        if not event.is_conflict:
            access.note_failure(step.now)
        return
    access.etag = event.row.etag
    access.rewrites.discard(written.key)
    known = table.states.get(written.key)
    if known is None:
        return
    if written.is_final:
        # What was written holds, whatever this node has heard meanwhile.
        changed_at = known.changed_at
        if known.phase is not written.phase:
            changed_at = step.now
        _rollout_phases.adopt(
            step,
            dataclasses.replace(
                written, changed_at=changed_at, is_stored=True
            ),
        )
    elif known.phase is written.phase:
        _rollout_phases.adopt(step, dataclasses.replace(known, is_stored=True))


def enter_era(step: _state.Step) -> None:
    """Check the rows of ended roll-outs: a restored store may lack them."""
    table = step.state.rollouts
    for service in table.services():
        access = table.accesses.setdefault(
            service, _rollout_state.StoreAccess()
        )
        access.is_read = False
        states = table.states_of(service)
        current = table.current_key(service)
        last = states[-1].key if states else None
        for state in states:
            if state.is_stored and state.key in (current, last):
                access.rewrites.add(state.key)
    _rollout_phases.set_timer(step, 0.0)
