"""What is played under virtual time, and what came of it.

Values only: ``virtual_world`` keeps the clock and the servers,
``virtual_callers`` draws who calls, and ``driver`` plays a scenario under a
policy.  Times are seconds.
"""

import collections.abc
import dataclasses
import typing

from marjoramledge_core import node

from marjoramledge_standins import virtual_servers

WARM_UP_S: typing.Final = 2.0
# Calls that arrive before this time only warm the servers up.
START_S: typing.Final = 5.0
DEFAULT_OPTIONS: typing.Final = node.Options(stop_limit_s=30.0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallMix:
    """A kind of request and its share of the calls.

    ``host`` and ``mean_demand_s`` are the scenario's own where they are not
    given.  A run of the kind calls the kind named ``inner`` with a chance of
    ``inner_share``; kinds that are only called so have a share of zero.
    ``patience_s`` is how long its callers wait in all, returns included.
    """

    name: str
    method: str
    path: str
    share: float
    host: str | None = None
    mean_demand_s: float | None = None
    inner: str | None = None
    inner_share: float = 0.0
    patience_s: float | None = None
    is_idempotent: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Burst:
    """A time in which more calls arrive, ``factor`` times as many."""

    from_s: float
    until_s: float
    factor: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Services under load.

    ``server_services`` names the service of each server, all ``service``
    where it is empty.  ``calls_per_s`` is the rate of arrivals without
    bursts; where it is not given, ``load`` is the part of the capacity.
    ``returns`` is how often a caller that was refused, or whose call failed
    and may be repeated, comes again.
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
    returns: int = 0
    noise: virtual_servers.Noise = virtual_servers.DEFAULT_NOISE
    straggler: bool = False
    restarts_cold: bool = False
    loses_cache: bool = False
    cold_concurrency: int = 2
    grey: virtual_servers.Grey = virtual_servers.WELL
    knee: virtual_servers.Knee = virtual_servers.NO_KNEE
    tells_slowdown: bool = False
    announced_slots: int | None = None
    options: node.Options = DEFAULT_OPTIONS

    @property
    def capacity_per_s(self) -> float:
        """Calls a second that all servers can serve together."""
        slots = self.slots * len(self.server_zones)
        return slots * self.noise.mean_speed / self.mean_demand_s

    @property
    def arrivals_per_s(self) -> float:
        """Calls that arrive in a second, without bursts."""
        if self.calls_per_s is not None:
            return self.calls_per_s
        return self.load * self.capacity_per_s

    def service_of(self, server: int) -> str:
        """Name the service of a server."""
        if not self.server_services:
            return self.service
        return self.server_services[server]

    def demand_of(self, mix: CallMix) -> float:
        """Tell the mean demand of a kind, in seconds of a slot."""
        if mix.mean_demand_s is None:
            return self.mean_demand_s
        return mix.mean_demand_s


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What became of one call, over all its returns."""

    kind: str
    arrived_at: float
    latency_s: float
    is_answered: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """Outcomes of a run, and what the servers went through.

    ``arrivals`` counts all calls; one that hangs for ever has no outcome.
    """

    arrivals: int
    outcomes: tuple[Outcome, ...]
    overruns: int
    served_s: float
    probes: int
    sent_to_servers: int
