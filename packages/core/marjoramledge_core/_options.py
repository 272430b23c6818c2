"""Options of a node's state machine, derived from its settings."""

import dataclasses
import typing

from marjoramledge_core import _budget
from marjoramledge_core import _quota_bound
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _zone_overflow

# About one round trip between zones.
DEFAULT_OTHER_ZONE_COST_S: typing.Final = 0.0025
# How long a stopping node keeps serving, so that every entry node learns that
# it is leaving and every caller is asked to close its connection.
DEFAULT_STOP_SPREAD_S: typing.Final = 1.5


# An accepted configuration is promised to be in force within a few seconds.
DEFAULT_OUTDATED_LIMIT_S: typing.Final = 4.0
DEFAULT_QUOTA_BOUND: typing.Final = _quota_bound.QuotaBound()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Options of the state machine.

    A node that stops keeps serving for ``stop_spread_s``, accepts new
    requests until no call runs but at most for ``stop_accept_s``, and waits
    for running calls until ``stop_limit_s``, all from the start of the stop.
    Once peers and callers know of the stop, after ``stop_spread_s``, it takes
    only calls whose deadline is within ``stop_limit_s``.
    With ``stop_keeps_server`` the backend server is used until
    ``stop_spread_s`` has passed, since it outlives its node.
    ``waits_for_version`` is true if the store supports reads that wait for a
    new version.  ``repeats`` is the retry budget of the whole fleet; without
    it each entry node has the default budget.  ``other_zone_cost_s`` is the
    extra wait that a call accepts before it is sent to another zone of the
    region; it accepts at least ``other_zone_cost_share`` times the service
    time of the other server.  With ``zone_overflow``, a share of the calls
    may leave the zone at the cost of the round trip only, and the others stay
    at their first attempt.  A node refuses calls while the fleet has known a
    newer configuration than its own for ``outdated_limit_s``.  It refuses
    requests with keys unless its configuration was the newest one
    ``revocation_limit_s`` ago or later; None means no bound.  Without
    ``rollouts``, orders of roll-outs are ignored.  ``quota`` is the bound on
    what workspaces may exceed their limits by.
    """

    stop_limit_s: float
    stop_spread_s: float = DEFAULT_STOP_SPREAD_S
    stop_accept_s: float = DEFAULT_STOP_SPREAD_S
    stop_keeps_server: bool = False
    repeats: _budget.FleetRetryBudget | None = None
    waits_for_version: bool = False
    other_zone_cost_s: float = DEFAULT_OTHER_ZONE_COST_S
    other_zone_cost_share: float = 0.0
    zone_overflow: _zone_overflow.ZoneOverflow | None = None
    outdated_limit_s: float = DEFAULT_OUTDATED_LIMIT_S
    revocation_limit_s: float | None = None
    rollouts: _rollout_orders.RolloutOptions | None = None
    quota: _quota_bound.QuotaBound = DEFAULT_QUOTA_BOUND
