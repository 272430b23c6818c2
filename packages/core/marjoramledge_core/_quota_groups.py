"""Groups of workspaces, the nodes that own them, and those that vote.

The limits of a group are decided by one node.  A few groups for the whole
fleet keep the number of polls small.
"""

import collections
import collections.abc
import functools
import hashlib
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _members

# With two groups, an owner on a small VM handled 1,100 datagrams a second and
# replied too late beside a burst of traffic.
GROUPS: typing.Final = 6
# Nodes that have a share of the limits.  In larger fleets only these vote, so
# that the polls of a large fleet cost no more than those of 12 nodes: 270
# datagrams a second at each owner.
MAX_VOTERS: typing.Final = 12
# Nodes that an entry may ask: three may be lost before the view is current.
MAX_CANDIDATES: typing.Final = 4

_PRESENT: typing.Final = frozenset(
    {_members.MemberStatus.ALIVE, _members.MemberStatus.SUSPECT}
)


def group_of(workspace: _ids.WorkspaceName) -> int:
    """Return the group of a workspace; it is the same at every node."""
    return _hash("group", workspace) % GROUPS


class GroupView:
    """Candidates for the owner of each group, and the voters.

    It is computed again when the member records have changed.
    """

    def __init__(self) -> None:
        self._revision = -1
        self._candidates: list[list[_members.Member]] = []
        self._voters: list[_members.Member] = []

    def refresh(
        self,
        members: collections.abc.Mapping[_ids.NodeId, _members.Member],
        revision: int,
    ) -> None:
        """Take over the records of the members."""
        if revision == self._revision:
            return
        self._revision = revision
        present = [m for m in members.values() if m.status in _PRESENT]
        self._candidates = [
            _first_candidates(group, present) for group in range(GROUPS)
        ]
        # Failed members may live on the other side of a partition and use
        # their shares there.
        voters = [
            member
            for member in members.values()
            if member.status is not _members.MemberStatus.LEFT
        ]
        self._voters = _take_by_zone(voters)[:MAX_VOTERS]

    @property
    def voters(self) -> list[_members.Member]:
        """The members that have a share of the limits, in a fixed order."""
        return self._voters

    def candidates(self, group: int) -> list[_members.Member]:
        """Return the first candidates for the owner of a group."""
        return self._candidates[group]

    def index_of(self, node: _ids.NodeId) -> int | None:
        """Return the position of a voter, or None if it has no share."""
        for index, member in enumerate(self._voters):
            if member.node == node:
                return index
        return None


def rank(group: int, node: _ids.NodeId) -> int:
    """Return the rank of a node as the owner of a group; the least wins."""
    return _hash(f"owner{group}", node)


def _first_candidates(
    group: int, present: list[_members.Member]
) -> list[_members.Member]:
    ranked = sorted(present, key=lambda member: rank(group, member.node))
    return ranked[:MAX_CANDIDATES]


def _take_by_zone(
    members: collections.abc.Iterable[_members.Member],
) -> list[_members.Member]:
    """Order members by hash, with one of each zone in turn.

    So the loss of a zone takes no more than its part of the shares.
    """
    turns: collections.Counter[_ids.ZoneName] = collections.Counter()
    ordered = []
    for member in sorted(members, key=lambda m: _hash("voter", m.node)):
        ordered.append((turns[member.zone], member.zone, member))
        turns[member.zone] += 1
    ordered.sort(key=lambda entry: entry[:2])
    return [member for _, _, member in ordered]


@functools.lru_cache(maxsize=16_384)
def _hash(purpose: str, name: str) -> int:
    digest = hashlib.sha256(f"{purpose}:{name}".encode()).digest()
    return int.from_bytes(digest[:8])
