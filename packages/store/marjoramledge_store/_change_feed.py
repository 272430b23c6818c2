"""Node's access to a store whose tables have a change feed.

The operator's documents are the rows of one table.  A node reads the whole
table once and then only its changes.  The rows at one version of the store
make up one configuration, numbered with that version, so that of two
configurations the later one is known without asking the store.  A read that is
older than the rows already held is ignored.

A store that is restored from an older copy names a new era.  What was read
before can't be continued then: the table is read anew, and what it lacks is
kept by merging configurations (see ``_table_merge``).
"""

import asyncio
import collections
import dataclasses
import json
import math
import random
import time
import typing

import loguru
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from returns import result

from marjoramledge_store import _errors
from marjoramledge_store import _member_rows
from marjoramledge_store import _ports
from marjoramledge_store import _table_document
from marjoramledge_store import _table_merge

FLEET_TABLE: typing.Final = "fleet"
_MEMBER_PREFIX: typing.Final = "node/"
_DEPARTURE_PREFIX: typing.Final = "departed/"
# Number of latest contents kept for reads by digest.
MAX_CACHED_CONTENTS: typing.Final = 4
# Time limit of an operation, in addition to its wait for changes.
CALL_TIMEOUT_S: typing.Final = 1.5
# Wait for changes that the store has already.
SHORTEST_WAIT_S: typing.Final = 0.001
# No copy that the store is restored from is older.
MAX_COPY_AGE_S: typing.Final = 15.0


