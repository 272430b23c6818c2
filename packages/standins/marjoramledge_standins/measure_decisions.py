"""Compares our policy under load with baseline ones, under virtual time.

The scenarios are the services of the two example deployments at full size.
Every policy meets the same arrivals, demands and disturbances.
"""

import collections.abc
import concurrent.futures
import dataclasses
import pathlib
import statistics
import typing

from marjoramledge_core import configuration

from marjoramledge_standins import driver
from marjoramledge_standins import measure_choice
from marjoramledge_standins import measure_retries
from marjoramledge_standins import measurement
from marjoramledge_standins import scenarios
from marjoramledge_standins import virtual_nodes
from marjoramledge_standins import virtual_world

SEEDS: typing.Final = (1, 2, 3, 4, 5)
DURATION_S: typing.Final = 3.0
MAX_PARALLEL: typing.Final = 6
EXAMPLES: typing.Final = pathlib.Path("examples")

_SHOP_MIX: typing.Final = (
    scenarios.CallMix(
        name="place-order", method="POST", path="/orders", share=0.1
    ),
    scenarios.CallMix(
        name="order-status", method="GET", path="/orders/1", share=0.2
    ),
    scenarios.CallMix(
        name="catalogue-page", method="GET", path="/kits/1", share=0.6
    ),
    scenarios.CallMix(
        name="sales-export", method="GET", path="/exports/1", share=0.1
    ),
)
_PODANI_MIX: typing.Final = (
    scenarios.CallMix(
        name="submit-photograph", method="POST", path="/photographs", share=0.3
    ),
    scenarios.CallMix(
        name="submission-status",
        method="GET",
        path="/photographs/1",
        share=0.7,
    ),
)


def read_documents(example: str) -> collections.abc.Mapping[str, str]:
    """Read the documents of an example deployment."""
    return {
        name: (EXAMPLES / example / name).read_text()
        for name in configuration.FILE_NAMES
    }


def shopfront(seed: int, load: float) -> scenarios.Scenario:
    """Build Kitabalcony's shopfront: 5 servers, calls enter at all 9 nodes."""
    return scenarios.Scenario(
        documents=read_documents("kitabalcony"),
        host="shopfront.kitabalcony.example",
        service="shopfront",
        server_zones=(
            "sapporo-a",
            "sapporo-a",
            "sapporo-b",
            "asahikawa",
            "obihiro",
        ),
        other_entry_zones=("sapporo-a", "sapporo-b", "asahikawa", "obihiro"),
        slots=12,
        zone_delay_s=0.001,
        mean_demand_s=0.005,
        mix=_SHOP_MIX,
        load=load,
        duration_s=DURATION_S,
        seed=seed,
    )


def podani(seed: int, load: float) -> scenarios.Scenario:
    """Build the Asociace's podani: 6 servers, calls enter at all 10 nodes."""
    return scenarios.Scenario(
        documents=read_documents("cloud-atlas"),
        host="podani.atlas.example",
        service="podani",
        server_zones=(
            "praha-a",
            "praha-a",
            "praha-b",
            "praha-b",
            "kladno",
            "beroun",
        ),
        other_entry_zones=("praha-a", "praha-b", "kladno", "beroun"),
        slots=9,
        zone_delay_s=0.0015,
        mean_demand_s=0.005,
        mix=_PODANI_MIX,
        load=load,
        duration_s=DURATION_S,
        seed=seed,
    )


def run_all(
    cases: collections.abc.Sequence[scenarios.Scenario],
    policy: driver.Policy,
) -> list[scenarios.RunResult]:
    """Run scenarios in parallel processes."""
    with concurrent.futures.ProcessPoolExecutor(MAX_PARALLEL) as pool:
        policies = [policy] * len(cases)
        return list(pool.map(driver.run_scenario, cases, policies))


def p99_ms(result: scenarios.RunResult, kind: str = "") -> float:
    """Compute the p99 of answered calls, of one kind or all, in ms."""
    return 1000 * measurement.quantile(
        (
            outcome.latency_s
            for outcome in result.outcomes
            if outcome.is_answered and kind in ("", outcome.kind)
        ),
        0.99,
    )


async def run() -> list[measurement.Measure]:
    """Run all measurements of this module."""
    measures = []
    for service, top_kind in (
        (shopfront, "place-order"),
        (podani, "submit-photograph"),
    ):
        name = service.__name__
        measures.extend(_compare_tails(service))
        measures.extend(_measure_overload(service, top_kind))
        measures.extend(_measure_cold(service))
        measures.extend(_measure_probes(service, name))
    measures.append(measure_retries.measure_amplification())
    measures.append(measure_choice.measure_choice())
    return measures


