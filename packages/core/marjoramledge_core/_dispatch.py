"""Dispatch of a call: selects the next server and sends an attempt to it.

Sits between ``_calls``, which decides that a call is to be sent, and
``_routing``, which chooses among servers.  The local server is preferred when
it has room and is not slow, since it costs no second hop.  A busy gate
refuses an attempt early if the call has other servers to try, and queues the
last attempt.  An entry of a large fleet has current load figures of few
servers, so a call finds room by trying one gate after another: a refusal
takes milliseconds, a wait for a slot tenths of a second.
"""

import typing

from marjoramledge_core import _commands
from marjoramledge_core import _directory
from marjoramledge_core import _gate
from marjoramledge_core import _gate_handlers
from marjoramledge_core import _ids
from marjoramledge_core import _load
from marjoramledge_core import _outcomes
from marjoramledge_core import _records
from marjoramledge_core import _rollout_calls
from marjoramledge_core import _routing
from marjoramledge_core import _state
from marjoramledge_core import _zone_overflow

# With three of four servers full, nine of ten calls find room within eight
# attempts; the remaining calls queue.
MAX_ATTEMPTS: typing.Final = 10
# From this attempt on, counted from one, a busy gate queues the call.
FIRST_QUEUEING_ATTEMPT: typing.Final = 9
# The local server is not preferred while its calls take more than this many
# times their typical time.  A server that is slower than another by more than
# this ratio justifies a hedge.
SLOW_RATIO: typing.Final = 2.0


def dispatch(step: _state.Step, call: _state.Call) -> bool:
    """Send a call to the next server; return False if none is left to try."""
    while True:
        server = select_server(step, call)
        if server is None:
            return False
        if send(step, call, server):
            return True
        call.last_reason = _outcomes.Reason.OVERLOADED
        if len(call.attempts) >= MAX_ATTEMPTS:
            return False


def select_server(
    step: _state.Step, call: _state.Call
) -> _load.ServerLoad | None:
    """Select the next server for a call, or None if none is left."""
    state = step.state
    directory = _refresh_directory(step)
    gate = state.gate
    groups = _rollout_calls.split_servers(
        step, call, directory.candidates(call.service)
    )
    local = directory.loads.get(state.node)
    if (
        local is not None
        and gate.server is not None
        and gate.server.service == call.service
        and local.node not in call.tried
        and any(server is local for server in groups[0])
        and _gate_handlers.reason_to_refuse(step) is None
    ):
        report = gate.report(step.now)
        local.note_report(report, step.now)
        local.paused_until = step.now + gate.rate_wait_s(step.now)
        is_slow = report.service_s > SLOW_RATIO * gate.typical_service_s
        if (
            gate.has_capacity(step.now)
            and not is_slow
            and not local.is_ejected(step.now)
        ):
            return local
    excluded = call.tried
    if len(call.attempts) + 1 >= FIRST_QUEUEING_ATTEMPT:
        # The attempt may queue, and a gate that refused the call before may
        # have the shortest queue now: exclude only faulty servers.
        excluded = call.faulty
    offer = _draw_offer(step, call)
    for servers in groups:
        server = _routing.choose_server(
            servers, excluded, step.now, step.rng, offer
        )
        if server is not None:
            return server
    return None


def _draw_offer(
    step: _state.Step, call: _state.Call
) -> _zone_overflow.Offer | None:
    """Draw the zone that a call may use, if overflow is enabled.

    Only the first attempt follows the shares.  Once a gate has refused a
    call, or a hedge is sent, any zone is better than the one that failed it.
    """
    options = step.state.options.zone_overflow
    if options is None or call.attempts:
        return None
    overflow = step.state.zone_overflow
    changes = overflow.update(
        call.service,
        step.state.directory.candidates(call.service),
        options,
        step.now,
    )
    for change in changes:
        step.record(
            _records.RecordKind.ZONE_SHARE_CHANGED,
            service=call.service,
            detail=change.detail,
        )
    return overflow.draw(call.service, options, step.rng)


def send(
    step: _state.Step,
    call: _state.Call,
    server: _load.ServerLoad,
    *,
    is_hedge: bool = False,
) -> bool:
    """Send a call to a server; return False if the local gate refuses it."""
    attempt_id = _ids.AttemptId(f"{call.call}.{len(call.attempts)}")
    prefers_queueing = _should_queue(step, call, server)
    attempt = _state.Attempt(
        attempt=attempt_id,
        server=server,
        sent_at=step.now,
        service=call.service,
        holds_reroute_token=not prefers_queueing,
        expected_s=server.latency_s,
        estimate_age_s=server.report_age_s(step.now),
    )
    _rollout_calls.note_sent(step, call, attempt)
    call.attempts[attempt_id] = attempt
    call.tried.add(server.node)
    server.start_call()
    if not server.is_local:
        call.advance(_state.CallPhase.SENT)
        step.out.append(
            _commands.SendToPeer(
                call=call.call,
                attempt=attempt_id,
                node=server.node,
                address=server.address,
                service=call.service,
                kind=call.kind,
                deadline_at=call.deadline_at,
                target_at=call.target_at,
                is_hedge=is_hedge,
                prefers_queueing=prefers_queueing,
                status=server.status,
                workspace=call.workspace,
            )
        )
        return True
    admission = _gate_handlers.offer_local(
        step, call, attempt_id, prefers_queueing=prefers_queueing
    )
    if admission is _gate.Admission.REFUSED:
        close(step, attempt)
        return False
    if admission is _gate.Admission.QUEUED:
        call.advance(_state.CallPhase.QUEUED)
    return True


def cancel(step: _state.Step, attempt: _state.Attempt) -> bool:
    """Cancel an open attempt; return whether it certainly has not run."""
    if not attempt.is_open:
        return False
    _rollout_calls.note_cancelled(step, attempt)
    close(step, attempt)
    if attempt.server.is_local and step.state.gate.abandon(attempt.attempt):
        return True
    step.out.append(_commands.CancelAttempt(attempt=attempt.attempt))
    return False


def close(step: _state.Step, attempt: _state.Attempt) -> None:
    """Close an attempt and refund its reroute token if it was not used."""
    attempt.is_open = False
    attempt.server.end_call()
    if attempt.holds_reroute_token:
        attempt.holds_reroute_token = False
        step.budget_of(attempt.service).refund_reroute()


def _should_queue(
    step: _state.Step, call: _state.Call, server: _load.ServerLoad
) -> bool:
    """Return whether the next attempt should queue rather than be refused.

    If not, a reroute token has been spent for it in advance, so that the call
    can be sent to another server when this one refuses it.
    """
    if len(call.attempts) + 1 >= FIRST_QUEUEING_ATTEMPT:
        return True
    groups = _rollout_calls.split_servers(
        step, call, step.state.directory.candidates(call.service)
    )
    # A call that may leave its group for another one should not do so for a
    # short queue: the old servers of a promoted version are about to stop.
    candidates = next(
        (group for group in groups if any(other is server for other in group)),
        (),
    )
    if all(
        other is server or other.node in call.tried for other in candidates
    ):
        return True
    return not step.budget_of(call.service).spend_reroute()


def _refresh_directory(step: _state.Step) -> _directory.Directory:
    state = step.state
    revision = (state.membership.revision, state.versions.ref.version)
    configuration = state.versions.configuration
    if revision != state.directory_revision and configuration is not None:
        state.directory_revision = revision
        state.directory.rebuild(
            state.membership.members.values(), configuration
        )
    return state.directory
