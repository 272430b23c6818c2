"""Options of one node's decisions, as its settings give them."""

import dataclasses
import typing

from marjoramledge_core import _budget

# About the way there and back.
DEFAULT_OTHER_ZONE_COST_S: typing.Final = 0.0025
# How long a stopping node goes on serving, so that the news of its leaving
# reaches every entry and each caller's connection is told to close.
DEFAULT_STOP_SPREAD_S: typing.Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Options of the decisions.

    A planned stop goes on serving for ``stop_spread_s``, takes new requests
    until nothing runs but at most for ``stop_accept_s``, and waits until
    ``stop_limit_s`` for running calls; where ``stop_keeps_server`` holds,
    the backend server goes on being used until the spread is over, since it
    outlives its node.  ``waits_for_version`` tells that the store can wait
    for a change.  ``repeats`` is what the whole fleet
    may repeat; without it each entry has the usual budget.
    ``other_zone_cost_s`` is how long a call may wait rather than go to
    another zone of the region.
    """

    stop_limit_s: float
    stop_spread_s: float = DEFAULT_STOP_SPREAD_S
    stop_accept_s: float = DEFAULT_STOP_SPREAD_S
    stop_keeps_server: bool = False
    repeats: _budget.FleetRetryBudget | None = None
    waits_for_version: bool = False
    other_zone_cost_s: float = DEFAULT_OTHER_ZONE_COST_S
