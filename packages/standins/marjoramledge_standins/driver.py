"""Runs scenarios under virtual time, with our nodes or baseline policies.

It runs the real cores of entry nodes and gates against emulated backend
servers, with a network delay between them.  The same arrivals and
disturbances are given to naive policies, and to an omniscient policy that
sees every queue at each instant and so marks the upper bound.
"""

import collections.abc
import enum
import functools
import random
import typing

from marjoramledge_standins import scenarios
from marjoramledge_standins import virtual_callers
from marjoramledge_standins import virtual_nodes
from marjoramledge_standins import virtual_servers
from marjoramledge_standins import virtual_world

COLD_START_S: typing.Final = 1.0

_Arrive = collections.abc.Callable[[virtual_callers.Arrival], None]


class Policy(enum.Enum):
    """The policy that chooses a backend server for a call."""

    OURS = "ours"
    ROUND_ROBIN = "round-robin"
    TWO_CHOICES = "two-choices"
    OMNISCIENT = "all-knowing"


def run_scenario(
    scenario: scenarios.Scenario, policy: Policy
) -> scenarios.RunResult:
    """Run a scenario under a policy."""
    world = virtual_world.World(scenario=scenario)
    if policy is Policy.OURS:
        nodes = virtual_nodes.Nodes(world=world)
        callers = virtual_callers.Callers(world=world, send=nodes.call)
        arrive: _Arrive = callers.arrive
    else:
        nodes = None
        arrive = _make_baseline(world, policy)
    arrivals = 0
    for arrival in virtual_callers.draw_arrivals(scenario, len(world.zones)):
        world.at(arrival.at, functools.partial(arrive, arrival))
        arrivals += arrival.at >= scenarios.START_S
    disturbed_at = scenarios.START_S + 0.3 * scenario.duration_s
    if scenario.restarts_cold:
        world.at(
            disturbed_at,
            lambda: world.servers[0].restart(world.now, COLD_START_S),
        )
    if scenario.loses_cache:
        world.at(
            disturbed_at,
            lambda: world.servers[0].go_cold(world.now, COLD_START_S),
        )
    if scenario.lost_zone:
        world.at(
            scenarios.START_S + scenario.lost_from_s,
            functools.partial(_lose_zone, world),
        )
    world.run(world.end_s)
    served_s = sum(server.served_s for server in world.servers)
    world.run(world.end_s + virtual_world.ANSWER_LIMIT_S)
    return scenarios.RunResult(
        arrivals=arrivals,
        outcomes=tuple(world.outcomes),
        overruns=sum(server.overruns for server in world.servers),
        served_s=served_s,
        probes=0 if nodes is None else nodes.probes,
        sent_to_servers=world.sent_to_servers,
        starts=tuple(map(tuple, world.starts)),
        offers=world.offers,
        crossings=tuple(world.crossings),
    )


def _lose_zone(world: virtual_world.World) -> None:
    """Abort what the servers of the lost zone run."""
    for number, server in enumerate(world.servers):
        if world.is_lost(number):
            server.restart(world.now, COLD_START_S)


def _make_baseline(world: virtual_world.World, policy: Policy) -> _Arrive:
    servers = world.servers
    count = len(servers)
    rng = random.Random(world.scenario.seed + 7)
    turns = [rng.randrange(count) for _ in world.zones]
    in_flight = [[0] * count for _ in world.zones]

    def choose(arrival: virtual_callers.Arrival) -> int:
        entry = arrival.entry
        if policy is Policy.ROUND_ROBIN:
            turns[entry] = (turns[entry] + 1) % count
            return turns[entry]
        if policy is Policy.TWO_CHOICES:
            pair = rng.sample(range(count), 2)
            return min(pair, key=lambda server: in_flight[entry][server])
        return min(
            range(count),
            key=lambda server: (
                servers[server].expected_finish_s(
                    world.now, world.scenario.mean_demand_s
                )
                + 2 * world.delay_s(entry, server)
            ),
        )

    def arrive(arrival: virtual_callers.Arrival) -> None:
        entry, server = arrival.entry, choose(arrival)
        in_flight[entry][server] += 1
        delay_s = world.delay_s(entry, server)

        def answer(end: virtual_servers.JobEnd) -> None:
            in_flight[entry][server] -= 1
            world.finish(
                arrival.mix.name,
                arrival.at,
                is_answered=end is virtual_servers.JobEnd.ANSWERED,
            )

        def serve() -> None:
            world.sent_to_servers += 1
            servers[server].submit(
                virtual_servers.Job(
                    demand_s=arrival.demand_s,
                    on_done=lambda end: world.after(
                        delay_s, lambda: answer(end)
                    ),
                ),
                world.now,
            )

        world.after(delay_s, serve)

    return arrive
