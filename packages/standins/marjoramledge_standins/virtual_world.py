"""The virtual clock, event queue and backend servers of a scenario run."""

import collections.abc
import heapq
import typing

from marjoramledge_core import node

from marjoramledge_standins import scenarios
from marjoramledge_standins import virtual_servers

SAME_ZONE_S: typing.Final = 0.0002
ANSWER_LIMIT_S: typing.Final = 20.0


class World:
    """State of one scenario run that all policies share.

    Parameters
    ----------
    scenario
        The scenario to run.
    """

    def __init__(self, *, scenario: scenarios.Scenario) -> None:
        self.scenario = scenario
        self.now = 0.0
        self._scheduled: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._sequence = 0
        self.outcomes: list[scenarios.Outcome] = []
        self.sent_to_servers = 0
        self.offers = 0
        self.crossings: list[scenarios.Crossing] = []
        self.starts: list[list[float]] = [[] for _ in scenario.server_zones]
        self.zones = scenario.server_zones + scenario.other_entry_zones
        self.servers = [
            self._create_server(number)
            for number in range(len(scenario.server_zones))
        ]

    @property
    def end_s(self) -> float:
        """Time after which no more calls arrive."""
        return scenarios.START_S + self.scenario.duration_s

    def at(
        self, when: float, action: collections.abc.Callable[[], None]
    ) -> None:
        """Schedule an action at a time."""
        self._sequence += 1
        heapq.heappush(self._scheduled, (when, self._sequence, action))

    def after(
        self, delay_s: float, action: collections.abc.Callable[[], None]
    ) -> None:
        """Schedule an action after a delay."""
        self.at(self.now + delay_s, action)

    def run(self, until: float) -> None:
        """Run scheduled actions up to a time."""
        while self._scheduled and self._scheduled[0][0] <= until:
            when, _, action = heapq.heappop(self._scheduled)
            self.now = max(self.now, when)
            action()
        self.now = until

    def signals_of(self, server: int) -> node.ServerSignals:
        """Return what a server says of itself in an answer now."""
        for limit in self.scenario.named_limits:
            is_named = limit.from_s <= self.now < limit.until_s
            if limit.server == server and is_named:
                return node.ServerSignals(rate_limit_per_s=limit.rate_per_s)
        return node.NO_SIGNALS

    def delay_s(self, one: int, other: int) -> float:
        """Return the one-way network delay between two nodes."""
        if one == other:
            return 0.0
        if self.zones[one] == self.zones[other]:
            return SAME_ZONE_S
        return self.scenario.zone_delay_s

    def is_lost(self, number: int) -> bool:
        """Return whether a node is gone, because its zone is lost."""
        return (
            self.now >= scenarios.START_S + self.scenario.lost_from_s
            and self.zones[number] == self.scenario.lost_zone
        )

    def finish(
        self,
        kind: str,
        arrived_at: float,
        *,
        is_answered: bool,
        reason: str = "",
        zone: str = "",
    ) -> None:
        """Record the outcome of a call, unless it arrived during warm-up."""
        if arrived_at < scenarios.START_S:
            return
        self.outcomes.append(
            scenarios.Outcome(
                kind=kind,
                arrived_at=arrived_at,
                latency_s=self.now - arrived_at,
                is_answered=is_answered,
                reason=reason,
                zone=zone,
            )
        )

    def _create_server(self, number: int) -> virtual_servers.VirtualServer:
        scenario = self.scenario
        is_straggler = scenario.straggler and number == 0
        return virtual_servers.VirtualServer(
            slots=scenario.slots,
            profile=virtual_servers.SpeedProfile(
                noise=scenario.noise,
                seed=1000 * scenario.seed + number,
                until_s=self.end_s + ANSWER_LIMIT_S,
                slow_from_s=scenarios.START_S + 0.3 * scenario.duration_s,
                slow_until_s=scenarios.START_S + 0.6 * scenario.duration_s,
                slowdown=10.0 if is_straggler else 1.0,
            ),
            schedule=self.at,
            cold_concurrency=scenario.cold_concurrency,
            grey=scenario.grey
            if number == 0
            else virtual_servers.NO_GREY_FAULTS,
            knee=scenario.knee,
            seed=scenario.seed,
        )
