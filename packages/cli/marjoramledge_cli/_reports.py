"""Texts that the command prints."""

import collections
import collections.abc
import dataclasses
import json

from marjoramledge_core import configuration

from marjoramledge_cli import _fleet_client


def format_plan(
    base: int, changes: collections.abc.Sequence[configuration.Change]
) -> str:
    """Render what an apply would change."""
    if not changes:
        return f"Nothing to change; version {base} is the same."
    lines = [f"Changes to version {base}:"]
    lines.extend(f"  {change}" for change in changes)
    return "\n".join(lines)


def format_manifest(manifest: configuration.Manifest) -> str:
    """Render one accepted version on one line."""
    return (
        f"{manifest.version:>5}  {manifest.created_at[:19]}Z  "
        f"{manifest.author}  {manifest.note}"
    )


def format_status(status: _fleet_client.NodeStatus) -> str:
    """Render how a fleet stands, as one node sees it."""
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
    return "\n".join(lines)


def format_status_json(status: _fleet_client.NodeStatus) -> str:
    """Render how a fleet stands as JSON."""
    return json.dumps(dataclasses.asdict(status), indent=2)
