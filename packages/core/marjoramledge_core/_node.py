"""The decisions of one node as a state machine without I/O.

``handle`` is the only entry point: it maps an event and the current time to
commands.  It reads no clock, draws random numbers only from the generator
that it is given, and keeps no state elsewhere.  A recorded sequence of events
therefore replays to the same commands, and a test or benchmark can drive many
nodes under virtual time.
"""

import collections.abc
import dataclasses
import random
import typing

from marjoramledge_core import _answered_requests
from marjoramledge_core import _calls
from marjoramledge_core import _commands
from marjoramledge_core import _confirmation
from marjoramledge_core import _confirmation_rounds
from marjoramledge_core import _directory
from marjoramledge_core import _events
from marjoramledge_core import _gate
from marjoramledge_core import _gate_handlers
from marjoramledge_core import _ids
from marjoramledge_core import _kind_priorities
from marjoramledge_core import _manifest
from marjoramledge_core import _members
from marjoramledge_core import _membership
from marjoramledge_core import _options
from marjoramledge_core import _outcomes
from marjoramledge_core import _quarantine
from marjoramledge_core import _quota
from marjoramledge_core import _records
from marjoramledge_core import _rollout_exchange
from marjoramledge_core import _rollout_messages
from marjoramledge_core import _rollout_phases
from marjoramledge_core import _rollout_store
from marjoramledge_core import _rollouts
from marjoramledge_core import _roster
from marjoramledge_core import _server_status
from marjoramledge_core import _state
from marjoramledge_core import _timers
from marjoramledge_core import _version_numbers
from marjoramledge_core import _versions
from marjoramledge_core import _zone_measurements
from marjoramledge_core import _zone_overflow

