"""Call handling at the entry node, from arrival to answer.

A call is accepted, then queued at the local gate or sent, and ends answered,
refused as not run, or unknown.  ``_may_retry`` alone decides whether a call
may be sent again; every retry and every hedge (``hedge_due``) checks it.  An
answer of a backend server is final, except an error answer to an idempotent
call: that is discarded and the call retried while the retry budget allows it.
The budget also keeps nested calls from multiplying their retries at each
level.
"""

import math
import typing

from marjoramledge_core import _access
from marjoramledge_core import _commands
from marjoramledge_core import _confirmation_rounds
from marjoramledge_core import _dispatch
from marjoramledge_core import _events
from marjoramledge_core import _gate_handlers
from marjoramledge_core import _ids
from marjoramledge_core import _load
from marjoramledge_core import _lost_nodes
from marjoramledge_core import _manifest
from marjoramledge_core import _outcomes
from marjoramledge_core import _queue
from marjoramledge_core import _quota
from marjoramledge_core import _records
from marjoramledge_core import _reports
from marjoramledge_core import _rollout_calls
from marjoramledge_core import _settings
from marjoramledge_core import _state
from marjoramledge_core import _timers
from marjoramledge_core import _zone_measurements

# Mean Retry-After of a refusal: overload caused by a noisy neighbour or a
# restart typically ends within this time.
RETRY_AFTER_S: typing.Final = 0.7
# A hedge check finds out whether the server of a call has become slow.  These
# are fractions of a kind's latency target: time of the first check, interval
# between checks, and time after which a hedge would miss the target anyway.
FIRST_HEDGE_CHECK_FRACTION: typing.Final = 0.2
HEDGE_CHECK_PERIOD_FRACTION: typing.Final = 0.1
LAST_HEDGE_CHECK_FRACTION: typing.Final = 0.7

_UNANSWERED_PHASES: typing.Final = frozenset(
    {
        _state.CallPhase.ACCEPTED,
        _state.CallPhase.QUEUED,
        _state.CallPhase.SENT,
    }
)
_RETRY_AFTER_REASONS: typing.Final = frozenset(
    {
        _outcomes.Reason.NO_CONFIGURATION,
        _outcomes.Reason.OUTDATED_CONFIGURATION,
        _outcomes.Reason.UNPROVEN_CONFIGURATION,
        _outcomes.Reason.NO_SERVER,
        _outcomes.Reason.OVERLOADED,
        _outcomes.Reason.SERVER_LEAVING,
        _outcomes.Reason.OTHER_SERVICE,
        _outcomes.Reason.ZONE_CLOSED,
        _outcomes.Reason.DRAINED_BY_ORDER,
        _outcomes.Reason.NODE_STOPPING,
        _outcomes.Reason.NODE_FAULT,
        _outcomes.Reason.SERVER_REFUSED,
        _outcomes.Reason.SERVER_UNREACHABLE,
        _outcomes.Reason.PEER_UNREACHABLE,
    }
)
_BUSY_REASONS: typing.Final = frozenset({_outcomes.Reason.OVERLOADED})
# Reasons that indicate a fault of a server or its network, not mere load.
_FAULT_REASONS: typing.Final = frozenset(
    {
        _outcomes.Reason.SERVER_UNREACHABLE,
        _outcomes.Reason.PEER_UNREACHABLE,
        _outcomes.Reason.ANSWER_LOST,
        _outcomes.Reason.ANSWER_CUT_SHORT,
    }
)

# One in this many ordinary answers is recorded, as a baseline to compare slow
# and retried calls with.
ORDINARY_ANSWERS_PER_RECORD: typing.Final = 64


