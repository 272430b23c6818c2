"""Stand-in of the platform's store that comes back from an older copy.

Rows, their feed and transactions over HTTP on loopback, with one counter of
versions.  ``restore`` takes rows, counter and history back to those of a copy,
so that versions are given out again, and raises the era, which each answer
names.  Every caller gets an address of its own, so that calls can be counted
and refused by caller.
"""

import asyncio
import base64
import collections
import collections.abc
import contextlib
import dataclasses
import json
import socket
import struct
import time
import typing

from aiohttp import web

ERA_HEADER: typing.Final = "Store-Era"
MAX_ROWS: typing.Final = 500
# Tables that only the operator and the servers write.
FOREIGN_TABLES: typing.Final = frozenset({"op", "servers"})
# Closes a socket with a reset.
_RESET: typing.Final = struct.pack("ii", 1, 0)

Fields = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A row as a transaction left it; without a value it was removed."""

    version: int
    table: str
    part: str
    key: str
    value: bytes | None

    @property
    def row(self) -> tuple[str, str, str]:
        """Return what names the row."""
        return self.table, self.part, self.key

    def encode(self) -> Fields:
        """Encode the row for an answer."""
        fields: Fields = {
            "table": self.table,
            "part": self.part,
            "key": self.key,
            "ver": self.version,
        }
        if self.value is None:
            return {**fields, "tombstone": True}
        return {**fields, "value": base64.b64encode(self.value).decode()}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Copy:
    """What the store held at one moment."""

    version: int
    rows: dict[tuple[str, str, str], Change]
    history: tuple[Change, ...]
    history_from: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A call that reached the store, at a time of the monotonic clock."""

    at: float
    caller: str
    name: str
    status: int

    @property
    def is_write(self) -> bool:
        """Return whether the call is a transaction."""
        return self.name == "rows-tx"


