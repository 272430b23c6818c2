"""Client of the nodes' peer ports: status, drains and new versions."""

import asyncio
import collections.abc
import dataclasses
import json
import typing

import aiohttp
from marjoramledge_core import configuration
from marjoramledge_core import node
from marjoramledge_node import peers
from marjoramledge_store import bounded_http
from returns import result

REQUEST_TIMEOUT_S: typing.Final = 2.0
# Requests in flight at a time, whatever the size of the fleet.
MAX_CONCURRENT_REQUESTS: typing.Final = 64
POLL_PERIOD_S: typing.Final = 0.1
# Number of nodes that get an accepted version directly; gossip reaches the
# others.
PUSH_TARGET_COUNT: typing.Final = 3

_PRESENT_STATUSES: typing.Final = frozenset({"alive", "suspect"})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberStatus:
    """One member of the fleet, as the queried node knows it."""

    node_id: str
    address: node.Address
    zone: str
    status: str
    service: str
    server: str
    slots: int
    version: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutStatus:
    """One roll-out, as the queried node knows it.

    ``counts`` describes the responses by kind and version.
    """

    service: str
    version: str
    order: str
    phase: str
    is_stored: bool
    age_s: float
    reason: str
    counts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeStatus:
    """Status of one node, as it reports it."""

    node_id: str
    zone: str
    version: int
    is_store_up: bool
    is_drained_by_order: bool
    running: int
    queued: int
    limit: int
    members: tuple[MemberStatus, ...]
    rollouts: tuple[RolloutStatus, ...] = ()

    def present_members(self) -> tuple[MemberStatus, ...]:
        """Return the members that are alive or suspected."""
        return tuple(m for m in self.members if m.status in _PRESENT_STATUSES)


class FleetClient:
    """Client of the nodes' peer ports.

    Parameters
    ----------
    keys
        Keys that requests are signed with.
    """

    def __init__(self, *, keys: peers.KeyRing) -> None:
        self._keys = keys
        self._session = aiohttp.ClientSession(
            connector=bounded_http.BoundedConnector(),
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
        )
        self._request_slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def read_status(
        self, address: node.Address
    ) -> result.Result[NodeStatus, str]:
        """Read the status of one node."""
        reply_result = await self._request("GET", address, peers.STATUS_TARGET)
        return reply_result.bind(parse_status)

    async def order_drain(
        self, address: node.Address, *, is_drained: bool
    ) -> result.Result[bytes, str]:
        """Start or end the drain of one node."""
        method = "PUT" if is_drained else "DELETE"
        return await self._request(method, address, peers.DRAIN_TARGET)

    async def read_any_status(
        self, addresses: collections.abc.Iterable[node.Address]
    ) -> result.Result[NodeStatus, str]:
        """Read the status of the first node that answers."""
        outcome: result.Result[NodeStatus, str] = result.Failure(
            "no node is known; give addresses with --peers"
        )
        for address in addresses:
            outcome = await self.read_status(address)
            if isinstance(outcome, result.Success):
                return outcome
        return outcome

    async def push_manifest(
        self,
        manifest: configuration.Manifest,
        addresses: collections.abc.Iterable[node.Address],
    ) -> int:
        """Send an accepted version to a few nodes; return how many adopted it.

        Nodes also read the store, but that may fail right after the write.
        """
        content = configuration.encode_manifest(manifest)
        target = peers.manifest_target(configuration.compute_digest(content))
        accepted_count = 0
        for address in addresses:
            outcome = await self._request("PUT", address, target, content)
            accepted_count += isinstance(outcome, result.Success)
            if accepted_count == PUSH_TARGET_COUNT:
                break
        return accepted_count

    async def wait_until_in_force(
        self,
        version: int,
        addresses: collections.abc.Sequence[node.Address],
        timeout_s: float,
    ) -> tuple[str, ...]:
        """Wait until every live node has a version in force.

        Returns
        -------
        tuple of str
            The nodes that don't have it after ``timeout_s``.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            outdated_nodes = await self._find_outdated_nodes(
                version, addresses
            )
            if not outdated_nodes or loop.time() >= deadline:
                return outdated_nodes
            await asyncio.sleep(POLL_PERIOD_S)

    async def _request(
        self,
        method: str,
        address: node.Address,
        target: str,
        body: bytes = b"",
    ) -> result.Result[bytes, str]:
        url = f"http://{address.host}:{address.port}{target}"
        headers = peers.sign_request(self._keys, method, target, body)
        try:
            async with (
                self._request_slots,
                self._session.request(
                    method, url, headers=headers, data=body or None
                ) as reply,
            ):
                content = await bounded_http.read_bounded(
                    reply, peers.MAX_DOCUMENT_BYTES
                )
        except (aiohttp.ClientError, OSError) as error:
            return result.Failure(f"{address.host}:{address.port}: {error}")
        if reply.status != 200:
            return result.Failure(f"HTTP status {reply.status}")
        if len(content) > peers.MAX_DOCUMENT_BYTES:
            return result.Failure("the answer is too large")
        return result.Success(content)

    async def _find_outdated_nodes(
        self,
        version: int,
        addresses: collections.abc.Sequence[node.Address],
    ) -> tuple[str, ...]:
        status_result = await self.read_any_status(addresses)
        if isinstance(status_result, result.Failure):
            return (status_result.failure(),)
        members = status_result.unwrap().present_members()
        statuses = await asyncio.gather(
            *(self.read_status(member.address) for member in members)
        )
        outdated_nodes = []
        for member, status in zip(members, statuses, strict=True):
            if isinstance(status, result.Failure):
                outdated_nodes.append(f"{member.node_id}: {status.failure()}")
            elif status.unwrap().version < version:
                outdated_nodes.append(
                    f"{member.node_id}: version {status.unwrap().version}"
                )
        return tuple(outdated_nodes)


def parse_status(content: bytes) -> result.Result[NodeStatus, str]:
    """Parse the status that a node reports."""
    try:
        fields = json.loads(content)
        gate = fields["gate"]
        return result.Success(
            NodeStatus(
                node_id=fields["node"],
                zone=fields["zone"],
                version=fields["version"],
                is_store_up=fields["is_store_up"],
                is_drained_by_order=fields["is_drained_by_order"],
                running=gate["running"],
                queued=gate["queued"],
                limit=gate["limit"],
                members=tuple(map(_parse_member, fields["members"])),
                rollouts=tuple(
                    RolloutStatus(
                        **{**rollout, "counts": tuple(rollout["counts"])}
                    )
                    for rollout in fields.get("rollouts", ())
                ),
            )
        )
    except (ValueError, KeyError, TypeError) as error:
        return result.Failure(f"invalid status document: {error!r}")


def _parse_member(
    fields: collections.abc.Mapping[str, typing.Any],
) -> MemberStatus:
    return MemberStatus(
        node_id=fields["node"],
        address=node.Address(host=fields["host"], port=fields["port"]),
        zone=fields["zone"],
        status=fields["status"],
        service=fields["service"],
        server=fields["server"],
        slots=fields["slots"],
        version=fields.get("version", ""),
    )