def accept_call(step: _state.Step, event: _events.CallArrived) -> None:
    """Accept a call and dispatch it, or refuse it on arrival."""
    configuration = step.state.versions.configuration
    if configuration is None:
        _refuse_on_arrival(step, event, _outcomes.Reason.NO_CONFIGURATION)
        return
    limit_s = step.state.options.outdated_limit_s
    if step.state.versions.is_outdated(limit_s, step.now):
        _refuse_on_arrival(
            step, event, _outcomes.Reason.OUTDATED_CONFIGURATION
        )
        return
    kind = configuration.find_kind(event.host, event.method, event.path)
    if kind is None:
        _refuse_on_arrival(step, event, _outcomes.Reason.UNKNOWN_SERVICE)
        return
    access = _access.authorize(step, event, kind)
    if access.reason is not None:
        _refuse_on_arrival(
            step,
            event,
            access.reason,
            kind=kind.name,
            detail=_confirmation_rounds.describe(step),
        )
        return
    quarantine_s = _gate_handlers.quarantine_left_s(step, event.fingerprint)
    if quarantine_s is not None:
        _refuse_on_arrival(
            step,
            event,
            _outcomes.Reason.QUARANTINED,
            kind=kind.name,
            retry_after_s=math.ceil(quarantine_s),
        )
        return
    deadline_s = kind.deadline_s
    if event.deadline_s is not None:
        deadline_s = min(deadline_s, event.deadline_s)
    if deadline_s <= 0.0:
        _refuse_on_arrival(
            step, event, _outcomes.Reason.DEADLINE_PASSED, kind=kind.name
        )
        return
    is_stop_known = step.state.stop_phase >= _state.StopPhase.CLOSED
    if is_stop_known and step.state.outlasts_stop(step.now + deadline_s):
        _refuse_on_arrival(
            step, event, _outcomes.Reason.NODE_STOPPING, kind=kind.name
        )
        return
    call = _build_call(step, event, access, deadline_s)
    step.state.calls[call.call] = call
    _set_timer(step, call, call.deadline_at, _timers.TimerKind.CALL_DEADLINE)
    workspace = access.limited_workspace
    if workspace is None:
        start_call(step, call)
        return
    decision = _quota.admit(step, call, workspace)
    if decision is not None:
        apply_decision(step, decision)


def apply_decision(step: _state.Step, decision: _quota.Decision) -> None:
    """Start or refuse a call when it is known if its limit allows it."""
    call = step.state.calls.get(decision.call)
    if call is None:
        return
    if decision.is_admitted:
        start_call(step, call)
        return
    _refuse(
        step,
        call,
        _outcomes.Reason.WORKSPACE_LIMIT,
        retry_after_s=decision.retry_after_s,
    )


def start_call(step: _state.Step, call: _state.Call) -> None:
    """Dispatch an accepted call for the first time, or refuse it."""
    kind = call.kind
    step.budget_of(call.service).earn()
    _rollout_calls.accept_call(step, call)
    if kind.hedging:
        hedge_s = _hedge_delay_s(step, kind)
        if kind.target_s is not None:
            hedge_s = min(hedge_s, FIRST_HEDGE_CHECK_FRACTION * kind.target_s)
        _set_timer(
            step, call, step.now + hedge_s, _timers.TimerKind.CALL_HEDGE
        )
    if not _dispatch.dispatch(step, call):
        _refuse(step, call, call.last_reason)


def _build_call(
    step: _state.Step,
    event: _events.CallArrived,
    access: _access.Access,
    deadline_s: float,
) -> _state.Call:
    """Build the record of a call that is accepted."""
    kind = access.kind
    target_at = math.inf
    if kind.target_s is not None:
        target_at = step.now + min(kind.target_s, deadline_s)
    return _state.Call(
        call=event.call,
        kind=kind,
        service=kind.pick_service(step.rng.random()),
        arrived_at=step.now,
        deadline_at=step.now + deadline_s,
        target_at=target_at,
        is_body_buffered=event.is_body_buffered,
        attempts={},
        tried=set(),
        faulty=set(),
        timers=[],
        fingerprint=event.fingerprint,
        request=event.request,
        workspace=access.workspace_name,
    )


def attempt_answered(
    step: _state.Step, event: _events.AttemptAnswered
) -> None:
    """Deliver the first answer to the caller and cancel other attempts."""
    call = step.state.calls.get(event.call)
    attempt = None if call is None else call.attempts.get(event.attempt)
    if call is None or attempt is None or not attempt.is_open:
        step.out.append(_commands.CancelAttempt(attempt=event.attempt))
        return
    _observe_version(step, attempt.server, event.config)
    attempt.server.note_answer_status(event.status)
    _note_answer(step, attempt.server, event.load, event.is_error)
    _rollout_calls.note_answered(step, attempt, is_error=event.is_error)
    if event.is_error and _retry_error(step, call, attempt):
        return
    step.state.answered_calls.note(call.fingerprint, step.now)
    _zone_measurements.note_answer(step, call, attempt)
    step.latency_of(call.kind).note(step.now - attempt.sent_at)
    call.advance(_state.CallPhase.ANSWERED)
    if event.is_error or _should_record_answer(step, call):
        _record(
            step,
            call,
            _records.RecordKind.CALL_ANSWERED,
            peer=attempt.server.node,
            detail=_describe_answer(step, call, is_error=event.is_error),
        )
    call.delivered = attempt
    for other in call.attempts.values():
        if other is not attempt:
            _dispatch.cancel(step, other)
    step.out.append(
        _commands.DeliverAnswer(
            call=call.call,
            attempt=attempt.attempt,
            kind=call.kind.name,
            deadline_at=call.deadline_at,
        )
    )


