"""Formatting of the command's output."""

import collections
import collections.abc
import dataclasses
import json

from marjoramledge_core import configuration

from marjoramledge_cli import _fleet_client
from marjoramledge_cli import _review


def format_plan(
    base: int, changes: collections.abc.Sequence[configuration.Change]
) -> str:
    """Format the changes that an apply would make."""
    if not changes:
        return f"No changes; version {base} has the same content."
    lines = [f"Changes to version {base}:"]
    lines.extend(f"  {change}" for change in changes)
    return "\n".join(lines)


def format_review(review: _review.Review) -> str:
    """Format a review with a section for each sort of finding."""
    lines = []
    for title, entries in (
        ("Errors", review.errors),
        ("Warnings", review.warnings),
    ):
        if entries:
            lines.append(f"{title}:")
            lines.extend(f"  {entry}" for entry in entries)
    if review.changes is not None:
        lines.append(f"Differences from {review.base}:")
        lines.extend(map(_format_change, review.changes))
        if not review.changes:
            lines.append("  none")
    lines.append(
        f"{len(review.errors)} errors, {len(review.warnings)} warnings"
    )
    return "\n".join(lines)


def format_review_json(review: _review.Review) -> str:
    """Format a review as one JSON object.

    ``differences`` is null if the documents were not compared.
    """
    differences = None
    if review.changes is not None:
        differences = [
            {
                "file": entry.file,
                "key": entry.key,
                "line": entry.line,
                "action": entry.change.action.name.lower(),
                "item": entry.change.item,
                "before": entry.change.before,
                "after": entry.change.after,
            }
            for entry in review.changes
        ]
    fields = {
        "errors": [dataclasses.asdict(entry) for entry in review.errors],
        "warnings": [dataclasses.asdict(entry) for entry in review.warnings],
        "against": review.base or None,
        "differences": differences,
    }
    return json.dumps(fields, indent=2)


def _format_change(entry: configuration.LocatedChange) -> str:
    place = entry.file if entry.line is None else f"{entry.file}:{entry.line}"
    return f"  {place}: {entry.change}"


def format_manifest(manifest: configuration.Manifest) -> str:
    """Format one accepted version on one line."""
    return (
        f"{manifest.version:>5}  {manifest.created_at[:19]}Z  "
        f"{manifest.author}  {manifest.note}"
    )


def format_status(status: _fleet_client.NodeStatus) -> str:
    """Format the status of a fleet as a table, as seen by one node."""
    lines = [
        f"As seen by {status.node_id} in {status.zone}: "
        f"version {status.version}, "
        f"store {'up' if status.is_store_up else 'DOWN'}",
        "",
        f"{'ZONE':<16}{'SERVICE':<16}{'SERVERS':<12}MEMBERS",
    ]
    groups: dict[tuple[str, str], list[_fleet_client.MemberStatus]] = (
        collections.defaultdict(list)
    )
    for member in status.members:
        groups[member.zone, member.service or "-"].append(member)
    for (zone, service), members in sorted(groups.items()):
        serving_count = sum(m.server in ("cold", "warm") for m in members)
        notes = ", ".join(
            f"{member.node_id} {member.status}/{member.server}"
            for member in members
            if (member.status, member.server) != ("alive", "warm")
        )
        lines.append(
            f"{zone:<16}{service:<16}"
            f"{f'{serving_count} of {len(members)}':<12}{notes or 'all warm'}"
        )
    for rollout in status.rollouts:
        stored = "stored" if rollout.is_stored else "not stored yet"
        lines.append("")
        lines.append(
            f"Roll-out of {rollout.service} to {rollout.version} "
            f"(order {rollout.order}): {rollout.phase}, {stored}, "
            f"began {rollout.age_s:.1f} s ago"
        )
        if rollout.reason:
            lines.append(f"  {rollout.reason}")
        lines.extend(f"  {counts}" for counts in rollout.counts)
    return "\n".join(lines)


def format_status_json(status: _fleet_client.NodeStatus) -> str:
    """Format the status of a fleet as JSON."""
    return json.dumps(dataclasses.asdict(status), indent=2)
