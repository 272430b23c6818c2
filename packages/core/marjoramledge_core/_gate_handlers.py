"""Event handlers around the gate.

They handle offered and finished calls, and announcements, drains and probes
of the local backend server.  Calls are offered by peers through messages and
by this node's own entry through ``offer_local``.  A call that the gate refuses
or removes from its queue has not run: a peer is notified, and for a call of
this node ``_calls`` chooses another server.
"""

import dataclasses
import typing

from marjoramledge_core import _commands
from marjoramledge_core import _deaths
from marjoramledge_core import _events
from marjoramledge_core import _gate
from marjoramledge_core import _ids
from marjoramledge_core import _members
from marjoramledge_core import _outcomes
from marjoramledge_core import _queue
from marjoramledge_core import _records
from marjoramledge_core import _server_status
from marjoramledge_core import _settings
from marjoramledge_core import _signals
from marjoramledge_core import _state
from marjoramledge_core import _timers

# Outcomes which show that a server has survived a request.  One that it has
# shed was not run.
_ANSWERS: typing.Final = frozenset(
    {_outcomes.ServerOutcome.ANSWERED, _outcomes.ServerOutcome.ERRORED}
)


def reason_to_refuse(step: _state.Step) -> _outcomes.Reason | None:
    """Return why the local backend server takes no calls; None if it does."""
    if step.state.is_server_released:
        return _outcomes.Reason.NODE_STOPPING
    if not step.state.gate.accepts_work:
        return _outcomes.Reason.SERVER_LEAVING
    if not step.is_zone_open():
        return _outcomes.Reason.ZONE_CLOSED
    if step.state.is_drained_by_order:
        return _outcomes.Reason.DRAINED_BY_ORDER
    return None


def offer_local(
    step: _state.Step,
    call: _state.Call,
    attempt: _ids.AttemptId,
    *,
    prefers_queueing: bool,
) -> _gate.Admission:
    """Offer the gate a call that entered at this node."""
    if reason_to_refuse(step) is not None:
        return _gate.Admission.REFUSED
    return _offer(
        step,
        _queue.Work(
            attempt=attempt,
            call=call.call,
            kind=call.kind,
            prefers_queueing=prefers_queueing,
            fingerprint=call.fingerprint,
            deadline_at=call.deadline_at,
            offered_at=step.now,
            target_at=call.target_at,
        ),
    )


def handle_offer(step: _state.Step, event: _events.WorkOffered) -> None:
    """Start, queue or refuse a request that a peer offers."""
    _apply_status(step, event.status)
    reason = reason_to_refuse(step)
    kind = None if reason else _find_kind(step, event)
    reason = reason or _reason_to_refuse_request(step, event)
    if reason is not None or kind is None:
        _refuse(
            step,
            event.attempt,
            reason or _outcomes.Reason.OTHER_SERVICE,
        )
        return
    work = _queue.Work(
        attempt=event.attempt,
        call=None,
        kind=kind,
        prefers_queueing=event.prefers_queueing,
        fingerprint=event.fingerprint,
        deadline_at=step.now + event.deadline_s,
        offered_at=step.now,
        target_at=step.now + event.target_s,
    )
    if _offer(step, work) is _gate.Admission.REFUSED:
        _refuse(step, event.attempt, _outcomes.Reason.OVERLOADED)


def quarantine_left_s(
    step: _state.Step, fingerprint: _ids.Fingerprint
) -> float | None:
    """Return the seconds left in quarantine, None if not quarantined."""
    return step.state.quarantine.remaining_s(fingerprint, step.now)