def attempt_failed(step: _state.Step, event: _events.AttemptFailed) -> None:
    """Close an attempt that got no answer, and retry the call if safe."""
    call = step.state.calls.get(event.call)
    attempt = None if call is None else call.attempts.get(event.attempt)
    if call is None or attempt is None or not attempt.is_open:
        return
    _observe_version(step, attempt.server, event.config)
    attempt.server.note_refusal_status(event.status, step.now)
    if event.reason is _outcomes.Reason.NOT_A_MEMBER:
        # A gate of an older build rejects an offer that is signed with it.
        attempt.server.note_answer_status(None)
    _note_report(step, attempt.server, event.load)
    if event.reason in _FAULT_REASONS:
        _note_fault(step, attempt.server)
    if event.run is _outcomes.RunState.MAY_HAVE_RUN:
        _rollout_calls.note_lost(step, attempt)
    call.is_body_consumed = call.is_body_consumed or event.is_body_consumed
    if not attempt.server.is_local and event.load is None:
        _lost_nodes.note_broken_connection(step, call, attempt, event)
    _handle_failure(step, call, attempt, event.run, event.reason)


def answer_lost(step: _state.Step, event: _events.AnswerLost) -> None:
    """Handle an answer that was aborted before any of it was forwarded."""
    call = step.state.calls.get(event.call)
    if call is None or call.delivered is None:
        return
    attempt = call.delivered
    call.delivered = None
    call.advance(_state.CallPhase.SENT)
    call.is_body_consumed = not call.is_body_buffered
    _rollout_calls.note_answer_lost(step, attempt)
    _note_fault(step, attempt.server)
    reason = _outcomes.Reason.ANSWER_CUT_SHORT
    if step.now >= call.deadline_at:
        reason = _outcomes.Reason.DEADLINE_PASSED
    _handle_failure(
        step, call, attempt, _outcomes.RunState.MAY_HAVE_RUN, reason
    )


def work_returned(
    step: _state.Step, work: _queue.Work, reason: _outcomes.Reason
) -> None:
    """Retry a call that the local gate returned without running it."""
    if work.call is None:
        raise AssertionError("work of a peer was returned to the local entry")
    call = step.state.calls.get(work.call)
    attempt = None if call is None else call.attempts.get(work.attempt)
    if call is None or attempt is None or not attempt.is_open:
        return
    _handle_failure(step, call, attempt, _outcomes.RunState.NOT_RUN, reason)


def call_ended(step: _state.Step, call_id: _ids.CallId) -> None:
    """Remove a call whose response is complete or was aborted."""
    call = _remove_call(step, call_id)
    if call is not None:
        _close_attempts(step, call)


def caller_disconnected(step: _state.Step, call_id: _ids.CallId) -> None:
    """Cancel all attempts of a call whose caller disconnected."""
    call = _remove_call(step, call_id)
    if call is not None:
        call.advance(_state.CallPhase.ABANDONED)
        for attempt in call.attempts.values():
            _dispatch.cancel(step, attempt)


def deadline_passed(step: _state.Step, call_id: _ids.CallId) -> None:
    """Cancel and refuse a call that has no answer by its deadline."""
    call = step.state.calls.get(call_id)
    if call is None or call.phase not in _UNANSWERED_PHASES:
        return
    for attempt in call.attempts.values():
        if attempt.is_open and not _dispatch.cancel(step, attempt):
            call.may_have_run = True
    _refuse(step, call, _outcomes.Reason.DEADLINE_PASSED)


