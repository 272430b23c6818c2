"""Member updates and request suspicions that wait to be gossiped.

Each update is piggybacked on a limited number of messages and then dropped.
A number proportional to the logarithm of the number of members reaches all of
them with high probability.  ``_membership`` decides what to publish and where
to send it; this queue only counts transmissions.

Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", DSN 2002, section 4.1.
"""

import heapq
import math
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _quarantine

# At about 70 bytes per member, keeps a datagram below the usual path MTU.
MAX_UPDATES_PER_MESSAGE: typing.Final = 14
TRANSMISSIONS_PER_LOG: typing.Final = 2
# Retransmissions of a suspicion that was already sent to every member.  Each
# member sends and receives two or three messages per second, so one that lost
# that message still receives the suspicion within about three seconds.
TRANSMISSIONS_AFTER_BROADCAST: typing.Final = 6


class UpdateQueue:
    """Updates and suspicions with their remaining transmissions."""

    def __init__(self) -> None:
        self._members: dict[_ids.NodeId, int] = {}
        self._suspicions: dict[
            _ids.Fingerprint, tuple[_quarantine.Suspicion, int]
        ] = {}

    @property
    def has_members(self) -> bool:
        """Whether an update of a member waits to be sent."""
        return bool(self._members)

    def add_member(self, node: _ids.NodeId, *, member_count: int) -> None:
        """Queue the record of a member for gossip.

        Replaces the count of a record that is already queued.
        """
        self._members[node] = _count_transmissions(member_count)

    def ensure_queued(self, node: _ids.NodeId) -> None:
        """Queue the record of a member for at least one message."""
        self._members.setdefault(node, 1)

    def drop_member(self, node: _ids.NodeId) -> None:
        """Remove the record of a member from the queue."""
        self._members.pop(node, None)

    def add_suspicion(
        self,
        suspicion: _quarantine.Suspicion,
        *,
        member_count: int,
        was_broadcast: bool,
    ) -> None:
        """Queue a suspicion for gossip, joined with a queued one.

        After a broadcast to all members, fewer transmissions are needed: they
        only reach members that lost that message.
        """
        transmissions = TRANSMISSIONS_AFTER_BROADCAST
        if not was_broadcast:
            transmissions = _count_transmissions(member_count)
        queued = self._suspicions.pop(suspicion.fingerprint, None)
        if queued is not None:
            suspicion = queued[0].join(suspicion)
        self._suspicions[suspicion.fingerprint] = (suspicion, transmissions)
        while len(self._suspicions) > _quarantine.MAX_SUSPECTS:
            del self._suspicions[next(iter(self._suspicions))]

    def select_members(self, required: list[_ids.NodeId]) -> list[_ids.NodeId]:
        """Select the member records for the next message.

        The records of ``required`` come first, queued or not, then the queued
        ones with the most transmissions remaining.  Each queued record that
        is selected uses up one of its transmissions.
        """
        chosen = list(required)
        candidates = heapq.nlargest(
            MAX_UPDATES_PER_MESSAGE,
            self._members,
            key=self._members.__getitem__,
        )
        chosen.extend(node for node in candidates if node not in chosen)
        del chosen[MAX_UPDATES_PER_MESSAGE:]
        for node in chosen:
            remaining = self._members.get(node)
            if remaining is None:
                continue
            if remaining <= 1:
                del self._members[node]
            else:
                self._members[node] = remaining - 1
        return chosen

    def select_suspicions(self) -> tuple[_quarantine.Suspicion, ...]:
        """Select the suspicions for the next message.

        The most recently queued are selected; each uses up a transmission.
        """
        if not self._suspicions:
            return ()
        chosen = list(self._suspicions)[
            -_quarantine.MAX_SUSPICIONS_PER_MESSAGE :
        ]
        selected = []
        for fingerprint in chosen:
            suspicion, remaining = self._suspicions[fingerprint]
            selected.append(suspicion)
            if remaining <= 1:
                del self._suspicions[fingerprint]
            else:
                self._suspicions[fingerprint] = (suspicion, remaining - 1)
        return tuple(selected)


def _count_transmissions(member_count: int) -> int:
    return TRANSMISSIONS_PER_LOG * math.ceil(math.log2(member_count + 1))
