"""Emulated callers under virtual time: their arrivals and retries.

Arrivals are open-loop and do not wait for answers.  A refused caller retries
after the time that the refusal names, and one whose idempotent call failed
after a short delay, up to the scenario's number of retries and until the
caller's patience ends.  Each retry is a separate call to the system; latency
counts from the first call.
"""

import collections.abc
import dataclasses
import random
import typing

from marjoramledge_core import node

from marjoramledge_standins import scenarios
from marjoramledge_standins import virtual_world

# Sigma of the log-normal demands of one kind; it doesn't change their mean.
DEMAND_SIGMA: typing.Final = 0.5
# Delay before a failed call is retried, and the longest delay of a retry as a
# share of the caller's remaining time.
RETRY_DELAY_S: typing.Final = 0.05
MAX_DELAY_SHARE: typing.Final = 1.0 / 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A caller's first call."""

    number: int
    at: float
    entry: int
    mix: scenarios.CallMix
    demand_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallEnd:
    """The result of one call.

    ``run`` is None if a backend server answered; ``is_answered`` is whether
    it answered with success.
    """

    is_answered: bool
    reason: str = ""
    run: node.RunState | None = None
    retry_after_s: float | None = None


OnEnd = collections.abc.Callable[[CallEnd], None]
# Sends a call, given its name, entry node, kind, demand and remaining seconds.
Send = collections.abc.Callable[
    [str, int, scenarios.CallMix, float, float | None, OnEnd], None
]


def draw_arrivals(
    scenario: scenarios.Scenario, entries: int
) -> collections.abc.Iterator[Arrival]:
    """Draw the arrivals of a scenario from a Poisson process."""
    if scenario.zone_demands:
        yield from _draw_zone_arrivals(scenario)
        return
    rng = random.Random(scenario.seed)
    burst = scenario.burst
    peak = 1.0 if burst is None else max(1.0, burst.factor)
    at = scenarios.START_S - scenarios.WARM_UP_S
    number = 0
    weights = [mix.share for mix in scenario.mix]
    while True:
        at += rng.expovariate(peak * scenario.arrivals_per_s)
        if at >= scenarios.START_S + scenario.duration_s:
            return
        if burst is not None:
            since_s = at - scenarios.START_S
            is_high = burst.from_s <= since_s < burst.until_s
            if rng.random() * peak >= (burst.factor if is_high else 1.0):
                continue
        (mix,) = rng.choices(scenario.mix, weights)
        yield Arrival(
            number=number,
            at=at,
            entry=rng.randrange(entries),
            mix=mix,
            demand_s=draw_demand(scenario, mix, rng),
        )
        number += 1


def _draw_zone_arrivals(
    scenario: scenarios.Scenario,
) -> collections.abc.Iterator[Arrival]:
    """Draw arrivals whose rate differs by zone and swings over time."""
    rng = random.Random(scenario.seed)
    zones = scenario.server_zones + scenario.other_entry_zones
    demands = scenario.zone_demands
    mean = sum(demand.weight for demand in demands)
    peak = sum(demand.weight * (1.0 + demand.swing) for demand in demands)
    entries = {
        demand.zone: [n for n, zone in enumerate(zones) if zone == demand.zone]
        for demand in demands
    }
    remaining = [
        n for n, zone in enumerate(zones) if zone != scenario.lost_zone
    ]
    mix_weights = [mix.share for mix in scenario.mix]
    at = scenarios.START_S - scenarios.WARM_UP_S
    number = 0
    while True:
        at += rng.expovariate(scenario.arrivals_per_s * peak / mean)
        since_s = at - scenarios.START_S
        if since_s >= scenario.duration_s:
            return
        rates = [demand.rate_at(since_s) for demand in demands]
        if rng.random() * peak >= sum(rates):
            continue
        (demand,) = rng.choices(demands, rates)
        entry = rng.choice(entries[demand.zone])
        if demand.zone == scenario.lost_zone and (
            since_s >= scenario.lost_from_s
        ):
            entry = rng.choice(remaining)
        (mix,) = rng.choices(scenario.mix, mix_weights)
        yield Arrival(
            number=number,
            at=at,
            entry=entry,
            mix=mix,
            demand_s=draw_demand(scenario, mix, rng),
        )
        number += 1


def draw_demand(
    scenario: scenarios.Scenario, mix: scenarios.CallMix, rng: random.Random
) -> float:
    """Draw a request's demand, in seconds of an undisturbed slot."""
    sigma = DEMAND_SIGMA
    spread = rng.lognormvariate(-sigma * sigma / 2, sigma)
    return scenario.demand_of(mix) * spread


class Callers:
    """Callers that retry refused and failed calls.

    Parameters
    ----------
    world
        The clock, and the recorder of outcomes.
    send
        Sends one call into the system.
    """

    def __init__(self, *, world: virtual_world.World, send: Send) -> None:
        self._world = world
        self._send = send

    def arrive(self, arrival: Arrival) -> None:
        """Send a caller's first call."""
        self._call(arrival, 0)

    def _call(self, arrival: Arrival, retries: int) -> None:
        patience_s = arrival.mix.patience_s
        time_left_s = None
        if patience_s is not None:
            time_left_s = patience_s - (self._world.now - arrival.at)
        self._send(
            f"c{arrival.number}r{retries}",
            arrival.entry,
            arrival.mix,
            arrival.demand_s,
            time_left_s,
            lambda end: self._end(arrival, retries, end),
        )

    def _end(self, arrival: Arrival, retries: int, end: CallEnd) -> None:
        wait_s = self._retry_delay_s(arrival, retries, end)
        if wait_s is None:
            self._world.finish(
                arrival.mix.name,
                arrival.at,
                is_answered=end.is_answered,
                reason=end.reason,
                zone=self._world.zones[arrival.entry],
            )
        else:
            self._world.after(wait_s, lambda: self._call(arrival, retries + 1))

    def _retry_delay_s(
        self, arrival: Arrival, retries: int, end: CallEnd
    ) -> float | None:
        """Return the seconds until a caller retries, or None if it doesn't."""
        patience_s = arrival.mix.patience_s
        if (
            end.is_answered
            or patience_s is None
            or retries >= self._world.scenario.max_retries
        ):
            return None
        is_refusal = end.run is node.RunState.NOT_RUN
        if not is_refusal and not arrival.mix.is_idempotent:
            return None
        time_left_s = patience_s - (self._world.now - arrival.at)
        wait_s = RETRY_DELAY_S
        if is_refusal and end.retry_after_s is not None:
            wait_s = end.retry_after_s
        wait_s = min(wait_s, MAX_DELAY_SHARE * time_left_s)
        return wait_s if wait_s > 0.0 else None