class ChangeFeedStore:
    """Store of a node that follows the changes of the operator's table.

    Parameters
    ----------
    tables
        The store's tables.
    operator_table
        Name of the table with the operator's documents.
    is_later
        Tells from the texts of two documents with the same key whether the
        second one is known to be later.
    rollout_rows
        Rows of roll-outs; without them, roll-outs are not stored.
    """

    def __init__(
        self,
        *,
        tables: _ports.RowTables,
        operator_table: str,
        is_later: _table_merge.LaterCheck = _table_merge.never_later,
        rollout_rows: _ports.RolloutRows | None = None,
    ) -> None:
        self._rollout_rows = rollout_rows
        self._tables = tables
        self._operator_table = operator_table
        self._is_later = is_later
        self._rows: dict[str, bytes] = {}
        self._row_versions: dict[str, int] = {}
        self._removed: dict[str, _table_document.WriteTime] = {}
        # Times and versions of reads in this era, up to the age of a copy.
        self._reads: collections.deque[tuple[float, int]] = collections.deque()
        # Version before any copy of the last restoration, if known.
        self._oldest_before: int | None = None
        self._entered_at = math.inf
        # When this node has first had a row in force, by key and number.
        self._held_since: dict[tuple[str, int], float] = {}
        self._in_force: _table_document.TableDocument | None = None
        # Rows in force that the restored store lacks and that were looked for.
        self._looked_for: set[str] = set()
        self._version = 0
        self._era = configuration.UNKNOWN_ERA
        self._ref = configuration.NO_VERSION
        self._cached_contents: dict[ids.Digest, bytes] = {}
        self._memory = _table_merge.RowMemory()

    async def close(self) -> None:
        """Close all connections."""
        await self._tables.close()

    async def wait_version(
        self, known: configuration.VersionRef, wait_s: float
    ) -> _ports.Outcome[_ports.VersionRow | None]:
        """Return the version in force, after a wait if it is ``known``.

        Returns after ``wait_s`` even if nothing has changed.
        """
        if known.version > self._ref.version:
            # The changes are there already.
            wait_s = min(wait_s, SHORTEST_WAIT_S)
        if self._version:
            read = await self._read_changes(wait_s)
        else:
            read = await self._read_table()
        if isinstance(read, result.Failure):
            return read
        found = read.unwrap()
        if self._is_restored(found):
            self._enter_era(found)
        looked = await self._look_for_missing(found)
        if isinstance(looked, result.Failure):
            return looked
        if not self._apply(found):
            return result.Failure(_errors.StoreError.REJECTED)
        if known.version > self._ref.version:
            # A stale read: the fleet already knows a later version.
            _log_ignored(found, known.version)
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

    def merge_documents(
        self,
        own: bytes,
        own_version: ids.ConfigVersion,
        fetched: bytes,
        fetched_version: ids.ConfigVersion,
    ) -> bytes:
        """Merge a fetched content and its history into the one in force.

        What has no history, as from a node of an older build, replaces it.
        """
        read = _table_document.decode_document(fetched, fetched_version)
        if isinstance(read, result.Failure):
            return fetched
        merged = read.unwrap()
        held = _table_document.decode_document(own, own_version)
        if isinstance(held, result.Success):
            self._memory.remember(held.unwrap())
            merged = _table_merge.merge_documents(
                held.unwrap(),
                merged,
                memory=self._memory,
                is_later=self._is_later,
            )
        self._memory.remember(merged)
        self._in_force = merged
        now = time.monotonic()
        self._held_since = {
            entry: self._held_since.get(entry, now)
            for key, row in merged.rows.items()
            for entry in ((key, row.written.number),)
        }
        return _table_document.encode_document(merged)

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
                **(
                    {"version": member.server_version}
                    if member.server_version
                    else {}
                ),
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

    async def read_rollout(
        self, service: ids.ServiceName
    ) -> _ports.Outcome[node.RolloutRow | None]:
        """Read how the roll-out of a service stands; None without a row."""
        if self._rollout_rows is None:
            return result.Failure(_errors.StoreError.REJECTED)
        return await _limit_time(
            self._rollout_rows.read_rollout(service), CALL_TIMEOUT_S
        )

    async def write_rollout(
        self, service: ids.ServiceName, row: node.RolloutRow, etag: str
    ) -> _ports.Outcome[node.RolloutRow]:
        """Write how a roll-out stands, if the row still has ``etag``."""
        if self._rollout_rows is None:
            return result.Failure(_errors.StoreError.REJECTED)
        return await _limit_time(
            self._rollout_rows.write_rollout(service, row, etag),
            CALL_TIMEOUT_S,
        )

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
        if self._is_restored(changed):
            # The changes since a number of the lost history are not all.
            return await self._read_table()
        if changed.version < self._version:
            # Another read has overtaken this one, and has all its changes.
            changed = dataclasses.replace(
                changed, rows={}, removed=frozenset(), row_versions={}
            )
        merged = {
            key: value
            for key, value in self._rows.items()
            if key not in changed.removed
        }
        merged.update(changed.rows)
        self._note_removals(_list_removals(changed, changed.era or self._era))
        return result.Success(
            dataclasses.replace(
                changed,
                rows=merged,
                removed=frozenset(),
                row_versions={**self._row_versions, **changed.row_versions},
                version=max(changed.version, self._version),
            )
        )

    def _is_restored(self, read: _ports.Rows) -> bool:
        """Return whether a read is of a later era than the rows held."""
        return bool(self._version) and read.era > self._era

    def _enter_era(self, read: _ports.Rows) -> None:
        """Forget the number held, since the store counts anew."""
        loguru.logger.bind(
            event="store-restored",
            era=read.era,
            era_before=self._era,
            version=read.version,
            version_before=self._version,
            missing=sorted(self._rows.keys() - read.rows.keys()),
        ).warning("the store has come back from an older copy")
        now = asyncio.get_running_loop().time()
        read_at, oldest = self._reads[0]
        is_before_copy = now - read_at > MAX_COPY_AGE_S
        self._oldest_before = oldest if is_before_copy else None
        self._entered_at = time.monotonic()
        self._reads.clear()
        self._version = 0
        self._looked_for.clear()

    async def _look_for_missing(
        self, read: _ports.Rows
    ) -> _ports.Outcome[None]:
        """Look for the removal of rows in force that the store lacks.

        Such a row was lost with the restoration, and will be written again,
        unless the store had it and has removed it since.
        """
        era = read.era or self._era
        document = self._in_force
        if document is None:
            return result.Success(None)
        missing = {
            key: row.written.number
            for key, row in document.rows.items()
            if key not in read.rows and row.written.era < era
        }
        if missing.keys() <= self._looked_for:
            return result.Success(None)
        changes = await self._read_history(document, missing, read)
        if isinstance(changes, result.Success):
            removed = {
                key: at
                for key, at in _list_removals(changes.unwrap(), era).items()
                if key in missing and at.number != self._removal_of(key)
            }
        elif changes.failure() is _errors.StoreError.HISTORY_GONE:
            at = _table_document.WriteTime(era=era, number=read.version)
            removed = {
                key: at
                for key, number in missing.items()
                if self._was_in_copy(key, number)
            }
        else:
            return result.Failure(changes.failure())
        self._note_removals(removed)
        self._looked_for.update(missing)
        loguru.logger.bind(
            event="rows-missing",
            era=era,
            version=read.version,
            missing=sorted(missing),
            removed=sorted(missing.keys() & self._removed.keys()),
            is_history_gone=isinstance(changes, result.Failure),
        ).warning("the restored store lacks rows that are in force")
        return result.Success(None)

    async def _read_history(
        self,
        document: _table_document.TableDocument,
        missing: dict[str, int],
        read: _ports.Rows,
    ) -> _ports.Outcome[_ports.Rows]:
        """Read the changes since the copy, or as many as there are."""
        latest_common = max(
            (
                row.written.number
                for key, row in document.rows.items()
                if read.row_versions.get(key) == row.written.number
                and read.rows.get(key) == row.text.encode()
            ),
            default=0,
        )
        # Two lower bounds of the copy's version, and the rows themselves; the
        # store may have discarded some of its history.
        starts = {latest_common, min(missing.values()) - 1}
        if self._oldest_before is not None:
            starts.add(self._oldest_before)
        changes: _ports.Outcome[_ports.Rows] = result.Failure(
            _errors.StoreError.HISTORY_GONE
        )
        for after in sorted(starts):
            changes = await _limit_time(
                self._tables.wait_for_changes(
                    self._operator_table, max(0, after), SHORTEST_WAIT_S
                ),
                CALL_TIMEOUT_S,
            )
            if changes != result.Failure(_errors.StoreError.HISTORY_GONE):
                break
        return changes

    def _was_in_copy(self, key: str, number: int) -> bool:
        """Return whether a row is older than any copy, judged by its age."""
        since = self._held_since.get((key, number), math.inf)
        return self._entered_at - since > MAX_COPY_AGE_S

    def _removal_of(self, key: str) -> int | None:
        """Return the number of a removal that this node has read."""
        at = self._removed.get(key)
        return None if at is None else at.number

    def _note_removals(
        self, removals: dict[str, _table_document.WriteTime]
    ) -> None:
        """Remember the latest removals: others may still have the rows."""
        self._removed.update(removals)
        while len(self._removed) > _table_merge.MAX_REMOVALS:
            oldest = min(self._removed, key=self._removed.__getitem__)
            del self._removed[oldest]

    def _apply(self, read: _ports.Rows) -> bool:
        """Apply read rows; return False if they are older or too large."""
        if (read.era or self._era, read.version) < (self._era, self._version):
            _log_ignored(read, self._ref.version)
            return False
        document = self._encode(read)
        content, _ = _table_document.split_content(document)
        if len(content) > configuration.MAX_MANIFEST_BYTES:
            return False
        self._note_read(read.version)
        self._version = read.version
        self._era = read.era or self._era
        self._rows = dict(read.rows)
        self._row_versions = {
            key: read.row_versions[key]
            for key in read.rows
            if key in read.row_versions
        }
        digest = configuration.compute_digest(content)
        self._ref = configuration.VersionRef(
            version=configuration.pack_version(self._era, read.version),
            digest=digest,
        )
        self._cached_contents[digest] = document
        while len(self._cached_contents) > MAX_CACHED_CONTENTS:
            del self._cached_contents[next(iter(self._cached_contents))]
        return True

    def _note_read(self, version: int) -> None:
        """Remember the version that the store has at this time.

        The first remembered one is at least as old as any copy, if this node
        has read the store for so long.
        """
        now = asyncio.get_running_loop().time()
        self._reads.append((now, version))
        while len(self._reads) > 1 and now - self._reads[1][0] > (
            MAX_COPY_AGE_S
        ):
            self._reads.popleft()

    def _encode(self, read: _ports.Rows) -> bytes:
        """Encode rows, and their history if the store tells it."""
        texts = {
            key: value.decode("utf-8", "replace")
            for key, value in read.rows.items()
        }
        era = read.era or self._era
        has_history = era and read.rows.keys() <= read.row_versions.keys()
        if not has_history:
            return _table_document.encode_texts(texts)
        return _table_document.encode_document(
            _table_document.TableDocument(
                rows={
                    key: _table_document.Row(
                        text=text,
                        written=_table_document.WriteTime(
                            era=era, number=read.row_versions[key]
                        ),
                    )
                    for key, text in texts.items()
                },
                read=_table_document.WriteTime(era=era, number=read.version),
                known={},
                restored={},
                removed={
                    key: at
                    for key, at in self._removed.items()
                    if key not in texts
                },
            )
        )

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
            version=fields.get("version", ""),
        )
    if key.startswith(_DEPARTURE_PREFIX):
        return _member_rows.parse_departure(
            ids.ServerId(key.removeprefix(_DEPARTURE_PREFIX)),
            born=json.loads(value)["born"],
        )
    return None


def _list_removals(
    changes: _ports.Rows, era: int
) -> dict[str, _table_document.WriteTime]:
    """Return the removed rows of a change, and when they were removed."""
    return {
        key: _table_document.WriteTime(
            era=era, number=changes.row_versions.get(key, changes.version)
        )
        for key in changes.removed
    }


def _log_ignored(read: _ports.Rows, held: ids.ConfigVersion) -> None:
    loguru.logger.bind(
        event="read-ignored", era=read.era, version=read.version
    ).warning(
        "a read of the store is older than version {}",
        configuration.format_version(held),
    )
