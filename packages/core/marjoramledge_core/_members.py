"""Member records and the membership messages that nodes exchange.

The node package encodes and signs these values for the wire; the core only
sees them decoded and authenticated.
"""

import dataclasses
import enum
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _manifest
from marjoramledge_core import _quarantine
from marjoramledge_core import _quota_messages
from marjoramledge_core import _reports
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _server_status


class MemberStatus(enum.IntEnum):
    """Status of a member.

    Of two records with the same incarnation, the greater status wins.
    """

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class ServerState(enum.IntEnum):
    """State of the backend server on a node's VM."""

    ABSENT = 0
    COLD = 1
    WARM = 2
    DRAINING = 3
    UNREACHABLE = 4


ACCEPTING_STATES = frozenset({ServerState.COLD, ServerState.WARM})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """IP address and port on which a node serves its peers.

    TCP and UDP use the same port number.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


# Most slots that a server can have; messages carry 32 bits.
MAX_SLOTS: typing.Final = 100_000
# Incarnation of records read from the store.  Nodes count theirs from 1,
# so the record that a node publishes supersedes its stored record.
STORED_INCARNATION: typing.Final = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Record of one node and of the backend server on its VM.

    Only the node itself raises its ``incarnation``: whenever its record
    changes, and to refute a suspicion.  ``departed`` is the start of its
    backend server whose departure it acknowledged last: other nodes return it
    to a process that takes the node's place.  ``server_version`` is the
    software version of the backend server, if it tells one.
    """

    node: _ids.NodeId
    address: Address
    zone: _ids.ZoneName
    incarnation: int
    status: MemberStatus
    service: _ids.ServiceName
    server: ServerState
    slots: int
    departed: _server_status.ServerStart = _server_status.ANY_START
    server_version: _ids.ServerVersion = _ids.NO_SERVER_VERSION

    @property
    def accepts_work(self) -> bool:
        """Whether requests may be sent to the member's backend server."""
        return (
            self.status <= MemberStatus.SUSPECT
            and self.server in ACCEPTING_STATES
        )

    @property
    def is_confirmed(self) -> bool:
        """Whether the node itself published this record.

        A record read from the store may describe a node that is gone.
        """
        return self.incarnation != STORED_INCARNATION

    def supersedes(self, other: "Member") -> bool:
        """Return whether this record of a node is newer than another."""
        return (self.incarnation, self.status) > (
            other.incarnation,
            other.status,
        )


def build_stored(
    *,
    node: _ids.NodeId,
    address: Address,
    zone: _ids.ZoneName,
    service: _ids.ServiceName,
    slots: int,
    server_version: _ids.ServerVersion = _ids.NO_SERVER_VERSION,
) -> Member:
    """Build the record of a node as read from the store.

    An empty ``service`` means that no backend server has been announced.
    """
    return Member(
        node=node,
        address=address,
        zone=zone,
        incarnation=STORED_INCARNATION,
        status=MemberStatus.ALIVE,
        service=service,
        server=ServerState.WARM if service else ServerState.ABSENT,
        slots=slots,
        server_version=server_version,
    )


def _add_departure(record: Member, other: Member) -> Member:
    """Return a record with the departure that only the other one has."""
    is_needless = other.departed == _server_status.ANY_START
    if is_needless or record.departed != _server_status.ANY_START:
        return record
    return dataclasses.replace(record, departed=other.departed)


def merge_records(known: Member, received: Member) -> Member:
    """Return the newer record of a node, with the departure of either.

    It is ``known`` itself if nothing is new.  The record of a node that has
    restarted lacks the departure that the process before it acknowledged.
    """
    if received.supersedes(known):
        return _add_departure(received, known)
    return _add_departure(known, received)


def refute_claim(myself: Member, claim: Member) -> Member:
    """Return the record that a node publishes about itself after a claim.

    It is ``myself`` unless the claim would supersede that, or names a
    departure that the process before this one acknowledged.
    """
    merged = _add_departure(myself, claim)
    is_same = _add_departure(claim, myself) == myself
    is_outdated = claim.incarnation < myself.incarnation
    if merged == myself and (is_same or is_outdated):
        return myself
    above = max(claim.incarnation, myself.incarnation)
    return dataclasses.replace(merged, incarnation=above + 1)


class MessageKind(enum.IntEnum):
    """Kinds of membership message.

    ``NEWS`` carries updates or suspicions without a probe, and ``LOAD`` a
    changed load report.  ``QUOTA`` concerns limits of workspaces, and
    ``ROLLOUT`` carries states of roll-outs and evidence.
    """

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    NEWS = 4
    LOAD = 5
    QUOTA = 6
    ROLLOUT = 7


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """One membership datagram.

    ``target`` is the member to probe in a PING or PING_REQUEST; receivers
    do not use it in other messages.  ``sequence`` pairs an ACK with its PING.
    ``updates`` are member records.  ``config`` is the sender's configuration
    version, or ``NO_VERSION`` in messages that carry only suspicions or load.
    ``config_known_at`` is the monotonic time at which the fleet first knew
    that version, in the clock of the node that holds this value; None if the
    sender did not tell.  ``confirmed_age_s`` is how long before this message
    ``config`` was known to be the newest version, by a read of the store by
    ``confirmed_by``.  A PING names there a node that reads the store.
    ``rollouts`` are states of roll-outs.  ``quota_reports`` go to the node
    that decides on the limits of a group of workspaces, and ``quota_shares``
    come from it.
    """

    kind: MessageKind
    sender: _ids.NodeId
    sender_address: Address
    sequence: int
    target: _ids.NodeId
    config: _manifest.VersionRef
    updates: tuple[Member, ...]
    suspicions: tuple[_quarantine.Suspicion, ...]
    load: _reports.LoadReport | None = None
    config_known_at: float | None = None
    confirmed_age_s: float | None = None
    confirmed_by: _ids.NodeId | None = None
    rollouts: tuple[_rollout_orders.RolloutNotice, ...] = ()
    quota_reports: tuple[_quota_messages.QuotaReport, ...] = ()
    quota_shares: tuple[_quota_messages.QuotaShare, ...] = ()


def build_bare_message(
    sender: Member,
    kind: MessageKind,
    *,
    target: _ids.NodeId | None = None,
    sequence: int = 0,
    suspicions: tuple[_quarantine.Suspicion, ...] = (),
    load: _reports.LoadReport | None = None,
    rollouts: tuple[_rollout_orders.RolloutNotice, ...] = (),
    quota_reports: tuple[_quota_messages.QuotaReport, ...] = (),
    quota_shares: tuple[_quota_messages.QuotaShare, ...] = (),
) -> Message:
    """Build a message without member records and configuration version.

    ``sender`` is the record of the node that sends it, which is also the
    target unless another one is given.
    """
    return Message(
        kind=kind,
        sender=sender.node,
        sender_address=sender.address,
        sequence=sequence,
        target=sender.node if target is None else target,
        config=_manifest.NO_VERSION,
        updates=(),
        suspicions=suspicions,
        load=load,
        rollouts=rollouts,
        quota_reports=quota_reports,
        quota_shares=quota_shares,
    )
