"""What is kept of a node, built from the fields of its row.

Both kinds of store keep the same of a node, each in rows of its own form.
"""

from marjoramledge_core import ids
from marjoramledge_core import node


def build_member(
    name: ids.NodeId,
    *,
    host: object,
    port: int | str,
    zone: object,
    service: object = "",
    slots: int | str = 0,
) -> node.Member:
    """Build a member that only the store tells of.

    Rows of earlier versions lack the service and the slots.

    Raises
    ------
    ValueError, TypeError
        A field is not what it must be.
    """
    return node.Member(
        node=name,
        address=node.Address(host=str(host), port=int(port)),
        zone=ids.ZoneName(str(zone)),
        incarnation=node.KEPT_INCARNATION,
        status=node.MemberStatus.ALIVE,
        service=ids.ServiceName(str(service)),
        # Without a service it has told of no backend server.
        server=(node.ServerState.WARM if service else node.ServerState.ABSENT),
        slots=int(slots),
    )
