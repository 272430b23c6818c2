"""Choice of a backend server from stale and partial load.

Sits between the entry, which asks for the next server to try, and the load
records that answers keep fresh.  A few servers are sampled at random and the
one with the least expected time is taken: sampling keeps many entries from
herding on the one that last reported itself idle (Mitzenmacher, "The Power of
Two Choices in Randomized Load Balancing", 2001), and the score weighs the
queue against the measured speed, so that a straggler with a short queue does
not win.
"""

import collections.abc
import random
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _load

SAMPLE_SIZE: typing.Final = 4
SAME_ZONE_SAMPLE_SIZE: typing.Final = 4
# Of so few servers all are looked at.
FULL_SCAN_MAX: typing.Final = 4


def expected_response_s(server: _load.ServerLoad, now: float) -> float:
    """Score a server: the expected seconds until it would answer.

    The queue's cost grows with the cube of its length over the limit, as in
    C3 (Suresh et al., "C3: Cutting Tail Latency in Cloud Data Stores via
    Adaptive Replica Selection", NSDI 2015), so that a fast server is not
    piled upon.
    """
    load = (server.estimate_in_flight(now) + 1.0) / server.limit
    wait_s = server.latency_s * load * load * load
    score = server.latency_s + wait_s + server.zone_cost_s
    since_s = now - server.readmitted_at
    if since_s < _load.READMISSION_RAMP_S:
        score *= 1.0 + 4.0 * (1.0 - since_s / _load.READMISSION_RAMP_S)
    return score


def choose_server(
    servers: collections.abc.Sequence[_load.ServerLoad],
    excluded: collections.abc.Container[_ids.NodeId],
    now: float,
    rng: random.Random,
) -> _load.ServerLoad | None:
    """Choose a server among those not excluded nor put aside.

    Parameters
    ----------
    servers
        Candidates for the service.
    excluded
        Nodes that this call has tried already.
    now
        Monotonic time in seconds.
    rng
        Source of randomness.

    Returns
    -------
    ServerLoad or None
        None when no candidate remains.  When all that remain are put aside,
        the one that returns first is taken, since a likely failure is better
        than a certain one.
    """
    best = _choose_sampled(servers, excluded, now, rng)
    if best is not None:
        return best
    usable = [s for s in servers if s.node not in excluded]
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
) -> _load.ServerLoad | None:
    best = None
    best_score = 0.0
    for position in _sample_positions(servers, rng):
        server = servers[position]
        if now < server.ejected_until or server.node in excluded:
            continue
        score = expected_response_s(server, now)
        if best is None or score < best_score:
            best = server
            best_score = score
    return best


def _sample_positions(
    servers: collections.abc.Sequence[_load.ServerLoad], rng: random.Random
) -> collections.abc.Iterable[int]:
    """Pick some positions at random, of the near servers and of all.

    ``servers`` begin with the near ones, so that a call that could stay in
    its zone is not sent away because none of that zone was drawn.
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
