"""Up to when the configuration in force is known to be the newest one.

A read of the store that began at some instant, and showed the version in
force or an older one, confirms that version up to that instant: whatever was
acknowledged earlier is part of it.  A node that admits a request with a key
only while its confirmation is younger than a limit runs no request with a
revoked key that was sent later than that limit after the revocation.

All times are of this node's clock.  An age that a peer tells counts from the
instant at which this node asked for it, so a delay makes it older, not newer.
"""

import collections
import dataclasses
import math
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _manifest
from marjoramledge_core import _members
from marjoramledge_core import _version_numbers

# Clocks that count the same time on two VMs differ by far less than this
# fraction of it.
CLOCK_MARGIN: typing.Final = 0.02
# Era of a store that has never been restored.
FIRST_ERA: typing.Final = 1
# Open questions to peers, and versions that are not in force yet.
MAX_OPEN_ASKS: typing.Final = 32
MAX_PENDING: typing.Final = 8
# Delay after the first failed read of last resort.
MIN_RETRY_S: typing.Final = 0.5
# Time within which a peer answers unless something is wrong.
ANSWER_S: typing.Final = 0.3
# Asks that the share of answering peers is estimated from.
COUNTED_ASKS: typing.Final = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmedVersion:
    """A version that was the newest one at an instant.

    ``by`` is the node that read the store.  ``is_own_read`` is false if a
    peer told of it.
    """

    ref: _manifest.VersionRef
    at: float
    by: _ids.NodeId
    is_own_read: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class _Ask:
    target: _ids.NodeId
    at: float
    is_answered: bool = False


class Confirmation:
    """Confirmation of the version in force, and what may still confirm it."""

    def __init__(self) -> None:
        self._era = _version_numbers.UNKNOWN_ERA
        self._at = -math.inf
        self._by = _ids.NO_NODE
        self._is_agreed = False
        self._unreadable = _ids.NO_CONFIGURATION
        self._pending: collections.OrderedDict[
            _ids.ConfigVersion, ConfirmedVersion
        ] = collections.OrderedDict()
        self._asks: collections.OrderedDict[int, _Ask] = (
            collections.OrderedDict()
        )

    @property
    def by(self) -> _ids.NodeId:
        """Node whose read of the store confirmed the version in force."""
        return self._by

    def age_s(self, now: float) -> float:
        """Seconds since the version in force was the newest; may be inf."""
        return now - self._at

    def settle(self, in_force: _manifest.VersionRef) -> None:
        """Apply what is known to the version that is in force now."""
        era = _version_numbers.era_of(in_force.version)
        if era != self._era:
            # Numbers of another era say nothing about this one.
            self._era = era
            self._at = -math.inf
            self._by = _ids.NO_NODE
            self._is_agreed = False
            self._asks.clear()
        for version, confirmed in list(self._pending.items()):
            if self._covers(in_force, version):
                del self._pending[version]
                self._apply(in_force, confirmed)
            elif version <= in_force.version:
                # Of an era that has ended.
                del self._pending[version]

    def note(
        self, confirmed: ConfirmedVersion, in_force: _manifest.VersionRef
    ) -> None:
        """Note a confirmed version, which may not be in force here yet."""
        self.settle(in_force)
        version = confirmed.ref.version
        if self._covers(in_force, version):
            self._apply(in_force, confirmed)
        elif version > in_force.version:
            known = self._pending.get(version)
            if known is None or known.at < confirmed.at:
                self._pending[version] = confirmed
            while len(self._pending) > MAX_PENDING:
                self._pending.popitem(last=False)

    def note_unreadable(self, version: _ids.ConfigVersion) -> None:
        """Note a version that this node can't read, and goes on without."""
        self._unreadable = max(self._unreadable, version)

    def note_peer_version(
        self, named: _manifest.VersionRef, in_force: _manifest.VersionRef
    ) -> None:
        """Note the version that a peer has in force."""
        self.settle(in_force)
        if named == in_force:
            self._is_agreed = True

    def knows_newest(
        self, wanted: _manifest.VersionRef, in_force: _manifest.VersionRef
    ) -> bool:
        """Return whether this node has heard of no newer version."""
        return wanted.version <= in_force.version or self._covers(
            in_force, wanted.version
        )

    def open_ask(self, sequence: int, target: _ids.NodeId, now: float) -> None:
        """Note that a peer is asked for its confirmation."""
        self._asks[sequence] = _Ask(target=target, at=now)
        while len(self._asks) > MAX_OPEN_ASKS:
            self._asks.popitem(last=False)

    def close_ask(self, sequence: int, sender: _ids.NodeId) -> float | None:
        """Return when an answered question was asked; None if unknown."""
        ask = self._asks.get(sequence)
        if ask is None or ask.target != sender or ask.is_answered:
            return None
        ask.is_answered = True
        return ask.at

    def answering_share(self, now: float) -> float:
        """Estimate the share of the members that answer this node."""
        recent = [
            ask
            for ask in self._asks.values()
            if ask.is_answered or now - ask.at > ANSWER_S
        ][-COUNTED_ASKS:]
        if not recent:
            return 1.0
        return sum(ask.is_answered for ask in recent) / len(recent)

    def _covers(
        self,
        in_force: _manifest.VersionRef,
        version: _ids.ConfigVersion,
    ) -> bool:
        """Return whether a version of this era is in force or superseded."""
        newest = in_force.version
        era = _version_numbers.era_of(newest)
        if _version_numbers.era_of(self._unreadable) == era:
            newest = max(newest, self._unreadable)
        return (
            version <= newest
            and _version_numbers.era_of(version) == era
            and in_force != _manifest.NO_VERSION
        )

    def _apply(
        self, in_force: _manifest.VersionRef, confirmed: ConfirmedVersion
    ) -> None:
        if self._era > FIRST_ERA:
            # The restored store may lack what had been acknowledged before.
            # Nodes that were connected have kept it, so the content in force
            # must be the same as that of one of them.
            is_same = confirmed.ref.digest == in_force.digest
            if confirmed.is_own_read and not self._is_agreed:
                return
            if not confirmed.is_own_read and not is_same:
                return
        if confirmed.at > self._at:
            self._at = confirmed.at
            self._by = confirmed.by


@dataclasses.dataclass(slots=True, kw_only=True)
class ConfirmationRounds:
    """State of the questions to peers and of the reads of last resort.

    ``failed_asks`` counts the questions since an answer was of use, and
    ``hint`` is a stand-in that has informed this node.
    """

    is_running: bool = False
    is_proven: bool = False
    failed_asks: int = 0
    hint: _ids.NodeId = _ids.NO_NODE
    is_stand_in: bool = False
    read_began_at: float = -math.inf
    is_reading: bool = False
    asked_at: float = -math.inf
    retry_at: float = -math.inf
    retry_s: float = MIN_RETRY_S
    readers: tuple[_members.Member, ...] = ()
    relays: tuple[_members.Member, ...] = ()
    members_revision: int = -1


def is_within(age_s: float, limit_s: float) -> bool:
    """Return whether an age is below a limit that other clocks measure."""
    return age_s <= limit_s * (1.0 - CLOCK_MARGIN)