Service = collections.abc.Callable[[int, float], scenarios.Scenario]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Comparison:
    name: str
    policy: driver.Policy
    bound: float


_COMPARISONS: typing.Final = (
    _Comparison(
        name="tail_p99_vs_round_robin",
        policy=driver.Policy.ROUND_ROBIN,
        bound=0.50,
    ),
    _Comparison(
        name="tail_p99_vs_two_choices",
        policy=driver.Policy.TWO_CHOICES,
        bound=0.80,
    ),
    _Comparison(
        name="tail_p99_vs_all_knowing",
        policy=driver.Policy.OMNISCIENT,
        bound=1.25,
    ),
)


def _compare_tails(service: Service) -> list[measurement.Measure]:
    cases = [service(seed, 0.8) for seed in SEEDS]
    results = run_all(cases, driver.Policy.OURS)
    ours = [p99_ms(result) for result in results]
    measures = []
    for comparison in _COMPARISONS:
        others = [p99_ms(r) for r in run_all(cases, comparison.policy)]
        ratios = [a / b for a, b in zip(ours, others, strict=True)]
        measures.append(
            _measure(
                f"{comparison.name}_{service.__name__}",
                statistics.median(ratios),
                "ratio",
                comparison.bound,
                baseline=statistics.median(others),
            )
        )
    outcomes = [outcome for result in results for outcome in result.outcomes]
    refused = sum(not outcome.is_answered for outcome in outcomes)
    measures.append(
        _measure(
            f"refused_share_at_80_percent_{service.__name__}",
            refused / len(outcomes),
            "share",
            None,
        )
    )
    return measures


def _measure_overload(
    service: Service, top_kind: str
) -> list[measurement.Measure]:
    unloaded = run_all(
        [service(seed, 0.5) for seed in SEEDS], driver.Policy.OURS
    )
    cases = [service(seed, 2.0) for seed in SEEDS]
    overloaded = run_all(cases, driver.Policy.OURS)
    goodputs = [
        sum(outcome.is_answered for outcome in result.outcomes)
        / (scenario.capacity_per_s * scenario.duration_s)
        for scenario, result in zip(cases, overloaded, strict=True)
    ]
    ratios = [
        p99_ms(two, top_kind) / p99_ms(one, top_kind)
        for one, two in zip(unloaded, overloaded, strict=True)
    ]
    name = service.__name__
    return [
        _measure(
            f"goodput_at_200_percent_{name}",
            statistics.median(goodputs),
            "share",
            0.90,
        ),
        _measure(
            f"top_class_p99_at_200_percent_{name}",
            statistics.median(ratios),
            "ratio",
            2.0,
        ),
    ]


def _measure_cold(service: Service) -> list[measurement.Measure]:
    cases = [service(seed, 0.8) for seed in SEEDS]
    restarted = run_all(
        [dataclasses.replace(s, restarts_cold=True) for s in cases],
        driver.Policy.OURS,
    )
    cache_lost = run_all(
        [dataclasses.replace(s, loses_cache=True) for s in cases],
        driver.Policy.OURS,
    )
    name = service.__name__
    return [
        _measure(
            f"cold_overrun_calls_{name}",
            sum(result.overruns for result in restarted),
            "calls",
            0,
        ),
        # A lost cache becomes visible only by the first call that fails.
        _measure(
            f"cold_overrun_calls_without_any_sign_{name}",
            sum(result.overruns for result in cache_lost),
            "calls",
            None,
        ),
    ]


def _measure_probes(service: Service, name: str) -> list[measurement.Measure]:
    cases = [service(seed, 0.001) for seed in SEEDS]
    results = run_all(cases, driver.Policy.OURS)
    servers = len(cases[0].server_zones)
    watched_s = scenarios.START_S + DURATION_S + virtual_world.ANSWER_LIMIT_S
    probes_per_s = max(r.probes for r in results) / servers / watched_s
    return [
        _measure(
            f"measuring_calls_per_server_per_s_{name}",
            probes_per_s,
            "1/s",
            1.0,
        ),
        _measure(
            f"measuring_share_of_slots_{name}",
            probes_per_s * virtual_nodes.PROBE_DURATION_S / cases[0].slots,
            "share",
            0.001,
        ),
    ]


def _measure(
    name: str,
    value: float,
    unit: str,
    bound: float | None,
    baseline: float | None = None,
) -> measurement.Measure:
    return measurement.make(name, value, unit, bound, len(SEEDS), baseline)
