"""Overflow of a service's calls to other availability zones.

Each entry keeps, for each service and other zone, the share of its calls that
may use that zone on equal terms, at the cost of the measured round trip only.
The other calls stay in the zone at their first attempt; further attempts
follow the fixed cost of ``_directory``.  The share rises with the utilisation
of the own zone and falls where the other one responds more slowly, as
summarized from the load reports that the entry receives anyway.

The share moves slowly and each call draws by itself, so entries that see the
same overload do not all send their calls to the same zone before its reports
show them.
"""

import collections.abc
import dataclasses
import random
import typing

from marjoramledge_core import _decaying_mean
from marjoramledge_core import _ids
from marjoramledge_core import _load

# Shortest time between two updates of the shares of a service.  It is much
# shorter than a swing of the load and longer than the time between calls.
UPDATE_PERIOD_S: typing.Final = 0.1
# An entry without calls for this long starts again with shares of zero.
FORGET_S: typing.Final = 10.0
# Time constant with which a share follows its target: several response times,
# so that reports of the receiving zone arrive before many calls follow.
SETTLE_S: typing.Final = 1.0
# Utilisations of the own zone between which the share rises from 0 to 1.
FIRST_UTILISATION: typing.Final = 0.5
FULL_UTILISATION: typing.Final = 0.9
# How fast the share falls while the other zone responds more slowly: at half
# as much again as the own one, none of the calls may use it.
HOLD_BACK: typing.Final = 2.0
# Change of the share per second where nothing is known of the other zone.
UNKNOWN_DECAY_PER_S: typing.Final = 0.5
# Share that is kept at a zone without recent reports while the own zone is
# busy, so that an entry learns when there is room.
PROBE_SHARE: typing.Final = 0.02
BUSY_UTILISATION: typing.Final = 0.7
# Servers whose last report is older are left out of the summary of a zone.
MAX_REPORT_AGE_S: typing.Final = 2.0
# Assumed until a round trip has been measured; the longest one expected
# within a region.
INITIAL_ROUND_TRIP_S: typing.Final = 0.009
# Weight of a longer sample.  A shorter one is taken at once, since delays
# within the two processes only lengthen a sample.
ROUND_TRIP_WEIGHT: typing.Final = 0.05
# Time constant of the mean response times that are compared between zones.
RESPONSE_WINDOW_S: typing.Final = 3.0
# Least decayed number of answers from each zone for a comparison.
MIN_ANSWERS: typing.Final = 10.0
# Answers that are slower by less than this are not told from chance: with
# a quarter of the servers slow, means of ten answers differ by a few tenths.
SLOWER_DEAD_BAND: typing.Final = 0.2
# Change of a share that is recorded, and shortest time between records.
RECORDED_CHANGE: typing.Final = 0.1
MIN_RECORD_PERIOD_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneOverflow:
    """Options of the overflow.

    ``crossing_cost_s`` is the expected time that a call must gain by leaving
    its zone, in addition to the round trip.  It states what traffic between
    zones costs the operator; with the default, callers' time alone decides.
    """

    crossing_cost_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Offer:
    """A zone that a call may use at a lower cost than the fixed one."""

    zone: _ids.ZoneName
    cost_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneSummary:
    """Load of one zone's servers of a service.

    ``response_s`` is the expected response time, and ``utilisation`` the
    ratio of calls to the limit, both weighted by the servers' speed, since
    slow servers get few calls.
    """

    response_s: float
    utilisation: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareChange:
    """A change of a share that is worth a record."""

    zone: _ids.ZoneName
    detail: str


@dataclasses.dataclass(slots=True, kw_only=True)
class _Share:
    value: float = 0.0
    reason: str = ""
    recorded: float = 0.0
    recorded_at: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _ServiceShares:
    updated_at: float
    has_own: bool = False
    shares: dict[_ids.ZoneName, _Share] = dataclasses.field(
        default_factory=dict
    )
    # Response times relative to the mean of the kind, by zone.
    responses: dict[_ids.ZoneName, _decaying_mean.DecayingMean] = (
        dataclasses.field(default_factory=dict)
    )