# Interval at which a stopping node checks whether calls still run.
STOP_CHECK_S: typing.Final = 0.05
# A node whose timers are due for longer than this was paused.  What ran out
# meanwhile must end before the event is handled that ends the pause.
PAUSE_S: typing.Final = 0.5
# Time that a stopping node stays up after each of its last steps, so that
# its final messages are still sent.
STOP_LINGER_S: typing.Final = 0.2
# After the store was restored, all nodes write their rows again: within this
# time, and at most this many a second.
MIN_RESTORE_SPREAD_S: typing.Final = 1.0
FLEET_RESTORES_PER_S: typing.Final = 50.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Identity of a node.

    ``incarnation`` should increase with every start of a node.  The
    environment chooses it as well as it can, and the membership protocol
    corrects one that did not increase.
    """

    node: _ids.NodeId
    address: _members.Address
    zone: _ids.ZoneName
    incarnation: int


def create_state(
    *,
    identity: Identity,
    seeds: collections.abc.Iterable[_members.Address],
    options: _options.Options,
    now: float,
) -> _state.NodeState:
    """Create the state of a starting node.

    Parameters
    ----------
    identity
        Identity of the node.
    seeds
        Addresses of peers through which the node joins the fleet.
    options
        Options of the state machine.
    now
        Monotonic time in seconds.
    """
    timers = _timers.TimerQueue()
    myself = _members.Member(
        node=identity.node,
        address=identity.address,
        zone=identity.zone,
        incarnation=identity.incarnation,
        status=_members.MemberStatus.ALIVE,
        service=_ids.ServiceName(""),
        server=_members.ServerState.ABSENT,
        slots=0,
    )
    state = _state.NodeState(
        node=identity.node,
        zone=identity.zone,
        options=options,
        timers=timers,
        gate=_gate.Gate(started_at=now),
        membership=_membership.Membership(
            myself=myself, seeds=seeds, timers=timers
        ),
        versions=_versions.VersionTracker(
            timers=timers, waits_for_change=options.waits_for_version
        ),
        directory=_directory.Directory(
            node=identity.node,
            zone=identity.zone,
            other_zone_cost_s=options.other_zone_cost_s,
            other_zone_cost_share=options.other_zone_cost_share,
        ),
        zone_overflow=_zone_overflow.Overflow(zone=identity.zone),
        calls={},
        quarantine=_quarantine.Quarantine(),
        answered_by_server=_answered_requests.AnsweredRequests(),
        answered_calls=_answered_requests.AnsweredRequests(),
        lost_requests={},
        latencies={},
        budgets={},
        prioritized_kinds=_kind_priorities.PrioritizedKinds(),
        confirmation=_confirmation.Confirmation(),
        confirmation_rounds=_confirmation.ConfirmationRounds(),
    )
    state.quota.started_at = now
    state.membership.start(now)
    state.versions.start(now)
    timers.set(now, _timers.TimerKind.SERVER_PROBE)
    return state


def handle(
    state: _state.NodeState,
    event: _events.Event,
    now: float,
    rng: random.Random,
) -> list[_commands.Command]:
    """Handle one event.

    Parameters
    ----------
    state
        State of the node; modified in place.
    event
        The event.
    now
        Monotonic time in seconds; must not decrease between calls.
    rng
        Random number generator.

    Returns
    -------
    list of Command
        Commands that the environment must execute, in this order.
    """
    step = _state.Step(state=state, now=now, rng=rng, out=[], returned_work=[])
    wakeup = next_wakeup(state)
    if wakeup is not None and now - wakeup > PAUSE_S:
        _run_due_timers(step, _events.TimePassed())
    era = state.versions.era
    _HANDLERS[type(event)](step, event)
    if state.versions.era != era:
        _enter_era(step, era)
    while step.returned_work:
        work, reason = step.returned_work.pop()
        _calls.work_returned(step, work, reason)
    _rollout_messages.attach_states(step)
    return step.out


def next_wakeup(state: _state.NodeState) -> float | None:
    """Return the time at which ``TimePassed`` is due, or None."""
    return state.timers.next_at


def _handle_message(step: _state.Step, event: _events.MessageReceived) -> None:
    message = event.message
    if message.kind is _members.MessageKind.QUOTA:
        _decide_calls(step, _quota.receive(step, message))
        return
    _zone_measurements.note_message(step, message)
    recalled = step.state.membership.myself.departed
    replies_from = len(step.out)
    step.state.membership.receive_message(message, step.now, step.out)
    _apply_recalled_departure(step, recalled)
    _rollout_exchange.receive(step, message)
    step.publish_suspicions(
        step.state.quarantine.record_suspicions(message.suspicions, step.now),
        is_relayed=True,
    )
    server = step.state.directory.loads.get(message.sender)
    if server is not None and message.load is not None:
        server.note_report(message.load, step.now)
    known_at = message.config_known_at
    step.state.versions.observe_version(
        _manifest.KnownVersion(
            ref=message.config,
            known_at=step.now if known_at is None else known_at,
        ),
        message.sender_address,
        step.now,
        step.out,
    )
    step.state.membership.set_config(step.state.versions.in_force)
    _confirmation_rounds.note_message(step, message, replies_from)


def _merge_members(step: _state.Step, event: _events.MembersReceived) -> None:
    recalled = step.state.membership.myself.departed
    step.state.membership.merge_members(event.members, step.now, step.out)
    _apply_recalled_departure(step, recalled)
    # Others learn of them in exchanges of their own.
    learned = step.state.quarantine.record_suspicions(
        event.suspicions, step.now
    )
    for suspicion in learned:
        step.record(
            _records.RecordKind.SUSPICION_LEARNED,
            request=suspicion.fingerprint,
            detail=f"{len(suspicion.deaths)} deaths",
        )


def _apply_recalled_departure(
    step: _state.Step, known: _server_status.ServerStart
) -> None:
    """Apply the departure in this node's record if peers have added it."""
    departed = step.state.membership.myself.departed
    if departed != known:
        _gate_handlers.recall_departure(step, departed)


def _merge_stored_members(
    step: _state.Step, event: _events.StoredMembersRead
) -> None:
    step.state.membership.add_stored(event.members, step.now, step.out)


