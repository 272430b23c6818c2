"""Compares policies over fault patterns and loads, in one table.

Runs the real cores and baseline policies under virtual time against emulated
backend servers on shared VMs, and reports for each the share of calls
answered within their latency target.  Run as
``python -m marjoramledge_standins.experiment --load 0.5``; ``make plots``
plots the results.
"""

import collections.abc
import concurrent.futures
import dataclasses
import statistics
import typing

import typer

from marjoramledge_standins import driver
from marjoramledge_standins import scenarios
from marjoramledge_standins import virtual_servers

TARGET_S: typing.Final = 0.4
DEMAND_S: typing.Final = 0.12
DURATION_S: typing.Final = 12.0
DEFAULT_LOADS: typing.Final = (0.3, 0.5, 0.7)
ZONES: typing.Final = ("north", "south", "west")
SERVERS_PER_ZONE: typing.Final = 4
PROCESSES: typing.Final = 4

_INVENTORY: typing.Final = """
organisation = "experiment"
[services.shop]
hosts = ["shop.example"]
servers = 12
slots = 5
connections = 200
cold_concurrency = 2
""" + "".join(
    f'[zones.{zone}]\nregion = "isle"\ntakes_work = true\n' for zone in ZONES
)
_RULES: typing.Final = """
[[kinds]]
name = "page"
service = "shop"
methods = ["GET"]
path = "/pages/*"
idempotent = true
hedging = true
deadline_ms = 1000
target_ms = 400
[[kinds]]
name = "order"
service = "shop"
methods = ["POST"]
path = "/orders"
priority = "high"
idempotent = false
deadline_ms = 1200
target_ms = 400
"""
# A noisy neighbour that takes most of the VM for a quarter of the time.
_NOISE: typing.Final = virtual_servers.Noise(
    quiet_s=0.375, burst_s=0.125, slowdown=7.0
)
_FAULT_INTERVAL: typing.Final = {
    "from_s": scenarios.START_S + 0.25 * DURATION_S,
    "until_s": scenarios.START_S + 0.75 * DURATION_S,
}

Pattern = collections.abc.Callable[[scenarios.Scenario], scenarios.Scenario]


def _replace_fields(**fields: typing.Any) -> Pattern:  # noqa: ANN401
    return lambda scenario: dataclasses.replace(scenario, **fields)


PATTERNS: typing.Final[collections.abc.Mapping[str, Pattern]] = {
    "noisy": _replace_fields(),
    "noisy, told": _replace_fields(reports_slowdown=True),
    "slow without telling": _replace_fields(
        reports_slowdown=True, straggler=True
    ),
    "resets": _replace_fields(
        reports_slowdown=True,
        grey=virtual_servers.GreyFaults(resets=0.4, **_FAULT_INTERVAL),
    ),
    "hangs": _replace_fields(
        reports_slowdown=True,
        grey=virtual_servers.GreyFaults(hangs=0.4, **_FAULT_INTERVAL),
    ),
    "cold": _replace_fields(reports_slowdown=True, restarts_cold=True),
    "knee": _replace_fields(
        reports_slowdown=True,
        knee=virtual_servers.Knee(share=0.8, slowdown=1.7),
    ),
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """Medians over the seeds for one pattern, load and policy."""

    pattern: str
    load: float
    policy: driver.Policy
    in_target: float
    failed: float
    p50_ms: float
    p99_ms: float


def build_scenario(pattern: str, load: float, seed: int) -> scenarios.Scenario:
    """Build the scenario of a pattern at a load."""
    base = scenarios.Scenario(
        documents={"inventory.toml": _INVENTORY, "rules.toml": _RULES},
        host="shop.example",
        service="shop",
        server_zones=ZONES * SERVERS_PER_ZONE,
        other_entry_zones=ZONES,
        slots=5,
        zone_delay_s=0.001,
        mean_demand_s=DEMAND_S,
        mix=(
            scenarios.CallMix(
                name="page", method="GET", path="/pages/1", share=0.7
            ),
            scenarios.CallMix(
                name="order", method="POST", path="/orders", share=0.3
            ),
        ),
        load=load,
        duration_s=DURATION_S,
        seed=seed,
        noise=_NOISE,
    )
    return PATTERNS[pattern](base)


def run_pattern(
    pattern: str,
    load: float,
    policy: driver.Policy,
    seeds: collections.abc.Iterable[int],
) -> Row:
    """Run one pattern at one load under one policy."""
    results = [
        driver.run_scenario(build_scenario(pattern, load, seed), policy)
        for seed in seeds
    ]
    return Row(
        pattern=pattern,
        load=load,
        policy=policy,
        in_target=statistics.median(map(share_in_target, results)),
        failed=statistics.median(map(_share_failed, results)),
        p50_ms=statistics.median(_quantile_ms(r, 0.5) for r in results),
        p99_ms=statistics.median(_quantile_ms(r, 0.99) for r in results),
    )


def share_in_target(result: scenarios.RunResult) -> float:
    """Return the share of calls answered within the latency target."""
    good = sum(
        outcome.is_answered and outcome.latency_s <= TARGET_S
        for outcome in result.outcomes
    )
    return good / result.arrivals


def _share_failed(result: scenarios.RunResult) -> float:
    # A call that hangs for ever has no outcome.
    answered = sum(outcome.is_answered for outcome in result.outcomes)
    return 1.0 - answered / result.arrivals


def _quantile_ms(result: scenarios.RunResult, share: float) -> float:
    times = sorted(o.latency_s for o in result.outcomes if o.is_answered)
    return 1000 * times[int(share * (len(times) - 1))] if times else 0.0


def format_table(rows: collections.abc.Iterable[Row]) -> str:
    """Format rows as a Markdown table."""
    lines = [
        "| pattern | load | policy | in target | failed | p50 ms | p99 ms |",
        "|---|---|---|---|---|---|---|",
    ]
    lines.extend(
        f"| {row.pattern} | {row.load:g} | {row.policy.value} "
        f"| {row.in_target:.3f} | {row.failed:.3f} "
        f"| {row.p50_ms:.0f} | {row.p99_ms:.0f} |"
        for row in rows
    )
    return "\n".join(lines)


def run_all(
    patterns: collections.abc.Iterable[str],
    loads: collections.abc.Iterable[float],
    seeds: int,
) -> list[Row]:
    """Run all combinations in parallel processes."""
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        futures = [
            pool.submit(run_pattern, name, load, policy, range(1, seeds + 1))
            for name in patterns
            for load in loads
            for policy in driver.Policy
        ]
        return [future.result() for future in futures]


def main(
    *,
    pattern: typing.Annotated[list[str] | None, typer.Option()] = None,
    load: typing.Annotated[list[float] | None, typer.Option()] = None,
    seeds: int = 3,
) -> None:
    """Run all patterns, or those named, and print the table."""
    patterns = pattern or list(PATTERNS)
    unknown = sorted(set(patterns) - PATTERNS.keys())
    if unknown:
        allowed = ", ".join(PATTERNS)
        raise typer.BadParameter(
            f"unknown patterns {unknown}; known are: {allowed}"
        )
    print(format_table(run_all(patterns, load or DEFAULT_LOADS, seeds)))


if __name__ == "__main__":
    typer.run(main)
