"""Overflow to other zones: how the shares follow load, and what they cost.

Runs without a network; each load pattern is one test.
"""

import dataclasses
import random

from marjoramledge_core import _load
from marjoramledge_core import _reports
from marjoramledge_core import _routing
from marjoramledge_core import _zone_overflow
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders
import pytest

SERVICE = ids.ServiceName("shop")
NORTH = ids.ZoneName("north")
SOUTH = ids.ZoneName("south")
SLOTS = 10
SERVICE_S = 0.3
OPTIONS = _zone_overflow.ZoneOverflow()
ZONE_COST_S = 0.08
ZONE_COST_SHARE = 0.67
# Longer than a share takes to settle.
SETTLED_S = 6.0


def _build_servers(zone: str, count: int) -> list[_load.ServerLoad]:
    is_far = zone != NORTH
    return [
        _load.ServerLoad(
            node=ids.NodeId(f"{zone}{number}"),
            address=node.Address(host="127.0.0.1", port=7000 + number),
            zone=ids.ZoneName(zone),
            zone_cost_s=ZONE_COST_S if is_far else 0.0,
            zone_cost_share=ZONE_COST_SHARE if is_far else 0.0,
            slots=SLOTS,
        )
        for number in range(count)
    ]


class _Entry:
    """One entry in the north, which hears reports of both zones."""

    def __init__(
        self, *, options: _zone_overflow.ZoneOverflow = OPTIONS
    ) -> None:
        self.options = options
        self.overflow = _zone_overflow.Overflow(zone=NORTH)
        self.north = _build_servers("north", 4)
        self.south = _build_servers("south", 4)
        self.now = 100.0
        self.changes: list[_zone_overflow.ShareChange] = []

    def share(self, zone: ids.ZoneName = SOUTH) -> float:
        """Return the share of a zone."""
        return {
            listed: value
            for _, listed, value, _ in self.overflow.list_shares()
        }.get(zone, 0.0)

    def run(
        self,
        seconds: float,
        *,
        north: float,
        south: float | None,
        north_s: float = SERVICE_S,
        south_s: float = SERVICE_S,
    ) -> None:
        """Hear reports of a utilisation of each zone; None for no reports."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.1
            for servers, used, service_s in (
                (self.north, north, north_s),
                (self.south, south, south_s),
            ):
                for server in servers if used is not None else ():
                    server.note_report(
                        _reports.LoadReport(
                            in_flight=round((used or 0.0) * SLOTS),
                            limit=SLOTS,
                            service_s=service_s,
                        ),
                        self.now,
                    )
            self.changes += self.overflow.update(
                SERVICE, self.north + self.south, self.options, self.now
            )


# Guards against calls that wait at home beside an idle zone.
def test_share_rises_while_the_own_zone_is_short() -> None:
    entry = _Entry()
    entry.run(SETTLED_S, north=0.9, south=0.2)
    assert entry.share() > 0.9


# Guards against bytes between zones that gain nothing.
def test_share_is_zero_while_the_own_zone_has_room() -> None:
    entry = _Entry()
    entry.run(SETTLED_S, north=0.4, south=0.0)
    assert entry.share() == 0.0


# Guards against shares that outlast the overload that raised them.
def test_share_falls_when_the_load_has_swung_to_the_other_zone() -> None:
    entry = _Entry()
    entry.run(SETTLED_S, north=0.9, south=0.3)
    entry.run(SETTLED_S, north=0.4, south=0.9)
    assert entry.share() < 0.01


# Guards against taking slots from the callers of the receiving zone.
def test_a_zone_that_is_busier_with_its_own_calls_gets_none() -> None:
    entry = _Entry()
    entry.run(SETTLED_S, north=0.9, south=1.3)
    assert entry.share() == 0.0


# Guards against leaving a zone for one whose servers are slowed.
def test_a_slower_zone_gets_none() -> None:
    entry = _Entry()
    entry.run(SETTLED_S, north=0.9, south=0.3, south_s=3.0 * SERVICE_S)
    assert entry.share() == 0.0


# Guards against slow servers that distort the summary: they get few calls, so
# the others tell what a call will meet.
def test_one_slow_server_hardly_changes_the_summary_of_a_zone() -> None:
    servers = _build_servers("south", 4)
    for number, server in enumerate(servers):
        server.note_report(
            _reports.LoadReport(
                in_flight=5,
                limit=SLOTS,
                service_s=SERVICE_S * (7.0 if number == 0 else 1.0),
            ),
            100.0,
        )
    summary = _zone_overflow.summarize(servers, 100.0)
    assert summary is not None
    assert summary.response_s < 1.5 * SERVICE_S


# Guards against reports that promise more than the calls find.
def test_share_falls_when_answers_from_the_other_zone_are_slower() -> None:
    entry = _Entry()
    entry.run(SETTLED_S, north=0.9, south=0.2)
    before = entry.share()
    for _ in range(60):
        entry.overflow.note_answer(SERVICE, NORTH, 1.0, entry.now)
        entry.overflow.note_answer(SERVICE, SOUTH, 2.5, entry.now)
        entry.run(0.1, north=0.9, south=0.2)
    assert entry.share() < 0.2 < before


# Guards against trust in reports of a zone whose link has broken, and against
# an entry that never finds out that there is room.
def test_a_zone_without_recent_reports_gets_only_probes() -> None:
    entry = _Entry()
    entry.run(SETTLED_S, north=0.9, south=0.2)
    entry.run(SETTLED_S, north=0.9, south=None)
    assert entry.share() == _zone_overflow.PROBE_SHARE
    entry.run(SETTLED_S, north=0.3, south=None)
    assert entry.share() == 0.0


# Guards against a zone that returns cold and is flooded by its neighbours.
def test_a_zone_of_cold_servers_gets_none() -> None:
    entry = _Entry()
    entry.run(SETTLED_S, north=0.9, south=None)
    for _ in range(20):
        for server in entry.south:
            server.note_report(
                _reports.LoadReport(
                    in_flight=2, limit=1, service_s=4.0 * SERVICE_S
                ),
                entry.now,
            )
        entry.run(0.1, north=0.9, south=None)
    assert entry.share() < 0.01


# Guards against a state that is kept for zones without servers, and against
# a share between other zones only, which the fixed cost treats alike.
def test_without_a_server_in_the_own_zone_there_are_no_shares() -> None:
    entry = _Entry()
    entry.run(SETTLED_S, north=0.9, south=0.2)
    entry.north.clear()
    entry.run(1.0, north=0.9, south=0.2)
    assert list(entry.overflow.list_shares()) == []


# Guards against shares of an evacuated zone, which has no candidates.
def test_an_evacuated_zone_has_no_share() -> None:
    entry = _Entry()
    entry.run(SETTLED_S, north=0.9, south=0.2)
    entry.south.clear()
    entry.run(1.0, north=0.9, south=0.2)
    assert entry.share() == 0.0


# Guards against shares that add up to more than all calls.
def test_the_shares_of_all_zones_are_at_most_one() -> None:
    entry = _Entry()
    entry.south += _build_servers("west", 4)
    entry.run(SETTLED_S, north=1.0, south=0.2)
    west = entry.share(ids.ZoneName("west"))
    assert west == pytest.approx(entry.share())
    assert west + entry.share() == pytest.approx(1.0)


# Guards against a stated cost that has no effect.
def test_an_operator_can_state_what_crossing_costs() -> None:
    entry = _Entry(options=_zone_overflow.ZoneOverflow(crossing_cost_s=2.0))
    entry.run(SETTLED_S, north=0.9, south=0.2)
    assert entry.share() == 0.0


# Guards against herding: entries that see the same overload at the same time
# send all their calls to a zone before any report shows it.
def test_entries_do_not_leave_together_before_reports_show_it() -> None:
    entry = _Entry()
    entry.run(SETTLED_S, north=0.5, south=0.0)
    # The zone fills up between two updates.
    entry.run(0.2, north=0.9, south=0.0)
    assert _count_leaving(entry, is_enabled=False) > 0.9
    assert _count_leaving(entry, is_enabled=True) < 0.3


def _count_leaving(entry: _Entry, *, is_enabled: bool) -> float:
    """Return the share of calls that leave, before any report shows them."""
    rng = random.Random(1)
    servers = entry.north + entry.south
    count = 400
    leaving = 0
    for _ in range(count):
        offer = None
        if is_enabled:
            offer = entry.overflow.draw(SERVICE, OPTIONS, rng)
        chosen = _routing.choose_server(servers, (), entry.now, rng, offer)
        leaving += chosen is not None and chosen.zone == SOUTH
    return leaving / count


# Guards against a time that a slow answer prolongs: it is the shortest that
# tells of the link.
def test_round_trip_is_measured_from_probes() -> None:
    overflow = _zone_overflow.Overflow(zone=NORTH)
    for sequence, taken_s in enumerate((0.030, 0.009, 0.200), start=1):
        overflow.note_probe(sequence, SOUTH, 10.0 * sequence)
        overflow.note_probe_answer(sequence, 10.0 * sequence + taken_s)
    assert 0.009 <= overflow.round_trip_s(SOUTH) < 0.020


# Guards against a late answer to an earlier probe, which would be measured
# against the time at which the last one was sent.
def test_an_answer_to_an_earlier_probe_is_not_measured() -> None:
    overflow = _zone_overflow.Overflow(zone=NORTH)
    overflow.note_probe(1, SOUTH, 10.0)
    overflow.note_probe(2, SOUTH, 11.0)
    overflow.note_probe_answer(1, 11.001)
    assert overflow.round_trip_s(SOUTH) == _zone_overflow.INITIAL_ROUND_TRIP_S


# Guards against records that flood the time line: one for each large change.
def test_a_change_is_recorded_with_its_reason_at_most_once_a_second() -> None:
    entry = _Entry()
    entry.run(SETTLED_S, north=0.9, south=0.2)
    assert 1 <= len(entry.changes) <= SETTLED_S
    assert "own zone" in entry.changes[0].detail


def _run_calls(options: node.Options) -> builders.CoreDriver:
    driver = builders.CoreDriver(options=options)
    driver.configure()
    for number in range(1, 9):
        zone = "north" if number < 5 else "south"
        driver.learn_peer(f"n{number}", zone=zone)
    for number in range(200):
        driver.arrive(f"c{number}")
        driver.pass_time(0.01)
    return driver


# Guards against a part that changes decisions or draws while it is off.
def test_nothing_is_updated_or_drawn_while_the_option_is_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_args: object, **_options: object) -> None:
        raise AssertionError("used while the option is off")

    for name in ("update", "draw", "note_probe", "note_answer"):
        monkeypatch.setattr(_zone_overflow.Overflow, name, fail)
    _run_calls(node.Options(stop_limit_s=30.0))
    with pytest.raises(AssertionError, match="while the option is off"):
        _run_calls(
            node.Options(stop_limit_s=30.0, zone_overflow=node.ZoneOverflow())
        )


# Guards against an enabled part that the entry does not use: probes are not
# measured, or calls do not update the shares.
def test_an_entry_measures_round_trips_and_keeps_shares() -> None:
    driver = _run_calls(
        node.Options(stop_limit_s=30.0, zone_overflow=node.ZoneOverflow())
    )
    overflow = driver.state.zone_overflow
    listed = [
        (service, zone) for service, zone, _, _ in overflow.list_shares()
    ]
    assert listed == [(SERVICE, SOUTH)]
    for _ in range(5000):
        for command in driver.pass_time(0.004):
            _answer_probe(driver, command)
    assert overflow.round_trip_s(SOUTH) == pytest.approx(0.002, abs=0.002)


def _answer_probe(driver: builders.CoreDriver, command: node.Command) -> None:
    """Answer a probe of a member, within 4 ms."""
    if not isinstance(command, node.SendMessage):
        return
    if command.message.kind is not node.MessageKind.PING:
        return
    driver.submit(
        node.MessageReceived(
            message=dataclasses.replace(
                command.message,
                kind=node.MessageKind.ACK,
                sender=command.message.target,
                sender_address=command.address,
                updates=(),
            )
        )
    )


# Guards against shares that ignore how fast the zones really answer.
def test_answers_are_recorded_for_the_zone_that_gave_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    zones: set[str] = set()

    def note(
        _overflow: object,
        _service: ids.ServiceName,
        zone: ids.ZoneName,
        relative_s: float,
        _now: float,
    ) -> None:
        assert relative_s > 0.0
        zones.add(zone)

    monkeypatch.setattr(_zone_overflow.Overflow, "note_answer", note)
    options = node.Options(
        stop_limit_s=30.0, zone_overflow=node.ZoneOverflow()
    )
    driver = builders.CoreDriver(options=options)
    driver.configure()
    driver.learn_peer("n1", zone="south")
    for number in range(200):
        sent = [
            command
            for command in driver.arrive(f"c{number}")
            if isinstance(command, node.SendToPeer)
        ]
        driver.pass_time(0.01)
        for command in sent:
            driver.submit(
                node.AttemptAnswered(
                    call=command.call,
                    attempt=command.attempt,
                    is_error=False,
                    load=None,
                )
            )
            driver.submit(node.CallEnded(call=command.call))
    assert zones == {SOUTH}
