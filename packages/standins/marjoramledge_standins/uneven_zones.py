"""Runs a fleet whose zones have servers and callers in unlike proportions.

58 servers of two services are spread over three zones.  The zone with the
fewest servers of the first service has nearly half of its callers, so a part
of their calls has to leave the zone.  The load of each zone swings by half,
and each server is seven times slower for a quarter of its time.  Run as
``python -m marjoramledge_standins.uneven_zones --seed 1``.
"""

import collections.abc
import dataclasses
import statistics
import typing

from marjoramledge_core import node
import typer

from marjoramledge_standins import driver
from marjoramledge_standins import scenarios
from marjoramledge_standins import virtual_servers

DURATION_S: typing.Final = 17.0
CALLS_PER_S: typing.Final = 364.0
SLOTS: typing.Final = 9
ZONE_DELAY_S: typing.Final = 0.0045
# Bytes of a request and of an answer; the costs of crossing follow from them.
REQUEST_BYTES: typing.Final = 2_000
ANSWER_BYTES: typing.Final = 10_000
# Requests per second, over the whole run, that 1 MB between zones is worth.
REQUESTS_PER_S_OF_MB: typing.Final = 0.05

SHOP_SERVERS: typing.Final = {"a": 12, "b": 16, "c": 7}
STOCK_SERVERS: typing.Final = {"a": 5, "b": 7, "c": 11}
DEMANDS: typing.Final = (
    scenarios.ZoneDemand(zone="a", weight=88.0, swing=0.5, phase=0.1),
    scenarios.ZoneDemand(zone="b", weight=104.0, swing=0.5, phase=0.18),
    scenarios.ZoneDemand(zone="c", weight=172.0, swing=0.5, phase=0.26),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Kind:
    """A kind of request, as declared in the rules and sent by callers."""

    name: str
    method: str
    service: str
    deadline_s: float
    target_s: float
    demand_s: float
    share: float = 0.0
    inner: str | None = None
    inner_share: float = 0.0


_KINDS: typing.Final = (
    _Kind(
        name="browse",
        method="GET",
        service="shop",
        deadline_s=1.8,
        target_s=0.607,
        demand_s=0.190,
        share=0.54,
        inner="look",
        inner_share=0.8,
    ),
    _Kind(
        name="order",
        method="POST",
        service="shop",
        deadline_s=2.4,
        target_s=0.812,
        demand_s=0.250,
        share=0.25,
    ),
    _Kind(
        name="export",
        method="GET",
        service="stock",
        deadline_s=4.5,
        target_s=1.518,
        demand_s=0.470,
        share=0.21,
    ),
    _Kind(
        name="look",
        method="GET",
        service="stock",
        deadline_s=0.622,
        target_s=0.207,
        demand_s=0.055,
    ),
)
TARGETS_S: typing.Final = {kind.name: kind.target_s for kind in _KINDS}


def _build_documents() -> dict[str, str]:
    inventory = ['organisation = "atlas"']
    for service, servers in (("shop", SHOP_SERVERS), ("stock", STOCK_SERVERS)):
        inventory.append(
            f'[services.{service}]\nhosts = ["{service}.example"]\n'
            f"servers = {sum(servers.values())}\nslots = {SLOTS}\n"
            "connections = 1000\ncold_concurrency = 2"
        )
    inventory.extend(
        f'[zones.{zone}]\nregion = "isle"\ntakes_work = true'
        for zone in SHOP_SERVERS
    )
    rules = []
    for kind in _KINDS:
        is_idempotent = str(kind.method == "GET").lower()
        rules.append(
            f'[[kinds]]\nname = "{kind.name}"\nservice = "{kind.service}"\n'
            f'methods = ["{kind.method}"]\npath = "/{kind.name}"\n'
            f"deadline_ms = {round(1000 * kind.deadline_s)}\n"
            f"target_ms = {round(1000 * kind.target_s)}\n"
            f"idempotent = {is_idempotent}\nhedging = {is_idempotent}"
        )
    return {
        "inventory.toml": "\n".join(inventory),
        "rules.toml": "\n".join(rules),
    }


def _list_zones(servers: collections.abc.Mapping[str, int]) -> tuple[str, ...]:
    return tuple(zone for zone, count in servers.items() for _ in range(count))


def build_scenario(
    seed: int,
    *,
    options: node.Options,
    load: float = 1.0,
    duration_s: float = DURATION_S,
    demands: tuple[scenarios.ZoneDemand, ...] = DEMANDS,
    shop_servers: collections.abc.Mapping[str, int] = SHOP_SERVERS,
    lost_zone: str = "",
) -> scenarios.Scenario:
    """Build the scenario; ``load`` multiplies the arrivals."""
    shop, stock = _list_zones(shop_servers), _list_zones(STOCK_SERVERS)
    return scenarios.Scenario(
        documents=_build_documents(),
        host="shop.example",
        service="shop",
        server_services=("shop",) * len(shop) + ("stock",) * len(stock),
        server_zones=shop + stock,
        other_entry_zones=(),
        slots=SLOTS,
        zone_delay_s=ZONE_DELAY_S,
        mean_demand_s=0.190,
        mix=tuple(
            scenarios.CallMix(
                name=kind.name,
                method=kind.method,
                path=f"/{kind.name}",
                host=f"{kind.service}.example",
                share=kind.share,
                mean_demand_s=kind.demand_s,
                inner=kind.inner,
                inner_share=kind.inner_share,
                inner_calls=2,
                patience_s=kind.deadline_s * 2.0,
                is_idempotent=kind.method == "GET",
            )
            for kind in _KINDS
        ),
        calls_per_s=load * CALLS_PER_S,
        max_retries=1,
        duration_s=duration_s,
        seed=seed,
        noise=virtual_servers.Noise(
            quiet_s=1.5, burst_s=0.5, slowdown=7.0, is_fixed_at_start=True
        ),
        knee=virtual_servers.Knee(share=0.8, slowdown=1.7),
        reports_slowdown=True,
        options=options,
        zone_demands=demands,
        records_crossings=True,
        lost_zone=lost_zone,
        lost_from_s=duration_s / 3.0,
    )


def build_options(**overrides: typing.Any) -> node.Options:  # noqa: ANN401
    """Build options with the fixed cost of other zones, as deployed."""
    return node.Options(
        **{
            "stop_limit_s": 30.0,
            "repeats": node.FleetRetryBudget(ratio=0.2, slack=216.0),
            "other_zone_cost_s": 0.08,
            "other_zone_cost_share": 0.67,
            **overrides,
        }
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """What callers got, and what crossed between zones.

    ``gained`` and ``lost`` are the parts of the attempts that crossed and
    were sent to a better or worse server than the best at home, and
    ``stayed_worse`` the part of those that stayed although a server elsewhere
    would have been better by more than ``SMALL_GAIN`` of the time at the
    chosen one.
    """

    in_time: float
    in_time_per_s: float
    crossed: float
    crossed_mb: float
    gained: float
    lost: float
    stayed_worse: float
    worth_per_s: float
    in_time_of: dict[str, float]
    p50_ms: dict[str, float]
    p99_ms: dict[str, float]


SMALL_GAIN: typing.Final = 0.25


def summarize(
    result: scenarios.RunResult, duration_s: float = DURATION_S
) -> Summary:
    """Summarize a run."""
    outcomes: dict[str, list[scenarios.Outcome]] = {}
    for outcome in result.outcomes:
        outcomes.setdefault(outcome.kind, []).append(outcome)
    in_time_counts = {
        kind: sum(
            o.is_answered and o.latency_s <= TARGETS_S[kind] for o in listed
        )
        for kind, listed in outcomes.items()
    }
    answered = {
        kind: sorted(o.latency_s for o in listed if o.is_answered)
        for kind, listed in outcomes.items()
    }
    in_time = sum(in_time_counts.values())
    attempts = result.crossings
    crossed = [a for a in attempts if not a.is_home]
    stayed = [a for a in attempts if a.is_home]
    crossed_mb = len(crossed) * (REQUEST_BYTES + ANSWER_BYTES) / 1e6
    in_time_per_s = in_time / duration_s
    return Summary(
        in_time=in_time / result.arrivals,
        in_time_per_s=in_time_per_s,
        crossed=len(crossed) / len(attempts),
        crossed_mb=crossed_mb,
        gained=sum(a.sent_s < a.home_s for a in crossed) / len(attempts),
        lost=sum(a.sent_s >= a.home_s for a in crossed) / len(attempts),
        stayed_worse=sum(
            a.away_s < (1.0 - SMALL_GAIN) * a.sent_s for a in stayed
        )
        / len(attempts),
        worth_per_s=in_time_per_s - REQUESTS_PER_S_OF_MB * crossed_mb,
        in_time_of={
            kind: count / len(outcomes[kind])
            for kind, count in in_time_counts.items()
        },
        p50_ms={
            kind: 1000.0 * statistics.median(listed)
            for kind, listed in answered.items()
        },
        p99_ms={
            kind: 1000.0 * listed[int(0.99 * len(listed))]
            for kind, listed in answered.items()
        },
    )


def main(*, seed: int = 1, load: float = 1.0, overflow: bool = False) -> None:
    """Run the fleet, with or without overflow, and print a summary."""
    options = build_options(
        zone_overflow=node.ZoneOverflow() if overflow else None
    )
    scenario = build_scenario(seed, load=load, options=options)
    print(summarize(driver.run_scenario(scenario, driver.Policy.OURS)))


if __name__ == "__main__":
    typer.run(main)
