"""Stand-in for the platform's table service and object store.

Implements the operations of Azure Table storage and of block blobs that the
product uses.  ``PUT /faults`` sets its fault mode:
``{"mode": "up" | "down" | "slow" | "lose-answers", "delay_s": 1.0}``.
In the mode ``lose-answers`` writes take effect and their answers are lost.
"""

import asyncio
import enum
import json
import re
import sys
import typing
import urllib.parse

from aiohttp import web

_ENTITY: typing.Final = re.compile(
    r"/tables/(\w+)\(PartitionKey='([^']*)',RowKey='((?:[^']|'')*)'\)"
)
_TABLE: typing.Final = re.compile(r"/tables/(\w+)(?:\(\))?")
_OBJECT: typing.Final = re.compile(r"/objects/(\w+)/(\w+)")


class FaultMode(enum.Enum):
    """The fault modes of the store."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose-answers"


class PlatformService:
    """Serves tables and objects from memory."""

    def __init__(self) -> None:
        self._tables: dict[tuple[str, str, str], dict[str, object]] = {}
        self._etags: dict[tuple[str, str, str], int] = {}
        self._objects: dict[tuple[str, str], bytes] = {}
        self._writes = 0
        self._reads = 0
        self._mode = FaultMode.UP
        self._delay_s = 0.0

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request in the current fault mode."""
        path = urllib.parse.unquote(request.path)
        if path == "/faults":
            return await self._set_faults(request)
        if path == "/counts":
            return _json(200, {"reads": self._reads, "writes": self._writes})
        if self._mode is FaultMode.DOWN:
            return _abort_connection(request)
        if self._mode is FaultMode.SLOW:
            await asyncio.sleep(self._delay_s)
        is_write = request.method != "GET"
        response = await self._answer(request, path)
        if is_write:
            self._writes += 1
        else:
            self._reads += 1
        if is_write and self._mode is FaultMode.LOSE_ANSWERS:
            return _abort_connection(request)
        return response

    async def _set_faults(self, request: web.BaseRequest) -> web.Response:
        fields = json.loads(await request.read())
        self._mode = FaultMode(fields["mode"])
        self._delay_s = float(fields.get("delay_s", 1.0))
        return web.Response(status=204)

    async def _answer(
        self, request: web.BaseRequest, path: str
    ) -> web.Response:
        body = await request.read()
        entity = _ENTITY.fullmatch(path)
        if entity is not None:
            table, partition, row = entity.groups()
            key = (table, partition, row.replace("''", "'"))
            return self._serve_entity(request, key, body)
        stored = _OBJECT.fullmatch(path)
        if stored is not None:
            return self._serve_object(request, stored.groups(), body)
        table_match = _TABLE.fullmatch(path)
        if table_match is not None:
            return self._serve_table(request, table_match.group(1), body)
        return web.Response(status=400)

    def _serve_entity(
        self,
        request: web.BaseRequest,
        key: tuple[str, str, str],
        body: bytes,
    ) -> web.Response:
        stored_entity = self._tables.get(key)
        if request.method == "GET":
            if stored_entity is None:
                return web.Response(status=404)
            return _json(200, stored_entity, etag=self._etag(key))
        if request.method != "PUT":
            return web.Response(status=405)
        condition = request.headers.get("If-Match")
        if condition is not None:
            if stored_entity is None:
                return web.Response(status=404)
            if condition not in ("*", self._etag(key)):
                return web.Response(status=412)
        self._store(key, json.loads(body))
        return web.Response(status=204, headers={"ETag": self._etag(key)})

    def _serve_table(
        self, request: web.BaseRequest, table: str, body: bytes
    ) -> web.Response:
        if request.method == "GET":
            top = int(request.query.get("$top", "1000"))
            rows = [
                entity
                for key, entity in self._tables.items()
                if key[0] == table
            ]
            return _json(200, {"value": rows[-top:]})
        if request.method != "POST":
            return web.Response(status=405)
        entity = json.loads(body)
        key = (table, entity["PartitionKey"], entity["RowKey"])
        if key in self._tables:
            return web.Response(status=409)
        self._store(key, entity)
        return web.Response(status=204, headers={"ETag": self._etag(key)})

    def _serve_object(
        self, request: web.BaseRequest, name: tuple[str, ...], body: bytes
    ) -> web.Response:
        key = (name[0], name[1])
        if request.method == "PUT":
            self._objects[key] = body
            return web.Response(status=201)
        content = self._objects.get(key)
        if content is None:
            return web.Response(status=404)
        return web.Response(body=content)

    def _store(
        self, key: tuple[str, str, str], entity: dict[str, object]
    ) -> None:
        self._tables[key] = entity
        self._etags[key] = self._etags.get(key, 0) + 1

    def _etag(self, key: tuple[str, str, str]) -> str:
        return f'W/"{self._etags[key]}"'


def _abort_connection(request: web.BaseRequest) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def _json(
    status: int, document: object, etag: str | None = None
) -> web.Response:
    return web.Response(
        status=status,
        body=json.dumps(document).encode(),
        content_type="application/json",
        headers={} if etag is None else {"ETag": etag},
    )


async def start_platform(host: str, port: int) -> asyncio.Server:
    """Start the stand-in; port 0 selects a free port."""
    service = PlatformService()
    server = web.Server(service.serve, access_log=None)
    loop = asyncio.get_running_loop()
    return await loop.create_server(server, host, port)


async def _main(host: str, port: int) -> None:
    server = await start_platform(host, port)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], int(sys.argv[2])))