def end_work(step: _state.Step, event: _events.WorkEnded) -> None:
    """Record how a request ended, and start queued ones in its place."""
    gate = step.state.gate
    _note_slowdown(step, event.slowdown)
    ended = gate.find(event.attempt)
    if ended is not None:
        _note_end_of_rate_limit(step, ended, event.signals)
    if ended is not None and event.outcome in _ANSWERS:
        step.state.answered_by_server.note(ended.fingerprint, step.now)
        step.publish_suspicions(
            step.state.quarantine.clear_answered(ended.fingerprint, step.now)
        )
    limit = gate.limit
    result = gate.end(event.attempt, event.outcome, event.head_s, step.now)
    if gate.limit != limit:
        step.record(
            _records.RecordKind.LIMIT_CHANGED,
            detail=(
                f"{limit} to {gate.limit}; {gate.describe_limit(step.now)}"
            ),
        )
    for work in result.started:
        start_work(step, work)
    _schedule_rate_start(step)
    for work in result.refused:
        return_work(step, work, _outcomes.Reason.SERVER_UNREACHABLE)
    if result.became_unreachable:
        step.record(_records.RecordKind.SERVER_UNREACHABLE)
        _deaths.confirm(step)
        step.publish_server()
    elif ended is not None and (
        event.outcome is _outcomes.ServerOutcome.ABORTED
    ):
        _deaths.presume(step, ended.fingerprint)
    if result.fell_cold:
        step.record(_records.RecordKind.SERVER_FELL_COLD)


def note_signals(step: _state.Step, event: _events.ServerSignalled) -> None:
    """Apply what the backend server says of itself in an answer."""
    if step.state.gate.starts.matches(event.server):
        _apply_signals(step, event.server, event.signals)


def _apply_signals(
    step: _state.Step,
    start: _server_status.ServerStart,
    signals: _signals.ServerSignals,
) -> None:
    gate = step.state.gate
    if signals.invalid_rate_limit:
        # The last limit that could be read stays in force.
        step.record(
            _records.RecordKind.RATE_LIMIT_INVALID,
            detail=f"{signals.invalid_rate_limit!r}, "
            f"{gate.describe_rate_limit()} stays",
        )
    if signals.rate_limit_per_s is not None:
        before = gate.describe_rate_limit()
        if gate.name_rate_limit(signals.rate_limit_per_s, step.now):
            step.record(
                _records.RecordKind.RATE_LIMIT_NAMED,
                detail=f"{gate.describe_rate_limit()}, before {before}",
            )
    if signals.invalid_leaving:
        step.record(
            _records.RecordKind.LEAVING_INVALID,
            detail=f"{signals.invalid_leaving!r}",
        )
    if signals.is_leaving:
        if start != _server_status.ANY_START and not gate.has_said_to_leave:
            step.out.append(_commands.StoreDeparture(server=start))
        gate.note_leaving(start)
        _start_draining(step, "said in an answer")


def build_status(
    state: _state.NodeState,
) -> _server_status.ServerStatus | None:
    """Build what entries are told about the local backend server.

    None if the server has said nothing of itself.
    """
    gate = state.gate
    has_signals = gate.has_said_to_leave or gate.rate_limit_per_s is not None
    if gate.server is None or not has_signals:
        return None
    return _server_status.ServerStatus(
        start=gate.server.start,
        rate_limit_per_s=gate.rate_limit_per_s,
        is_leaving=gate.has_said_to_leave,
    )


def _apply_status(
    step: _state.Step, status: _server_status.ServerStatus | None
) -> None:
    """Apply what an entry remembers about the local backend server."""
    gate = step.state.gate
    if status is None or not gate.starts.matches(status.start):
        return
    rate_per_s = status.rate_limit_per_s
    if rate_per_s is not None and gate.recall_rate_limit(rate_per_s, step.now):
        step.record(
            _records.RecordKind.RATE_LIMIT_NAMED,
            detail=f"{gate.describe_rate_limit()}, recalled by an entry",
        )
    # Without its identity, a new start can't be told from the one that left.
    if status.is_leaving and status.start != _server_status.ANY_START:
        gate.note_leaving(status.start)
        _start_draining(step, "recalled by an entry")


def _note_end_of_rate_limit(
    step: _state.Step,
    work: _queue.Work,
    signals: _signals.ServerSignals | None,
) -> None:
    """Lift the named limit if an answer names none any more."""
    gate = step.state.gate
    if signals is None or signals.invalid_rate_limit:
        return
    before = gate.describe_rate_limit()
    if signals.rate_limit_per_s is None and gate.note_unlimited_answer(work):
        step.record(
            _records.RecordKind.RATE_LIMIT_ENDED, detail=f"before {before}"
        )


