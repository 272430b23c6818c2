"""Measures tail latency over real processes, to check the emulation.

Five shopfront servers with bursts of a noisy neighbour at 80 % load are called
through the nodes and, for comparison, directly by round-robin.
"""

import asyncio
import typing

from marjoramledge_standins import demo
from marjoramledge_standins import deployment
from marjoramledge_standins import judgement
from marjoramledge_standins import measurement
from marjoramledge_standins import traffic
from marjoramledge_standins import virtual_servers

SERVICE_MS: typing.Final = 60.0
SLOTS: typing.Final = 12
# As in the emulated scenario, with all times scaled to the service time.
NOISE: typing.Final = virtual_servers.Noise(
    quiet_s=2.4, burst_s=0.6, slowdown=5.0
)
LOAD: typing.Final = 0.8
RUN_S: typing.Final = 25.0
WARM_UP_S: typing.Final = 4.0
ZONES: typing.Final = (
    "sapporo-a",
    "sapporo-a",
    "sapporo-b",
    "asahikawa",
    "obihiro",
)
PAGE: typing.Final = traffic.CallKind(
    name="catalogue-page",
    host="shopfront.kitabalcony.example",
    method="GET",
    path="/kits/7",
    weight=1.0,
)


async def run() -> list[measurement.Measure]:
    """Measure the p99 of calls through the nodes and by round-robin."""
    flags = (
        "--service-ms",
        str(SERVICE_MS),
        "--noise",
        str(NOISE.slowdown),
        "--quiet-s",
        str(NOISE.quiet_s),
        "--burst-s",
        str(NOISE.burst_s),
        "--cold-s",
        "0.2",
        # Load shedding by the servers would improve the round-robin figures.
        "--shed-above",
        "100000",
    )
    fleet = deployment.Deployment(
        plans=[
            deployment.VmPlan(
                name=f"shop-{number}",
                service="shopfront",
                zone=zone,
                slots=SLOTS,
                server_flags=flags,
            )
            for number, zone in enumerate(ZONES)
        ]
    )
    try:
        await fleet.start()
        await fleet.apply(demo.EXAMPLE)
        await asyncio.sleep(1.0)
        ours = await _call([vm.caller_url for vm in fleet.vms], 1)
        round_robin = await _call(
            [vm.server_url for vm in fleet.vms], 2, takes_turns=True
        )
        verdict = judgement.judge(ours, fleet.read_records())
    finally:
        await fleet.stop()
    ours_ms = traffic.percentile_ms(ours, 0.99)
    round_robin_ms = traffic.percentile_ms(round_robin, 0.99)
    return [
        measurement.Measure(
            name="tail_p99_vs_round_robin_processes",
            value=ours_ms / round_robin_ms,
            unit="ratio",
            bound=0.5,
            baseline=round_robin_ms,
            runs=len(ours),
        ),
        measurement.Measure(
            name="refused_share_processes",
            value=verdict.refused_not_run / verdict.calls,
            unit="share",
            bound=None,
            baseline=None,
            runs=len(ours),
        ),
    ]


async def _call(
    urls: list[str], seed: int, *, takes_turns: bool = False
) -> list[traffic.CallResult]:
    mean_s = SERVICE_MS / 1000 / NOISE.mean_speed
    callers = traffic.Callers(
        urls=urls,
        kinds=(PAGE,),
        calls_per_s=LOAD * SLOTS * len(ZONES) / mean_s,
        seed=seed,
        takes_turns=takes_turns,
    )
    callers.start()
    await asyncio.sleep(WARM_UP_S + RUN_S)
    await callers.stop()
    first_at = min(result.started_at for result in callers.results)
    return [
        result
        for result in callers.results
        if result.started_at >= first_at + WARM_UP_S
    ]
