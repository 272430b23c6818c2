"""Records of the members that a node knows, and random choices of them.

``_membership`` decides on the status of a member and publishes it; this module
stores the records and picks members at random.
"""

import collections.abc
import random
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _members

# How long the record of a departed member is retained, so that outdated
# updates of it are recognised and a partition can be healed through it.
DEPARTED_RETENTION_S: typing.Final = 600.0

DEPARTED: typing.Final = frozenset(
    {_members.MemberStatus.FAILED, _members.MemberStatus.LEFT}
)


class Roster:
    """Records of all known members.

    Parameters
    ----------
    myself
        Initial record of this node.
    """

    def __init__(self, *, myself: _members.Member) -> None:
        self._myself = myself
        self._members: dict[_ids.NodeId, _members.Member] = {
            myself.node: myself
        }
        self._departed_at: dict[_ids.NodeId, float] = {}
        self._probe_order: list[_ids.NodeId] = []
        self._revision = 0
        self._max_present_count = 1

    @property
    def myself(self) -> _members.Member:
        """Record of this node itself."""
        return self._myself

    @property
    def members(
        self,
    ) -> collections.abc.Mapping[_ids.NodeId, _members.Member]:
        """All known members by node, including departed ones."""
        return self._members

    @property
    def revision(self) -> int:
        """Number that increases whenever a record changes."""
        return self._revision

    @property
    def present_count(self) -> int:
        """Number of members that have not departed, including this one."""
        return len(self._members) - len(self._departed_at)

    @property
    def max_present_count(self) -> int:
        """Highest value that ``present_count`` has had."""
        return self._max_present_count

    def replace_myself(self, record: _members.Member) -> None:
        """Replace the record of this node."""
        self._myself = record
        self._members[record.node] = record
        self._revision += 1

    def put(self, member: _members.Member, now: float) -> None:
        """Add or replace the record of another node."""
        self._members[member.node] = member
        self._revision += 1
        if member.status in DEPARTED:
            self._departed_at[member.node] = now
        else:
            self._departed_at.pop(member.node, None)
        self._max_present_count = max(
            self._max_present_count, self.present_count
        )

    def forget_departed(self, now: float) -> list[_ids.NodeId]:
        """Remove members that departed long ago; return their nodes."""
        expired = [
            node
            for node, departed_at in self._departed_at.items()
            if now - departed_at > DEPARTED_RETENTION_S
        ]
        for node in expired:
            del self._departed_at[node]
            del self._members[node]
            self._revision += 1
        return expired

    def next_probe_target(self, rng: random.Random) -> _members.Member | None:
        """Return the next member to probe, or None if there is no other.

        Each round goes through all members once, in a new random order.
        """
        for _ in range(2):
            while self._probe_order:
                member = self._members.get(self._probe_order.pop())
                if member is not None and member.status not in DEPARTED:
                    return member
            self._probe_order = [
                node for node in self._members if node != self._myself.node
            ]
            rng.shuffle(self._probe_order)
        return None

    def list_others(self) -> list[_members.Member]:
        """Return the other members that have not departed."""
        return [
            member
            for member in self._members.values()
            if member.status not in DEPARTED
            and member.node != self._myself.node
        ]

    def list_in_zone(self, *, confirmed_only: bool) -> list[_ids.NodeId]:
        """Return the live nodes of the local zone, sorted.

        Members known from the store alone are not confirmed: they may be
        gone.
        """
        return sorted(
            member.node
            for member in self._members.values()
            if member.zone == self._myself.zone
            and member.status is _members.MemberStatus.ALIVE
            and (member.is_confirmed or not confirmed_only)
        )

    def pick_present(
        self,
        count: int,
        rng: random.Random,
        excluded: _ids.NodeId | None = None,
        zone: _ids.ZoneName | None = None,
    ) -> list[_members.Member]:
        """Pick up to ``count`` other present members at random."""
        nodes = [
            node
            for node, member in self._members.items()
            if zone is None or member.zone == zone
        ]
        picked: list[_members.Member] = []
        # Four draws per member suffice unless most members have departed.
        for _ in range(4 * count):
            member = self._members[nodes[int(rng.random() * len(nodes))]]
            if (
                member.node not in (self._myself.node, excluded)
                and member.status not in DEPARTED
                and member not in picked
            ):
                picked.append(member)
                if len(picked) == count:
                    break
        return picked

    def list_addresses(self) -> set[_members.Address]:
        """Return the addresses of other members that have not left.

        Failed members are included: a partition is healed through them.
        """
        return {
            member.address
            for member in self._members.values()
            if member.status is not _members.MemberStatus.LEFT
            and member.address != self._myself.address
        }


def list_first_of_zones(
    members: collections.abc.Iterable[_members.Member],
    count: int,
    *,
    confirmed_only: bool = False,
) -> tuple[_members.Member, ...]:
    """Return the first live member by name in each of the first zones.

    All nodes with the same members choose the same, at most ``count``.
    """
    first_of_zone: dict[_ids.ZoneName, _members.Member] = {}
    for member in members:
        if member.status is not _members.MemberStatus.ALIVE:
            continue
        if confirmed_only and not member.is_confirmed:
            continue
        first = first_of_zone.get(member.zone)
        if first is None or member.node < first.node:
            first_of_zone[member.zone] = member
    return tuple(first_of_zone[zone] for zone in sorted(first_of_zone)[:count])
