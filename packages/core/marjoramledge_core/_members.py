"""What nodes tell one another about themselves, and their messages.

The shell encodes these values for the wire; the core only sees them decoded
and authenticated.
"""

import dataclasses
import enum
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _manifest
from marjoramledge_core import _quarantine
from marjoramledge_core import _reports


class MemberStatus(enum.IntEnum):
    """Standing of a member; of one incarnation the greater value wins."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class ServerState(enum.IntEnum):
    """Standing of the backend server beside a node."""

    ABSENT = 0
    COLD = 1
    WARM = 2
    DRAINING = 3
    UNREACHABLE = 4


ACCEPTING_STATES = frozenset({ServerState.COLD, ServerState.WARM})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """An IP number and the port that serves both TCP and UDP to peers."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


# Incarnation of what the store has kept of a node; nodes count from one.
STORED_INCARNATION: typing.Final = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """What is known of one node and of the backend server beside it.

    A node alone raises its ``incarnation``, on every change that it tells of
    itself and to refute a suspicion.
    """

    node: _ids.NodeId
    address: Address
    zone: _ids.ZoneName
    incarnation: int
    status: MemberStatus
    service: _ids.ServiceName
    server: ServerState
    slots: int

    @property
    def accepts_work(self) -> bool:
        """Tell whether the member's backend server may be given work."""
        return (
            self.status <= MemberStatus.SUSPECT
            and self.server in ACCEPTING_STATES
        )

    @property
    def is_confirmed(self) -> bool:
        """Whether the node itself has told of this, not only the store."""
        return self.incarnation != STORED_INCARNATION

    def supersedes(self, other: "Member") -> bool:
        """Tell whether this news of a node is newer than another."""
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
) -> Member:
    """Build a member as the store keeps it.

    One without a service has told of no backend server.
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
    )


class MessageKind(enum.IntEnum):
    """Kinds of membership message."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    NEWS = 4
    LOAD = 5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """One membership datagram.

    ``target`` is the member to probe in a PING_REQUEST, and the member that
    answered in an ACK.  ``sequence`` pairs an ACK with its PING.  Every
    message carries the sender's configuration version, and some the load of
    its gate.
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
