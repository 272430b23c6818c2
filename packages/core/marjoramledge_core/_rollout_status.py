"""Description of roll-outs for operators."""

from marjoramledge_core import _rollout_orders
from marjoramledge_core import _state


def describe_rollouts(
    state: _state.NodeState, now: float
) -> list[dict[str, object]]:
    """Describe the known roll-outs, with the counts if this node decides."""
    table = state.rollouts
    return [
        {
            "service": rollout.service,
            "version": rollout.version,
            "order": rollout.order,
            "phase": rollout.phase.name.lower(),
            "is_stored": rollout.is_stored,
            "age_s": now - rollout.started_at,
            "reason": rollout.reason,
            "counts": _describe_counts(state, rollout),
        }
        for service in sorted(table.services())
        for rollout in table.states_of(service)
    ]


def _describe_counts(
    state: _state.NodeState, rollout: _rollout_orders.RolloutState
) -> list[str]:
    deciding = state.rollouts.deciding.get(rollout.key)
    if deciding is None:
        return []
    return [
        f"kind {kind}: old {_describe(counts.old)}, "
        f"new {_describe(counts.new)}"
        for kind, counts in sorted(deciding.ledger.totals.items())
    ]


def _describe(counts: _rollout_orders.ResponseCounts) -> str:
    return (
        f"{counts.responses} responses ({counts.failures} failed, "
        f"{counts.slow} slow)"
    )
