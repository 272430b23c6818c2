"""Measures the latency added to a call, and an idle node's memory and CPU.

A caller sends, in turn, directly to the backend server, through the node
beside it (one hop), through the node of another service (two hops) and through
a minimal proxy with the same library, so that other load on the machine
affects all of them alike.
"""

import asyncio
import time
import typing

import aiohttp
from marjoramledge_node import process

from marjoramledge_standins import demo
from marjoramledge_standins import deployment
from marjoramledge_standins import measurement

CALLS: typing.Final = 3000
WARM_UP_CALLS: typing.Final = 300
CALLS_PER_S_PER_NODE: typing.Final = 90.0
ADDED_BOUND_MS: typing.Final = 0.59
RSS_BOUND_MB: typing.Final = 64.0
IDLE_S: typing.Final = 10.0

_SHOP: typing.Final = "shopfront.kitabalcony.example"


async def run() -> list[measurement.Measure]:
    """Run the measurement on two VMs with Kitabalcony's configuration."""
    fleet = deployment.Deployment(
        plans=[_plan("shop", "shopfront"), _plan("advisor", "advisor")]
    )
    try:
        await fleet.start()
        await fleet.apply(demo.EXAMPLE)
        return await _measure(fleet)
    finally:
        await fleet.stop()


def _plan(name: str, service: str) -> deployment.VmPlan:
    return deployment.VmPlan(
        name=name,
        service=service,
        zone="sapporo-a",
        server_flags=("--service-ms", "0", "--cold-s", "0.1"),
    )


async def _measure(
    fleet: deployment.Deployment,
) -> list[measurement.Measure]:
    shop, advisor = fleet.vms
    if shop.node is None:
        raise AssertionError("the node was never started")
    pid = shop.node.pid
    idle_from_s = measurement.read_cpu_s(pid)
    await asyncio.sleep(IDLE_S)
    idle_share = (measurement.read_cpu_s(pid) - idle_from_s) / IDLE_S
    rss_mb = measurement.read_rss_mb(pid)
    bare_url = await fleet.start_bare_pass(shop.server_url)
    urls = [shop.server_url, bare_url, shop.caller_url, advisor.caller_url]
    loop = asyncio.get_running_loop()
    # The caller gets an event loop of the kind that nodes use, so that it adds
    # little latency.
    times = await loop.run_in_executor(None, _call_in_turn, urls)
    direct, bare, one_hop, two_hops = times
    return [
        _added("added_latency_p50_one_hop", 0.5, direct, bare, one_hop),
        _added("added_latency_p99_one_hop", 0.99, direct, bare, one_hop),
        _added("added_latency_p50_two_hops", 0.5, direct, bare, two_hops),
        _added("added_latency_p99_two_hops", 0.99, direct, bare, two_hops),
        measurement.Measure(
            name="node_rss_mb",
            value=rss_mb,
            unit="MB",
            bound=RSS_BOUND_MB,
            baseline=None,
            runs=1,
        ),
        measurement.Measure(
            name="idle_cpu_share",
            value=idle_share,
            unit="cores",
            bound=0.016,
            baseline=None,
            runs=1,
        ),
    ]


def _added(
    name: str,
    share: float,
    direct: list[float],
    bare: list[float],
    through: list[float],
) -> measurement.Measure:
    """Compute the latency that nodes add to direct calls, at a quantile.

    The baseline is the latency that the minimal proxy adds.
    """
    without_s = measurement.quantile(direct, share)
    return measurement.Measure(
        name=name,
        value=measurement.quantile(through, share) - without_s,
        unit="ms",
        bound=ADDED_BOUND_MS,
        baseline=measurement.quantile(bare, share) - without_s,
        runs=len(through),
    )


def _call_in_turn(urls: list[str]) -> list[list[float]]:
    with asyncio.Runner(loop_factory=process.new_event_loop) as runner:
        return runner.run(_call_each(urls))


async def _call_each(urls: list[str]) -> list[list[float]]:
    times: list[list[float]] = [[] for _ in urls]
    period_s = 1 / CALLS_PER_S_PER_NODE / len(urls)
    async with aiohttp.ClientSession() as session:
        next_at = time.perf_counter()
        for number in range(WARM_UP_CALLS + CALLS):
            for url, latencies_ms in zip(urls, times, strict=True):
                next_at += period_s
                await asyncio.sleep(max(0.0, next_at - time.perf_counter()))
                elapsed_ms = await _call(session, url)
                if number >= WARM_UP_CALLS:
                    latencies_ms.append(elapsed_ms)
    return times


async def _call(session: aiohttp.ClientSession, url: str) -> float:
    began_at = time.perf_counter()
    async with session.get(
        f"{url}/kits/1", headers={"Host": _SHOP}
    ) as response:
        await response.read()
        if response.status != 200:
            raise AssertionError(f"status {response.status}")
    return 1000 * (time.perf_counter() - began_at)
