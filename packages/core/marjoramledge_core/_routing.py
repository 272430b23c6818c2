"""Choice of a backend server from stale and partial load information.

Used by the entry to select the next server to try, based on load records that
are updated by the reports on answers.  A few servers are sampled at random and
the one with the least expected response time is chosen.  Sampling keeps many
entries from herding on the server that last reported itself idle
(Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
The score weighs queue length against measured latency, so that a slow server
with a short queue is not preferred.
"""

import collections.abc
import random
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _load
from marjoramledge_core import _zone_overflow

SAMPLE_SIZE: typing.Final = 4
SAME_ZONE_SAMPLE_SIZE: typing.Final = 4
# Up to this many servers, all are compared instead of a sample.
FULL_SCAN_MAX: typing.Final = 4


def expected_response_s(
    server: _load.ServerLoad,
    now: float,
    offer: _zone_overflow.Offer | None = None,
) -> float:
    """Score a server by its expected response time in seconds.

    The cost of the queue grows with the cube of its length relative to the
    limit, as in C3 (Suresh et al., "C3: Cutting Tail Latency in Cloud Data
    Stores via Adaptive Replica Selection", NSDI 2015), so that a fast server
    is not overloaded.  The score also includes the cost of leaving the zone
    and, after a readmission, a penalty that declines over the ramp.  In the
    zone of an ``offer``, the cost is that of the offer.
    """
    load = (server.estimate_in_flight(now) + 1.0) / server.limit
    wait_s = server.latency_s * load * load * load
    zone_cost_s = max(
        server.zone_cost_s, server.zone_cost_share * server.latency_s
    )
    if offer is not None and server.zone == offer.zone:
        zone_cost_s = offer.cost_s
    score = server.latency_s + wait_s + zone_cost_s
    since_s = now - server.readmitted_at
    if since_s < _load.READMISSION_RAMP_S:
        score *= 1.0 + 4.0 * (1.0 - since_s / _load.READMISSION_RAMP_S)
    return score


def choose_server(
    servers: collections.abc.Sequence[_load.ServerLoad],
    excluded: collections.abc.Container[_ids.NodeId],
    now: float,
    rng: random.Random,
    offer: _zone_overflow.Offer | None = None,
) -> _load.ServerLoad | None:
    """Choose a server among those neither excluded nor ejected.

    Parameters
    ----------
    servers
        Candidates for the service.
    excluded
        Nodes that must not be chosen, such as those that the call has tried.
    now
        Monotonic time in seconds.
    rng
        Source of randomness.
    offer
        Zone that competes with the own one at a lower cost, if any.  The
        sample is then drawn from these two zones.

    Returns
    -------
    ServerLoad or None
        None if no candidate remains, or the rate limits of all leave no room.
        If all remaining ones are ejected, the one whose ejection ends first
        is chosen, since a likely failure is better than a certain one.
    """
    if offer is not None:
        offered = [
            server
            for server in servers
            if server.zone_cost_s == 0.0 or server.zone == offer.zone
        ]
        best = _choose_sampled(offered, excluded, now, rng, offer)
        if best is not None:
            return best
    best = _choose_sampled(servers, excluded, now, rng)
    if best is not None:
        return best
    usable = [
        s for s in servers if s.node not in excluded and not s.is_paused(now)
    ]
    if not usable:
        return None
    ready = [s for s in usable if not s.is_ejected(now)]
    if ready:
        return min(ready, key=lambda server: expected_response_s(server, now))
    return min(usable, key=lambda server: server.ejected_until)


def _choose_sampled(
    servers: collections.abc.Sequence[_load.ServerLoad],
    excluded: collections.abc.Container[_ids.NodeId],
    now: float,
    rng: random.Random,
    offer: _zone_overflow.Offer | None = None,
) -> _load.ServerLoad | None:
    best = None
    best_score = 0.0
    for position in _sample_positions(servers, rng):
        server = servers[position]
        if now < server.ejected_until or server.node in excluded:
            continue
        if server.is_paused(now):
            continue
        score = expected_response_s(server, now, offer)
        if best is None or score < best_score:
            best = server
            best_score = score
    return best


def _sample_positions(
    servers: collections.abc.Sequence[_load.ServerLoad], rng: random.Random
) -> collections.abc.Iterable[int]:
    """Sample positions from the servers of this zone and from all servers.

    Servers of the entry's zone come first in ``servers``.  Sampling them
    separately ensures that a call does not leave the zone only because none
    of the zone's servers was drawn.
    """
    count = len(servers)
    if count <= FULL_SCAN_MAX:
        return range(count)
    same_zone_count = 0
    while (
        same_zone_count < count and servers[same_zone_count].zone_cost_s == 0.0
    ):
        same_zone_count += 1
    positions = _sample_distinct(
        min(same_zone_count, SAME_ZONE_SAMPLE_SIZE), same_zone_count, rng
    )
    for position in _sample_distinct(SAMPLE_SIZE, count, rng):
        if position not in positions:
            positions.append(position)
    return positions


def _sample_distinct(size: int, count: int, rng: random.Random) -> list[int]:
    positions: list[int] = []
    while len(positions) < size:
        position = int(rng.random() * count)
        if position not in positions:
            positions.append(position)
    return positions
