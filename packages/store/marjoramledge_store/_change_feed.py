"""Node's access to a store whose tables have a change feed.

The operator's documents are the rows of one table.  A node reads the whole
table once and then only its changes.  The rows at one version of the store
make up one configuration, numbered with that version, so that of two
configurations the later one is known without asking the store.  A read that is
older than the rows already held is ignored.
"""

import asyncio
import json
import random
import typing

import loguru
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from returns import result

from marjoramledge_store import _errors
from marjoramledge_store import _member_rows
from marjoramledge_store import _ports

FLEET_TABLE: typing.Final = "fleet"
_MEMBER_PREFIX: typing.Final = "node/"
_DEPARTURE_PREFIX: typing.Final = "departed/"
# Number of latest contents kept for reads by digest.
MAX_CACHED_CONTENTS: typing.Final = 4
# Time limit of an operation, in addition to its wait for changes.
CALL_TIMEOUT_S: typing.Final = 1.5


class ChangeFeedStore:
    """Store of a node that follows the changes of the operator's table.

    Parameters
    ----------
    tables
        The store's tables.
    operator_table
        Name of the table with the operator's documents.
    """

    def __init__(
        self, *, tables: _ports.RowTables, operator_table: str
    ) -> None:
        self._tables = tables
        self._operator_table = operator_table
        self._rows: dict[str, bytes] = {}
        self._version = 0
        self._era = configuration.UNKNOWN_ERA
        self._ref = configuration.NO_VERSION
        self._cached_contents: dict[ids.Digest, bytes] = {}

    async def close(self) -> None:
        """Close all connections."""
        await self._tables.close()

    async def wait_version(
        self, known: configuration.VersionRef, wait_s: float
    ) -> _ports.Outcome[_ports.VersionRow | None]:
        """Return the version in force, after a wait if it is ``known``.

        Returns after ``wait_s`` even if nothing has changed.
        """
        is_behind = known.version > self._ref.version
        if not self._version or is_behind:
            read = await self._read_table()
        else:
            read = await self._read_changes(wait_s)
        if isinstance(read, result.Failure):
            return read
        self._note_era(read.unwrap())
        if not self._apply(read.unwrap()):
            return result.Failure(_errors.StoreError.REJECTED)
        if known.version > self._version:
            # A stale read: the fleet already knows a later version.
            _log_ignored(read.unwrap(), known.version)
            return result.Failure(_errors.StoreError.REJECTED)
        if not self._rows:
            return result.Success(None)
        return result.Success(
            _ports.VersionRow(ref=self._ref, change_id="", etag="")
        )

    async def get_manifest(self, digest: ids.Digest) -> _ports.Outcome[bytes]:
        """Return the content of a version read by ``wait_version``."""
        content = self._cached_contents.get(digest)
        if content is None:
            return result.Failure(_errors.StoreError.NOT_FOUND)
        return result.Success(content)

    async def put_member(self, member: node.Member) -> _ports.Outcome[None]:
        """Store the address of a node, its service and its slots."""
        return await self._put(
            _MEMBER_PREFIX + member.node,
            {
                "host": member.address.host,
                "port": member.address.port,
                "zone": member.zone,
                "service": member.service,
                "slots": member.slots,
            },
        )

    async def put_departure(
        self, server: node.ServerStart
    ) -> _ports.Outcome[None]:
        """Store which start of a backend server is leaving."""
        return await self._put(
            _DEPARTURE_PREFIX + server.server, {"born": server.born}
        )

    async def read_fleet(
        self, reader: ids.NodeId, count: int
    ) -> _ports.Outcome[_ports.FleetRows]:
        """Read at most ``count`` nodes and all departed servers.

        The nodes are chosen at random: with a fixed choice, a few rows of
        nodes that are gone could keep a starting node from joining the fleet.
        """
        read = await _limit_time(
            self._tables.list_rows(FLEET_TABLE), CALL_TIMEOUT_S
        )
        if isinstance(read, result.Failure):
            return read
        return result.Success(_decode_fleet(read.unwrap().rows, reader, count))

    async def _read_table(self) -> _ports.Outcome[_ports.Rows]:
        return await _limit_time(
            self._tables.list_rows(self._operator_table), CALL_TIMEOUT_S
        )

    async def _read_changes(
        self, wait_s: float
    ) -> _ports.Outcome[_ports.Rows]:
        read = await _limit_time(
            self._tables.wait_for_changes(
                self._operator_table, self._version, wait_s
            ),
            wait_s + CALL_TIMEOUT_S,
        )
        if isinstance(read, result.Failure):
            if read.failure() is _errors.StoreError.HISTORY_GONE:
                return await self._read_table()
            return read
        changed = read.unwrap()
        merged = {
            key: value
            for key, value in self._rows.items()
            if key not in changed.removed
        }
        merged.update(changed.rows)
        return result.Success(
            _ports.Rows(
                rows=merged,
                removed=frozenset(),
                version=max(changed.version, self._version),
                era=changed.era,
            )
        )

    def _note_era(self, read: _ports.Rows) -> None:
        """Log that the store has come back from an older copy."""
        if self._era and read.era > self._era:
            loguru.logger.bind(
                event="store-restored",
                era=read.era,
                era_before=self._era,
                version=read.version,
                version_before=self._version,
            ).warning("the store has come back from an older copy")
        self._era = max(read.era, self._era)

    def _apply(self, read: _ports.Rows) -> bool:
        """Apply read rows; return False if they are too large."""
        if read.version < self._version:
            _log_ignored(read, self._version)
            return True
        content = _encode_rows(read.rows)
        if len(content) > configuration.MAX_MANIFEST_BYTES:
            return False
        self._version = read.version
        self._rows = dict(read.rows)
        digest = configuration.compute_digest(content)
        self._ref = configuration.VersionRef(
            version=ids.ConfigVersion(read.version), digest=digest
        )
        self._cached_contents[digest] = content
        while len(self._cached_contents) > MAX_CACHED_CONTENTS:
            del self._cached_contents[next(iter(self._cached_contents))]
        return True

    async def _put(
        self, key: str, fields: dict[str, object]
    ) -> _ports.Outcome[None]:
        return await _limit_time(
            self._tables.put_row(
                FLEET_TABLE, key, json.dumps(fields).encode()
            ),
            CALL_TIMEOUT_S,
        )


