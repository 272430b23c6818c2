"""Measures the time to choose a server, at the fleet size in two years.

One real core holds 1,400 generated members in 190 services; the time covers
the whole handling of a call's arrival, of which the choice is a part.
"""

import random
import time
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node

from marjoramledge_standins import measurement

MEMBERS: typing.Final = 1400
SERVICES: typing.Final = 190
ZONES: typing.Final = 9
REGIONS: typing.Final = 3
CALLS: typing.Final = 20_000
BOUND_US: typing.Final = 50.0


def build_documents(
    services: int = SERVICES, kinds_per_service: int = 3
) -> dict[str, str]:
    """Generate documents of the fleet size expected in two years."""
    inventory = ['organisation = "large"']
    for zone in range(ZONES):
        inventory.append(
            f'[zones.z{zone}]\nregion = "r{zone % REGIONS}"\ntakes_work = true'
        )
    rules = []
    for service in range(services):
        inventory.append(
            f"[services.s{service}]\n"
            f'hosts = ["s{service}.example"]\n'
            "servers = 7\nslots = 12\nconnections = 220"
        )
        for kind in range(kinds_per_service):
            rules.append(
                f'[[kinds]]\nname = "k{service}-{kind}"\n'
                f'service = "s{service}"\nmethods = ["GET"]\n'
                f'path = "/k{kind}/*"\npriority = "normal"\n'
                "idempotent = true"
            )
    return {
        configuration.INVENTORY_FILE: "\n".join(inventory),
        configuration.RULES_FILE: "\n".join(rules),
    }


def build_members(
    count: int, services: int = SERVICES, zones: int = ZONES
) -> tuple[node.Member, ...]:
    """Generate members, distributed evenly over services and zones."""
    return tuple(
        node.Member(
            node=ids.NodeId(f"vm-{number:04}"),
            address=node.Address(
                host=f"10.{number // 250}.{number % 250}.1", port=8081
            ),
            zone=ids.ZoneName(f"z{number % zones}"),
            incarnation=1_796_000_000_000 + number,
            status=node.MemberStatus.ALIVE,
            service=ids.ServiceName(f"s{number % services}"),
            server=node.ServerState.WARM,
            slots=12,
        )
        for number in range(count)
    )


def build_state(
    members: tuple[node.Member, ...],
    declared: configuration.Configuration,
    rng: random.Random,
) -> node.NodeState:
    """Create a core that has a configuration and knows some members."""
    state = node.create_state(
        identity=node.Identity(
            node=ids.NodeId("self"),
            address=node.Address(host="10.99.0.1", port=8081),
            zone=ids.ZoneName("z0"),
            incarnation=1,
        ),
        seeds=(),
        options=node.Options(stop_limit_s=30.0),
        now=0.0,
    )
    ref = configuration.VersionRef(
        version=ids.ConfigVersion(1), digest=ids.Digest("d")
    )
    adopted = node.ManifestFetched(ref=ref, configuration=declared)
    node.handle(state, adopted, 0.0, rng)
    node.handle(state, node.MembersReceived(members=members), 0.0, rng)
    return state


def measure_choice() -> measurement.Measure:
    """Measure how long a core handles the arrival of a call."""
    rng = random.Random(1)
    declared = configuration.parse_documents(build_documents()).unwrap()
    state = build_state(build_members(MEMBERS), declared, rng)
    durations_us = []
    for number in range(CALLS):
        now = 1.0 + number * 0.001
        call = ids.CallId(f"c{number}")
        arrived = node.CallArrived(
            call=call,
            host=f"s{number % SERVICES}.example",
            method="GET",
            path="/k1/x",
            deadline_s=None,
            is_body_buffered=True,
            fingerprint=ids.Fingerprint(call),
        )
        began_at = time.perf_counter()
        commands = node.handle(state, arrived, now, rng)
        durations_us.append(1e6 * (time.perf_counter() - began_at))
        if not isinstance(commands[0], node.SendToPeer):
            raise AssertionError(f"no server was chosen: {commands}")
        answered = node.AttemptAnswered(
            call=call, attempt=commands[0].attempt, is_error=False, load=None
        )
        node.handle(state, answered, now, rng)
        node.handle(state, node.CallEnded(call=call), now, rng)
    return measurement.Measure(
        name="decision_us_p99",
        value=measurement.quantile(durations_us[100:], 0.99),
        unit="us",
        bound=BOUND_US,
        baseline=None,
        runs=CALLS,
    )
