"""The policy under load against naive ones, under virtual time.

Scenarios are the services of both deployments of the brief at full size.
Every policy meets the same arrivals, demands and disturbances.
"""

import collections.abc
import dataclasses
import pathlib
import statistics
import typing

from marjoramledge_core import configuration
from marjoramledge_standins import driver
from marjoramledge_standins import measurement

SEEDS: typing.Final = (1, 2, 3, 4, 5)
DURATION_S: typing.Final = 3.0
EXAMPLES: typing.Final = pathlib.Path("examples")

_SHOP_MIX: typing.Final = (
    driver.CallMix(
        name="place-order", method="POST", path="/orders", share=0.1
    ),
    driver.CallMix(
        name="order-status", method="GET", path="/orders/1", share=0.2
    ),
    driver.CallMix(
        name="catalogue-page", method="GET", path="/kits/1", share=0.5
    ),
    driver.CallMix(
        name="sales-export", method="GET", path="/exports/1", share=0.2
    ),
)
_PODANI_MIX: typing.Final = (
    driver.CallMix(
        name="submit-photograph", method="POST", path="/photographs", share=0.3
    ),
    driver.CallMix(
        name="submission-status",
        method="GET",
        path="/photographs/1",
        share=0.7,
    ),
)


def read_documents(example: str) -> collections.abc.Mapping[str, str]:
    """Read an example's documents."""
    return {
        name: (EXAMPLES / example / name).read_text()
        for name in configuration.FILE_NAMES
    }


def shopfront(seed: int, load: float) -> driver.Scenario:
    """Kitabalcony's shopfront: 5 servers, entered at all 9 nodes."""
    return driver.Scenario(
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
        mean_demand_s=0.01,
        mix=_SHOP_MIX,
        load=load,
        duration_s=DURATION_S,
        seed=seed,
    )


def podani(seed: int, load: float) -> driver.Scenario:
    """The Asociace's podani: 6 servers, entered at all 10 nodes."""
    return driver.Scenario(
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
        mean_demand_s=0.01,
        mix=_PODANI_MIX,
        load=load,
        duration_s=DURATION_S,
        seed=seed,
    )


def p99_ms(result: driver.RunResult, kind: str = "") -> float:
    """Compute the p99 of answered calls, of one kind or all, in ms."""
    return 1000 * measurement.quantile(
        (
            outcome.latency_s
            for outcome in result.outcomes
            if outcome.is_answered and kind in ("", outcome.kind)
        ),
        0.99,
    )


def p99_of(
    scenario: collections.abc.Callable[[int, float], driver.Scenario],
    load: float,
    policy: driver.Policy,
) -> list[float]:
    """Compute the p99 of each seed, in ms."""
    return [
        p99_ms(driver.run_scenario(scenario(seed, load), policy))
        for seed in SEEDS
    ]


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
        policy=driver.Policy.ALL_KNOWING,
        bound=1.25,
    ),
)


async def run() -> list[measurement.Measure]:
    """Measure the tail against the naive policies."""
    measures = []
    for scenario in (shopfront, podani):
        ours = p99_of(scenario, 0.8, driver.Policy.OURS)
        for comparison in _COMPARISONS:
            others = p99_of(scenario, 0.8, comparison.policy)
            ratios = [a / b for a, b in zip(ours, others, strict=True)]
            measures.append(
                measurement.Measure(
                    name=f"{comparison.name}_{scenario.__name__}",
                    value=statistics.median(ratios),
                    unit="ratio",
                    bound=comparison.bound,
                    baseline=statistics.median(others),
                    runs=len(SEEDS),
                )
            )
    return measures
