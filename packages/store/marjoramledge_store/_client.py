"""Client of the table service and the object store.

The table service has the REST protocol of Azure Table storage (OData JSON,
conditional writes by ETag), the object store that of block blobs, of which
only whole reads and conditional whole writes are used.  Every operation has a
time limit and returns its outcome as a value; callers decide about retries.
An operation that the circuit breaker or the operation budget blocks is not
sent and fails with ``UNREACHABLE``.
"""

import asyncio
import collections.abc
import dataclasses
import json
import random
import typing
import urllib.parse

import aiohttp
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from returns import result
import yarl

from marjoramledge_store import _errors
from marjoramledge_store import _member_rows
from marjoramledge_store import _ports
from marjoramledge_store import _throttling
from marjoramledge_store import bounded_http

DEFAULT_TIMEOUT_S: typing.Final = 2.0
CONFIG_TABLE: typing.Final = "configuration"
MEMBERS_TABLE: typing.Final = "members"
DEPARTURES_TABLE: typing.Final = "departures"
ROLLOUTS_TABLE: typing.Final = "rollouts"
# Manifests are the largest documents.
MAX_REPLY_BYTES: typing.Final = configuration.MAX_MANIFEST_BYTES
MANIFESTS_CONTAINER: typing.Final = "manifests"
_CURRENT_KEY: typing.Final = "current"
_PHASES: typing.Final = {
    phase.name.lower(): phase for phase in node.RolloutPhase
}


ParsedT = typing.TypeVar("ParsedT")
_Row = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Reply:
    status: int
    body: bytes
    etag: str