def abandon_work(step: _state.Step, event: _events.WorkAbandoned) -> None:
    """Remove a request from the queue.

    A running request is ended by the task that serves it.
    """
    step.state.gate.abandon(event.attempt)


def queue_wait_ended(step: _state.Step, attempt: _ids.AttemptId) -> None:
    """Return a call that has reached its maximum queueing time."""
    gate = step.state.gate
    work = gate.find(attempt)
    if work is None or not gate.abandon(attempt):
        return
    reason = _outcomes.Reason.OVERLOADED
    if step.now >= work.deadline_at:
        reason = _outcomes.Reason.DEADLINE_PASSED
    return_work(step, work, reason)


def start_work(step: _state.Step, work: _queue.Work) -> None:
    """Send a call that the gate has admitted to the backend server."""
    server = step.state.gate.server
    if server is None:
        raise AssertionError("gate started a call without a backend server")
    if work.call is None:
        step.out.append(
            _commands.StartWork(
                attempt=work.attempt,
                server=server,
                deadline_at=work.deadline_at,
                is_repeatable=work.kind.idempotent,
            )
        )
        return
    call = step.state.calls[work.call]
    call.advance(_state.CallPhase.SENT)
    step.out.append(
        _commands.RunOnServer(
            call=work.call,
            attempt=work.attempt,
            server=server,
            deadline_at=work.deadline_at,
            is_repeatable=work.kind.idempotent,
            workspace=call.workspace,
        )
    )


def return_work(
    step: _state.Step, work: _queue.Work, reason: _outcomes.Reason
) -> None:
    """Return a call that has not run to the peer or entry that offered it."""
    if work.call is None:
        _refuse(step, work.attempt, reason)
    else:
        step.returned_work.append((work, reason))


def announce_server(step: _state.Step, event: _events.ServerAnnounced) -> None:
    """Apply an announcement of the local backend server."""
    gate = step.state.gate
    before = _published_fields(gate)
    was_warm = gate.state is _members.ServerState.WARM
    is_known = gate.starts.matches(event.server.start)
    if not gate.announce(event.server, step.now, is_doubted=event.is_doubted):
        _record_unconfirmed(step, event.server.start)
        return
    if not is_known:
        step.state.answered_by_server.forget()
    if event.server.is_cold and was_warm:
        # The process was replaced by a new one before its death was noticed.
        _deaths.confirm(step)
    apply_service(step)
    if before == _published_fields(gate):
        return
    step.record(
        _records.RecordKind.SERVER_ANNOUNCED,
        service=event.server.service,
        detail=gate.state.name.lower(),
    )
    step.publish_server()


def _record_unconfirmed(
    step: _state.Step, start: _server_status.ServerStart
) -> None:
    starts = step.state.gate.starts
    if starts.unconfirmed == start:
        step.record(
            _records.RecordKind.SERVER_UNCONFIRMED,
            detail=f"announced {start}, known {starts.current}",
        )


def _published_fields(gate: _gate.Gate) -> tuple[object, ...]:
    """Return the values whose change is published to other nodes.

    Announcements that change none of them are only heartbeats.
    """
    server = gate.server
    if server is None:
        return (gate.state,)
    return (
        gate.state,
        server.start,
        server.host,
        server.port,
        server.slots,
        server.version,
    )


def apply_service(step: _state.Step) -> None:
    """Pass the configuration of the gate's service to the gate."""
    configuration = step.state.versions.configuration
    server = step.state.gate.server
    if configuration is None or server is None:
        return
    service = configuration.services.get(server.service)
    if service is not None:
        step.state.gate.set_service(
            service, configuration.expected_s(service.name)
        )


def assume_cold(step: _state.Step) -> None:
    """Treat the backend server as cold until it reports otherwise."""
    gate = step.state.gate
    gate.assume_cold(step.now)
    if gate.server is not None:
        step.out.append(_commands.ProbeServer(server=gate.server))


def rate_wait_ended(step: _state.Step) -> None:
    """Start queued calls that the rate limits now permit."""
    step.state.rate_start_timer = None
    start_waiting(step)


def start_waiting(step: _state.Step) -> None:
    """Start queued calls up to the limits of the gate."""
    for work in step.state.gate.start_waiting(step.now):
        start_work(step, work)
    _schedule_rate_start(step)


