"""Parsers of the rows that describe nodes and departed servers.

Both kinds of store keep the same fields, but encode rows differently.  Other
writers may leave rows of their own in the tables, so each row is parsed alone:
an invalid one is reported, and the others hold.
"""

import collections.abc
import ipaddress
import typing

from marjoramledge_core import ids
from marjoramledge_core import node

RowT = typing.TypeVar("RowT")
ParsedT = typing.TypeVar("ParsedT")

MAX_BORN: typing.Final = 2**63 - 1
# Characters of an error message that are kept.
MAX_ERROR_CHARS: typing.Final = 120

# What parsing a row raises if it is nested too deeply, has a number that is
# too large, lacks a field, or has one of another type.
_ROW_ERRORS: typing.Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def parse_rows(
    rows: collections.abc.Iterable[tuple[str, RowT]],
    parse: collections.abc.Callable[[str, RowT], ParsedT],
) -> tuple[tuple[ParsedT, ...], tuple[str, ...]]:
    """Parse rows, each with its key.

    Returns
    -------
    tuple
        The parsed rows, and a description of each invalid one.
    """
    parsed = []
    invalid = []
    for key, row in rows:
        try:
            parsed.append(parse(key, row))
        except _ROW_ERRORS as error:
            invalid.append(f"{key}: {repr(error)[:MAX_ERROR_CHARS]}")
    return tuple(parsed), tuple(invalid)


def parse_member(
    name: ids.NodeId,
    *,
    host: object,
    port: object,
    zone: object,
    service: object = "",
    slots: object = 0,
    version: object = "",
) -> node.Member:
    """Build a member from the fields of its row.

    Rows that earlier versions wrote lack ``service`` and ``slots``; those of
    servers that tell no version lack ``version``.

    Raises
    ------
    ValueError, TypeError, OverflowError
        A field has the wrong type or an invalid value.
    """
    return node.build_stored_member(
        node=name,
        address=node.Address(
            host=str(ipaddress.ip_address(str(host))),
            port=_parse_count(port, 1, 65535),
        ),
        zone=ids.ZoneName(str(zone)),
        service=ids.ServiceName(str(service)),
        slots=_parse_count(slots, 0, node.MAX_SLOTS),
        server_version=ids.ServerVersion(
            str(version)[: ids.MAX_SERVER_VERSION_BYTES]
        ),
    )


def parse_departure(server: ids.ServerId, *, born: object) -> node.ServerStart:
    """Build the start of a departed server from the fields of its row.

    Raises
    ------
    ValueError, TypeError, OverflowError
        A field has the wrong type or an invalid value.
    """
    if len(server.encode()) > ids.MAX_SERVER_ID_BYTES:
        raise ValueError("server id too long")
    return node.ServerStart(
        server=server, born=_parse_count(born, 0, MAX_BORN)
    )


def _parse_count(value: object, minimum: int, maximum: int) -> int:
    """Parse an integer, which some stores return as text."""
    if not isinstance(value, int | str):
        raise TypeError(f"not an integer: {type(value).__name__}")
    number = int(value)
    if not minimum <= number <= maximum:
        raise ValueError(f"not from {minimum} to {maximum}")
    return number