class RestoredStore:
    """The platform's store on loopback.

    Parameters
    ----------
    hosts
        For each caller the address at which the store listens for it.
    port
        Port of all these addresses.
    """

    def __init__(
        self, *, hosts: collections.abc.Mapping[str, str], port: int
    ) -> None:
        self.hosts = dict(hosts)
        self._callers = {host: caller for caller, host in hosts.items()}
        self._port = port
        self._server = web.Server(self._serve)
        self._listeners: list[asyncio.Server] = []
        self._rows: dict[tuple[str, str, str], Change] = {}
        self._history: list[Change] = []
        self._history_from = 0
        self._changed = asyncio.Event()
        self.version = 0
        self.era = 1
        self.calls: list[Call] = []
        # Callers that get 503 for each call.
        self.refused: set[str] = set()

    async def start(self) -> None:
        """Listen for all callers."""
        loop = asyncio.get_running_loop()
        for host in self.hosts.values():
            self._listeners.append(
                await loop.create_server(self._server, host, self._port)
            )

    async def stop(self) -> None:
        """Close the listening sockets and reset all connections."""
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()
        for handler in list(self._server.connections):
            if handler.transport is not None:
                _reset(handler.transport)
        # Closed listeners free their ports in the next turn of the loop.
        await asyncio.sleep(0.0)

    def write(
        self, table: str, key: str, document: object | None, part: str = ""
    ) -> int:
        """Write a row, or remove it (None); return the version.

        This is how the operator and the servers write; the return is the
        acknowledgement.
        """
        value = None if document is None else json.dumps(document).encode()
        return self._apply([((table, part, key), value)])

    def read(self, table: str, part: str = "") -> dict[str, bytes]:
        """Return the rows of a table by key."""
        return {
            change.key: change.value
            for change in self._rows.values()
            if (change.table, change.part) == (table, part)
            and change.value is not None
        }

    def take_copy(self) -> Copy:
        """Return a copy of all that the store holds now."""
        return Copy(
            version=self.version,
            rows=dict(self._rows),
            history=tuple(self._history),
            history_from=self._history_from,
        )

    async def restore(self, copy: Copy, *, outage_s: float = 0.0) -> None:
        """Come back from a copy, after an outage if it takes time.

        Without an outage no connection is closed, and reads that wait for a
        change go on waiting.
        """
        if outage_s:
            await self.stop()
            await asyncio.sleep(outage_s)
        self._rows = dict(copy.rows)
        self._history = list(copy.history)
        self._history_from = copy.history_from
        self.version = copy.version
        self.era += 1
        if outage_s:
            await self.start()

    def forget_history(self) -> None:
        """Discard the history: reads of older changes get 410."""
        self._history.clear()
        self._history_from = self.version

    def count_calls(
        self, *, since: float = 0.0, are_writes: bool = True
    ) -> collections.Counter[str]:
        """Count the writes, or reads, of each caller."""
        return collections.Counter(
            call.caller
            for call in self.calls
            if call.at >= since and call.is_write == are_writes
        )

    def count_per_second(self, *, are_writes: bool) -> dict[int, int]:
        """Count the writes, or reads, in each second of the clock."""
        return collections.Counter(
            int(call.at) for call in self.calls if call.is_write == are_writes
        )

    def _apply(
        self,
        changes: collections.abc.Iterable[
            tuple[tuple[str, str, str], bytes | None]
        ],
    ) -> int:
        self.version += 1
        for (table, part, key), value in changes:
            change = Change(
                version=self.version,
                table=table,
                part=part,
                key=key,
                value=value,
            )
            self._rows[change.row] = change
            self._history.append(change)
            if value is None:
                del self._rows[change.row]
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        transport = request.transport
        host = (
            ""
            if transport is None
            else transport.get_extra_info("sockname")[0]
        )
        caller = self._callers.get(host, "")
        name = request.path.removeprefix("/api/")
        began_at = time.monotonic()
        status, document = await self._answer(caller, name, request)
        self.calls.append(
            Call(at=began_at, caller=caller, name=name, status=status)
        )
        now_ms = round(time.monotonic() * 1000)
        return web.json_response(
            {**document, "ver": self.version, "now": f"{now_ms}ms"},
            status=status,
            headers={ERA_HEADER: str(self.era)},
        )

    async def _answer(
        self, caller: str, name: str, request: web.BaseRequest
    ) -> tuple[int, Fields]:
        if caller in self.refused:
            return 503, {}
        if (request.method, name) == ("POST", "rows-tx"):
            return self._transact(await request.json())
        if (request.method, name) == ("GET", "rows-get"):
            return 200, self._read_range(request.query)
        if (request.method, name) == ("GET", "rows-feed"):
            return await self._read_feed(request.query)
        return 404, {}

    def _transact(self, call: Fields) -> tuple[int, Fields]:
        changes: dict[tuple[str, str, str], bytes | None] = {
            _name_row(row): base64.b64decode(row["value"])
            for row in call.get("puts", ())
        }
        changes.update(
            {_name_row(row): None for row in call.get("remove", ())}
        )
        expected = call.get("expect", ())
        if any(table in FOREIGN_TABLES for table, _, _ in changes):
            return 403, {}
        found = [self._rows.get(_name_row(row)) for row in expected]
        if any(
            row["ver"] != (0 if change is None else change.version)
            for row, change in zip(expected, found, strict=True)
        ):
            rows = [change.encode() for change in found if change is not None]
            return 412, {"rows": rows}
        self._apply(changes.items())
        return 200, {}

    def _read_range(self, query: collections.abc.Mapping[str, str]) -> Fields:
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        rows = [
            change.encode()
            for change in sorted(
                self._rows.values(), key=lambda change: change.key.encode()
            )
            if (change.table, change.part)
            == (query["table"], query.get("part", ""))
            and change.key >= query.get("from", "")
            and ("to" not in query or change.key < query["to"])
        ]
        return {"rows": rows[:limit], "hasMore": len(rows) > limit}

    async def _read_feed(
        self, query: collections.abc.Mapping[str, str]
    ) -> tuple[int, Fields]:
        after = int(query["after"])
        ends_at = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        if after > self.version or after < self._history_from:
            return 410, {}
        while True:
            changed = self._changed
            rows = self._list_changes(query["table"], after)
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"rows": rows}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()

    def _list_changes(self, table: str, after: int) -> list[Fields]:
        """Return the newest change of each row after a version, in order."""
        latest = {
            change.row: change
            for change in self._history
            if change.version > after and change.table == table
        }
        return [
            change.encode()
            for change in sorted(
                latest.values(), key=lambda change: change.version
            )
        ]


def _name_row(row: Fields) -> tuple[str, str, str]:
    return str(row["table"]), str(row.get("part", "")), str(row["key"])


def _reset(transport: asyncio.Transport) -> None:
    opened = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    transport.abort()
