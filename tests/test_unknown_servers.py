"""Choice among many servers, most of which an entry has never used.

In a large fleet an entry receives load reports from its own zone only, so it
does not know the load of most servers in other zones.  If these looked faster
than the known ones, calls would leave their zone without need, and go to
servers of unknown load.
"""

import random

from marjoramledge_core import _directory
from marjoramledge_core import _gate
from marjoramledge_core import _reports
from marjoramledge_core import _routing
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders

SHOP = ids.ServiceName("shop")
RULES = """
[[kinds]]
name = "page"
service = "shop"
methods = ["GET"]
path = "/*"
idempotent = true
target_ms = 400
"""
NOW = 100.0


def _build_configuration() -> configuration.Configuration:
    return configuration.parse_documents(
        {"inventory.toml": builders.INVENTORY, "rules.toml": RULES}
    ).unwrap()


def _build_member(number: int, zone: str) -> node.Member:
    return node.Member(
        node=ids.NodeId(f"n{number}"),
        address=node.Address(host="127.0.0.1", port=7000 + number),
        zone=ids.ZoneName(zone),
        incarnation=1,
        status=node.MemberStatus.ALIVE,
        service=SHOP,
        server=node.ServerState.WARM,
        slots=5,
    )


def test_calls_do_not_leave_their_zone_for_servers_of_unknown_load() -> None:
    directory = _directory.Directory(
        node=ids.NodeId("entry"),
        zone=ids.ZoneName("north"),
        other_zone_cost_s=0.08,
    )
    members = [
        _build_member(n, "north" if n < 8 else "south") for n in range(24)
    ]
    directory.rebuild(members, _build_configuration())
    for number in range(8):
        # The typical time of a call, and two of five slots in use.
        directory.loads[ids.NodeId(f"n{number}")].note_report(
            _reports.LoadReport(in_flight=2, limit=5, service_s=0.13), NOW
        )
    rng = random.Random(1)
    chosen = [
        _routing.choose_server(directory.candidates(SHOP), (), NOW, rng)
        for _ in range(500)
    ]
    away = [s for s in chosen if s is not None and s.zone != "north"]
    assert not away


def test_a_gate_without_measurements_reports_the_expected_time() -> None:
    declared = _build_configuration()
    gate = _gate.Gate()
    gate.announce(builders.build_server(), NOW)
    gate.set_service(declared.services[SHOP], declared.expected_s(SHOP))
    assert gate.report(NOW).service_s == 0.3 * 0.4
