"""The configuration that operators declare, as typed values.

The inventory names services and availability zones; the rules name kinds of
request.  ``_document`` builds these values from TOML, ``_plan`` compares two
of them, and the node's decisions read them on every call, so lookups are
indexed when the value is built.
"""

import dataclasses
import enum
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _routes

DEFAULT_DEADLINE_S: typing.Final = 5.0
DEFAULT_PROBES_PER_S: typing.Final = 1.0
DEFAULT_PROBE_SLOT_SHARE: typing.Final = 0.001
DEFAULT_COLD_CONCURRENCY: typing.Final = 1
# Backend servers that may run one call, the first included.
DEFAULT_MAX_RUNS: typing.Final = 2
# What a call is thought to take before any has been measured: a part of the
# time within which its answer keeps its full value, which operators set at
# two to three times the usual.
EXPECTED_TARGET_FRACTION: typing.Final = 0.3


class Priority(enum.IntEnum):
    """Importance of a request; the smaller value is served first."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    BACKGROUND = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceShare:
    """A service's part of the calls of a kind; ``weight`` is relative."""

    service: _ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestKind:
    """What the rules say of one kind of request.

    ``hedging`` lets a call that is slow for its kind, and slower than
    ``hedge_after_s`` seconds, be sent to a second server as well.
    ``max_slot_share`` is the share (0 to 1) of a backend server's slots that
    calls of this kind may hold at once.  ``shares`` splits the calls among
    services by weight; without them all go to ``service``.  ``max_runs``
    bounds the backend servers that may run one call, and ``target_s`` is the
    time within which an answer is worth its full value.
    """

    name: _ids.KindName
    service: _ids.ServiceName
    methods: frozenset[str]
    path: str
    priority: Priority
    idempotent: bool
    deadline_s: float
    hedging: bool
    hedge_after_s: float
    max_slot_share: float
    shares: tuple[ServiceShare, ...] = ()
    max_runs: int = DEFAULT_MAX_RUNS
    target_s: float | None = None

    def pick_service(self, draw: float) -> _ids.ServiceName:
        """Pick the service of one call; ``draw`` is uniform in [0, 1)."""
        remaining = draw * sum(share.weight for share in self.shares)
        for share in self.shares:
            remaining -= share.weight
            if remaining < 0.0:
                return share.service
        return self.service

    def matches_path(self, path: str) -> bool:
        """Tell whether a request path, without its query, is of this kind."""
        if self.path.endswith("/*"):
            return path.startswith(self.path[:-1]) or path == self.path[:-2]
        return path == self.path


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service and the backend servers that operators expect for it.

    ``cold_rate_per_s`` bounds the calls that a cold backend server is given
    in a second, and ``cold_s`` is how long one stays cold after a start.
    """

    name: _ids.ServiceName
    hosts: tuple[str, ...]
    servers: int
    slots: int
    connections: int
    cold_concurrency: int
    cold_rate_per_s: float | None = None
    cold_s: float = 0.0
    health_path: str | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Zone:
    """An availability zone and whether its backend servers take work."""

    name: _ids.ZoneName
    region: _ids.RegionName
    takes_work: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeBudget:
    """Budget for probing one backend server."""

    calls_per_s: float = DEFAULT_PROBES_PER_S
    slot_share: float = DEFAULT_PROBE_SLOT_SHARE


class Configuration:
    """One accepted inventory with its rules.

    Parameters
    ----------
    organisation
        Name of the organisation that the deployment serves.
    services, zones, kinds
        What the documents declare.  The first kind that matches a request
        decides.
    measuring
        Probe budget of each gate.
    default_deadline_s
        Seconds that a call of no declared kind may take.
    routes
        Kinds that are found by host and path alone.
    """

    def __init__(
        self,
        *,
        organisation: str,
        services: tuple[Service, ...],
        zones: tuple[Zone, ...],
        kinds: tuple[RequestKind, ...],
        measuring: ProbeBudget,
        default_deadline_s: float,
        routes: _routes.RouteTable[RequestKind] | None = None,
    ) -> None:
        self._routes = _routes.RouteTable(()) if routes is None else routes
        self._organisation = organisation
        self._measuring = measuring
        self._default_deadline_s = default_deadline_s
        self._kinds = kinds
        self._services = {service.name: service for service in services}
        self._zones = {zone.name: zone for zone in zones}
        self._service_of_host = {
            host: service.name
            for service in services
            for host in service.hosts
        }
        self._kinds_of = _index_kinds(kinds)
        self._expected_s = _estimate_latencies(
            [*kinds, *(route.target for route in self._routes)]
        )
        self._unnamed_kinds = {
            service.name: _build_unnamed_kind(service.name, default_deadline_s)
            for service in services
        }

    @property
    def organisation(self) -> str:
        """Name of the organisation."""
        return self._organisation

    @property
    def measuring(self) -> ProbeBudget:
        """Probe budget of each gate."""
        return self._measuring

    @property
    def default_deadline_s(self) -> float:
        """Seconds that a call of no declared kind may take."""
        return self._default_deadline_s

    @property
    def services(self) -> typing.Mapping[_ids.ServiceName, Service]:
        """Services by name."""
        return self._services

    @property
    def zones(self) -> typing.Mapping[_ids.ZoneName, Zone]:
        """Availability zones by name."""
        return self._zones

    @property
    def kinds(self) -> tuple[RequestKind, ...]:
        """Kinds of request in the order in which they are tried."""
        return self._kinds

    @property
    def routes(self) -> _routes.RouteTable[RequestKind]:
        """Kinds that are found by host and path alone."""
        return self._routes

    def find_kind(
        self, host: str, method: str, path: str
    ) -> RequestKind | None:
        """Find the kind of a request; None when nothing serves it."""
        if self._routes.has_host(host):
            return self._routes.find(host, path)
        service = self.find_service(host)
        if service is None:
            return None
        return self.classify(service.name, method, path)

    def find_service(self, host: str) -> Service | None:
        """Find the service that a Host header, with or without port, names."""
        name = self._service_of_host.get(host)
        if name is None:
            name = self._service_of_host.get(host.partition(":")[0].lower())
        return None if name is None else self._services[name]

    def classify(
        self, service: _ids.ServiceName, method: str, path: str
    ) -> RequestKind:
        """Find the kind of a request; an unnamed one is never repeated."""
        for kind in self._kinds_of.get((service, method), ()):
            if kind.matches_path(path):
                return kind
        return self._unnamed_kinds[service]

    def expected_s(self, service: _ids.ServiceName) -> float | None:
        """Seconds that a call of a service may take; None if none is told."""
        return self._expected_s.get(service)

    def zone_takes_work(self, name: _ids.ZoneName) -> bool:
        """Tell whether a zone may get new work; unknown zones may not."""
        zone = self._zones.get(name)
        return zone is not None and zone.takes_work


def _index_kinds(
    kinds: tuple[RequestKind, ...],
) -> dict[tuple[_ids.ServiceName, str], list[RequestKind]]:
    index: dict[tuple[_ids.ServiceName, str], list[RequestKind]] = {}
    for kind in kinds:
        for method in kind.methods:
            index.setdefault((kind.service, method), []).append(kind)
    return index


def _estimate_latencies(
    kinds: list[RequestKind],
) -> dict[_ids.ServiceName, float]:
    targets_by_service: dict[_ids.ServiceName, list[float]] = {}
    for kind in kinds:
        services = {share.service for share in kind.shares} or {kind.service}
        for service in services:
            if kind.target_s is not None:
                targets_by_service.setdefault(service, []).append(
                    kind.target_s
                )
    return {
        service: EXPECTED_TARGET_FRACTION * sum(told) / len(told)
        for service, told in targets_by_service.items()
    }


def _build_unnamed_kind(
    service: _ids.ServiceName, deadline_s: float
) -> RequestKind:
    return RequestKind(
        name=_ids.KindName("unnamed"),
        service=service,
        methods=frozenset(),
        path="/*",
        priority=Priority.NORMAL,
        idempotent=False,
        deadline_s=deadline_s,
        hedging=False,
        hedge_after_s=0.0,
        max_slot_share=1.0,
    )