def _note_version(step: _state.Step, event: _events.VersionRead) -> None:
    known = _manifest.KnownVersion(ref=event.ref, known_at=step.now)
    step.state.versions.observe_version(known, None, step.now, step.out)
    step.state.membership.set_config(step.state.versions.in_force)
    _confirmation_rounds.note_read(step, event.ref, event.started_at)


def _end_version_read(
    step: _state.Step, event: _events.VersionReadEnded
) -> None:
    if event.is_confirming:
        _confirmation_rounds.read_ended(step, is_success=event.is_success)
    else:
        step.state.versions.read_ended(event.is_success, step.now, step.rng)


def _reads_often(state: _state.NodeState) -> bool:
    """Return whether this node reads the store often for the fleet.

    All nodes choose the same: the first one in each of the first zones.
    """
    readers = _roster.list_first_of_zones(
        state.membership.members.values(),
        _confirmation_rounds.FREQUENT_READERS,
    )
    return any(member.node == state.node for member in readers)


def _enter_era(step: _state.Step, before: int) -> None:
    """Restore what the store has lost, if it has come back from a copy."""
    state = step.state
    step.record(
        _records.RecordKind.STORE_ERA,
        detail=f"era {state.versions.era} after {before}, 0 is unknown",
    )
    if before == _version_numbers.UNKNOWN_ERA:
        return
    _rollout_store.enter_era(step)
    spread_s = max(
        MIN_RESTORE_SPREAD_S,
        state.membership.present_count / FLEET_RESTORES_PER_S,
    )
    step.out.append(
        _commands.RestoreRows(delay_s=step.rng.uniform(0.0, spread_s))
    )


def _adopt_manifest(step: _state.Step, event: _events.ManifestFetched) -> None:
    state = step.state
    was_open = step.is_zone_open()
    is_first = state.versions.configuration is None
    is_adopted = state.versions.adopt(
        event.ref, event.configuration, step.now, requested=event.requested
    )
    if not is_adopted:
        return
    state.prioritized_kinds.forget()
    _confirmation_rounds.start(step)
    state.membership.set_config(state.versions.in_force)
    state.membership.push_now(step.rng, step.out)
    step.record(
        _records.RecordKind.CONFIG_ADOPTED,
        detail=f"version {state.versions.describe()}",
    )
    _gate_handlers.apply_service(step)
    _rollout_phases.apply_orders(step, is_first=is_first)
    is_open = step.is_zone_open()
    if was_open and not is_open:
        step.record(_records.RecordKind.ZONE_CLOSED, detail=state.zone)
        _gate_handlers.refuse_waiting(step, _outcomes.Reason.ZONE_CLOSED)
    elif is_open and not was_open:
        step.record(_records.RecordKind.ZONE_OPENED, detail=state.zone)
        _gate_handlers.assume_cold(step)


def _handle_failed_fetch(
    step: _state.Step, event: _events.ManifestFailed
) -> None:
    step.record(
        _records.RecordKind.CONFIG_REFUSED,
        detail=(
            f"version {_version_numbers.format_version(event.ref.version)}: "
            f"{event.detail}"
        ),
    )
    if event.is_unreadable:
        step.state.versions.reject(event.ref)
        step.state.confirmation.note_unreadable(event.ref.version)
    step.state.versions.fetch_failed(event.ref, step.now, step.rng)


def _change_options(step: _state.Step, event: _events.OptionsChanged) -> None:
    if event.options == step.state.options:
        return
    step.state.options = event.options
    _rollout_phases.apply_orders(step, is_first=True)
    step.record(
        _records.RecordKind.OPTIONS_CHANGED, detail=repr(event.options)
    )


def _begin_stop(step: _state.Step, _event: _events.StopRequested) -> None:
    state = step.state
    if state.stop_phase is not _state.StopPhase.RUNNING:
        return
    state.stop_phase = _state.StopPhase.DRAINING
    state.stop_begun_at = step.now
    step.record(_records.RecordKind.STOP_BEGUN)
    _gate_handlers.refuse_waiting(step, _outcomes.Reason.NODE_STOPPING)
    step.publish_server()
    state.membership.push_now(step.rng, step.out)
    state.timers.set(
        step.now + state.options.stop_spread_s, _timers.TimerKind.STOP_STEP
    )


