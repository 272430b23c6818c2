"""Zones with unlike load, and calls that take long.

Callers and servers lie unevenly over the zones of a large fleet.  A call that
leaves its zone costs bytes between zones whatever it takes itself, so it has
to gain by that; but a zone must not wait beside an idle one.
"""

import collections
import random

from marjoramledge_core import _load
from marjoramledge_core import _reports
from marjoramledge_core import _routing
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import scenarios
from marjoramledge_standins import uneven_zones
from marjoramledge_standins import virtual_callers
import pytest

NOW = 100.0
SLOTS = 10
# As on the users' platform.
ZONE_COST_S = 0.08
ZONE_COST_SHARE = 0.67


def _build_server(
    number: int, zone: str, in_flight: int, service_s: float
) -> _load.ServerLoad:
    is_far = zone != "north"
    server = _load.ServerLoad(
        node=ids.NodeId(f"n{number}"),
        address=node.Address(host="127.0.0.1", port=7000 + number),
        zone=ids.ZoneName(zone),
        zone_cost_s=ZONE_COST_S if is_far else 0.0,
        zone_cost_share=ZONE_COST_SHARE if is_far else 0.0,
        slots=SLOTS,
    )
    server.note_report(
        _reports.LoadReport(
            in_flight=in_flight, limit=SLOTS, service_s=service_s
        ),
        NOW,
    )
    return server


def _share_sent_away(near_in_flight: int, service_s: float) -> float:
    """Return the share of calls that leave a zone for an idle one."""
    servers = [
        _build_server(number, "north", near_in_flight, service_s)
        for number in range(8)
    ] + [
        _build_server(number, "south", 0, service_s) for number in range(8, 16)
    ]
    rng = random.Random(1)
    count = 200
    chosen = [
        _routing.choose_server(servers, (), NOW, rng) for _ in range(count)
    ]
    away = [s for s in chosen if s is not None and s.zone != "north"]
    return len(away) / count


# Guards against calls that leave their zone to gain less than they cost: the
# accepted wait was the same for calls of 0.1 s and of 1 s.
@pytest.mark.parametrize("service_s", [0.1, 0.5, 1.0])
def test_calls_stay_in_a_zone_that_has_room(service_s: float) -> None:
    assert _share_sent_away(SLOTS * 6 // 10, service_s) == 0.0


# Guards against a zone that waits beside an idle one.
@pytest.mark.parametrize("service_s", [0.1, 0.5, 1.0])
def test_calls_leave_a_zone_that_is_full(service_s: float) -> None:
    assert _share_sent_away(SLOTS, service_s) > 0.9


# Guards against figures of an emulation that is not the one described: calls
# arrive in the zones' proportion, and swing.
def test_arrivals_follow_the_demand_of_each_zone() -> None:
    scenario = uneven_zones.build_scenario(
        1, options=uneven_zones.build_options()
    )
    period_s = uneven_zones.DURATION_S
    counts: collections.Counter[str] = collections.Counter()
    halves = [0, 0]
    entries = len(scenario.server_zones)
    for arrival in virtual_callers.draw_arrivals(scenario, entries):
        since_s = arrival.at - scenarios.START_S
        if since_s >= 0.0:
            counts[scenario.server_zones[arrival.entry]] += 1
            halves[since_s > period_s / 2.0] += 1
    for demand in scenario.zone_demands:
        expected = demand.weight * period_s
        assert counts[demand.zone] == pytest.approx(expected, rel=0.1)
    assert halves[0] > 1.2 * halves[1]
