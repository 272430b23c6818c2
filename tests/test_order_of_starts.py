"""Starts of a server whose order its clock doesn't show, and departures.

A server may start again under its id while its clock is set back, and its
announcements may arrive late.  Whatever the gate took for the current start,
it sends nothing more to a server whose departure it has acknowledged.
"""

import dataclasses

import hypothesis
from hypothesis import strategies
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders
import pytest

HEARTBEAT_S = 1.5

Departure = type[node.ServerDraining | node.ServerWithdrawn]
DEPARTURES = pytest.mark.parametrize(
    "departure", [node.ServerDraining, node.ServerWithdrawn]
)


def _build_driver() -> builders.CoreDriver:
    driver = builders.CoreDriver()
    driver.configure()
    return driver


def _start(born: int, name: str = "s") -> node.ServerStart:
    return node.ServerStart(server=ids.ServerId(name), born=born)


def _announce(
    driver: builders.CoreDriver, start: node.ServerStart, sequence: int
) -> None:
    server = dataclasses.replace(
        builders.build_server(), start=start, sequence=sequence
    )
    driver.submit(node.ServerAnnounced(server=server))


def _run(
    driver: builders.CoreDriver, start: node.ServerStart, heartbeats: int
) -> None:
    """Announce a start for a few periods."""
    for sequence in range(1, heartbeats + 1):
        _announce(driver, start, sequence)
        driver.pass_time(HEARTBEAT_S)


# Guards against work for a server that has left: its clock was set back before
# its last start, which the gate took for an earlier one (review, case 2).
@DEPARTURES
def test_a_start_with_a_lower_start_time_is_drained(
    departure: Departure,
) -> None:
    driver = _build_driver()
    _run(driver, _start(20), 3)
    _run(driver, _start(18), 3)
    driver.submit(departure(server=_start(18)))
    assert not driver.state.gate.accepts_work


# Guards against the same where the departure is the first that the gate hears
# of a start, whatever its start time.
@DEPARTURES
@pytest.mark.parametrize("born", [18, 30])
def test_a_departure_of_a_start_not_heard_of_drains_the_server(
    departure: Departure, born: int
) -> None:
    driver = _build_driver()
    _run(driver, _start(20), 3)
    driver.submit(departure(server=_start(born)))
    assert not driver.state.gate.accepts_work


# Guards against a server that is back after its departure: the late heartbeat
# is one of an earlier start, which the departure's start time doesn't cover.
@DEPARTURES
def test_a_late_heartbeat_of_an_earlier_start_ends_no_departure(
    departure: Departure,
) -> None:
    driver = _build_driver()
    _run(driver, _start(20), 3)
    _run(driver, _start(18), 3)
    driver.submit(departure(server=_start(18)))
    _announce(driver, _start(20), 99)
    assert not driver.state.gate.accepts_work


# Guards against a server that is never used again, since its clock was set
# back before it started.
@pytest.mark.parametrize("name", ["s", "t"])
def test_a_start_with_a_lower_start_time_is_in_use_after_two_heartbeats(
    name: str,
) -> None:
    driver = _build_driver()
    _run(driver, _start(20), 3)
    _run(driver, _start(18, name), 2)
    server = driver.state.gate.server
    assert server is not None
    assert server.start == _start(18, name)


# Guards against a sound server that stays out of use, since the departure of
# an earlier start under its id came late.
@DEPARTURES
def test_a_late_departure_of_an_earlier_start_is_soon_corrected(
    departure: Departure,
) -> None:
    driver = _build_driver()
    _run(driver, _start(20), 3)
    _run(driver, _start(30), 3)
    driver.submit(departure(server=_start(20)))
    _announce(driver, _start(30), 4)
    driver.pass_time(HEARTBEAT_S)
    _announce(driver, _start(30), 5)
    assert driver.state.gate.accepts_work


# Guards against two late heartbeats that are taken for a running server.
def test_late_heartbeats_that_come_together_count_as_one() -> None:
    driver = _build_driver()
    _run(driver, _start(20), 3)
    _run(driver, _start(18), 3)
    driver.submit(node.ServerDraining(server=_start(18)))
    for sequence in (98, 99, 100):
        _announce(driver, _start(20), sequence)
    assert not driver.state.gate.accepts_work


# Guards against work for a server that has left, by a node that can't know it:
# its whole fleet was killed in an outage of the store, and a heartbeat of the
# server, whose health page says that it leaves, comes late.
def test_a_start_that_its_health_page_denies_announces_itself_twice() -> None:
    driver = _build_driver()
    for sequence, is_accepted in ((1, False), (1, False), (2, True)):
        server = dataclasses.replace(
            builders.build_server(), start=_start(20), sequence=sequence
        )
        event = node.ServerAnnounced(server=server, is_doubted=True)
        driver.submit(event)
        assert driver.state.gate.accepts_work is is_accepted
        driver.pass_time(HEARTBEAT_S)


# Guards against any other order of starts, heartbeats and departures in which
# an acknowledged departure is undone by heartbeats that come late.
@hypothesis.given(
    borns=strategies.lists(
        strategies.integers(min_value=1, max_value=9),
        min_size=1,
        max_size=4,
        unique=True,
    ),
    heartbeats=strategies.lists(
        strategies.integers(min_value=1, max_value=4), min_size=4, max_size=4
    ),
    late=strategies.permutations(range(4)),
    pause_s=strategies.sampled_from([0.0, 0.1, 2.0]),
    departure=strategies.sampled_from(
        [node.ServerDraining, node.ServerWithdrawn]
    ),
)
def test_one_late_heartbeat_of_each_start_ends_no_departure(
    borns: list[int],
    heartbeats: list[int],
    late: list[int],
    pause_s: float,
    departure: Departure,
) -> None:
    driver = _build_driver()
    for born, count in zip(borns, heartbeats, strict=False):
        _run(driver, _start(born), count)
    driver.submit(departure(server=_start(borns[-1])))
    assert not driver.state.gate.accepts_work
    for position in late:
        if position < len(borns):
            _announce(driver, _start(borns[position]), 50)
            assert not driver.state.gate.accepts_work
            driver.pass_time(pause_s)