def hedge_due(step: _state.Step, call_id: _ids.CallId) -> None:
    """Send a hedge for a slow idempotent call, or schedule another check."""
    call = step.state.calls.get(call_id)
    if call is None or call.phase is not _state.CallPhase.SENT:
        return
    if not call.is_body_buffered or not _may_retry(step, call):
        return
    if not _should_hedge(step, call):
        _schedule_hedge_check(step, call)
        return
    if not step.budget_of(call.service).spend():
        return
    server = _dispatch.select_server(step, call)
    if server is None or server.is_local:
        return
    _record(step, call, _records.RecordKind.CALL_HEDGED, peer=server.node)
    _dispatch.send(step, call, server, is_hedge=True)


def _should_hedge(step: _state.Step, call: _state.Call) -> bool:
    """Return whether a call is slow, or its server is slower than another."""
    attempts = [a for a in call.attempts.values() if a.is_open]
    if not attempts:
        return False
    if step.now - attempts[0].sent_at >= _hedge_delay_s(step, call.kind):
        return True
    other = _dispatch.select_server(step, call)
    if other is None:
        return False
    server = attempts[0].server
    if server.is_local:
        server.note_report(step.state.gate.report(step.now), step.now)
    return server.latency_s > _dispatch.SLOW_RATIO * other.latency_s


def _schedule_hedge_check(step: _state.Step, call: _state.Call) -> None:
    """Schedule the next hedge check, unless a hedge would be too late."""
    target_s = call.kind.target_s
    sent_at = min(attempt.sent_at for attempt in call.attempts.values())
    slow_at = sent_at + _hedge_delay_s(step, call.kind)
    at = slow_at
    if target_s is not None:
        elapsed_s = step.now - sent_at
        if elapsed_s < LAST_HEDGE_CHECK_FRACTION * target_s:
            at = min(at, step.now + HEDGE_CHECK_PERIOD_FRACTION * target_s)
    if at > step.now:
        _set_timer(step, call, at, _timers.TimerKind.CALL_HEDGE)


def _retry_error(
    step: _state.Step, call: _state.Call, attempt: _state.Attempt
) -> bool:
    """Retry a call that got an error answer; return False to deliver it.

    The error answer is discarded only when another server can be tried, or
    another attempt of the call is still open.
    """
    if not call.kind.idempotent or call.is_body_consumed:
        return False
    call.failed_runs += 1
    call.may_have_run = True
    has_time = (
        call.deadline_at - step.now > 2.0 * step.latency_of(call.kind).value_s
    )
    if (
        not has_time
        or not _may_retry(step, call, attempt)
        or _dispatch.select_server(step, call) is None
        or not step.budget_of(call.service).spend_on_error()
    ):
        return False
    _record(
        step,
        call,
        _records.RecordKind.CALL_RETRIED,
        peer=attempt.server.node,
        detail="error answer from backend server",
    )
    _dispatch.cancel(step, attempt)
    if any(other.is_open for other in call.attempts.values()):
        return True
    _redispatch(step, call)
    return True


def _may_retry(
    step: _state.Step,
    call: _state.Call,
    settled: _state.Attempt | None = None,
) -> bool:
    """Return whether another attempt of a call is allowed and safe.

    A call that is not idempotent is sent again only if no attempt can have
    run.  ``settled`` is the attempt whose outcome has just become known.
    """
    if (
        len(call.attempts) >= _dispatch.MAX_ATTEMPTS
        or step.now >= call.deadline_at
    ):
        return False
    if (
        call.is_body_consumed
        or _count_possible_runs(call, settled) >= call.kind.max_runs
    ):
        return False
    if call.kind.idempotent:
        return True
    # An open attempt may start to run at any moment, so a call that is not
    # idempotent must not be sent to a second server meanwhile.
    is_any_open = any(
        attempt.is_open and attempt is not settled
        for attempt in call.attempts.values()
    )
    return not call.may_have_run and not is_any_open


def _count_possible_runs(
    call: _state.Call, settled: _state.Attempt | None
) -> int:
    """Count the attempts that may have run, or may still run, at a server."""
    open_count = sum(
        attempt.is_open and attempt is not settled
        for attempt in call.attempts.values()
    )
    return call.failed_runs + open_count


