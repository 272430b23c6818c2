"""What is kept of a node, read from the fields of its row.

Both kinds of store keep the same of a node, each in rows of its own form.
"""

from marjoramledge_core import ids
from marjoramledge_core import node


def parse_member(
    name: ids.NodeId,
    *,
    host: object,
    port: int | str,
    zone: object,
    service: object = "",
    slots: int | str = 0,
) -> node.Member:
    """Read a member that only the store tells of.

    Rows of earlier versions lack the service and the slots.

    Raises
    ------
    ValueError, TypeError
        A field is not what it must be.
    """
    return node.build_stored_member(
        node=name,
        address=node.Address(host=str(host), port=int(port)),
        zone=ids.ZoneName(str(zone)),
        service=ids.ServiceName(str(service)),
        slots=int(slots),
    )
