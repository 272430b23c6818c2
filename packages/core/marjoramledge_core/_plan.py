"""Human-readable difference between two configurations.

The operator command shows it before an apply, and again after an apply that
conflicted with another one.
"""

import collections.abc
import dataclasses
import enum

from marjoramledge_core import _rollout_orders
from marjoramledge_core import _settings
from marjoramledge_core import _workspace_document


class ChangeAction(enum.Enum):
    """Kind of change of a declared item, with its symbol for display."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One changed item; the values are rendered for display."""

    action: ChangeAction
    item: str
    before: str
    after: str

    def __str__(self) -> str:
        """Render the change on one line."""
        if self.action is ChangeAction.CHANGED:
            return f"~ {self.item}: {self.before} -> {self.after}"
        return f"{self.action.value} {self.item}: {self.before or self.after}"


def compare_configurations(
    before: _settings.Configuration | None, after: _settings.Configuration
) -> tuple[Change, ...]:
    """List the changes from ``before`` to ``after``, sorted by item."""
    old = {} if before is None else _flatten(before)
    new = _flatten(after)
    changes = []
    for item in sorted(old.keys() | new.keys()):
        if old.get(item) == new.get(item):
            continue
        changes.append(
            Change(
                action=_find_action(item, old, new),
                item=item,
                before=old.get(item, ""),
                after=new.get(item, ""),
            )
        )
    return tuple(changes)


def _find_action(
    item: str,
    old: collections.abc.Mapping[str, str],
    new: collections.abc.Mapping[str, str],
) -> ChangeAction:
    if item not in old:
        return ChangeAction.ADDED
    if item not in new:
        return ChangeAction.REMOVED
    return ChangeAction.CHANGED


def _flatten(configuration: _settings.Configuration) -> dict[str, str]:
    items = {
        "organisation": configuration.organisation,
        "measuring.calls_per_s": f"{configuration.measuring.calls_per_s:g}",
        "measuring.slot_share": f"{configuration.measuring.slot_share:g}",
        "defaults.deadline_s": f"{configuration.default_deadline_s:g}",
    }
    items.update(
        _workspace_document.flatten_workspaces(configuration.workspaces)
    )
    for zone in configuration.zones.values():
        _add_fields(items, f"zones.{zone.name}", zone)
    for service in configuration.services.values():
        _add_fields(items, f"services.{service.name}", service)
    for position, kind in enumerate(configuration.kinds):
        _add_fields(items, f"kinds.{kind.name}", kind)
        items[f"kinds.{kind.name}.position"] = str(position)
    for route in configuration.routes:
        location = f"routes.{route.host}{route.prefix}"
        items[f"{location}.name"] = route.target.name
        _add_fields(items, location, route.target)
    for order in configuration.rollouts.values():
        _add_fields(items, f"rollouts.{order.service}", order)
    return items


def _add_fields(
    items: dict[str, str],
    prefix: str,
    value: (
        _settings.Zone
        | _settings.Service
        | _settings.RequestKind
        | _rollout_orders.RolloutOrder
    ),
) -> None:
    for field in dataclasses.fields(value):
        if field.name != "name":
            entry = getattr(value, field.name)
            items[f"{prefix}.{field.name}"] = _render(entry)


def _render(value: object) -> str:
    if isinstance(value, frozenset | tuple):
        return ",".join(sorted(map(_render, value)))
    if isinstance(value, _settings.ServiceShare):
        return f"{value.service}={value.weight:g}"
    if isinstance(value, _settings.Priority):
        return value.name.lower()
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)
