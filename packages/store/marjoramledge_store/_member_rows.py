"""Parser for the row that describes a node.

Both kinds of store keep the same fields of a node, but encode rows
differently.
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
    """Build a member from the fields of its row.

    Rows that earlier versions wrote lack ``service`` and ``slots``.

    Raises
    ------
    ValueError, TypeError
        A field has the wrong type or an invalid value.
    """
    return node.build_stored_member(
        node=name,
        address=node.Address(host=str(host), port=int(port)),
        zone=ids.ZoneName(str(zone)),
        service=ids.ServiceName(str(service)),
        slots=int(slots),
    )
