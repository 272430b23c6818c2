"""Interfaces of a node to the platform's store, whatever its protocol."""

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

    By ``change_id`` a writer that got no answer recognises its own write.
    ``etag`` is the condition of the next write.
    """

    ref: configuration.VersionRef
    change_id: str
    etag: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetRows:
    """Rows about the fleet that a starting node reads.

    ``members`` are nodes as they last registered and may be out of date.
    ``departures`` are starts of backend servers whose leaving was
    acknowledged, and ``invalid_rows`` describes rows that can't be read.
    """

    members: tuple[node.Member, ...]
    departures: tuple[node.ServerStart, ...]
    invalid_rows: tuple[str, ...] = ()


class NodeStore(typing.Protocol):
    """Store operations that a node uses; each has a time limit."""

    async def wait_version(
        self, known: configuration.VersionRef, wait_s: float
    ) -> Outcome[VersionRow | None]:
        """Read which configuration is in force; None before the first.

        A store with a change feed returns once the version differs from
        ``known``, at the latest after ``wait_s``.
        """

    async def get_manifest(self, digest: ids.Digest) -> Outcome[bytes]:
        """Read the content of a configuration by its digest.

        A store that may be restored from an older copy adds its history.
        """

    def merge_documents(
        self,
        own: bytes,
        own_version: ids.ConfigVersion,
        fetched: bytes,
        fetched_version: ids.ConfigVersion,
    ) -> bytes:
        """Merge a fetched content and its history into the one in force.

        Called in another thread than the other operations, by one thread at
        a time.
        """

    async def put_member(self, member: node.Member) -> Outcome[None]:
        """Store the address of a node, its service and its slots."""

    async def put_departure(self, server: node.ServerStart) -> Outcome[None]:
        """Store which start of a backend server is leaving."""

    async def read_fleet(
        self, reader: ids.NodeId, count: int
    ) -> Outcome[FleetRows]:
        """Read at most ``count`` nodes and all departed servers.

        The row of ``reader`` itself, if there is one, is always included.
        """

    async def read_rollout(
        self, service: ids.ServiceName
    ) -> Outcome[node.RolloutRow | None]:
        """Read how the roll-out of a service stands; None without a row."""

    async def write_rollout(
        self, service: ids.ServiceName, row: node.RolloutRow, etag: str
    ) -> Outcome[node.RolloutRow]:
        """Write how a roll-out stands, if the row still has ``etag``.

        An empty ``etag`` requires that there is no row.  The result is the
        row with its new condition; ``CONFLICT`` if another one was written.
        """

    async def close(self) -> None:
        """Close all connections."""


class RolloutRows(typing.Protocol):
    """Access to the rows of roll-outs; see ``NodeStore``."""

    async def read_rollout(
        self, service: ids.ServiceName
    ) -> Outcome[node.RolloutRow | None]:
        """Read the row of a service."""

    async def write_rollout(
        self, service: ids.ServiceName, row: node.RolloutRow, etag: str
    ) -> Outcome[node.RolloutRow]:
        """Write the row of a service if it still has ``etag``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rows:
    """Rows of one table as of one version of the store.

    ``removed`` has the keys of deleted rows; it is empty unless the rows are
    changes since an earlier version.  ``row_versions`` has the version that
    wrote or removed each row, where the store tells it.  ``era`` counts the
    restorations of the store from older copies, from 1 on; it is 0 if the
    store does not tell it.
    """

    rows: typing.Mapping[str, bytes]
    removed: frozenset[str]
    version: int
    row_versions: typing.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    era: int = configuration.UNKNOWN_ERA


class RowTables(typing.Protocol):
    """Tables of a store that counts its writes with one version number."""

    async def list_rows(self, table: str) -> Outcome[Rows]:
        """Read a consistent snapshot of a table."""

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Outcome[Rows]:
        """Wait for changes of a table after version ``after``.

        Fails with ``HISTORY_GONE`` if the store no longer has all of them,
        or does not have that version.
        """

    async def put_row(
        self, table: str, key: str, value: bytes
    ) -> Outcome[None]:
        """Write one row unconditionally."""

    async def close(self) -> None:
        """Close all connections."""
