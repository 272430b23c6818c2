"""Handlers of roll-outs: exposure, evidence, decision and its spread.

Every entry bounds what it sends to the version under test, and reports what it
sees to a few deciding nodes: the first live node by name in each of up to
three zones.  Each of them tests the same evidence, so that any may die.  Their
decision holds as soon as it is made, spreads by gossip, and is written to the
store on condition that the row is unchanged; the row settles which of two
decisions holds.  See docs/design/19-rollouts.md.
"""

import collections.abc
import dataclasses
import typing

from marjoramledge_core import _commands
from marjoramledge_core import _events
from marjoramledge_core import _ids
from marjoramledge_core import _manifest
from marjoramledge_core import _members
from marjoramledge_core import _records
from marjoramledge_core import _rollout_evidence
from marjoramledge_core import _rollout_exposure
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _rollout_state
from marjoramledge_core import _rollout_verdict
from marjoramledge_core import _state
from marjoramledge_core import _timers

# Interval of reports, decisions and store accesses while a roll-out runs.
TICK_S: typing.Final = 0.25
DECIDING_ZONES: typing.Final = 3
# Deciding nodes repeat the state at this interval while a roll-out runs.
ANNOUNCE_PERIOD_S: typing.Final = 1.0
# An entry that has heard from no deciding node for this share of the limit
# after a reversal exposes no more requests: the roll-out may have been
# reverted.  With a limit of 5 s, two announcements may be lost.
LEASE_SHARE: typing.Final = 0.5
QUERY_PERIOD_S: typing.Final = 0.5
# Time that a deciding node that does not know the state waits for its peers
# before it reads the store.
QUERY_WAIT_S: typing.Final = 0.5
# A configuration that the fleet has known for at most this long has a new
# order, about which no decision can exist yet.
FRESH_ORDER_S: typing.Final = 2.0
# With a fresh order, the roll-out starts without the store after this time.
START_WITHOUT_STORE_S: typing.Final = 1.0
# Time between promotion and completion; new requests have moved by then, and
# those of a typical duration have ended.
PROMOTION_S: typing.Final = 1.0
# A deciding node has the counts of all entries after two of their reports.
MIN_DECIDING_S: typing.Final = 1.0
# Each further deciding node waits this much longer before it writes.
WRITE_STAGGER_S: typing.Final = 0.8
STORE_RETRY_S: typing.Final = 0.3
# Up to this many other nodes are told of a change directly.
MAX_BROADCAST_MEMBERS: typing.Final = 128
CHANGE_FANOUT: typing.Final = 16
RELAY_FANOUT: typing.Final = 3
# States in one message that is sent for another purpose.
MAX_ATTACHED_STATES: typing.Final = 8

_ATTACHED_KINDS: typing.Final = frozenset(
    {
        _members.MessageKind.PING,
        _members.MessageKind.ACK,
        _members.MessageKind.NEWS,
    }
)
# States of servers that serve no more requests.
_GONE: typing.Final = frozenset(
    {_members.ServerState.ABSENT, _members.ServerState.DRAINING}
)
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
            _end_order(
                step,
                before,
                "withdrawn"
                if after is None
                else (f"replaced by an order for version {after.version}"),
            )
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
                _start(
                    step,
                    after,
                    phase=_rollout_orders.RolloutPhase.REVERTED,
                    reason=problem,
                )
        table.refresh(service)
    _set_timer(step, 0.0)


def _end_order(
    step: _state.Step, order: _rollout_orders.RolloutOrder, why: str
) -> None:
    """End the roll-out of an order that is no longer in force."""
    key = (order.service, order.order)
    known = step.state.rollouts.states.get(key)
    if known is None:
        _start(
            step,
            order,
            phase=_rollout_orders.RolloutPhase.REVERTED,
            reason=f"the order was {why}",
        )
    elif not known.is_final:
        _change(
            step,
            known,
            _rollout_orders.RolloutPhase.REVERTED,
            f"the order was {why}",
        )


def _start(
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
    _adopt(
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
        ),
    )


def _change(
    step: _state.Step,
    known: _rollout_orders.RolloutState,
    phase: _rollout_orders.RolloutPhase,
    reason: str,
    *,
    is_stored: bool = False,
) -> None:
    """Enter another phase and tell all nodes."""
    _adopt(
        step,
        dataclasses.replace(
            known,
            phase=phase,
            changed_at=step.now,
            is_stored=is_stored,
            reason=reason,
        ),
    )


