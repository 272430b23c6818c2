"""A table that comes back from older copies, and the nodes that read it."""

import asyncio
import copy
import dataclasses
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_store import client
from marjoramledge_store import followed
from returns import result

TABLE: typing.Final = "operator"
CONFIG: typing.Final = "config"


@dataclasses.dataclass(slots=True)
class State:
    """Rows with their versions, and the changes that led to them."""

    version: int
    rows: dict[str, tuple[bytes, int]]
    changes: list[tuple[int, str, bytes | None]]


class Tables:
    """In-memory tables that can come back from a copy."""

    def __init__(self) -> None:
        self.era = 1
        self.state = State(
            version=1, rows={CONFIG: (b"0", 1)}, changes=[(1, CONFIG, b"0")]
        )
        self.history_start = 0

    def change(self, key: str, value: bytes | None) -> None:
        """Write a row, or remove it (None)."""
        state = self.state
        state.version += 1
        if value is None:
            if state.rows.pop(key, None) is None:
                return
        else:
            state.rows[key] = (value, state.version)
        state.changes.append((state.version, key, value))

    def restore(self, state: State) -> None:
        """Come back from a copy, in the next era."""
        self.era += 1
        self.state = copy.deepcopy(state)
        self.history_start = min(self.history_start, self.state.version)

    async def close(self) -> None:
        """Do nothing, since nothing is open."""

    async def list_rows(
        self, table: str
    ) -> result.Result[followed.Rows, client.StoreError]:
        """Read all rows."""
        assert table == TABLE
        rows = self.state.rows
        return result.Success(
            followed.Rows(
                rows={key: value for key, (value, _) in rows.items()},
                removed=frozenset(),
                version=self.state.version,
                row_versions={key: at for key, (_, at) in rows.items()},
                era=self.era,
            )
        )

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[followed.Rows, client.StoreError]:
        """Read the last change of each row after a version."""
        del wait_s
        assert table == TABLE
        if not self.history_start <= after <= self.state.version:
            return result.Failure(client.StoreError.HISTORY_GONE)
        latest = {
            key: (at, value)
            for at, key, value in self.state.changes
            if at > after
        }
        return result.Success(
            followed.Rows(
                rows={
                    key: value
                    for key, (_, value) in latest.items()
                    if value is not None
                },
                removed=frozenset(
                    key for key, (_, value) in latest.items() if value is None
                ),
                version=self.state.version,
                row_versions={key: at for key, (at, _) in latest.items()},
                era=self.era,
            )
        )

    async def put_row(
        self, table: str, key: str, value: bytes
    ) -> result.Result[None, client.StoreError]:
        """Fail, since nodes don't write here."""
        raise AssertionError("the operator's table is not written")


def is_later(key: str, text: str, other: str) -> bool:
    """Return whether the other text is a later configuration."""
    return key == CONFIG and int(other) > int(text)


class Node:
    """What a node holds, and its reader of the store."""

    def __init__(self, tables: Tables) -> None:
        self.store = followed.ChangeFeedStore(
            tables=tables, operator_table=TABLE, is_later=is_later
        )
        self.document = b""
        self.version = configuration.NO_VERSION.version

    @property
    def rows(self) -> dict[str, str]:
        """The rows in force."""
        return followed.decode_rows(self.document) if self.document else {}

    def read(self) -> None:
        """Read the store, and merge what was read."""
        asyncio.run(self._read())

    async def _read(self) -> None:
        ref = configuration.VersionRef(
            version=self.version, digest=ids.Digest("")
        )
        read = await self.store.wait_version(ref, 0.0)
        row = read.unwrap()
        if row is not None:
            found = await self.store.get_manifest(row.ref.digest)
            self._merge(found.unwrap(), row.ref.version)

    def fetch(self, peer: "Node") -> None:
        """Merge what a peer holds; the same rows only raise the version."""
        if self.document and peer.rows == self.rows:
            self.version = max(self.version, peer.version)
        elif peer.document:
            self._merge(peer.document, peer.version)

    def _merge(self, document: bytes, version: ids.ConfigVersion) -> None:
        before = self.rows.get(CONFIG)
        self.document = self.store.merge_documents(
            self.document, self.version, document, version
        )
        self.version = max(self.version, version)
        after = self.rows.get(CONFIG)
        if before is not None:
            assert after is not None
            assert int(after) >= int(before), "an earlier configuration"