def _handle_failure(
    step: _state.Step,
    call: _state.Call,
    attempt: _state.Attempt,
    run: _outcomes.RunState,
    reason: _outcomes.Reason,
) -> None:
    """Close a failed attempt; then retry the call if allowed, or refuse it."""
    call.last_reason = reason
    if reason not in _BUSY_REASONS:
        call.faulty.add(attempt.server.node)
    if run is _outcomes.RunState.MAY_HAVE_RUN:
        call.may_have_run = True
        call.failed_runs += 1
    is_other_open = any(
        other.is_open
        for other in call.attempts.values()
        if other is not attempt
    )
    if is_other_open:
        _dispatch.close(step, attempt)
        return
    # Each other gate would refuse a call under an outdated configuration.
    is_retried = (
        reason is not _outcomes.Reason.OUTDATED_CONFIGURATION
        and _may_retry(step, call, attempt)
        and _spend_retry_token(step, call, attempt, run)
    )
    _dispatch.close(step, attempt)
    if not is_retried:
        _refuse(step, call, reason)
        return
    _record(
        step,
        call,
        _records.RecordKind.CALL_RETRIED,
        peer=attempt.server.node,
        detail=reason.value,
    )
    _redispatch(step, call)


def _spend_retry_token(
    step: _state.Step,
    call: _state.Call,
    attempt: _state.Attempt,
    run: _outcomes.RunState,
) -> bool:
    """Charge the budget for a retry; return False if it is exhausted."""
    # Unlike a refusal by a gate, one by the server itself cost it work.
    is_free = call.last_reason is not _outcomes.Reason.SERVER_REFUSED
    budget = step.budget_of(call.service)
    if run is _outcomes.RunState.MAY_HAVE_RUN or not is_free:
        return budget.spend()
    if attempt.holds_reroute_token:
        attempt.holds_reroute_token = False
        return True
    return budget.spend_reroute()


def _set_timer(
    step: _state.Step,
    call: _state.Call,
    at: float,
    kind: _timers.TimerKind,
) -> None:
    call.timers.append(step.state.timers.set(at, kind, subject=call.call))


def _remove_call(
    step: _state.Step, call_id: _ids.CallId
) -> _state.Call | None:
    call = step.state.calls.pop(call_id, None)
    if call is not None:
        for timer in call.timers:
            timer.is_cancelled = True
    return call


def _close_attempts(step: _state.Step, call: _state.Call) -> None:
    for attempt in call.attempts.values():
        if attempt.is_open:
            if attempt is call.delivered:
                _dispatch.close(step, attempt)
            else:
                _dispatch.cancel(step, attempt)


def _redispatch(step: _state.Step, call: _state.Call) -> None:
    """Dispatch a call again after a failed attempt, or refuse it."""
    call.advance(_state.CallPhase.ACCEPTED)
    if not _dispatch.dispatch(step, call):
        _refuse(step, call, call.last_reason)


def _record(
    step: _state.Step,
    call: _state.Call,
    kind: _records.RecordKind,
    *,
    peer: _ids.NodeId = _ids.NO_NODE,
    detail: str = "",
) -> None:
    """Record a time line event about a call, with the call's identifiers."""
    step.record(
        kind,
        service=call.service,
        call=call.call,
        peer=peer,
        request=call.request,
        detail=detail,
    )


def _refuse(
    step: _state.Step,
    call: _state.Call,
    reason: _outcomes.Reason,
    *,
    retry_after_s: float | None = None,
) -> None:
    """Answer a call as refused, or as unknown if it may have run."""
    _remove_call(step, call.call)
    if call.may_have_run:
        call.advance(_state.CallPhase.UNKNOWN)
        run = _outcomes.RunState.MAY_HAVE_RUN
        kind = _records.RecordKind.CALL_UNKNOWN
    else:
        call.advance(_state.CallPhase.REFUSED)
        _quota.give_back(step, call)
        run = _outcomes.RunState.NOT_RUN
        kind = _records.RecordKind.CALL_REFUSED
    _record(
        step,
        call,
        kind,
        detail=f"{reason.value}; {_describe_call(step, call)}",
    )
    _send_refusal(
        step,
        call.call,
        reason,
        run,
        kind=call.kind.name,
        retry_after_s=retry_after_s,
    )


