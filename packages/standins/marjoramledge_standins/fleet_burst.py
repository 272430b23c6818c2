"""Runs a large fleet through a burst of load, as seen by its callers.

88 servers of two services are spread over five zones; requests of one service
call the other; VMs are slowed by noisy neighbours at random times; refused
callers retry.  The arrival rate rises for some seconds and falls back.  The
report gives, per second of arrival, the share of callers answered within the
target latency of their kind, counted from their first call.  Run as
``python -m marjoramledge_standins.fleet_burst --seed 1``.
"""

import collections
import collections.abc
import dataclasses
import typing

from marjoramledge_core import node
import typer

from marjoramledge_standins import driver
from marjoramledge_standins import scenarios
from marjoramledge_standins import virtual_servers

DURATION_S: typing.Final = 15.0
BURST: typing.Final = scenarios.Burst(from_s=2.4, until_s=7.4, factor=1.4)
CALLS_PER_S: typing.Final = 494.0
MAX_RETRIES: typing.Final = 2
WINDOW_S: typing.Final = 1.0
LATE_VALUE: typing.Final = 0.1
BROWSE: typing.Final = "browse"

# Number of servers of each service per zone.
_PORTAL_SERVERS: typing.Final = {
    "north": 11,
    "east": 10,
    "south": 11,
    "west": 9,
    "far": 9,
}
_CATALOGUE_SERVERS: typing.Final = {
    "north": 8,
    "east": 8,
    "south": 7,
    "west": 7,
    "far": 8,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Kind:
    """A kind of request, as declared in the rules and as sent by callers."""

    name: str
    method: str
    path: str
    service: str
    priority: str
    deadline_s: float
    target_s: float
    demand_s: float
    patience_s: float
    share: float = 0.0
    inner: str | None = None
    inner_share: float = 0.0


_KINDS: typing.Final = (
    _Kind(
        name=BROWSE,
        method="GET",
        path="/plates",
        service="portal",
        priority="normal",
        deadline_s=1.2,
        target_s=0.419,
        demand_s=0.150,
        patience_s=2.6,
        share=5.1,
        inner="index",
        inner_share=0.7,
    ),
    _Kind(
        name="approve",
        method="POST",
        path="/entries",
        service="portal",
        priority="high",
        deadline_s=2.0,
        target_s=0.522,
        demand_s=0.190,
        patience_s=4.1,
        share=2.2,
    ),
    _Kind(
        name="export",
        method="GET",
        path="/exports",
        service="catalogue",
        priority="normal",
        deadline_s=3.0,
        target_s=1.019,
        demand_s=0.370,
        patience_s=6.1,
        share=2.1,
    ),
    _Kind(
        name="check",
        method="GET",
        path="/checks",
        service="catalogue",
        priority="high",
        deadline_s=0.8,
        target_s=0.219,
        demand_s=0.059,
        patience_s=1.6,
        share=1.6,
    ),
    _Kind(
        name="index",
        method="GET",
        path="/index",
        service="catalogue",
        priority="high",
        deadline_s=0.43,
        target_s=0.128,
        demand_s=0.037,
        patience_s=0.43,
    ),
)
_TARGETS_S: typing.Final = {kind.name: kind.target_s for kind in _KINDS}


def _build_mix(kind: _Kind) -> scenarios.CallMix:
    return scenarios.CallMix(
        name=kind.name,
        method=kind.method,
        path=kind.path,
        host=f"{kind.service}.example",
        share=kind.share,
        mean_demand_s=kind.demand_s,
        inner=kind.inner,
        inner_share=kind.inner_share,
        patience_s=kind.patience_s,
        is_idempotent=kind.method == "GET",
    )


def _format_rule(kind: _Kind) -> str:
    is_idempotent = str(kind.method == "GET").lower()
    return (
        f'[[kinds]]\nname = "{kind.name}"\nservice = "{kind.service}"\n'
        f'methods = ["{kind.method}"]\npath = "{kind.path}"\n'
        f'priority = "{kind.priority}"\n'
        f"deadline_ms = {round(1000 * kind.deadline_s)}\n"
        f"target_ms = {round(1000 * kind.target_s)}\n"
        f"idempotent = {is_idempotent}\nhedging = {is_idempotent}"
    )


def _build_documents() -> dict[str, str]:
    """Build the documents that declare services, zones and kinds."""
    inventory = ['organisation = "atlas"']
    for service, servers in (
        ("portal", _PORTAL_SERVERS),
        ("catalogue", _CATALOGUE_SERVERS),
    ):
        inventory.append(
            f'[services.{service}]\nhosts = ["{service}.example"]\n'
            f"servers = {sum(servers.values())}\nslots = 4\n"
            "connections = 1000\ncold_concurrency = 2"
        )
    inventory.extend(
        f'[zones.{zone}]\nregion = "isle"\ntakes_work = true'
        for zone in _PORTAL_SERVERS
    )
    return {
        "inventory.toml": "\n".join(inventory),
        "rules.toml": "\n".join(map(_format_rule, _KINDS)),
    }


def _list_zones(servers: collections.abc.Mapping[str, int]) -> tuple[str, ...]:
    return tuple(zone for zone, count in servers.items() for _ in range(count))


def build_scenario(
    seed: int, *, factor: float = BURST.factor
) -> scenarios.Scenario:
    """Build the scenario; ``factor`` multiplies arrivals in the burst."""
    portal, catalogue = (
        _list_zones(_PORTAL_SERVERS),
        _list_zones(_CATALOGUE_SERVERS),
    )
    return scenarios.Scenario(
        documents=_build_documents(),
        host="portal.example",
        service="portal",
        server_services=("portal",) * len(portal)
        + ("catalogue",) * len(catalogue),
        server_zones=portal + catalogue,
        other_entry_zones=(),
        slots=4,
        zone_delay_s=0.0014,
        mean_demand_s=0.150,
        mix=tuple(map(_build_mix, _KINDS)),
        calls_per_s=CALLS_PER_S,
        burst=scenarios.Burst(
            from_s=BURST.from_s, until_s=BURST.until_s, factor=factor
        ),
        max_retries=MAX_RETRIES,
        duration_s=DURATION_S,
        seed=seed,
        # Noisy neighbours slow a VM for about a third of the time, in bursts
        # that outlast a call.
        noise=virtual_servers.Noise(
            quiet_s=1.4, burst_s=0.76, slowdown=7.0, is_fixed_at_start=True
        ),
        knee=virtual_servers.Knee(share=0.8, slowdown=1.7),
        reports_slowdown=True,
        options=node.Options(
            stop_limit_s=30.0,
            repeats=node.FleetRetryBudget(ratio=0.2, slack=216.0),
            other_zone_cost_s=0.08,
        ),
    )


def share_in_time(
    result: scenarios.RunResult,
    *,
    kind: str | None = None,
    from_s: float = 0.0,
    until_s: float = DURATION_S,
) -> float:
    """Return the share of callers of an interval answered within target."""
    asked = [
        outcome
        for outcome in result.outcomes
        if from_s <= outcome.arrived_at - scenarios.START_S < until_s
        and kind in (None, outcome.kind)
    ]
    return sum(map(_is_in_time, asked)) / len(asked)


def mean_value(result: scenarios.RunResult, *, kind: str) -> float:
    """Compute the mean value of a kind's calls, 1.0 if all are in time.

    A late answer counts as ``LATE_VALUE`` of one in time.
    """
    asked = [outcome for outcome in result.outcomes if outcome.kind == kind]
    in_time = sum(map(_is_in_time, asked))
    answered = sum(outcome.is_answered for outcome in asked)
    total_value = in_time + LATE_VALUE * (answered - in_time)
    return total_value / len(asked)


def _is_in_time(outcome: scenarios.Outcome) -> bool:
    target_s = _TARGETS_S[outcome.kind]
    return outcome.is_answered and outcome.latency_s <= target_s


def format_windows(result: scenarios.RunResult) -> str:
    """Format the outcomes per second of arrival as a Markdown table."""
    windows: dict[int, collections.Counter[str]] = {}
    for outcome in result.outcomes:
        second = int((outcome.arrived_at - scenarios.START_S) / WINDOW_S)
        counts = windows.setdefault(second, collections.Counter())
        counts["asked"] += 1
        if outcome.is_answered:
            counts["in time" if _is_in_time(outcome) else "late"] += 1
        else:
            counts[outcome.reason or "failed"] += 1
    lines = [
        "| second | asked | in time | late | others |",
        "|---|---|---|---|---|",
    ]
    for second, counts in sorted(windows.items()):
        asked = counts.pop("asked")
        in_time, late = counts.pop("in time", 0), counts.pop("late", 0)
        others = ", ".join(f"{n} {name}" for name, n in counts.most_common())
        lines.append(
            f"| {second} | {asked} | {in_time / asked:.2f} "
            f"| {late / asked:.2f} | {others} |"
        )
    return "\n".join(lines)


def main(*, seed: int = 1, factor: float = BURST.factor) -> None:
    """Run the fleet and print the outcomes of its calls per second."""
    result = driver.run_scenario(
        build_scenario(seed, factor=factor), driver.Policy.OURS
    )
    print(format_windows(result))
    print(f"in time: {share_in_time(result):.3f}")
    print(f"worth of {BROWSE}: {mean_value(result, kind=BROWSE):.3f}")


if __name__ == "__main__":
    typer.run(main)