def _adopt(
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
    others = _list_others(step)
    if is_relayed:
        others = _sample(step, others, RELAY_FANOUT)
    elif len(others) > MAX_BROADCAST_MEMBERS:
        others = _sample(step, others, CHANGE_FANOUT)
    notice = _rollout_orders.RolloutNotice(state=state)
    for member in others:
        _send(step, member.address, (notice,))
    _set_timer(step, 0.0)


def _describe(step: _state.Step, state: _rollout_orders.RolloutState) -> str:
    stored = "stored" if state.is_stored else "not stored yet"
    return (
        f"version {state.version}, order {state.order}, "
        f"{step.now - state.started_at:.3f} s after its start, {stored}"
        + (f"; {state.reason}" if state.reason else "")
    )


def accept_call(step: _state.Step, call: _state.Call) -> None:
    """Count a call to a service, and decide whether it may be exposed."""
    table, options = step.state.rollouts, step.state.options.rollouts
    routing = table.routing_of(call.service)
    if routing is None or options is None or routing.key is None:
        return
    if routing.phase is not _rollout_orders.RolloutPhase.RUNNING:
        return
    budget = table.exposures.get(routing.key)
    if budget is None:
        budget = _rollout_exposure.ExposureBudget()
        table.exposures[routing.key] = budget
    budget.earn(options.expose_share)
    if not _has_lease(step) or _is_overdue(step, routing.key):
        return
    candidates = step.state.directory.candidates(call.service)
    if any(server.version == routing.target for server in candidates):
        call.is_exposed = budget.spend(call.kind.name)


def _has_lease(step: _state.Step) -> bool:
    """Return whether this entry would have heard of a reversal."""
    table = step.state.rollouts
    if step.now - table.decider_heard_at <= _lease_s(step):
        return True
    if step.state.node not in list_deciders(step.state):
        return False
    return _has_contact(step)


def _has_contact(step: _state.Step) -> bool:
    """Return whether messages of other nodes arrive, if there are any."""
    if step.state.membership.present_count == 1:
        return True
    return step.now - step.state.rollouts.received_at <= _lease_s(step)


def _lease_s(step: _state.Step) -> float:
    options = step.state.options.rollouts
    return 0.0 if options is None else LEASE_SHARE * options.reversal_limit_s


def _is_overdue(step: _state.Step, key: _rollout_state.Key) -> bool:
    """Return whether a roll-out should have been decided by now."""
    table = step.state.rollouts
    order, state = table.orders.get(key[0]), table.states.get(key)
    if order is None or state is None:
        return True
    return step.now - state.started_at > order.duration_s


def split_servers(
    step: _state.Step,
    call: _state.Call,
    servers: _rollout_state.Servers,
) -> list[_rollout_state.Servers]:
    """Split the servers that a call may go to into groups, the best first."""
    routing = step.state.rollouts.routing_of(call.service)
    if routing is None or step.state.options.rollouts is None:
        return [servers]
    groups = _rollout_state.split_servers(
        routing,
        servers,
        step.now,
        is_exposed=call.is_exposed and not call.attempts,
    )
    is_running = routing.phase is _rollout_orders.RolloutPhase.RUNNING
    if is_running and not any(groups) and _is_only_version(step, call.service):
        return [servers]
    return groups


def _is_only_version(step: _state.Step, service: _ids.ServiceName) -> bool:
    """Return whether a service has servers of the ordered version only.

    Such an order must not stop the service.  Members that have failed count,
    since those beyond a partition seem so.
    """
    table = step.state.rollouts
    routing = table.routing_of(service)
    if routing is None:
        return False
    return not any(
        member.service == service
        and member.server_version != routing.target
        and member.status is not _members.MemberStatus.LEFT
        and member.server not in _GONE
        for member in step.state.membership.members.values()
    )


def note_sent(
    step: _state.Step, call: _state.Call, attempt: _state.Attempt
) -> None:
    """Begin to observe an attempt; refund a token that it does not use."""
    if step.state.options.rollouts is None:
        return
    table, server = step.state.rollouts, attempt.server
    routing = table.routing_of(call.service)
    if call.is_exposed:
        call.is_exposed = False
        budget = None
        if routing is not None and routing.key is not None:
            budget = table.exposures.get(routing.key)
        if (
            budget is not None
            and routing is not None
            and server.version != routing.target
        ):
            budget.refund(call.kind.name)
    attempt.sample = _rollout_evidence.Sample(
        service=call.service,
        kind=call.kind.name,
        version=server.version,
        target_s=call.kind.target_s,
        sent_at=step.now,
        is_cold=server.is_cold,
    )


def note_answered(
    step: _state.Step, attempt: _state.Attempt, *, is_error: bool
) -> None:
    """Count a response."""
    sample, attempt.sample = attempt.sample, None
    if sample is None:
        return
    times = step.state.rollouts.typical_times
    elapsed_s = step.now - sample.sent_at
    slow_after_s = times.slow_after_s(sample)
    is_slow = (
        slow_after_s is not None
        and elapsed_s > slow_after_s
        and not sample.is_cold
        and not is_error
    )
    counted = _count(
        step,
        sample,
        _rollout_orders.ResponseCounts(
            responses=1, failures=int(is_error), slow=int(is_slow)
        ),
    )
    if not is_error and not sample.is_cold and not counted:
        times.note(sample.service, sample.kind, elapsed_s)


def note_lost(step: _state.Step, attempt: _state.Attempt) -> None:
    """Count a response that was lost after the request may have run."""
    sample, attempt.sample = attempt.sample, None
    if sample is not None:
        counts = _rollout_orders.ResponseCounts(responses=1, failures=1)
        _count(step, sample, counts)


def note_cancelled(step: _state.Step, attempt: _state.Attempt) -> None:
    """Count an attempt that is given up as slow, if it took too long."""
    sample, attempt.sample = attempt.sample, None
    if sample is None or sample.is_cold:
        return
    slow_after_s = step.state.rollouts.typical_times.slow_after_s(sample)
    if slow_after_s is not None and step.now - sample.sent_at > slow_after_s:
        counts = _rollout_orders.ResponseCounts(responses=1, slow=1)
        _count(step, sample, counts)


def _count(
    step: _state.Step,
    sample: _rollout_evidence.Sample,
    counts: _rollout_orders.ResponseCounts,
) -> bool:
    """Count a response; return whether it is one of the new version."""
    table = step.state.rollouts
    routing = table.routing_of(sample.service)
    if routing is None or routing.key is None:
        return False
    is_new = sample.version == routing.target
    state = table.states.get(routing.key)
    if state is None or state.is_final or sample.sent_at < state.started_at:
        return is_new
    entry = table.counts.get(routing.key)
    if entry is None:
        entry = _rollout_evidence.EntryCounts(run=step.rng.getrandbits(31))
        table.counts[routing.key] = entry
    entry.note(sample.kind, counts, is_new=is_new)
    return is_new


def receive(step: _state.Step, message: _members.Message) -> None:
    """Handle what a message tells of roll-outs."""
    table = step.state.rollouts
    table.received_at = step.now
    if step.state.options.rollouts is None:
        return
    if message.sender in list_deciders(step.state) and (
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
        _send(step, message.sender_address, tuple(answers))


def _merge(step: _state.Step, received: _rollout_orders.RolloutState) -> None:
    """Merge a state that another node has sent."""
    table = step.state.rollouts
    known = table.states.get(received.key)
    if known is None:
        _adopt(step, received, is_relayed=True)
        order = table.orders.get(received.service)
        is_withdrawn = received.key in table.ordered_at and (
            order is None or order.order != received.order
        )
        if is_withdrawn and not received.is_final:
            _change(
                step,
                received,
                _rollout_orders.RolloutPhase.REVERTED,
                "the order was withdrawn",
            )
        return
    merged = _rollout_orders.merge_states(known, received)
    if merged is known:
        return
    if merged.phase is known.phase and merged.is_stored == known.is_stored:
        table.put(merged)
    else:
        _adopt(step, merged, is_relayed=True)


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


def tick(step: _state.Step) -> None:
    """Report, decide and access the store; called while a roll-out runs."""
    table = step.state.rollouts
    table.timer = None
    if step.state.options.rollouts is None:
        return
    deciders = list_deciders(step.state)
    rank = None
    if step.state.node in deciders:
        rank = deciders.index(step.state.node)
    is_needed = False
    for service in sorted(table.services()):
        key = table.current_key(service)
        if key is not None:
            _query(step, key, rank)
            _report(step, key, deciders)
            if rank is not None:
                _decide(step, key)
        if rank is not None:
            _access_store(step, service, rank)
        is_needed = is_needed or _needs_tick(table, service, rank)
    if rank is not None:
        _announce(step)
    if is_needed:
        _set_timer(step, TICK_S)


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


def _set_timer(step: _state.Step, delay_s: float) -> None:
    table = step.state.rollouts
    if table.timer is None and table.services():
        table.timer = step.state.timers.set(
            step.now + delay_s, _timers.TimerKind.ROLLOUT_TICK
        )


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
        _read_row(step, key[0])
    if (
        key in table.fresh and waited_s < QUERY_WAIT_S
    ) or step.now - table.queried_at < QUERY_PERIOD_S:
        return
    table.queried_at = step.now
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
        _send(step, member.address, (notice,))


def _report(
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
            _send(step, member.address, (notice,))


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
        if is_new or not _has_contact(step):
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
    _change(step, state, phase, verdict.reason)


def _announce(step: _state.Step) -> None:
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
        _send(step, member.address, notices[:MAX_ATTACHED_STATES])


def _access_store(
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
        _read_row(step, service)
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


def _read_row(step: _state.Step, service: _ids.ServiceName) -> None:
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
        access.next_at = step.now + STORE_RETRY_S
        key = table.current_key(event.service)
        if order is not None and key not in table.states:
            waited_s = step.now - table.ordered_at[event.service, order.order]
            if key in table.fresh and waited_s >= START_WITHOUT_STORE_S:
                _start(step, order)
        _set_timer(step, TICK_S)
        return
    access.etag = "" if event.row is None else event.row.etag
    if event.row is not None:
        _adopt_row(step, access, event.row)
    key = table.current_key(event.service)
    if order is not None and key is not None and key not in table.states:
        _start(step, order)
    _set_timer(step, 0.0)


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
        _start(
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
            _adopt(step, dataclasses.replace(state, is_stored=True))
        elif not is_same and row.phase in _rollout_orders.FINAL_PHASES:
            access.rewrites.discard(state.key)
            _change(
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
    _set_timer(step, 0.0)
    if event.row is None or written is None:
        # Another node wrote first, or the answer was lost: the row tells.
        access.is_read = False
        if not event.is_conflict:
            access.next_at = step.now + STORE_RETRY_S
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
        _adopt(
            step,
            dataclasses.replace(
                written, changed_at=changed_at, is_stored=True
            ),
        )
    elif known.phase is written.phase:
        _adopt(step, dataclasses.replace(known, is_stored=True))


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
    _set_timer(step, 0.0)


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
            notices = notices or _list_notices(table)
            command.message = dataclasses.replace(
                command.message, rollouts=notices
            )


def _list_notices(
    table: _rollout_state.RolloutTable,
) -> tuple[_rollout_orders.RolloutNotice, ...]:
    latest = sorted(table.states.values(), key=lambda s: -s.changed_at)
    return tuple(
        _rollout_orders.RolloutNotice(
            state=dataclasses.replace(state, reason="")
        )
        for state in latest[:MAX_ATTACHED_STATES]
    )


def list_deciders(state: _state.NodeState) -> tuple[_ids.NodeId, ...]:
    """Return the deciding nodes: the first live one in each of a few zones."""
    revision, known = state.rollouts.deciders
    if revision == state.membership.revision:
        return known
    first_of_zone: dict[_ids.ZoneName, _ids.NodeId] = {}
    for member in state.membership.members.values():
        is_alive = member.status is _members.MemberStatus.ALIVE
        if is_alive and member.is_confirmed:
            first = first_of_zone.get(member.zone, member.node)
            first_of_zone[member.zone] = min(first, member.node)
    zones = sorted(first_of_zone)[:DECIDING_ZONES]
    deciders = tuple(first_of_zone[zone] for zone in zones)
    state.rollouts.deciders = (state.membership.revision, deciders)
    return deciders


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


def _send(
    step: _state.Step,
    address: _members.Address,
    notices: tuple[_rollout_orders.RolloutNotice, ...],
) -> None:
    myself = step.state.membership.myself
    message = _members.Message(
        kind=_members.MessageKind.ROLLOUT,
        sender=myself.node,
        sender_address=myself.address,
        sequence=0,
        target=myself.node,
        config=_manifest.NO_VERSION,
        updates=(),
        suspicions=(),
        rollouts=notices,
    )
    step.out.append(_commands.SendMessage(address=address, message=message))