def note_departures(step: _state.Step, event: _events.DeparturesRead) -> None:
    """Apply the stored departures of backend servers."""
    starts = step.state.gate.starts
    for server in event.servers:
        starts.restore_departure(server)
    if starts.is_departed:
        _start_draining(step, "departure read from the store")


def recall_departure(
    step: _state.Step, start: _server_status.ServerStart
) -> None:
    """Apply a departure that the process before this one acknowledged.

    It may not have been stored: that process may have ended before the store
    was available again.
    """
    starts = step.state.gate.starts
    starts.restore_departure(start)
    step.record(_records.RecordKind.DEPARTURE_RECALLED, detail=f"{start}")
    step.out.append(_commands.StoreDeparture(server=start))
    if starts.is_departed:
        _start_draining(step, "recalled by a peer")


def drain_server(step: _state.Step, event: _events.ServerDraining) -> None:
    """Stop accepting calls for the backend server; running calls finish."""
    known = step.state.gate.starts.current
    if _note_departure(step, event):
        _start_draining(step, _describe_departure(event.server, known))


def _note_departure(
    step: _state.Step, event: _events.ServerDraining | _events.ServerWithdrawn
) -> bool:
    """Note a departure; return whether the known server is the one leaving."""
    starts = step.state.gate.starts
    is_same_server = starts.is_same_server(event.server)
    starts.depart(event.server, event.said_at_ms)
    step.publish_server()
    return is_same_server


def _describe_departure(
    start: _server_status.ServerStart,
    known: _server_status.ServerStart | None,
) -> str:
    return f"announced {start}, known {known}"


def _start_draining(step: _state.Step, detail: str = "") -> None:
    if step.state.gate.state is _members.ServerState.DRAINING:
        return
    for work in step.state.gate.drain():
        return_work(step, work, _outcomes.Reason.SERVER_LEAVING)
    step.record(_records.RecordKind.SERVER_DRAINING, detail=detail)
    step.publish_server()


def withdraw_server(step: _state.Step, event: _events.ServerWithdrawn) -> None:
    """Remove the backend server and return its queued calls."""
    known = step.state.gate.starts.current
    if not _note_departure(step, event):
        return
    for work in step.state.gate.withdraw():
        return_work(step, work, _outcomes.Reason.SERVER_LEAVING)
    step.record(
        _records.RecordKind.SERVER_WITHDRAWN,
        detail=_describe_departure(event.server, known),
    )
    step.publish_server()


def refuse_waiting(step: _state.Step, reason: _outcomes.Reason) -> None:
    """Empty the queue and return its calls with ``reason``."""
    for work in step.state.gate.drop_waiting():
        return_work(step, work, reason)


def order_drain(step: _state.Step, event: _events.DrainOrdered) -> None:
    """Stop or resume accepting calls on an operator's order."""
    if event.is_drained == step.state.is_drained_by_order:
        return
    step.state.is_drained_by_order = event.is_drained
    if event.is_drained:
        refuse_waiting(step, _outcomes.Reason.DRAINED_BY_ORDER)
        step.record(_records.RecordKind.DRAIN_ORDERED)
    else:
        assume_cold(step)
        step.record(_records.RecordKind.DRAIN_ENDED)
    step.publish_server()


def probe_server(step: _state.Step) -> None:
    """Probe the backend server, unless recent traffic makes it needless.

    Also records the summary of the gate's statistics, and sets the timer of
    the next probe.
    """
    configuration = step.state.versions.configuration
    measuring = (
        _settings.ProbeBudget()
        if configuration is None
        else configuration.measuring
    )
    gate = step.state.gate
    summary = gate.pop_summary(step.now)
    if summary is not None:
        step.record(_records.RecordKind.GATE_PRESSED, detail=summary)
    interval_s = gate.probe_interval_s(measuring)
    step.state.timers.set(
        step.now + interval_s, _timers.TimerKind.SERVER_PROBE
    )
    last_seen_at = gate.last_seen_at
    if gate.slowdown_at is not None:
        last_seen_at = gate.slowdown_at
    is_quiet = step.now - last_seen_at >= interval_s
    if gate.server is not None and is_quiet:
        step.out.append(_commands.ProbeServer(server=gate.server))