def summarize(
    servers: collections.abc.Iterable[_load.ServerLoad], now: float
) -> ZoneSummary | None:
    """Summarize the load of one zone; None if nothing recent is known."""
    weights = limits = busy = 0.0
    for server in servers:
        age_s = server.report_age_s(now)
        if age_s is None or age_s > MAX_REPORT_AGE_S:
            continue
        if server.is_ejected(now) or server.is_paused(now):
            continue
        speed = 1.0 / max(server.latency_s, 1e-6)
        weight = server.limit * speed
        # The report is not decayed as for single servers: the number of calls
        # in a zone changes much more slowly than that at one server.
        in_flight = server.entry_in_flight + server.others_in_flight
        weights += weight
        limits += server.limit
        busy += weight * in_flight / server.limit
    if not weights:
        return None
    utilisation = busy / weights
    latency_s = limits / weights
    return ZoneSummary(
        response_s=latency_s * (1.0 + utilisation**3),
        utilisation=utilisation,
    )


class Overflow:
    """Shares of one entry's calls that may use other zones.

    Parameters
    ----------
    zone
        The entry's own zone.
    """

    def __init__(self, *, zone: _ids.ZoneName) -> None:
        self._zone = zone
        self._services: dict[_ids.ServiceName, _ServiceShares] = {}
        self._round_trips: dict[_ids.ZoneName, float] = {}
        self._probe: tuple[int, _ids.ZoneName, float] | None = None

    def list_shares(
        self,
    ) -> collections.abc.Iterator[
        tuple[_ids.ServiceName, _ids.ZoneName, float, str]
    ]:
        """Yield service, zone, share and the reason of its last change."""
        for service, known in self._services.items():
            for zone, share in known.shares.items():
                yield service, zone, share.value, share.reason

    def round_trip_s(self, zone: _ids.ZoneName) -> float:
        """Return the round trip to a zone, in seconds."""
        return self._round_trips.get(zone, INITIAL_ROUND_TRIP_S)

    def note_probe(
        self, sequence: int, zone: _ids.ZoneName, now: float
    ) -> None:
        """Record a membership probe that has just been sent to a zone."""
        self._probe = (sequence, zone, now)

    def note_probe_answer(self, sequence: int, now: float) -> None:
        """Update the round trip with the answer to the last probe."""
        if self._probe is None or self._probe[0] != sequence:
            return
        _, zone, sent_at = self._probe
        self._probe = None
        sample_s = now - sent_at
        known_s = self._round_trips.get(zone)
        if known_s is not None and sample_s > known_s:
            sample_s = known_s + ROUND_TRIP_WEIGHT * (sample_s - known_s)
        self._round_trips[zone] = sample_s

    def note_answer(
        self,
        service: _ids.ServiceName,
        zone: _ids.ZoneName,
        relative_s: float,
        now: float,
    ) -> None:
        """Record the response time of an answer from a zone.

        ``relative_s`` is relative to the typical time of the call's kind.
        """
        known = self._services.get(service)
        if known is None:
            return
        mean = known.responses.get(zone)
        if mean is None:
            mean = _decaying_mean.DecayingMean(
                time_constant_s=RESPONSE_WINDOW_S,
                prior_count=1.0,
                prior_value=0.5,
            )
            known.responses[zone] = mean
        mean.note(relative_s, now)

    def draw(
        self,
        service: _ids.ServiceName,
        options: ZoneOverflow,
        rng: random.Random,
    ) -> Offer | None:
        """Draw which zone a call may use besides the own one.

        Returns None if nothing is known of the service yet, or the own zone
        has no server.  An offer of the own zone means that the call stays.
        """
        known = self._services.get(service)
        if known is None or not known.has_own:
            return None
        drawn = rng.random()
        for zone, share in known.shares.items():
            drawn -= share.value
            if drawn < 0.0:
                return Offer(
                    zone=zone,
                    cost_s=self.round_trip_s(zone) + options.crossing_cost_s,
                )
        return Offer(zone=self._zone, cost_s=0.0)

    def update(
        self,
        service: _ids.ServiceName,
        servers: collections.abc.Sequence[_load.ServerLoad],
        options: ZoneOverflow,
        now: float,
    ) -> list[ShareChange]:
        """Update the shares of a service; return changes to be recorded."""
        known = self._services.get(service)
        if known is None or now - known.updated_at > FORGET_S:
            known = _ServiceShares(updated_at=now)
            self._services[service] = known
            return []
        elapsed_s = now - known.updated_at
        if elapsed_s < UPDATE_PERIOD_S:
            return []
        known.updated_at = now
        by_zone: dict[_ids.ZoneName, list[_load.ServerLoad]] = {}
        for server in servers:
            by_zone.setdefault(server.zone, []).append(server)
        own = by_zone.pop(self._zone, [])
        for zone in known.shares.keys() - by_zone.keys():
            del known.shares[zone]
        if not own:
            # Without a server in the zone, each call leaves it in any case,
            # and all other zones have the same fixed cost.
            known.shares.clear()
            known.has_own = False
            return []
        known.has_own = True
        home = summarize(own, now)
        for zone, others in by_zone.items():
            share = known.shares.setdefault(zone, _Share())
            there = summarize(others, now)
            self._move(
                known, zone, share, home, there, options, elapsed_s, now
            )
        _limit_sum(known.shares.values())
        return list(_list_changes(known.shares, now))

    def _move(
        self,
        known: _ServiceShares,
        zone: _ids.ZoneName,
        share: _Share,
        home: ZoneSummary | None,
        there: ZoneSummary | None,
        options: ZoneOverflow,
        elapsed_s: float,
        now: float,
    ) -> None:
        if home is None or there is None:
            is_busy = home is not None and home.utilisation > BUSY_UTILISATION
            floor = PROBE_SHARE if is_busy else 0.0
            share.value = max(
                floor, share.value - UNKNOWN_DECAY_PER_S * elapsed_s
            )
            share.reason = "no recent load reports"
            return
        cost_s = self.round_trip_s(zone) + options.crossing_cost_s
        gain = (home.response_s - there.response_s - cost_s) / home.response_s
        excess = self._slower_by(known, zone, now)
        target = _target_share(home.utilisation, gain - excess)
        share.value += min(1.0, elapsed_s / SETTLE_S) * (target - share.value)
        share.reason = (
            f"own zone {home.response_s:.3f} s at {home.utilisation:.2f}, "
            f"there {there.response_s:.3f} s at {there.utilisation:.2f}, "
            f"crossing {cost_s:.3f} s, answers slower by {excess:.2f}"
        )

    def _slower_by(
        self, known: _ServiceShares, zone: _ids.ZoneName, now: float
    ) -> float:
        """Return by how much answers of a zone are slower than the own ones.

        Guards against reports that promise more than the calls find.
        """
        own, other = known.responses.get(self._zone), known.responses.get(zone)
        if own is None or other is None:
            return 0.0
        if min(own.count(now), other.count(now)) < MIN_ANSWERS:
            return 0.0
        ratio = other.mean(now) / own.mean(now)
        return max(0.0, ratio - 1.0 - SLOWER_DEAD_BAND)


def _target_share(utilisation: float, gain: float) -> float:
    """Return the share for a utilisation of the own zone, and a gain.

    ``gain`` is the part of the response time that a crossing saves; it is
    negative where the other zone is the slower one.
    """
    span = FULL_UTILISATION - FIRST_UTILISATION
    need = min(1.0, max(0.0, (utilisation - FIRST_UTILISATION) / span))
    return need * min(1.0, max(0.0, 1.0 + HOLD_BACK * gain))


def _limit_sum(shares: collections.abc.Collection[_Share]) -> None:
    total = sum(share.value for share in shares)
    if total > 1.0:
        for share in shares:
            share.value /= total


def _list_changes(
    shares: collections.abc.Mapping[_ids.ZoneName, _Share], now: float
) -> collections.abc.Iterator[ShareChange]:
    for zone, share in shares.items():
        change = abs(share.value - share.recorded)
        if (
            change < RECORDED_CHANGE
            or now - share.recorded_at < MIN_RECORD_PERIOD_S
        ):
            continue
        yield ShareChange(
            zone=zone,
            detail=(
                f"share of zone {zone} {share.value:.2f}, before "
                f"{share.recorded:.2f}: {share.reason}"
            ),
        )
        share.recorded = share.value
        share.recorded_at = now
