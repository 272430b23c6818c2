"""Backend servers that this entry may choose among, by service.

The lists are rebuilt only when membership, configuration or the own server
change, not on each call.  At size an entry keeps a subset of each service's
servers, picked by rendezvous hashing, so that its state and its connections
do not grow with the fleet while the entries together still cover all servers
evenly.
"""

import collections.abc
import hashlib
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _load
from marjoramledge_core import _members
from marjoramledge_core import _settings

MAX_SUBSET_SIZE: typing.Final = 24
# Of these the most that may be of the own zone.
MAX_SAME_ZONE: typing.Final = 16
OTHER_REGION_COST_S: typing.Final = 0.025
# When this part of the servers known has been heard of from their own nodes,
# those that only the store has told of are left out.
MIN_CONFIRMED_FRACTION: typing.Final = 0.5


class Directory:
    """Candidates of each service, with their load as this entry knows it.

    Parameters
    ----------
    node, zone
        The entry's own.
    other_zone_cost_s
        Seconds that a call may wait longer rather than leave the zone.
    """

    def __init__(
        self,
        *,
        node: _ids.NodeId,
        zone: _ids.ZoneName,
        other_zone_cost_s: float,
    ) -> None:
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
        """Servers of a service that may be given new work."""
        return self._services.get(service, ())

    def rebuild(
        self,
        members: collections.abc.Iterable[_members.Member],
        configuration: _settings.Configuration,
    ) -> None:
        """Build the lists anew from membership and configuration."""
        by_service: dict[_ids.ServiceName, list[_members.Member]] = {}
        present: set[_ids.NodeId] = set()
        for member in members:
            present.add(member.node)
            if member.accepts_work and configuration.zone_takes_work(
                member.zone
            ):
                by_service.setdefault(member.service, []).append(member)
        for node in self._loads.keys() - present:
            del self._loads[node]
        self._services = {
            service: self._select(service, available, configuration)
            for service, available in by_service.items()
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
            # The rest are most likely gone.
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
        # The own server is always kept: calling it costs no second hop.
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
        if load.reported_at == 0.0:
            load.limit = float(max(1, member.slots))
            # One never heard of must not look faster than those that are.
            load.latency_s = (
                configuration.expected_s(member.service) or load.latency_s
            )
        if member.zone == self._zone:
            load.zone_cost_s = 0.0
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