def _continue_stop(step: _state.Step) -> None:
    """Continue a planned stop.

    Callers are served until no call runs any more, since new calls arrive
    until every peer knows of the stop; their connections are closed only
    then.
    """
    state = step.state
    if state.stop_phase is _state.StopPhase.LEFT:
        _finish_stop(step)
        return
    if state.stop_phase is _state.StopPhase.DRAINING:
        state.stop_phase = _state.StopPhase.CLOSED
        _gate_handlers.refuse_waiting(step, _outcomes.Reason.NODE_STOPPING)
        step.publish_server()
    is_idle = not state.calls and not state.gate.running
    elapsed_s = step.now - state.stop_begun_at
    limit_s = state.options.stop_limit_s
    if state.stop_phase is _state.StopPhase.CLOSED and (
        is_idle or elapsed_s >= state.options.stop_accept_s
    ):
        state.stop_phase = _state.StopPhase.NOT_ACCEPTING
        step.out.append(_commands.StopAccepting())
        state.timers.set(step.now + STOP_LINGER_S, _timers.TimerKind.STOP_STEP)
        return
    if state.stop_phase is _state.StopPhase.CLOSED or (
        not is_idle and elapsed_s <= limit_s
    ):
        state.timers.set(step.now + STOP_CHECK_S, _timers.TimerKind.STOP_STEP)
        return
    state.stop_phase = _state.StopPhase.LEFT
    state.membership.leave(step.now, step.rng, step.out)
    state.timers.set(step.now + STOP_LINGER_S, _timers.TimerKind.STOP_STEP)


def _finish_stop(step: _state.Step) -> None:
    state = step.state
    state.stop_phase = _state.StopPhase.STOPPED
    aborted_calls = len(state.calls) + state.gate.running
    step.record(
        _records.RecordKind.STOP_FINISHED, detail=f"{aborted_calls} calls cut"
    )
    step.out.append(_commands.StopNode(aborted_calls=aborted_calls))


def _run_due_timers(step: _state.Step, _event: _events.TimePassed) -> None:
    while True:
        timer = step.state.timers.pop_due(step.now)
        if timer is None:
            return
        _TIMER_HANDLERS[timer.kind](step, timer)


def _decide_calls(step: _state.Step, decisions: list[_quota.Decision]) -> None:
    for decision in decisions:
        _calls.apply_decision(step, decision)


def _retry_fetch(step: _state.Step, timer: _timers.Timer) -> None:
    alive = [
        member
        for member in step.state.membership.members.values()
        if member.node != step.state.node
        and member.status is _members.MemberStatus.ALIVE
    ]
    confirmed = [member for member in alive if member.is_confirmed]
    peers = [member.address for member in confirmed or alive]
    step.state.versions.retry_fetch(
        timer.number, peers, step.now, step.rng, step.out
    )


_Handler = typing.Callable[[_state.Step, typing.Any], None]
_TimerHandler = typing.Callable[[_state.Step, _timers.Timer], None]

