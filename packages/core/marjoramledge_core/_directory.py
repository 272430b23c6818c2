"""Candidate backend servers of each service, as used by this entry.

The lists are rebuilt only when membership, the configuration or the local
server changes, not on each call.  In a large fleet an entry keeps a subset of
each service's servers, selected by rendezvous hashing, so that its state and
connections do not grow with the fleet while all entries together cover all
servers evenly.
"""

import collections.abc
import hashlib
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _load
from marjoramledge_core import _members
from marjoramledge_core import _settings

# Maximum number of candidate servers kept for a service.
MAX_SUBSET_SIZE: typing.Final = 24
# Maximum number of servers in the subset that are in the entry's zone.
MAX_SAME_ZONE: typing.Final = 16
OTHER_REGION_COST_S: typing.Final = 0.025
# When at least this fraction of the known servers has been confirmed by their
# own nodes, servers known only from the store are left out.
MIN_CONFIRMED_FRACTION: typing.Final = 0.5


class Directory:
    """Candidate servers of each service, with their load records.

    Parameters
    ----------
    node, zone
        Node identifier and zone of the entry.
    other_zone_cost_s
        Additional expected time in seconds that is accepted in order to stay
        in the zone.
    other_zone_cost_share
        Lower bound of that time, relative to the service time of the server
        in the other zone.
    """

    def __init__(
        self,
        *,
        node: _ids.NodeId,
        zone: _ids.ZoneName,
        other_zone_cost_s: float,
        other_zone_cost_share: float = 0.0,
    ) -> None:
        self._other_zone_cost_share = other_zone_cost_share
        self._other_zone_cost_s = other_zone_cost_s
        self._node = node
        self._zone = zone
        self._loads: dict[_ids.NodeId, _load.ServerLoad] = {}
        self._services: dict[
            _ids.ServiceName, tuple[_load.ServerLoad, ...]
        ] = {}

    @property
    def loads(
        self,
    ) -> collections.abc.Mapping[_ids.NodeId, _load.ServerLoad]:
        """Load records by node."""
        return self._loads

    def candidates(
        self, service: _ids.ServiceName
    ) -> tuple[_load.ServerLoad, ...]:
        """Return the servers of a service that accept new work."""
        return self._services.get(service, ())

    def rebuild(
        self,
        members: collections.abc.Iterable[_members.Member],
        configuration: _settings.Configuration,
    ) -> None:
        """Rebuild the candidate lists from membership and configuration."""
        by_service: dict[_ids.ServiceName, list[_members.Member]] = {}
        by_new_version: dict[_ids.ServiceName, list[_members.Member]] = {}
        present: set[_ids.NodeId] = set()
        for member in members:
            present.add(member.node)
            if member.accepts_work and configuration.zone_takes_work(
                member.zone
            ):
                order = configuration.rollouts.get(member.service)
                # Each version of a roll-out has a subset of its own.
                is_new = order is not None and (
                    order.version == member.server_version
                )
                group = by_new_version if is_new else by_service
                group.setdefault(member.service, []).append(member)
        for node in self._loads.keys() - present:
            del self._loads[node]
        self._services = {
            service: tuple(
                server
                for group in (by_service, by_new_version)
                if service in group
                for server in self._select(
                    service, group[service], configuration
                )
            )
            for service in by_service.keys() | by_new_version.keys()
        }

    def _select(
        self,
        service: _ids.ServiceName,
        members: list[_members.Member],
        configuration: _settings.Configuration,
    ) -> tuple[_load.ServerLoad, ...]:
        region = _region_of(self._zone, configuration)
        same_region = [
            member
            for member in members
            if _region_of(member.zone, configuration) == region
        ]
        chosen = same_region or members
        confirmed = [member for member in chosen if member.is_confirmed]
        if MIN_CONFIRMED_FRACTION * len(chosen) <= len(confirmed):
            # Unconfirmed servers are most likely gone.
            chosen = confirmed
        same_zone = [member for member in chosen if member.zone == self._zone]
        other_zones = [
            member for member in chosen if member.zone != self._zone
        ]
        if len(chosen) > MAX_SUBSET_SIZE:
            same_zone = sorted(same_zone, key=self._rendezvous_rank)[
                :MAX_SAME_ZONE
            ]
            other_zones = sorted(other_zones, key=self._rendezvous_rank)
            del other_zones[MAX_SUBSET_SIZE - len(same_zone) :]
        return tuple(
            self._refresh_load(member, region, configuration)
            for member in (*same_zone, *other_zones)
        )

    def _rendezvous_rank(self, member: _members.Member) -> bytes:
        # The local server is always selected: calling it costs no second hop.
        if member.node == self._node:
            return b""
        pair = f"{self._node}\n{member.node}".encode()
        return hashlib.blake2b(pair, digest_size=8).digest()

    def _refresh_load(
        self,
        member: _members.Member,
        region: _ids.RegionName | None,
        configuration: _settings.Configuration,
    ) -> _load.ServerLoad:
        load = self._loads.get(member.node)
        if load is None or load.address != member.address:
            load = _load.ServerLoad(
                node=member.node,
                address=member.address,
                zone=member.zone,
                zone_cost_s=0.0,
                slots=member.slots,
                is_local=member.node == self._node,
            )
            self._loads[member.node] = load
        load.slots = member.slots
        load.version = member.server_version
        load.is_cold = member.server is _members.ServerState.COLD
        if load.reported_at == 0.0:
            load.limit = float(max(1, member.slots))
            # A server without a load report must not appear faster than those
            # with one.
            load.latency_s = (
                configuration.expected_s(member.service) or load.latency_s
            )
        load.zone_cost_share = self._other_zone_cost_share
        if member.zone == self._zone:
            load.zone_cost_s = load.zone_cost_share = 0.0
        elif _region_of(member.zone, configuration) == region:
            load.zone_cost_s = self._other_zone_cost_s
        else:
            load.zone_cost_s = OTHER_REGION_COST_S
        return load


def _region_of(
    zone: _ids.ZoneName, configuration: _settings.Configuration
) -> _ids.RegionName | None:
    declared = configuration.zones.get(zone)
    return None if declared is None else declared.region