def _should_record_answer(step: _state.Step, call: _state.Call) -> bool:
    """Return whether to record an answer.

    Slow answers, those after several attempts or under an outdated
    configuration, and a sample of the others are recorded.
    """
    if len(call.attempts) > 1 or step.now > call.target_at:
        return True
    if step.state.versions.behind_s(step.now) > 0.0:
        return True
    step.state.ordinary_answers += 1
    return step.state.ordinary_answers % ORDINARY_ANSWERS_PER_RECORD == 0


def _describe_answer(
    step: _state.Step, call: _state.Call, *, is_error: bool
) -> str:
    outcome = "error answer from backend server; " if is_error else ""
    return outcome + _describe_call(step, call)


def _describe_call(step: _state.Step, call: _state.Call) -> str:
    """Describe a call for its record: attempts, servers, budget, version."""
    tried = ", ".join(
        f"{attempt.server.node} at {attempt.sent_at - call.arrived_at:.3f} s"
        f" (expected {attempt.expected_s:.3f} s,"
        f" {_describe_estimate_age(attempt)})"
        for attempt in call.attempts.values()
    )
    candidates = step.state.directory.candidates(call.service)
    free_count = sum(
        server.estimate_in_flight(step.now) < server.limit
        for server in candidates
    )
    return (
        f"kind {call.kind.name}, {step.now - call.arrived_at:.3f} s, "
        f"attempts [{tried}], {len(candidates)} candidate servers, "
        f"{free_count} below their limit, "
        f"{step.budget_of(call.service).tokens:.1f} retry tokens left, "
        f"configuration {step.state.versions.describe()}, "
        f"outdated for {step.state.versions.behind_s(step.now):.3f} s"
    )


def _describe_estimate_age(attempt: _state.Attempt) -> str:
    if attempt.estimate_age_s is None:
        return "no load report"
    return f"load reported {attempt.estimate_age_s:.3f} s ago"


def _refuse_on_arrival(
    step: _state.Step,
    event: _events.CallArrived,
    reason: _outcomes.Reason,
    *,
    kind: _ids.KindName | None = None,
    retry_after_s: float | None = None,
    detail: str = "",
) -> None:
    step.record(
        _records.RecordKind.CALL_REFUSED,
        call=event.call,
        request=event.request,
        detail=f"{reason.value}; {detail}" if detail else reason.value,
    )
    _send_refusal(
        step,
        event.call,
        reason,
        _outcomes.RunState.NOT_RUN,
        kind=kind,
        retry_after_s=retry_after_s,
    )


def _send_refusal(
    step: _state.Step,
    call: _ids.CallId,
    reason: _outcomes.Reason,
    run: _outcomes.RunState,
    *,
    kind: _ids.KindName | None,
    retry_after_s: float | None = None,
) -> None:
    if retry_after_s is None and reason in _RETRY_AFTER_REASONS:
        # Jitter keeps callers that were refused together from returning
        # together.
        retry_after_s = RETRY_AFTER_S * step.rng.uniform(0.5, 1.5)
    step.out.append(
        _commands.RefuseCall(
            call=call,
            kind=kind,
            reason=reason,
            run=run,
            retry_after_s=retry_after_s,
        )
    )


def _note_answer(
    step: _state.Step,
    server: _load.ServerLoad,
    report: _reports.LoadReport | None,
    is_error: bool,
) -> None:
    _note_report(step, server, report)
    if is_error:
        _note_fault(step, server)
    elif server.note_success(step.now):
        step.record(_records.RecordKind.PEER_READMITTED, peer=server.node)


def _note_report(
    step: _state.Step,
    server: _load.ServerLoad,
    report: _reports.LoadReport | None,
) -> None:
    if report is not None:
        server.note_report(report, step.now)


def _observe_version(
    step: _state.Step,
    server: _load.ServerLoad,
    known: _manifest.KnownVersion | None,
) -> None:
    """Handle the newer configuration version of a server's node."""
    if known is not None:
        step.state.versions.observe_version(
            known, server.address, step.now, step.out
        )


def _note_fault(step: _state.Step, server: _load.ServerLoad) -> None:
    if server.note_failure(step.now):
        step.record(
            _records.RecordKind.PEER_EJECTED,
            peer=server.node,
            detail=f"ejected for {server.ejected_until - step.now:.1f} s",
        )


def _hedge_delay_s(step: _state.Step, kind: _settings.RequestKind) -> float:
    quantile_s = step.latency_of(kind).value_s or kind.deadline_s
    return max(kind.hedge_after_s, quantile_s)
