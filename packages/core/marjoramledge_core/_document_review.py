"""Review of the operators' documents before they are applied.

Errors are the problems that the parser finds, with their lines.  Warnings are
declarations that nodes accept but that have no effect or contradict each
other.  They are looked for only in documents without errors.
"""

import collections.abc
import dataclasses
import tomllib
import typing

from returns import result

from marjoramledge_core import _document
from marjoramledge_core import _document_lines
from marjoramledge_core import _ids
from marjoramledge_core import _plan
from marjoramledge_core import _rollout_verdict
from marjoramledge_core import _settings
from marjoramledge_core import _workspace_document

# In a shorter roll-out the margin for the promotion and its writes to the
# store is cut, so that a slow store may leave it undecided at its deadline.
MIN_DECIDABLE_ROLLOUT_S: typing.Final = (
    _rollout_verdict.DECISION_MARGIN_S / _rollout_verdict.MAX_MARGIN_SHARE
)
_RULES_TABLES: typing.Final = ("kinds", "routes", "defaults", "measuring")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One error or warning; ``line`` is None if it is not known."""

    file: str
    key: str
    line: int | None
    message: str

    def __str__(self) -> str:
        """Render the finding on one line."""
        place = self.file if self.line is None else f"{self.file}:{self.line}"
        return f"{place}: {self.key}: {self.message}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DocumentReview:
    """Findings of a review; there is no configuration if there are errors."""

    errors: tuple[Finding, ...]
    warnings: tuple[Finding, ...]
    configuration: _settings.Configuration | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LocatedChange:
    """A change and its place in the new documents, as far as it has one."""

    change: _plan.Change
    file: str
    key: str
    line: int | None


_Issue = tuple[str, str]
_Issues = collections.abc.Iterator[_Issue]
_Table = dict[str, typing.Any]
_EarlierKinds = collections.abc.Sequence[
    collections.abc.Mapping[str, _ids.KindName]
]


def review_documents(
    files: collections.abc.Mapping[str, str],
) -> DocumentReview:
    """Check the documents, given by file name."""
    lines = _number_files(files)
    parsed = _document.parse_documents(files)
    if isinstance(parsed, result.Failure):
        errors = tuple(
            _locate_problem(problem, lines) for problem in parsed.failure()
        )
        return DocumentReview(errors=errors, warnings=(), configuration=None)
    configuration = parsed.unwrap()
    earlier = _find_earlier(configuration.kinds)
    inventory = tomllib.loads(files[_document.INVENTORY_FILE])
    rules = tomllib.loads(files[_document.RULES_FILE])
    problems = [
        _document.Problem(file=file, key=key, message=message)
        for file, issues in (
            (
                _document.INVENTORY_FILE,
                _review_inventory(configuration, inventory, earlier),
            ),
            (
                _document.RULES_FILE,
                _review_rules(configuration, rules, earlier),
            ),
        )
        for key, message in issues
    ]
    return DocumentReview(
        errors=(),
        warnings=tuple(_locate_problem(entry, lines) for entry in problems),
        configuration=configuration,
    )


def locate_changes(
    changes: collections.abc.Iterable[_plan.Change],
    files: collections.abc.Mapping[str, str],
) -> tuple[LocatedChange, ...]:
    """Find the places of changes in valid documents.

    A change without a key of its own in the documents has the line of its
    table.
    """
    lines = _number_files(files)
    table_of = _index_tables(
        tomllib.loads(files[_document.INVENTORY_FILE]),
        tomllib.loads(files[_document.RULES_FILE]),
    )
    return tuple(_locate_change(change, lines, table_of) for change in changes)


def _number_files(
    files: collections.abc.Mapping[str, str],
) -> dict[str, dict[str, int]]:
    return {
        name: _document_lines.number_lines(text)
        for name, text in files.items()
    }


def _locate_problem(
    problem: _document.Problem,
    lines: collections.abc.Mapping[str, collections.abc.Mapping[str, int]],
) -> Finding:
    line = _document_lines.find_line(lines.get(problem.file, {}), problem.key)
    if line is None:
        line = _document_lines.find_error_line(problem.message)
    return Finding(
        file=problem.file,
        key=problem.key,
        line=line,
        message=problem.message,
    )


def _index_tables(inventory: _Table, rules: _Table) -> dict[str, str]:
    """Map the items of a plan to the tables of the documents."""
    table_of = {}
    for position, entry in enumerate(inventory.get("workspace", [])):
        table_of[f"workspaces.{entry['name']}"] = f"workspace[{position}]"
    for position, entry in enumerate(inventory.get("rollout", [])):
        table_of[f"rollouts.{entry['service']}"] = f"rollout[{position}]"
    for position, entry in enumerate(rules.get("kinds", [])):
        table_of[f"kinds.{entry['name']}"] = f"kinds[{position}]"
    for position, entry in enumerate(rules.get("routes", [])):
        location = f"{entry['host'].lower()}{entry['path_prefix']}"
        table_of[f"routes.{location}"] = f"routes[{position}]"
    return table_of


def _locate_change(
    change: _plan.Change,
    lines: collections.abc.Mapping[str, collections.abc.Mapping[str, int]],
    table_of: collections.abc.Mapping[str, str],
) -> LocatedChange:
    table, _, field = change.item.rpartition(".")
    key = f"{table_of.get(table, table)}.{field}".lstrip(".")
    is_rule = change.item.partition(".")[0] in _RULES_TABLES
    file = _document.RULES_FILE if is_rule else _document.INVENTORY_FILE
    line = None
    if change.action is not _plan.ChangeAction.REMOVED:
        line = _document_lines.find_line(lines[file], key)
    return LocatedChange(change=change, file=file, key=key, line=line)


def _review_inventory(
    configuration: _settings.Configuration,
    inventory: _Table,
    earlier: _EarlierKinds,
) -> _Issues:
    reached = _find_reached_services(configuration, earlier)
    for service in configuration.services.values():
        if service.name not in reached:
            yield (
                f"services.{service.name}.hosts",
                "no request reaches the service: each of its hosts has "
                "routes, and no route or kind names it",
            )
        yield from _review_cold_limits(configuration, service)
    for position, order in enumerate(configuration.rollouts.values()):
        if order.duration_s < MIN_DECIDABLE_ROLLOUT_S:
            yield (
                f"rollout[{position}].duration_ms",
                "is too short to decide the roll-out with a slow store; "
                f"allow at least {MIN_DECIDABLE_ROLLOUT_S * 1000:.0f}",
            )
    for position, entry in enumerate(inventory.get("workspace", [])):
        key = f"workspace[{position}].key_sha256"
        yield from _review_digests(key, entry.get("key_sha256", []))


def _review_digests(
    key: str, digests: collections.abc.Iterable[str]
) -> _Issues:
    seen: set[str] = set()
    for position, digest in enumerate(map(str.lower, digests)):
        if digest in seen:
            shown = digest[: _workspace_document.SHOWN_DIGITS]
            yield f"{key}[{position}]", f"{shown}... is listed twice"
        seen.add(digest)
    if not seen:
        yield key, "the workspace has no keys, so no request belongs to it"


def _review_cold_limits(
    configuration: _settings.Configuration, service: _settings.Service
) -> _Issues:
    prefix = f"services.{service.name}"
    if service.cold_concurrency > service.slots:
        yield (
            f"{prefix}.cold_concurrency",
            f"is above the {service.slots} slots of a server",
        )
    rate_per_s = service.cold_rate_per_s
    if rate_per_s is None:
        if service.cold_s:
            yield f"{prefix}.cold_ms", "is given without cold_calls_per_s"
        return
    expected_s = configuration.expected_s(service.name)
    if expected_s is None:
        return
    # By Little's law a rate keeps rate times latency slots busy.
    busy = rate_per_s * expected_s
    if busy > service.slots:
        yield (
            f"{prefix}.cold_calls_per_s",
            f"needs {busy:.3g} slots at the expected latency of "
            f"{expected_s * 1000:.3g} ms, and a server has {service.slots}",
        )


def _review_rules(
    configuration: _settings.Configuration,
    rules: _Table,
    earlier: _EarlierKinds,
) -> _Issues:
    for position, kind in enumerate(configuration.kinds):
        key = f"kinds[{position}]"
        yield from _review_matching(configuration, position, earlier[position])
        yield from _review_limits(configuration, key, kind)
    targets = {
        (route.host, route.prefix): route.target
        for route in configuration.routes
    }
    for position, entry in enumerate(rules.get("routes", [])):
        key = f"routes[{position}]"
        host = entry["host"].lower()
        if ":" in host:
            yield (
                f"{key}.host",
                "can never match: hosts are looked up without their ports",
            )
        kind = targets[host, entry["path_prefix"]]
        yield from _review_limits(configuration, key, kind)


def _review_matching(
    configuration: _settings.Configuration,
    position: int,
    earlier_of: collections.abc.Mapping[str, _ids.KindName],
) -> _Issues:
    kind = configuration.kinds[position]
    if not _has_kinds(configuration, kind.service):
        yield (
            f"kinds[{position}].service",
            f"can never match: each host of service {kind.service} has "
            "routes, which are looked up alone",
        )
    if not earlier_of:
        return
    methods = ", ".join(sorted(earlier_of))
    names = ", ".join(sorted(set(earlier_of.values())))
    if len(earlier_of) == len(kind.methods):
        message = f"can never match: earlier kinds match before it: {names}"
    else:
        message = (
            f"can never match {methods}: earlier kinds match before it: "
            f"{names}"
        )
    yield f"kinds[{position}].path", message


def _find_earlier(
    kinds: collections.abc.Iterable[_settings.RequestKind],
) -> _EarlierKinds:
    """Map, for each kind, methods that never get to it to the kind before."""
    kinds_of: dict[_ids.ServiceName, list[_settings.RequestKind]] = {}
    found: list[dict[str, _ids.KindName]] = []
    for kind in kinds:
        earlier_of: dict[str, _ids.KindName] = {}
        earlier_kinds = kinds_of.setdefault(kind.service, [])
        for earlier in earlier_kinds:
            if _covers(earlier, kind):
                for method in earlier.methods & kind.methods:
                    earlier_of.setdefault(method, earlier.name)
        earlier_kinds.append(kind)
        found.append(earlier_of)
    return found


def _covers(
    earlier: _settings.RequestKind, later: _settings.RequestKind
) -> bool:
    """Return whether one kind matches every path of another."""
    if not later.path.endswith("/*"):
        return earlier.matches_path(later.path)
    return earlier.path.endswith("/*") and later.path[:-1].startswith(
        earlier.path[:-1]
    )


def _has_kinds(
    configuration: _settings.Configuration, service: _ids.ServiceName
) -> bool:
    """Return whether a host of a service is looked up among the kinds."""
    return any(
        not configuration.routes.has_host(host)
        for host in configuration.services[service].hosts
    )


def _find_reached_services(
    configuration: _settings.Configuration, earlier: _EarlierKinds
) -> set[_ids.ServiceName]:
    reached = {
        name
        for name in configuration.services
        if _has_kinds(configuration, name)
    }
    targets = [
        kind
        for kind, earlier_of in zip(configuration.kinds, earlier, strict=True)
        if kind.service in reached and len(earlier_of) < len(kind.methods)
    ]
    targets.extend(
        route.target for route in configuration.routes if ":" not in route.host
    )
    return reached.union(*map(_list_services, targets))


def _list_services(kind: _settings.RequestKind) -> set[_ids.ServiceName]:
    return {share.service for share in kind.shares} or {kind.service}


def _review_limits(
    configuration: _settings.Configuration,
    key: str,
    kind: _settings.RequestKind,
) -> _Issues:
    if kind.hedge_after_s and not kind.hedging:
        yield f"{key}.hedge_after_ms", "has no effect without hedging = true"
    if kind.hedging and kind.hedge_after_s >= kind.deadline_s:
        yield (
            f"{key}.hedge_after_ms",
            f"is not below the deadline of {kind.deadline_s * 1000:.0f} ms, "
            "so no call is hedged for its own slowness",
        )
    for name in sorted(_list_services(kind)):
        slots = configuration.services[name].slots
        if kind.max_slot_share * slots < 1.0 - 1e-9:
            yield (
                f"{key}.max_slot_share",
                f"is less than one of the {slots} slots of service {name}; "
                "one call at a time runs on a server",
            )