class StoreClient:
    """Client of one store.

    Parameters
    ----------
    base_url
        URL that the paths of both services are appended to.
    timeout_s
        Time limit of each operation, in seconds.
    """

    def __init__(
        self, *, base_url: str, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> None:
        self._base_url = base_url
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None
        self._breaker = _throttling.CircuitBreaker()
        self._budget = _throttling.OperationBudget()

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def read_version(self) -> _ports.Outcome[_ports.VersionRow | None]:
        """Read which configuration is in force; None before the first."""
        return await self._read_entity(
            _entity_path(CONFIG_TABLE, "configuration", _CURRENT_KEY),
            lambda entity, etag: _ports.VersionRow(
                ref=configuration.VersionRef(
                    version=ids.ConfigVersion(int(entity["Version"])),
                    digest=ids.Digest(str(entity["Digest"])),
                ),
                change_id=str(entity["ChangeId"]),
                etag=etag,
            ),
        )

    async def wait_version(
        self, known: configuration.VersionRef, wait_s: float
    ) -> _ports.Outcome[_ports.VersionRow | None]:
        """Read the version in force at once: there is no change feed."""
        del known, wait_s
        return await self.read_version()

    async def write_version(
        self,
        *,
        ref: configuration.VersionRef,
        change_id: str,
        expected_etag: str | None,
    ) -> _ports.Outcome[None]:
        """Put a version in force, on condition that the row is unchanged.

        Parameters
        ----------
        ref
            The new version.
        change_id
            Identifies this change if the answer is lost.
        expected_etag
            ETag of the row when it was read; None if there was no row.
        """
        entity = {
            "PartitionKey": "configuration",
            "RowKey": _CURRENT_KEY,
            "Version": ref.version,
            "Digest": ref.digest,
            "ChangeId": change_id,
        }
        if expected_etag is None:
            reply_result = await self._request(
                "POST", f"/tables/{CONFIG_TABLE}", entity=entity
            )
        else:
            reply_result = await self._request(
                "PUT",
                _entity_path(CONFIG_TABLE, "configuration", _CURRENT_KEY),
                entity=entity,
                headers={"If-Match": expected_etag},
            )
        return reply_result.bind(_check_written)

    async def put_manifest(
        self, digest: ids.Digest, content: bytes
    ) -> _ports.Outcome[None]:
        """Write a manifest under its digest (idempotent)."""
        reply_result = await self._request(
            "PUT",
            f"/objects/{MANIFESTS_CONTAINER}/{digest}",
            body=content,
            headers={"x-ms-blob-type": "BlockBlob"},
        )
        return reply_result.bind(_check_written)

    async def get_manifest(self, digest: ids.Digest) -> _ports.Outcome[bytes]:
        """Read a manifest by its digest."""
        reply_result = await self._request(
            "GET", f"/objects/{MANIFESTS_CONTAINER}/{digest}"
        )
        if isinstance(reply_result, result.Failure):
            return reply_result
        reply = reply_result.unwrap()
        if reply.status == 404:
            return result.Failure(_errors.StoreError.NOT_FOUND)
        if reply.status != 200:
            return result.Failure(_errors.StoreError.REJECTED)
        return result.Success(reply.body)

    def merge_documents(
        self,
        own: bytes,
        own_version: ids.ConfigVersion,
        fetched: bytes,
        fetched_version: ids.ConfigVersion,
    ) -> bytes:
        """Return the fetched manifest: a manifest replaces its parent."""
        del own, own_version, fetched_version
        return fetched

    async def put_member(self, member: node.Member) -> _ports.Outcome[None]:
        """Store the address of a node, its service and its slots."""
        reply_result = await self._request(
            "PUT",
            _entity_path(MEMBERS_TABLE, "members", member.node),
            entity={
                "PartitionKey": "members",
                "RowKey": member.node,
                "Host": member.address.host,
                "Port": member.address.port,
                "Zone": member.zone,
                "Service": member.service,
                "Slots": member.slots,
                **(
                    {"Version": member.server_version}
                    if member.server_version
                    else {}
                ),
            },
        )
        return reply_result.bind(_check_written)

    async def list_members(
        self, count: int
    ) -> _ports.Outcome[tuple[node.Member, ...]]:
        """Read at most ``count`` nodes as they last registered."""
        read = await self._read_members(count)
        return read.map(lambda found: found[0])

    async def _read_members(
        self, count: int
    ) -> _ports.Outcome[tuple[tuple[node.Member, ...], tuple[str, ...]]]:
        """Read nodes; return them, and descriptions of invalid rows."""
        reply_result = await self._request(
            "GET", f"/tables/{MEMBERS_TABLE}()?$top={count}"
        )
        return reply_result.bind(
            lambda reply: _parse_page(reply, _parse_member_row)
        )

    async def put_departure(
        self, server: node.ServerStart
    ) -> _ports.Outcome[None]:
        """Store which start of a backend server is leaving."""
        reply_result = await self._request(
            "PUT",
            _entity_path(DEPARTURES_TABLE, "departures", server.server),
            entity={
                "PartitionKey": "departures",
                "RowKey": server.server,
                "Born": server.born,
            },
        )
        return reply_result.bind(_check_written)

    async def read_rollout(
        self, service: ids.ServiceName
    ) -> _ports.Outcome[node.RolloutRow | None]:
        """Read how the roll-out of a service stands; None without a row."""
        return await self._read_entity(
            _entity_path(ROLLOUTS_TABLE, "rollouts", service),
            lambda entity, etag: node.RolloutRow(
                service=service,
                version=ids.ServerVersion(str(entity["Version"])),
                phase=_PHASES[entity["Phase"]],
                order=ids.OrderId(str(entity["Order"])),
                etag=etag,
            ),
        )

    async def write_rollout(
        self, service: ids.ServiceName, row: node.RolloutRow, etag: str
    ) -> _ports.Outcome[node.RolloutRow]:
        """Write how a roll-out stands, if the row still has ``etag``."""
        entity: dict[str, object] = {
            "PartitionKey": "rollouts",
            "RowKey": service,
            "Version": row.version,
            "Phase": row.phase.name.lower(),
            "Order": row.order,
        }
        if etag:
            reply_result = await self._request(
                "PUT",
                _entity_path(ROLLOUTS_TABLE, "rollouts", service),
                entity=entity,
                headers={"If-Match": etag},
            )
        else:
            reply_result = await self._request(
                "POST", f"/tables/{ROLLOUTS_TABLE}", entity=entity
            )
        if isinstance(reply_result, result.Failure):
            return reply_result
        reply = reply_result.unwrap()
        if reply.status == 404:
            # The row that was read is gone.
            return result.Failure(_errors.StoreError.CONFLICT)
        return _check_written(reply).map(
            lambda _written: dataclasses.replace(row, etag=reply.etag)
        )

    async def read_fleet(
        self, reader: ids.NodeId, count: int
    ) -> _ports.Outcome[_ports.FleetRows]:
        """Read at most ``count`` nodes and all departed servers."""
        member_result = await self._read_members(count)
        if isinstance(member_result, result.Failure):
            return member_result
        members, invalid_members = member_result.unwrap()
        departure_result = await self._read_departures()
        return departure_result.map(
            lambda found: _ports.FleetRows(
                members=members,
                departures=found[0],
                invalid_rows=invalid_members + found[1],
            )
        )

    async def _read_departures(
        self,
    ) -> _ports.Outcome[tuple[tuple[node.ServerStart, ...], tuple[str, ...]]]:
        """Read all starts of backend servers that are leaving or gone."""
        reply_result = await self._request(
            "GET", f"/tables/{DEPARTURES_TABLE}()"
        )
        if isinstance(reply_result, result.Failure):
            return reply_result
        reply = reply_result.unwrap()
        if reply.status == 404:
            return result.Success(((), ()))
        return _parse_page(reply, _parse_departure_row)

    async def _read_entity(
        self,
        path: str,
        parse: collections.abc.Callable[[dict[str, typing.Any], str], ParsedT],
    ) -> _ports.Outcome[ParsedT | None]:
        """Read one entity; None if there is none.

        ``parse`` builds the value from the entity's fields and its etag.
        """
        reply_result = await self._request("GET", path)
        if isinstance(reply_result, result.Failure):
            return reply_result
        reply = reply_result.unwrap()
        if reply.status == 404:
            return result.Success(None)
        if reply.status != 200:
            return result.Failure(_errors.StoreError.REJECTED)
        try:
            return result.Success(parse(json.loads(reply.body), reply.etag))
        except (ValueError, KeyError, TypeError):
            return result.Failure(_errors.StoreError.REJECTED)

    async def _request(
        self,
        method: str,
        path: str,
        *,
        entity: dict[str, object] | None = None,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> _ports.Outcome[_Reply]:
        now = asyncio.get_running_loop().time()
        if not self._budget.take_token(
            now
        ) or not self._breaker.allow_operation(now):
            return result.Failure(_errors.StoreError.UNREACHABLE)
        is_probe = self._breaker.is_probing
        try:
            outcome = await self._send(method, path, entity, body, headers)
        except BaseException:
            self._breaker.record_cancellation(was_probe=is_probe)
            raise
        if isinstance(outcome, result.Success):
            self._breaker.record_success()
        else:
            now = asyncio.get_running_loop().time()
            self._breaker.record_failure(now, random.random())
        return outcome

    async def _send(
        self,
        method: str,
        path: str,
        entity: dict[str, object] | None,
        body: bytes | None,
        headers: dict[str, str] | None,
    ) -> _ports.Outcome[_Reply]:
        if self._session is None:
            # A connection carries one request only: on a reused one, a stray
            # answer would be taken for the answer to the next request.
            self._session = aiohttp.ClientSession(
                connector=bounded_http.BoundedConnector(force_close=True),
                auto_decompress=False,
            )
        content = body if entity is None else json.dumps(entity).encode()
        sent = {
            "Accept": "application/json",
            "Accept-Encoding": "identity",
            **(headers or {}),
        }
        if entity is not None:
            sent["Content-Type"] = "application/json"
        try:
            async with asyncio.timeout(self._timeout_s):
                async with self._session.request(
                    method,
                    self._base_url + path,
                    data=content,
                    headers=sent,
                ) as response:
                    reply = _Reply(
                        status=response.status,
                        body=await bounded_http.read_bounded(
                            response, MAX_REPLY_BYTES
                        ),
                        etag=response.headers.get("ETag", ""),
                    )
        except aiohttp.ClientConnectorError:
            return result.Failure(_errors.StoreError.UNREACHABLE)
        except (aiohttp.ClientError, OSError) as error:
            url = yarl.URL(self._base_url)
            bounded_http.log_if_faulty(error, url.host or "", url.port or 0)
            return result.Failure(_errors.StoreError.NO_ANSWER)
        is_oversized = len(reply.body) > MAX_REPLY_BYTES
        if reply.status >= 500 or is_oversized:
            # The store may have failed before or after the write.
            return result.Failure(_errors.StoreError.NO_ANSWER)
        return result.Success(reply)


def _parse_page(
    reply: _Reply,
    parse: collections.abc.Callable[[str, _Row], ParsedT],
) -> _ports.Outcome[tuple[tuple[ParsedT, ...], tuple[str, ...]]]:
    """Parse the rows of a reply; invalid ones are described."""
    try:
        rows = [
            (str(row["RowKey"]), row)
            for row in json.loads(reply.body)["value"]
        ]
    except (ValueError, KeyError, TypeError, RecursionError):
        return result.Failure(_errors.StoreError.REJECTED)
    return result.Success(_member_rows.parse_rows(rows, parse))


def _parse_member_row(key: str, row: _Row) -> node.Member:
    return _member_rows.parse_member(
        ids.NodeId(key),
        host=row["Host"],
        port=row["Port"],
        zone=row["Zone"],
        service=row.get("Service", ""),
        slots=row.get("Slots", 0),
        version=row.get("Version", ""),
    )


def _parse_departure_row(key: str, row: _Row) -> node.ServerStart:
    return _member_rows.parse_departure(ids.ServerId(key), born=row["Born"])


def _check_written(reply: _Reply) -> _ports.Outcome[None]:
    if reply.status in (200, 201, 204):
        return result.Success(None)
    if reply.status in (409, 412):
        return result.Failure(_errors.StoreError.CONFLICT)
    if reply.status == 404:
        return result.Failure(_errors.StoreError.NOT_FOUND)
    return result.Failure(_errors.StoreError.REJECTED)


def _entity_path(table: str, partition: str, row: str) -> str:
    quoted = urllib.parse.quote(row.replace("'", "''"), safe="")
    return f"/tables/{table}(PartitionKey='{partition}',RowKey='{quoted}')"
