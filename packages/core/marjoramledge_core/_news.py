"""What a node still has to tell others: news of members, and suspicions.

Each piece rides on as many messages as it takes to reach everyone with near
certainty, about the logarithm of the number of members, and is then dropped.
``_membership`` decides what is news and whom to tell; this queue only counts.

Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", DSN 2002, section 4.1.
"""

import heapq
import math
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _quarantine

# Keeps a datagram below the usual path MTU at about 70 bytes a member.
NEWS_PER_MESSAGE: typing.Final = 14
TRANSMISSIONS_PER_LOG: typing.Final = 2
# Messages that repeat what most have got: every member sends and receives two
# or three a second, so whoever missed it hears it within some three seconds.
RIDES_FOR_FEW: typing.Final = 6


class UpdateQueue:
    """Counts how often each piece of news is still to be told."""

    def __init__(self) -> None:
        self._members: dict[_ids.NodeId, int] = {}
        self._suspicions: dict[
            _ids.Fingerprint, tuple[_quarantine.Suspicion, int]
        ] = {}

    @property
    def has_members(self) -> bool:
        """Whether news of a member waits to be told."""
        return bool(self._members)

    def add_member(self, node: _ids.NodeId, *, known: int) -> None:
        """Spread the record of a member among ``known`` members."""
        self._members[node] = _count_transmissions(known)

    def add_once(self, node: _ids.NodeId) -> None:
        """Tell the record of a member in one more message at least."""
        self._members.setdefault(node, 1)

    def drop_member(self, node: _ids.NodeId) -> None:
        """Tell no more of a member."""
        self._members.pop(node, None)

    def add_suspicion(
        self,
        suspicion: _quarantine.Suspicion,
        *,
        known: int,
        is_known_to_most: bool,
    ) -> None:
        """Spread a suspicion among ``known`` members.

        When all have been sent it already, it rides along only for the few
        that have not got it.
        """
        times = RIDES_FOR_FEW
        if not is_known_to_most:
            times = _count_transmissions(known)
        riding = self._suspicions.pop(suspicion.fingerprint, None)
        if riding is not None:
            suspicion = riding[0].join(suspicion)
        self._suspicions[suspicion.fingerprint] = (suspicion, times)
        while len(self._suspicions) > _quarantine.MAX_SUSPECTS:
            del self._suspicions[next(iter(self._suspicions))]

    def merge_members(self, first: list[_ids.NodeId]) -> list[_ids.NodeId]:
        """Choose the members that the next message tells of.

        Those of ``first`` always; then the least often told news.
        """
        chosen = list(first)
        fresh = heapq.nlargest(
            NEWS_PER_MESSAGE, self._members, key=self._members.__getitem__
        )
        chosen.extend(node for node in fresh if node not in chosen)
        del chosen[NEWS_PER_MESSAGE:]
        for node in chosen:
            left = self._members.get(node)
            if left is None:
                continue
            if left <= 1:
                del self._members[node]
            else:
                self._members[node] = left - 1
        return chosen

    def take_suspicions(self) -> tuple[_quarantine.Suspicion, ...]:
        """Choose the suspicions that the next message tells of."""
        if not self._suspicions:
            return ()
        chosen = list(self._suspicions)[-_quarantine.MAX_TOLD :]
        told = []
        for fingerprint in chosen:
            suspicion, left = self._suspicions[fingerprint]
            told.append(suspicion)
            if left <= 1:
                del self._suspicions[fingerprint]
            else:
                self._suspicions[fingerprint] = (suspicion, left - 1)
        return tuple(told)


def _count_transmissions(known: int) -> int:
    return TRANSMISSIONS_PER_LOG * math.ceil(math.log2(known + 1))
