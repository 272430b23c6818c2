"""Calls under a roll-out: their exposure, and samples of their attempts.

An entry bounds the share of its calls that it sends to the version under test,
and counts the responses of either version as evidence.
"""

import typing

from marjoramledge_core import _ids
from marjoramledge_core import _members
from marjoramledge_core import _rollout_deciders
from marjoramledge_core import _rollout_evidence
from marjoramledge_core import _rollout_exposure
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _rollout_state
from marjoramledge_core import _state

# States of servers that serve no more requests.
_GONE: typing.Final = frozenset(
    {_members.ServerState.ABSENT, _members.ServerState.DRAINING}
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
    if not _rollout_deciders.has_lease(step) or _is_overdue(step, routing.key):
        return
    candidates = step.state.directory.candidates(call.service)
    if any(server.version == routing.target for server in candidates):
        call.is_exposed = budget.spend(call.kind.name)


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
    attempt.answered_sample = sample


def note_answer_lost(step: _state.Step, attempt: _state.Attempt) -> None:
    """Count an answer that ended before any of it was forwarded."""
    sample, attempt.answered_sample = attempt.answered_sample, None
    if sample is not None:
        counts = _rollout_orders.ResponseCounts(responses=1, failures=1)
        _count(step, sample, counts)


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
