"""Descriptions of scenarios run under virtual time, and their results.

This module holds values only: ``virtual_world`` has the clock and the servers,
``virtual_callers`` draws the arrivals, and ``driver`` runs a scenario under a
policy.  Times are in seconds.
"""

import collections.abc
import dataclasses
import math
import typing

from marjoramledge_core import node

from marjoramledge_standins import virtual_servers

WARM_UP_S: typing.Final = 2.0
# Calls that arrive before this time are warm-up and aren't recorded.
START_S: typing.Final = 5.0
DEFAULT_OPTIONS: typing.Final = node.Options(stop_limit_s=30.0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallMix:
    """A kind of request and its share of the calls.

    ``host`` and ``mean_demand_s`` default to those of the scenario.  A request
    of the kind calls the kind named ``inner`` with probability
    ``inner_share``, ``inner_calls`` times in a row; kinds that are called in
    this way only have a share of zero.  ``patience_s`` is how long callers
    wait in total, retries included.
    """

    name: str
    method: str
    path: str
    share: float
    host: str | None = None
    mean_demand_s: float | None = None
    inner: str | None = None
    inner_share: float = 0.0
    inner_calls: int = 1
    patience_s: float | None = None
    is_idempotent: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Burst:
    """An interval in which ``factor`` times as many calls arrive."""

    from_s: float
    until_s: float
    factor: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneDemand:
    """Calls that arrive at the entries of one zone.

    ``weight`` is relative to that of other zones.  The rate swings by
    ``swing`` of its mean with a period of ``period_s``; ``phase`` is the part
    of a period by which it is ahead.
    """

    zone: str
    weight: float
    swing: float = 0.0
    period_s: float = 17.0
    phase: float = 0.0

    def rate_at(self, since_s: float) -> float:
        """Return the weight at a time, in seconds since the start."""
        turns = since_s / self.period_s + self.phase
        return self.weight * (
            1.0 + self.swing * math.sin(2.0 * math.pi * turns)
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crossing:
    """An attempt that was sent to a server, with the state at that time.

    ``sent_s`` is the time that the call would take at the chosen server, as
    an observer of all queues sees it when the call is sent; ``home_s`` and
    ``away_s`` are those of the best server inside and outside the zone of the
    entry.  All include the round trip.
    """

    call: str
    kind: str
    is_first: bool
    is_home: bool
    sent_s: float
    home_s: float
    away_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NamedLimit:
    """An interval in which a server names a rate limit in its answers."""

    server: int
    rate_per_s: float
    from_s: float
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Services, their load and disturbances.

    ``server_services`` names the service of each server; if empty, all run
    ``service``.  ``calls_per_s`` is the arrival rate without bursts; if not
    given, ``load`` sets it as a share of the capacity.  ``max_retries`` is the
    maximum number of retries of a caller that was refused, or whose
    idempotent call failed.  Without ``zone_demands``, calls arrive evenly at
    all entries.  ``records_crossings`` records each attempt with the state of
    all servers.  From ``lost_from_s`` on, the nodes and servers of
    ``lost_zone`` are gone, and its callers use the entries of other zones.
    """

    documents: collections.abc.Mapping[str, str]
    host: str
    service: str
    server_zones: tuple[str, ...]
    other_entry_zones: tuple[str, ...]
    slots: int
    zone_delay_s: float
    mean_demand_s: float
    mix: tuple[CallMix, ...]
    duration_s: float
    seed: int
    load: float = 0.0
    server_services: tuple[str, ...] = ()
    calls_per_s: float | None = None
    burst: Burst | None = None
    max_retries: int = 0
    noise: virtual_servers.Noise = virtual_servers.DEFAULT_NOISE
    straggler: bool = False
    restarts_cold: bool = False
    loses_cache: bool = False
    cold_concurrency: int = 2
    grey: virtual_servers.GreyFaults = virtual_servers.NO_GREY_FAULTS
    knee: virtual_servers.Knee = virtual_servers.NO_KNEE
    reports_slowdown: bool = False
    announced_slots: int | None = None
    named_limits: tuple[NamedLimit, ...] = ()
    options: node.Options = DEFAULT_OPTIONS
    zone_demands: tuple[ZoneDemand, ...] = ()
    records_crossings: bool = False
    lost_zone: str = ""
    lost_from_s: float = math.inf

    @property
    def capacity_per_s(self) -> float:
        """Calls per second that all servers together can serve."""
        slots = self.slots * len(self.server_zones)
        return slots * self.noise.mean_speed / self.mean_demand_s

    @property
    def arrivals_per_s(self) -> float:
        """Calls that arrive per second, without bursts."""
        if self.calls_per_s is not None:
            return self.calls_per_s
        return self.load * self.capacity_per_s

    def service_of(self, server: int) -> str:
        """Return the name of a server's service."""
        if not self.server_services:
            return self.service
        return self.server_services[server]

    def demand_of(self, mix: CallMix) -> float:
        """Return the mean demand of a kind, in slot seconds."""
        if mix.mean_demand_s is None:
            return self.mean_demand_s
        return mix.mean_demand_s


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The outcome of one caller's call, over all its retries.

    ``zone`` is the zone of its entry.
    """

    kind: str
    arrived_at: float
    latency_s: float
    is_answered: bool
    reason: str
    zone: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """Outcomes of a scenario run, and counters of the servers.

    ``arrivals`` counts all calls; one that hangs for ever has no outcome.
    ``starts`` are the times at which each server got a call, and ``offers``
    counts the attempts that were sent to another node.  ``crossings`` holds
    all attempts if the scenario records them.
    """

    arrivals: int
    outcomes: tuple[Outcome, ...]
    overruns: int
    served_s: float
    probes: int
    sent_to_servers: int
    starts: tuple[tuple[float, ...], ...] = ()
    offers: int = 0
    crossings: tuple[Crossing, ...] = ()