def end_probe(step: _state.Step, event: _events.ProbeEnded) -> None:
    """Apply the outcome of a probe."""
    _note_slowdown(step, event.slowdown)
    server = step.state.gate.server
    if server is not None and event.signals is not None:
        _apply_signals(step, server.start, event.signals)
    if event.is_healthy:
        _deaths.withdraw(step)
        start_waiting(step)
    changed = step.state.gate.note_probe(
        event.is_healthy, event.elapsed_s, event.cold_left_s, step.now
    )
    if not changed:
        return
    if event.is_healthy:
        step.record(
            _records.RecordKind.SERVER_ANNOUNCED, detail="detected by a probe"
        )
    else:
        refuse_waiting(step, _outcomes.Reason.SERVER_UNREACHABLE)
        step.record(_records.RecordKind.SERVER_UNREACHABLE)
        _deaths.confirm(step)
    step.publish_server()


def _note_slowdown(step: _state.Step, slowdown: float | None) -> None:
    gate = step.state.gate
    if slowdown is None:
        return
    if gate.note_slowdown(slowdown, step.now):
        step.state.membership.broadcast_load(gate.report(step.now), step.out)


def _offer(step: _state.Step, work: _queue.Work) -> _gate.Admission:
    work.is_suspect = step.state.quarantine.is_suspect(
        work.fingerprint, step.now
    )
    if work.is_suspect and step.state.gate.runs_suspect:
        # With two suspects running, a death could not be attributed to one.
        return _gate.Admission.REFUSED
    offer = step.state.gate.offer(work, step.now)
    if offer.displaced is not None:
        return_work(step, offer.displaced, _outcomes.Reason.OVERLOADED)
    if offer.admission is _gate.Admission.STARTED:
        start_work(step, work)
    elif offer.admission is _gate.Admission.QUEUED:
        _schedule_rate_start(step)
        step.state.timers.set(
            min(
                work.deadline_at,
                step.now + step.state.gate.max_wait_s(work, step.now),
            ),
            _timers.TimerKind.QUEUE_WAIT,
            subject=work.attempt,
        )
    return offer.admission


def _schedule_rate_start(step: _state.Step) -> None:
    """Set a timer for when the rate limits permit the next call."""
    if step.state.rate_start_timer is not None:
        return
    at = step.state.gate.next_start_at(step.now)
    if at is not None:
        step.state.rate_start_timer = step.state.timers.set(
            at, _timers.TimerKind.RATE_START
        )


def _reason_to_refuse_request(
    step: _state.Step, event: _events.WorkOffered
) -> _outcomes.Reason | None:
    if event.deadline_s <= 0.0:
        return _outcomes.Reason.DEADLINE_PASSED
    if step.state.outlasts_stop(step.now + event.deadline_s):
        return _outcomes.Reason.NODE_STOPPING
    limit_s = step.state.options.outdated_limit_s
    if event.config is not None and step.state.versions.supersedes(
        event.config, limit_s, step.now
    ):
        return _outcomes.Reason.OUTDATED_CONFIGURATION
    if quarantine_left_s(step, event.fingerprint) is not None:
        return _outcomes.Reason.QUARANTINED
    return None


def _find_kind(
    step: _state.Step, event: _events.WorkOffered
) -> _settings.RequestKind | None:
    configuration = step.state.versions.configuration
    server = step.state.gate.server
    if configuration is None or server is None:
        return None
    if event.kind is not None:
        return event.kind if event.service == server.service else None
    kind = configuration.find_kind(event.host, event.method, event.path)
    if kind is None or kind.service != server.service:
        return None
    return kind


def _refuse(
    step: _state.Step,
    attempt: _ids.AttemptId,
    reason: _outcomes.Reason,
) -> None:
    status = build_status(step.state)
    if status is not None and reason is _outcomes.Reason.OVERLOADED:
        pause_s = step.state.gate.draw_pause_s(step.now)
        status = dataclasses.replace(status, pause_s=pause_s)
    step.out.append(
        _commands.RefuseWork(attempt=attempt, reason=reason, status=status)
    )
