"""The members that a node knows, and picks of them.

``_membership`` decides what becomes of a member and tells others; here are
the records, the departed ones among them for a while, so that old news is
known to be old, and the ways in which members are picked at random.
"""

import collections.abc
import random
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _members

# How long a departed member is remembered, so that old news of it is known
# to be old and a partition can be healed through it.
REMEMBER_DEPARTED_S: typing.Final = 600.0

DEPARTED: typing.Final = frozenset(
    {_members.MemberStatus.FAILED, _members.MemberStatus.LEFT}
)


class Roster:
    """Records of members by node.

    Parameters
    ----------
    myself
        Own record of this node.
    """

    def __init__(self, *, myself: _members.Member) -> None:
        self._myself = myself
        self._members: dict[_ids.NodeId, _members.Member] = {
            myself.node: myself
        }
        self._departed_at: dict[_ids.NodeId, float] = {}
        self._round: list[_ids.NodeId] = []
        self._revision = 0
        self._most_present = 1

    @property
    def myself(self) -> _members.Member:
        """Own record of this node."""
        return self._myself

    @property
    def members(
        self,
    ) -> collections.abc.Mapping[_ids.NodeId, _members.Member]:
        """All members known, departed ones included."""
        return self._members

    @property
    def revision(self) -> int:
        """Number that grows whenever a record changes."""
        return self._revision

    @property
    def present_count(self) -> int:
        """Members that have not departed, this one included."""
        return len(self._members) - len(self._departed_at)

    @property
    def max_present_count(self) -> int:
        """Most members that have been present at once."""
        return self._most_present

    def replace_myself(self, record: _members.Member) -> None:
        """Put another record of this node in place of the one so far."""
        self._myself = record
        self._members[record.node] = record
        self._revision += 1

    def store(self, member: _members.Member, now: float) -> None:
        """Keep the record of another node."""
        self._members[member.node] = member
        self._revision += 1
        if member.status in DEPARTED:
            self._departed_at[member.node] = now
        else:
            self._departed_at.pop(member.node, None)
        self._most_present = max(self._most_present, self.present_count)

    def forget_departed(self, now: float) -> list[_ids.NodeId]:
        """Forget members that departed long ago; return which."""
        expired = [
            node
            for node, departed_at in self._departed_at.items()
            if now - departed_at > REMEMBER_DEPARTED_S
        ]
        for node in expired:
            del self._departed_at[node]
            del self._members[node]
            self._revision += 1
        return expired

    def take_next(self, rng: random.Random) -> _members.Member | None:
        """Take the next member of a round through all in random order."""
        for _ in range(2):
            while self._round:
                member = self._members.get(self._round.pop())
                if member is not None and member.status not in DEPARTED:
                    return member
            self._round = [
                node for node in self._members if node != self._myself.node
            ]
            rng.shuffle(self._round)
        return None

    def list_others(self) -> list[_members.Member]:
        """List the members that are present, without this one."""
        return [
            member
            for member in self._members.values()
            if member.status not in DEPARTED
            and member.node != self._myself.node
        ]

    def list_confirmed_in_zone(self) -> list[_ids.NodeId]:
        """List the living nodes of the own zone that have told of it."""
        return sorted(
            member.node
            for member in self._members.values()
            if member.zone == self._myself.zone
            and member.status is _members.MemberStatus.ALIVE
            and member.is_confirmed
        )

    def pick_present(
        self,
        count: int,
        rng: random.Random,
        without: _ids.NodeId | None = None,
        zone: _ids.ZoneName | None = None,
    ) -> list[_members.Member]:
        """Pick some other members that are present at random."""
        nodes = [
            node
            for node, member in self._members.items()
            if zone is None or member.zone == zone
        ]
        picked: list[_members.Member] = []
        # A few draws find enough of them unless most have departed.
        for _ in range(4 * count):
            member = self._members[nodes[int(rng.random() * len(nodes))]]
            if (
                member.node not in (self._myself.node, without)
                and member.status not in DEPARTED
                and member not in picked
            ):
                picked.append(member)
                if len(picked) == count:
                    break
        return picked

    def list_addresses(self) -> set[_members.Address]:
        """List where other members are that have not left for good."""
        return {
            member.address
            for member in self._members.values()
            if member.status is not _members.MemberStatus.LEFT
            and member.address != self._myself.address
        }
