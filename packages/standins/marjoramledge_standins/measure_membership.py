"""Measures failure detection and the distribution of configuration.

At most 64 real cores run under virtual time with 1 % loss; the figure for
1,400 members is extrapolated linearly in the logarithm of the number of
members from 8, 16, 32 and 64.
"""

import concurrent.futures
import math
import statistics
import typing

from marjoramledge_core import node

from marjoramledge_standins import measure_choice
from marjoramledge_standins import measurement
from marjoramledge_standins import virtual_network

SIZES: typing.Final = (8, 16, 32, 64)
SEEDS: typing.Final = (1, 2, 3)
LOSS: typing.Final = 0.01
JOIN_S: typing.Final = 30.0
CHANGES: typing.Final = 10
KILLS: typing.Final = 8
KILL_PERIOD_S: typing.Final = 30.0
PAUSE_TEST_S: typing.Final = 400.0
PAUSE_S: typing.Final = 2.0
PAUSE_PERIOD_S: typing.Final = 20.0
OUTAGE_SIZE: typing.Final = 16
OUTAGE_S: typing.Final = 600.0
DAY_S: typing.Final = 86400.0
STEP_S: typing.Final = 0.05
MAX_PARALLEL: typing.Final = 6


async def run() -> list[measurement.Measure]:
    """Run all measurements of this module."""
    with concurrent.futures.ProcessPoolExecutor(MAX_PARALLEL) as pool:
        pairs = [(size, seed) for size in SIZES for seed in SEEDS]
        spreads = list(pool.map(_spread_changes, *zip(*pairs, strict=True)))
        detections = list(pool.map(_detect_failures, SEEDS))
        suspicions = list(pool.map(_count_false_suspicions, SEEDS))
        unserving = list(pool.map(_count_unserving_after_outage, SEEDS))
    largest = [
        max(
            seconds
            for (of, _), times in zip(pairs, spreads, strict=True)
            for seconds in times
            if of == size
        )
        for size in SIZES
    ]
    logs = [math.log2(size) for size in SIZES]
    slope, intercept = statistics.linear_regression(logs, largest)
    at_1400 = intercept + slope * math.log2(measure_choice.MEMBERS)
    times = [seconds for run in detections for seconds in run]
    trials = len(SEEDS) * CHANGES
    node_days = len(SEEDS) * SIZES[-1] * PAUSE_TEST_S / DAY_S
    return [
        *(
            measurement.make(
                f"config_in_force_s_{size}_cores", seconds, "s", 16.0, trials
            )
            for size, seconds in zip(SIZES, largest, strict=True)
        ),
        measurement.make(
            "config_in_force_1400_s",
            max(at_1400, largest[-1]),
            "s",
            16.0,
            trials * len(SIZES),
        ),
        measurement.make(
            "failure_detection_s",
            measurement.quantile(times, 0.99),
            "s",
            10.0,
            len(times),
        ),
        measurement.make(
            "outage_unserving_nodes",
            sum(unserving),
            "nodes",
            0,
            len(SEEDS) * OUTAGE_SIZE,
        ),
        measurement.make(
            "false_suspicions_per_node_day",
            sum(suspicions) / node_days,
            "1/day",
            1.0,
            len(SEEDS),
        ),
    ]


def _start(size: int, seed: int) -> virtual_network.Network:
    network = virtual_network.Network(count=size, seed=seed)
    network.store.accept(1)
    network.run(JOIN_S)
    if not network.is_agreed():
        raise AssertionError("the nodes did not discover each other")
    network.link.loss = LOSS
    return network


def _spread_changes(size: int, seed: int) -> list[float]:
    """Return the seconds until each change is in force on all nodes."""
    network = _start(size, seed)
    times = []
    for version in range(2, 2 + CHANGES):
        network.run(network.rng.uniform(1.0, 5.0))
        accepted_at = network.now
        network.store.accept(version)
        while network.versions() != {version}:
            network.run(STEP_S)
        times.append(network.now - accepted_at)
    return times


def _detect_failures(seed: int) -> list[float]:
    """Return the seconds until all nodes see each killed node as failed."""
    network = _start(SIZES[-1], seed)
    times = []
    for number in range(KILLS):
        network.kill(number)
        killed_at = network.now
        while not network.is_agreed():
            network.run(STEP_S)
        times.append(network.now - killed_at)
        network.run(max(0.0, killed_at + KILL_PERIOD_S - network.now))
    return times


def _count_false_suspicions(seed: int) -> int:
    """Count suspicions of running nodes while other nodes are paused."""
    network = _start(SIZES[-1], seed)
    first = len(network.records)
    pauses: list[tuple[str, float]] = []
    for number in range(int(PAUSE_TEST_S / PAUSE_PERIOD_S)):
        paused = number % SIZES[-1]
        pauses.append((f"n{paused}", network.now))
        network.pause(paused, PAUSE_S)
        network.run(PAUSE_PERIOD_S)
    suspected = {
        (record.peer, record.detail)
        for at, _, record in network.records[first:]
        if record.kind is node.RecordKind.MEMBER_SUSPECTED
        and not any(
            record.peer == name and since <= at < since + PAUSE_PERIOD_S
            for name, since in pauses
        )
    }
    return len(suspected)


def _count_unserving_after_outage(seed: int) -> int:
    """Count nodes that can't serve after ten minutes without the store.

    Two nodes restart in that time and have to get all state from their peers.
    """
    network = virtual_network.Network(
        count=OUTAGE_SIZE, seed=seed, uses_store=False
    )
    network.store.accept(1)
    network.run(JOIN_S)
    network.link.loss = LOSS
    network.store.is_up = False
    for number in (3, 9):
        network.kill(number)
        network.run(OUTAGE_S / 4)
        network.start(number, incarnation=2)
    network.run(OUTAGE_S / 2)
    members = len(network.nodes)
    return sum(
        state.versions.ref.version != 1
        or state.membership.present_count != members
        for state in network.nodes.values()
    )