_HANDLERS: typing.Final[dict[type, _Handler]] = {
    _events.CallArrived: _calls.accept_call,
    _events.AttemptAnswered: _calls.attempt_answered,
    _events.AttemptFailed: _calls.attempt_failed,
    _events.AnswerLost: _calls.answer_lost,
    _events.CallEnded: lambda step, event: _calls.call_ended(step, event.call),
    _events.CallerDisconnected: lambda step, event: _calls.caller_disconnected(
        step, event.call
    ),
    _events.WorkOffered: _gate_handlers.handle_offer,
    _events.WorkEnded: _gate_handlers.end_work,
    _events.WorkAbandoned: _gate_handlers.abandon_work,
    _events.ServerAnnounced: _gate_handlers.announce_server,
    _events.ServerSignalled: _gate_handlers.note_signals,
    _events.ServerDraining: _gate_handlers.drain_server,
    _events.ServerWithdrawn: _gate_handlers.withdraw_server,
    _events.DeparturesRead: _gate_handlers.note_departures,
    _events.ProbeEnded: _gate_handlers.end_probe,
    _events.MessageReceived: _handle_message,
    _events.MembersReceived: _merge_members,
    _events.StoredMembersRead: _merge_stored_members,
    _events.VersionRead: _note_version,
    _events.VersionReadEnded: _end_version_read,
    _events.ManifestFetched: _adopt_manifest,
    _events.ManifestFailed: _handle_failed_fetch,
    _events.RolloutRead: _rollout_store.row_read,
    _events.RolloutWritten: _rollout_store.row_written,
    _events.DrainOrdered: _gate_handlers.order_drain,
    _events.OptionsChanged: _change_options,
    _events.StopRequested: _begin_stop,
    _events.TimePassed: _run_due_timers,
}

_TIMER_HANDLERS: typing.Final[dict[_timers.TimerKind, _TimerHandler]] = {
    _timers.TimerKind.CALL_DEADLINE: lambda step, timer: (
        _calls.deadline_passed(step, _ids.CallId(timer.subject))
    ),
    _timers.TimerKind.CALL_HEDGE: lambda step, timer: _calls.hedge_due(
        step, _ids.CallId(timer.subject)
    ),
    _timers.TimerKind.QUEUE_WAIT: lambda step, timer: (
        _gate_handlers.queue_wait_ended(step, _ids.AttemptId(timer.subject))
    ),
    _timers.TimerKind.RATE_START: lambda step, timer: (
        _gate_handlers.rate_wait_ended(step)
    ),
    _timers.TimerKind.SERVER_PROBE: lambda step, timer: (
        _gate_handlers.probe_server(step)
    ),
    _timers.TimerKind.MEMBER_PROBE: lambda step, timer: (
        _zone_measurements.probe_next(step)
    ),
    _timers.TimerKind.PROBE_TIMEOUT: lambda step, timer: (
        step.state.membership.probe_timed_out(
            timer.number, step.now, step.rng, step.out
        )
    ),
    _timers.TimerKind.SUSPICION: lambda step, timer: (
        step.state.membership.suspicion_timed_out(
            _ids.NodeId(timer.subject), timer.number, step.now, step.out
        )
    ),
    _timers.TimerKind.SEND_UPDATES: lambda step, timer: (
        step.state.membership.push_updates(step.rng, step.out)
    ),
    _timers.TimerKind.MEMBER_SYNC: lambda step, timer: (
        step.state.membership.sync_next(step.now, step.rng, step.out)
    ),
    _timers.TimerKind.MEMBER_REGISTER: lambda step, timer: (
        step.state.membership.renew_registration(step.now, step.rng, step.out)
    ),
    _timers.TimerKind.CONFIG_READ: lambda step, timer: (
        step.state.versions.read_version(
            step.state.membership.present_count,
            step.state.membership.is_follower(step.now),
            step.now,
            step.rng,
            step.out,
            reads_often=_reads_often(step.state),
        )
    ),
    _timers.TimerKind.CONFIG_FETCH: _retry_fetch,
    _timers.TimerKind.CONFIRMATION: lambda step, timer: (
        _confirmation_rounds.check(step)
    ),
    _timers.TimerKind.ROLLOUT_TICK: lambda step, timer: _rollouts.tick(step),
    _timers.TimerKind.STOP_STEP: lambda step, timer: _continue_stop(step),
    _timers.TimerKind.QUOTA_ASK: lambda step, timer: _decide_calls(
        step, _quota.ask_due(step, timer.number)
    ),
    _timers.TimerKind.QUOTA_POLL: lambda step, timer: _decide_calls(
        step, _quota.poll_due(step, timer.number)
    ),
}
