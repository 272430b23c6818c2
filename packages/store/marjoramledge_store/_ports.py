"""What a node needs of the platform's store, whatever the store speaks."""

import dataclasses
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from returns import result

from marjoramledge_store import _errors

T = typing.TypeVar("T")
Outcome = result.Result[T, _errors.StoreError]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionRow:
    """The row that names the configuration in force.

    ``change_id`` tells a writer whose answer was lost whether the row is its
    own; ``etag`` is the condition of the next write.
    """

    ref: configuration.VersionRef
    change_id: str
    etag: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetRows:
    """What nodes have kept for nodes that start.

    ``members`` are nodes as they once were, ``departures`` are starts of
    backend servers that were acknowledged as leaving or gone.
    """

    members: tuple[node.Member, ...]
    departures: tuple[node.ServerStart, ...]


class NodeStore(typing.Protocol):
    """The store as nodes use it; every operation has a time limit."""

    async def wait_version(
        self, known: configuration.VersionRef, wait_s: float
    ) -> Outcome[VersionRow | None]:
        """Read which configuration is in force; None before the first.

        A store that can wait for a change does so for up to ``wait_s`` while
        the version is the known one.
        """

    async def get_manifest(self, digest: ids.Digest) -> Outcome[bytes]:
        """Read a configuration by its digest."""

    async def put_member(self, member: node.Member) -> Outcome[None]:
        """Keep where a node can be reached, and what its server is."""

    async def put_departure(self, server: node.ServerStart) -> Outcome[None]:
        """Keep that a start of a backend server is leaving."""

    async def read_fleet(
        self, reader: ids.NodeId, count: int
    ) -> Outcome[FleetRows]:
        """Read at most ``count`` nodes, and which servers left.

        What is kept of the reader itself is always among them.
        """

    async def close(self) -> None:
        """Close all connections."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rows:
    """Rows of one table as of a version of the store.

    ``removed`` names rows that are no more; only changes tell of them.
    """

    rows: typing.Mapping[str, bytes]
    removed: frozenset[str]
    version: int


class RowTables(typing.Protocol):
    """Tables of rows with one version for the whole store."""

    async def list_rows(self, table: str) -> Outcome[Rows]:
        """Read a whole table as of one moment."""

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Outcome[Rows]:
        """Wait for changes of a table after a version.

        Fails with ``HISTORY_GONE`` when the changes are no longer known.
        """

    async def put_row(
        self, table: str, key: str, value: bytes
    ) -> Outcome[None]:
        """Write one row, whatever it was before."""

    async def close(self) -> None:
        """Close all connections."""
