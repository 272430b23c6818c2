"""Parser of the operators' files, ``inventory.toml`` and ``rules.toml``.

Nodes and the operator command share this parser, so every node accepts what
the command accepts.  All problems are reported at once, each with the file,
the key and the allowed values, since fixing errors one at a time costs an
operator time during an incident.
"""

import collections.abc
import dataclasses
import tomllib
import typing

from returns import result

from marjoramledge_core import _ids
from marjoramledge_core import _priority
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _routes
from marjoramledge_core import _settings
from marjoramledge_core import _workspace_document

INVENTORY_FILE: typing.Final = "inventory.toml"
RULES_FILE: typing.Final = "rules.toml"
FILE_NAMES: typing.Final = (INVENTORY_FILE, RULES_FILE)

_METHODS: typing.Final = frozenset(
    {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)
_MAX_DEADLINE_MS: typing.Final = 3_600_000
_MIN_ROLLOUT_MS: typing.Final = 1000
_MAX_RUNS: typing.Final = 10
_MAX_WEIGHT: typing.Final = 1_000_000
_MAX_COLD_RATE: typing.Final = 100_000
_NAME_CHARACTERS: typing.Final = frozenset(
    "abcdefghijklmnopqrstuvwxyz0123456789-"
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """One error in a document."""

    file: str
    key: str
    message: str

    def __str__(self) -> str:
        """Render the problem on one line."""
        return f"{self.file}: {self.key}: {self.message}"


class _TableReader:
    """Reads typed values from one TOML table and collects its problems."""

    def __init__(
        self,
        *,
        file: str,
        prefix: str,
        table: object,
        problems: list[Problem],
    ) -> None:
        self._file = file
        self._prefix = prefix
        self._problems = problems
        self._known_keys: set[str] = set()
        self._table: dict[str, object] = {}
        if isinstance(table, dict):
            self._table = table
        else:
            self.report("", "must be a table")

    def report(self, key: str, message: str) -> None:
        """Add a problem with one key of the table."""
        path = ".".join(part for part in (self._prefix, key) if part)
        self._problems.append(
            Problem(file=self._file, key=path or "(file)", message=message)
        )

    def reject_unknown(self) -> None:
        """Report every key that no method has been asked to read."""
        allowed = ", ".join(sorted(self._known_keys))
        for key in self._table:
            if key not in self._known_keys:
                self.report(key, f"unknown key; allowed are: {allowed}")

    def string(self, key: str, default: str | None = None) -> str:
        """Read a non-empty string; required without a default."""
        value = self._get(key, default)
        if isinstance(value, str) and value:
            return value
        if value is not None:
            self.report(key, "must be a non-empty string")
        return default or ""

    def name(self, key: str) -> str:
        """Read a required name and check its characters."""
        value = self.string(key)
        if value:
            self.check_name(key, value)
        return value

    def check_name(self, key: str, value: str) -> None:
        """Report a name that is empty or has disallowed characters."""
        if not value or not _NAME_CHARACTERS.issuperset(value):
            self.report(key, "must contain only a-z, 0-9 and '-'")

    def boolean(self, key: str, default: bool | None = None) -> bool:
        """Read a boolean; required without a default."""
        value = self._get(key, default)
        if isinstance(value, bool):
            return value
        if value is not None:
            self.report(key, "must be true or false")
        return bool(default)

    def integer(
        self, key: str, low: int, high: int, default: int | None = None
    ) -> int:
        """Read an integer within inclusive bounds."""
        value = self._get(key, default)
        if (
            isinstance(value, int)
            and not isinstance(value, bool)
            and low <= value <= high
        ):
            return value
        if value is not None:
            self.report(key, f"must be an integer from {low} to {high}")
        return low if default is None else default

    def number(
        self, key: str, low: float, high: float, default: float
    ) -> float:
        """Read a number within inclusive bounds."""
        value = self._get(key, default)
        if (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and low <= value <= high
        ):
            return float(value)
        self.report(key, f"must be a number from {low:g} to {high:g}")
        return default

    def is_given(self, key: str) -> bool:
        """Return whether an optional key is present, and mark it as known."""
        self._known_keys.add(key)
        return key in self._table

    def weights(self, key: str) -> dict[str, float]:
        """Read an optional table of positive weights by name."""
        value = self._get(key, {})
        if isinstance(value, dict) and all(
            isinstance(weight, int | float)
            and not isinstance(weight, bool)
            and 0 < weight <= _MAX_WEIGHT
            for weight in value.values()
        ):
            return {name: float(weight) for name, weight in value.items()}
        self.report(key, f"must hold weights above 0 and up to {_MAX_WEIGHT}")
        return {}

    def strings(self, key: str) -> tuple[str, ...]:
        """Read a required, non-empty list of non-empty strings."""
        value = self._get(key, None)
        if (
            isinstance(value, list)
            and value
            and all(isinstance(entry, str) and entry for entry in value)
        ):
            return tuple(value)
        if value is not None:
            self.report(key, "must be a non-empty list of non-empty strings")
        return ()

    def choice(self, key: str, allowed: tuple[str, ...], default: str) -> str:
        """Read a string that must be one of those allowed."""
        value = self._get(key, default)
        if isinstance(value, str) and value in allowed:
            return value
        self.report(key, f"must be one of: {', '.join(allowed)}")
        return default

    def table(self, key: str) -> "_TableReader":
        """Return a reader of an optional sub-table."""
        return self._child(key, self._get(key, {}))

    def tables(self, key: str) -> "list[tuple[str, _TableReader]]":
        """Return readers, by name, of the tables in a required table."""
        value = self._get(key, None)
        if not isinstance(value, dict) or not value:
            if value is not None:
                self.report(key, "must hold at least one table")
            return []
        readers = []
        for name, entry in value.items():
            self.check_name(f"{key}.{name}", name)
            readers.append((name, self._child(f"{key}.{name}", entry)))
        return readers

    def array(self, key: str) -> "list[_TableReader]":
        """Return readers of the tables in an optional array."""
        value = self._get(key, [])
        if not isinstance(value, list):
            self.report(key, f"must be an array of tables, [[{key}]]")
            return []
        return [
            self._child(f"{key}[{position}]", entry)
            for position, entry in enumerate(value)
        ]

    def _get(self, key: str, default: object) -> object:
        self._known_keys.add(key)
        if key not in self._table:
            if default is None:
                self.report(key, "is missing")
            return default
        value = self._table[key]
        if value is None:
            return default
        return value

    def _child(self, key: str, table: object) -> "_TableReader":
        path = ".".join(part for part in (self._prefix, key) if part)
        return _TableReader(
            file=self._file,
            prefix=path,
            table=table,
            problems=self._problems,
        )


def parse_documents(
    files: collections.abc.Mapping[str, str],
) -> result.Result[_settings.Configuration, tuple[Problem, ...]]:
    """Build a configuration from the texts of the operators' documents.

    Parameters
    ----------
    files
        Content of each document by file name, see ``FILE_NAMES``.

    Returns
    -------
    Result
        The configuration, or all problems that were found.
    """
    problems: list[Problem] = []
    inventory = _read_toml(files, INVENTORY_FILE, problems)
    rules = _read_toml(files, RULES_FILE, problems)
    if inventory is None or rules is None:
        return result.Failure(tuple(problems))
    organisation = inventory.string("organisation")
    zones = _read_zones(inventory)
    services = _read_services(inventory)
    rollouts = _read_rollouts(inventory, services)
    workspaces = _workspace_document.read_workspaces(
        inventory.array("workspace")
    )
    inventory.reject_unknown()
    defaults = rules.table("defaults")
    default_deadline_ms = defaults.integer(
        "deadline_ms",
        1,
        _MAX_DEADLINE_MS,
        int(_settings.DEFAULT_DEADLINE_S * 1000),
    )
    defaults.reject_unknown()
    measuring = _read_measuring(rules.table("measuring"))
    kinds = _read_kinds(rules, services, default_deadline_ms)
    routes = _read_routes(rules, services, default_deadline_ms)
    rules.reject_unknown()
    if problems:
        return result.Failure(tuple(problems))
    return result.Success(
        _settings.Configuration(
            organisation=organisation,
            services=services,
            zones=zones,
            kinds=kinds,
            measuring=measuring,
            default_deadline_s=default_deadline_ms / 1000,
            routes=_routes.RouteTable(routes),
            rollouts=rollouts,
            workspaces=workspaces,
        )
    )


def _read_toml(
    files: collections.abc.Mapping[str, str],
    name: str,
    problems: list[Problem],
) -> _TableReader | None:
    if name not in files:
        problems.append(Problem(file=name, key="(file)", message="is missing"))
        return None
    try:
        table = tomllib.loads(files[name])
    except tomllib.TOMLDecodeError as error:
        problems.append(
            Problem(file=name, key="(file)", message=f"not TOML: {error}")
        )
        return None
    return _TableReader(file=name, prefix="", table=table, problems=problems)


def _read_zones(inventory: _TableReader) -> tuple[_settings.Zone, ...]:
    zones = []
    for name, reader in inventory.tables("zones"):
        zones.append(
            _settings.Zone(
                name=_ids.ZoneName(name),
                region=_ids.RegionName(reader.name("region")),
                takes_work=reader.boolean("takes_work"),
            )
        )
        reader.reject_unknown()
    if zones and not any(zone.takes_work for zone in zones):
        inventory.report("zones", "at least one zone must take work")
    return tuple(zones)


def _read_services(inventory: _TableReader) -> tuple[_settings.Service, ...]:
    services = []
    hosts: dict[str, str] = {}
    for name, reader in inventory.tables("services"):
        service = _settings.Service(
            name=_ids.ServiceName(name),
            hosts=tuple(host.lower() for host in reader.strings("hosts")),
            servers=reader.integer("servers", 1, 100_000),
            slots=reader.integer("slots", 1, 100_000),
            connections=reader.integer("connections", 1, 100_000),
            cold_concurrency=reader.integer(
                "cold_concurrency",
                1,
                100_000,
                _settings.DEFAULT_COLD_CONCURRENCY,
            ),
            cold_rate_per_s=_read_cold_rate(reader),
            cold_s=reader.integer("cold_ms", 0, _MAX_DEADLINE_MS, 0) / 1000,
        )
        if service.cold_rate_per_s is not None and not service.cold_s:
            reader.report("cold_ms", "is needed with cold_calls_per_s")
        for host in service.hosts:
            if host in hosts:
                reader.report(
                    "hosts",
                    f"{host} is already a host of service {hosts[host]}",
                )
            hosts[host] = name
        reader.reject_unknown()
        services.append(service)
    return tuple(services)


def _read_rollouts(
    inventory: _TableReader, services: tuple[_settings.Service, ...]
) -> tuple[_rollout_orders.RolloutOrder, ...]:
    """Read the orders of roll-outs; a service has at most one."""
    declared = {service.name for service in services}
    orders: dict[str, _rollout_orders.RolloutOrder] = {}
    for reader in inventory.array("rollout"):
        service = _ids.ServiceName(reader.string("service"))
        version = reader.string("version")
        duration_ms = reader.integer(
            "duration_ms", _MIN_ROLLOUT_MS, _MAX_DEADLINE_MS
        )
        name = f"{version}/{duration_ms}"
        if reader.is_given("order"):
            name = reader.string("order")
        if service and service not in declared:
            reader.report("service", "must be a service of the inventory")
        if service in orders:
            reader.report("service", f"{service} has another order")
        if len(version.encode()) > _ids.MAX_SERVER_VERSION_BYTES:
            reader.report("version", "is too long")
        reader.reject_unknown()
        orders[service] = _rollout_orders.RolloutOrder(
            service=service,
            version=_ids.ServerVersion(version),
            duration_s=duration_ms / 1000,
            order=_ids.OrderId(name),
        )
    return tuple(orders.values())


def _read_cold_rate(reader: _TableReader) -> float | None:
    if not reader.is_given("cold_calls_per_s"):
        return None
    return reader.number("cold_calls_per_s", 0.1, _MAX_COLD_RATE, 1.0)


def _read_measuring(reader: _TableReader) -> _settings.ProbeBudget:
    measuring = _settings.ProbeBudget(
        calls_per_s=reader.number(
            "calls_per_s", 0.01, 100, _settings.DEFAULT_PROBES_PER_S
        ),
        slot_share=reader.number(
            "slot_share", 0.00001, 1, _settings.DEFAULT_PROBE_SLOT_SHARE
        ),
    )
    reader.reject_unknown()
    return measuring


def _read_kinds(
    rules: _TableReader,
    services: tuple[_settings.Service, ...],
    default_deadline_ms: int,
) -> tuple[_settings.RequestKind, ...]:
    service_names = {service.name for service in services}
    names: set[str] = set()
    kinds = []
    for reader in rules.array("kinds"):
        kind = _read_kind(reader, default_deadline_ms)
        if kind.name in names:
            reader.report("name", f"{kind.name} is declared twice")
        names.add(kind.name)
        _check_services(reader, kind, service_names)
        reader.reject_unknown()
        kinds.append(kind)
    return tuple(kinds)


def _read_routes(
    rules: _TableReader,
    services: tuple[_settings.Service, ...],
    default_deadline_ms: int,
) -> list[_routes.Route[_settings.RequestKind]]:
    """Read the routes, which match by host and longest path prefix."""
    service_names = {service.name for service in services}
    names_by_location: dict[tuple[str, str], str] = {}
    routes = []
    for reader in rules.array("routes"):
        kind_target = _read_kind_target(reader)
        host = reader.string("host").lower()
        prefix = reader.string("path_prefix")
        if prefix and not (prefix.startswith("/") and prefix.endswith("/")):
            reader.report("path_prefix", "must start and end with '/'")
        kind = _read_kind_options(
            reader,
            kind_target,
            default_deadline_ms,
            methods=frozenset(),
            path=f"{prefix}*",
        )
        location = (host, prefix)
        if location in names_by_location:
            reader.report(
                "path_prefix",
                f"{prefix} is already used by route"
                f" {names_by_location[location]}",
            )
        names_by_location[location] = kind.name
        _check_services(reader, kind, service_names)
        reader.reject_unknown()
        routes.append(_routes.Route(host=host, prefix=prefix, target=kind))
    return routes


def _check_services(
    reader: _TableReader,
    kind: _settings.RequestKind,
    declared: collections.abc.Set[_ids.ServiceName],
) -> None:
    allowed = ", ".join(sorted(declared)) or "none declared"
    message = f"must be a service of {INVENTORY_FILE}: {allowed}"
    if not kind.shares and kind.service and kind.service not in declared:
        reader.report("service", message)
    for share in kind.shares:
        if share.service not in declared:
            reader.report(f"shares.{share.service}", message)


def _read_kind(
    reader: _TableReader, default_deadline_ms: int
) -> _settings.RequestKind:
    kind_target = _read_kind_target(reader)
    methods = reader.strings("methods")
    if not _METHODS.issuperset(methods):
        reader.report(
            "methods", f"must be chosen from: {', '.join(sorted(_METHODS))}"
        )
    path = reader.string("path")
    if path and (not path.startswith("/") or "*" in path.removesuffix("/*")):
        reader.report(
            "path", "must start with '/' and may have '*' only in a final '/*'"
        )
    return _read_kind_options(
        reader,
        kind_target,
        default_deadline_ms,
        methods=frozenset(methods),
        path=path,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _KindTarget:
    """Name of a kind and the services that its calls are sent to."""

    name: str
    service: str
    shares: tuple[_settings.ServiceShare, ...]


def _read_kind_target(reader: _TableReader) -> _KindTarget:
    name = reader.name("name")
    shares = tuple(
        _settings.ServiceShare(service=_ids.ServiceName(part), weight=weight)
        for part, weight in reader.weights("shares").items()
    )
    if shares and reader.is_given("service"):
        reader.report("service", "must not be given together with shares")
    service = shares[0].service if shares else reader.name("service")
    return _KindTarget(name=name, service=service, shares=shares)


def _read_kind_options(
    reader: _TableReader,
    kind_target: _KindTarget,
    default_deadline_ms: int,
    *,
    methods: frozenset[str],
    path: str,
) -> _settings.RequestKind:
    """Read the options that kinds and routes have in common."""
    priorities = tuple(level.name.lower() for level in _priority.Priority)
    priority = reader.choice("priority", priorities, "normal")
    idempotent = reader.boolean("idempotent")
    deadline_ms = reader.integer(
        "deadline_ms", 1, _MAX_DEADLINE_MS, default_deadline_ms
    )
    hedge_after_ms = reader.integer("hedge_after_ms", 0, _MAX_DEADLINE_MS, 0)
    hedging = reader.boolean("hedging", False)
    if hedging and not idempotent:
        reader.report("hedging", "allowed only with idempotent = true")
    target_s = None
    if reader.is_given("target_ms"):
        target_s = reader.integer("target_ms", 1, deadline_ms) / 1000
    return _settings.RequestKind(
        name=_ids.KindName(kind_target.name),
        service=_ids.ServiceName(kind_target.service),
        methods=methods,
        path=path,
        priority=_priority.Priority[priority.upper()],
        idempotent=idempotent,
        deadline_s=deadline_ms / 1000,
        hedging=hedging,
        hedge_after_s=hedge_after_ms / 1000,
        max_slot_share=reader.number("max_slot_share", 0.01, 1, 1.0),
        shares=kind_target.shares,
        max_runs=reader.integer(
            "max_runs", 1, _MAX_RUNS, _settings.DEFAULT_MAX_RUNS
        ),
        target_s=target_s,
        is_public=reader.boolean("public", False),
    )