async def _limit_time(
    operation: typing.Awaitable[_ports.Outcome[_ports.T]], limit_s: float
) -> _ports.Outcome[_ports.T]:
    try:
        async with asyncio.timeout(limit_s):
            return await operation
    except TimeoutError:
        return result.Failure(_errors.StoreError.NO_ANSWER)


def _decode_fleet(
    rows: typing.Mapping[str, bytes], reader: ids.NodeId, count: int
) -> _ports.FleetRows:
    found, invalid = _member_rows.parse_rows(rows.items(), _decode_row)
    members = [row for row in found if isinstance(row, node.Member)]
    random.shuffle(members)
    members.sort(key=lambda member: member.node != reader)
    return _ports.FleetRows(
        members=tuple(members[:count]),
        departures=tuple(
            row for row in found if isinstance(row, node.ServerStart)
        ),
        invalid_rows=invalid,
    )


def _decode_row(
    key: str, value: bytes
) -> node.Member | node.ServerStart | None:
    if key.startswith(_MEMBER_PREFIX):
        fields = json.loads(value)
        return _member_rows.parse_member(
            ids.NodeId(key.removeprefix(_MEMBER_PREFIX)),
            host=fields["host"],
            port=fields["port"],
            zone=fields["zone"],
            service=fields.get("service", ""),
            slots=fields.get("slots", 0),
        )
    if key.startswith(_DEPARTURE_PREFIX):
        return _member_rows.parse_departure(
            ids.ServerId(key.removeprefix(_DEPARTURE_PREFIX)),
            born=json.loads(value)["born"],
        )
    return None


def _log_ignored(read: _ports.Rows, held: int) -> None:
    loguru.logger.bind(
        event="read-ignored", era=read.era, version=read.version
    ).warning("a read of the store is older than version {}", held)


def _encode_rows(rows: typing.Mapping[str, bytes]) -> bytes:
    texts = {
        key: value.decode("utf-8", "replace") for key, value in rows.items()
    }
    return json.dumps(texts, sort_keys=True).encode()


def decode_rows(content: bytes) -> dict[str, str]:
    """Decode the content of a version into its rows, by key.

    Raises
    ------
    ValueError
        The content is not a JSON object.
    """
    rows = json.loads(content)
    if not isinstance(rows, dict):
        raise ValueError("the content is not a JSON object of rows")
    return {str(key): str(text) for key, text in rows.items()}
