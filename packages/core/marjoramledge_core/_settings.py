"""Typed values of the operators' configuration.

The inventory declares services and availability zones; the rules declare
kinds of request.  ``_document`` builds these values from TOML and ``_plan``
compares two of them.  The state machine of a node looks them up for every
call, so the indexes are built with the value.
"""

import dataclasses
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _priority
from marjoramledge_core import _request_limits
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _routes
from marjoramledge_core import _workspaces

DEFAULT_DEADLINE_S: typing.Final = 5.0
DEFAULT_PROBES_PER_S: typing.Final = 1.0
DEFAULT_PROBE_SLOT_SHARE: typing.Final = 0.001
DEFAULT_COLD_CONCURRENCY: typing.Final = 1
# Maximum number of backend servers that may run one call, including the
# first.
DEFAULT_MAX_RUNS: typing.Final = 2
# Expected latency of a call before any has been measured, as a fraction of
# its latency target.  Operators set the target to two to three times the
# typical latency.
EXPECTED_TARGET_FRACTION: typing.Final = 0.3


Priority = _priority.Priority


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceShare:
    """Share of a service in the calls of a kind.

    ``weight`` is relative to the weights of the other shares.
    """

    service: _ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestKind:
    """One kind of request and how its calls are handled.

    With ``hedging``, a call that is slow for its kind and has taken longer
    than ``hedge_after_s`` may be sent to a second server as well.
    ``max_slot_share`` is the share (0 to 1) of a backend server's slots that
    calls of this kind may occupy at once.  ``shares`` splits the calls among
    services by weight; without shares all go to ``service``.  ``max_runs``
    is the maximum number of backend servers that may run one call, and
    ``target_s`` is the latency target: the time within which an answer has
    its full value.  Calls of a kind that ``is_public`` need no key.
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
    is_public: bool = False

    def pick_service(self, draw: float) -> _ids.ServiceName:
        """Pick the service of a call; ``draw`` is uniform in [0, 1)."""
        remaining = draw * sum(share.weight for share in self.shares)
        for share in self.shares:
            remaining -= share.weight
            if remaining < 0.0:
                return share.service
        return self.service

    def matches_path(self, path: str) -> bool:
        """Return whether a request path, without its query, matches."""
        if self.path.endswith("/*"):
            return path.startswith(self.path[:-1]) or path == self.path[:-2]
        return path == self.path


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service and the expected capacity of its backend servers.

    ``cold_rate_per_s`` is the maximum rate of calls to a cold backend
    server, and ``cold_s`` is how long a server stays cold after its start.
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
    """Maximum rate and slot share of the probes of one backend server."""

    calls_per_s: float = DEFAULT_PROBES_PER_S
    slot_share: float = DEFAULT_PROBE_SLOT_SHARE


class Configuration:
    """A valid inventory with its rules.

    Parameters
    ----------
    organisation
        Name of the organisation that the deployment serves.
    services, zones, kinds
        Declarations of the documents.  A request has the first kind that
        matches it.
    measuring
        Probe budget of each gate.
    default_deadline_s
        Deadline in seconds of calls that match no declared kind.
    routes
        Kinds that are selected by host and path prefix alone.
    workspaces
        Workspaces of callers; without any, requests need no key.
    rollouts
        Orders to move a service to another version, at most one a service.
    request_limits
        Limits of callers' requests; None if the node's settings hold.
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
        workspaces: _workspaces.WorkspaceTable | None = None,
        rollouts: tuple[_rollout_orders.RolloutOrder, ...] = (),
        request_limits: _request_limits.RequestLimits | None = None,
    ) -> None:
        self._rollouts = {order.service: order for order in rollouts}
        self._request_limits = request_limits
        self._workspaces = workspaces or _workspaces.WorkspaceTable(())
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
        """Deadline in seconds of calls that match no declared kind."""
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
        """Kinds of request in the order in which they are matched."""
        return self._kinds

    @property
    def routes(self) -> _routes.RouteTable[RequestKind]:
        """Kinds that are selected by host and path prefix alone."""
        return self._routes

    @property
    def workspaces(self) -> _workspaces.WorkspaceTable:
        """Workspaces of callers; without any, requests need no key."""
        return self._workspaces

    @property
    def rollouts(
        self,
    ) -> typing.Mapping[_ids.ServiceName, _rollout_orders.RolloutOrder]:
        """Orders of roll-outs by service."""
        return self._rollouts

    @property
    def request_limits(self) -> _request_limits.RequestLimits | None:
        """Limits of callers' requests; None if the node's settings hold."""
        return self._request_limits

    def find_kind(
        self, host: str, method: str, path: str
    ) -> RequestKind | None:
        """Return the kind of a request, or None if no service has the host."""
        if self._routes.has_host(host):
            return self._routes.find(host, path)
        service = self.find_service(host)
        if service is None:
            return None
        return self.classify(service.name, method, path)

    def find_service(self, host: str) -> Service | None:
        """Return the service of a Host header, with or without port."""
        name = self._service_of_host.get(host)
        if name is None:
            name = self._service_of_host.get(host.partition(":")[0].lower())
        return None if name is None else self._services[name]

    def classify(
        self, service: _ids.ServiceName, method: str, path: str
    ) -> RequestKind:
        """Return the kind of a request to a service.

        A request that matches no kind gets the kind ``unnamed``, which is
        not idempotent, so a call that may have run is not repeated.
        """
        for kind in self._kinds_of.get((service, method), ()):
            if kind.matches_path(path):
                return kind
        return self._unnamed_kinds[service]

    def expected_s(self, service: _ids.ServiceName) -> float | None:
        """Return the expected latency in seconds of a service's calls.

        It is None if no kind or route of the service has a latency target.
        """
        return self._expected_s.get(service)

    def zone_takes_work(self, name: _ids.ZoneName) -> bool:
        """Return whether a zone takes new work; unknown zones do not."""
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
        service: EXPECTED_TARGET_FRACTION * sum(targets_s) / len(targets_s)
        for service, targets_s in targets_by_service.items()
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
