"""Callers under virtual time: who calls when, and comes again.

Arrivals do not wait for answers.  A caller that is refused returns when it
was told to, one whose repeatable call failed a little later, as often as the
scenario says and while its patience lasts; each return is a call of its own
to the system, and its latency counts from the first.
"""

import collections.abc
import dataclasses
import random
import typing

from marjoramledge_core import node

from marjoramledge_standins import scenarios
from marjoramledge_standins import virtual_world

# Spread of the demands of one kind; their mean stays what it is.
DEMAND_SIGMA: typing.Final = 0.5
# A caller waits before it repeats what has failed, and for no longer than a
# part of the time that it has left.
REPEAT_AFTER_S: typing.Final = 0.05
LONGEST_WAIT_PART: typing.Final = 1.0 / 3.0


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
    """How the system ended one call.

    ``run`` is None for an answer of a backend server, which ``is_answered``
    tells to be a success.
    """

    is_answered: bool
    reason: str = ""
    run: node.RunState | None = None
    retry_after_s: float | None = None


OnEnd = collections.abc.Callable[[CallEnd], None]
# Sends a call with its name, entry, kind, demand and seconds left.
Send = collections.abc.Callable[
    [str, int, scenarios.CallMix, float, float | None, OnEnd], None
]


def draw_arrivals(
    scenario: scenarios.Scenario, entries: int
) -> collections.abc.Iterator[Arrival]:
    """Draw the callers of a scenario, a Poisson process."""
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


def draw_demand(
    scenario: scenarios.Scenario, mix: scenarios.CallMix, rng: random.Random
) -> float:
    """Draw how long a request keeps an undisturbed slot busy."""
    sigma = DEMAND_SIGMA
    spread = rng.lognormvariate(-sigma * sigma / 2, sigma)
    return scenario.demand_of(mix) * spread


class Callers:
    """Callers that come again.

    Parameters
    ----------
    world
        The clock, and where outcomes go.
    send
        Sends one call into the system.
    """

    def __init__(self, *, world: virtual_world.World, send: Send) -> None:
        self._world = world
        self._send = send

    def arrive(self, arrival: Arrival) -> None:
        """Let a caller make its first call."""
        self._call(arrival, 0)

    def _call(self, arrival: Arrival, returned: int) -> None:
        patience_s = arrival.mix.patience_s
        left_s = None
        if patience_s is not None:
            left_s = patience_s - (self._world.now - arrival.at)
        self._send(
            f"c{arrival.number}r{returned}",
            arrival.entry,
            arrival.mix,
            arrival.demand_s,
            left_s,
            lambda end: self._end(arrival, returned, end),
        )

    def _end(self, arrival: Arrival, returned: int, end: CallEnd) -> None:
        wait_s = self._wait_s(arrival, returned, end)
        if wait_s is None:
            self._world.finish(
                arrival.mix.name,
                arrival.at,
                is_answered=end.is_answered,
                reason=end.reason,
            )
        else:
            self._world.after(
                wait_s, lambda: self._call(arrival, returned + 1)
            )

    def _wait_s(
        self, arrival: Arrival, returned: int, end: CallEnd
    ) -> float | None:
        """Seconds until a caller comes again; None when it does not."""
        patience_s = arrival.mix.patience_s
        if (
            end.is_answered
            or patience_s is None
            or returned >= self._world.scenario.returns
        ):
            return None
        is_refusal = end.run is node.RunState.NOT_RUN
        if not is_refusal and not arrival.mix.is_idempotent:
            return None
        left_s = patience_s - (self._world.now - arrival.at)
        wait_s = REPEAT_AFTER_S
        if is_refusal and end.retry_after_s is not None:
            wait_s = end.retry_after_s
        wait_s = min(wait_s, LONGEST_WAIT_PART * left_s)
        return wait_s if wait_s > 0.0 else None
