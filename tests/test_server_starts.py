"""Starts of backend servers: stale announcements, departures, cold rates."""

import dataclasses

import hypothesis
from hypothesis import strategies
from marjoramledge_core import _rate_limiter
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders
import pytest


def _announce(
    driver: builders.CoreDriver,
    name: str,
    *,
    born: int,
    sequence: int = 1,
    cold_left_s: float = 0.0,
) -> None:
    server = dataclasses.replace(
        builders.build_server(),
        start=node.ServerStart(server=ids.ServerId(name), born=born),
        sequence=sequence,
        cold_left_s=cold_left_s,
        cold_concurrency=4,
    )
    driver.submit(node.ServerAnnounced(server=server))


def _depart(driver: builders.CoreDriver, name: str, born: int = 0) -> None:
    start = node.ServerStart(server=ids.ServerId(name), born=born)
    driver.submit(node.ServerDraining(server=start))


def _current_start(driver: builders.CoreDriver) -> node.ServerStart:
    server = driver.state.gate.server
    assert server is not None
    return server.start


def _build_driver() -> builders.CoreDriver:
    driver = builders.CoreDriver()
    driver.configure()
    return driver


def test_a_late_announcement_of_an_earlier_start_is_ignored() -> None:
    driver = _build_driver()
    _announce(driver, "new", born=20)
    _announce(driver, "old", born=10, sequence=99)
    assert _current_start(driver).server == "new"


def test_a_server_may_start_again_under_the_same_name() -> None:
    driver = _build_driver()
    _announce(driver, "s", born=10, sequence=50)
    _announce(driver, "s", born=20, sequence=1)
    assert _current_start(driver).born == 20


def test_late_announcements_of_a_departed_start_are_ignored() -> None:
    driver = _build_driver()
    _announce(driver, "s", born=10, sequence=1)
    _depart(driver, "s")
    _announce(driver, "s", born=10, sequence=2)
    assert not driver.state.gate.accepts_work
    _announce(driver, "s", born=30, sequence=1)
    assert driver.state.gate.state is node.ServerState.WARM


# Guards against a server that has left and is in use again: its node has
# restarted and knows no server when it deregisters without its start time, and
# a heartbeat of before comes late (hunt e9fe, day 39: 13 calls).
@pytest.mark.parametrize("event", [node.ServerDraining, node.ServerWithdrawn])
def test_a_departure_without_start_time_covers_earlier_starts(
    event: type[node.ServerDraining | node.ServerWithdrawn],
) -> None:
    driver = _build_driver()
    start = node.ServerStart(server=ids.ServerId("s"))
    driver.submit(event(server=start, said_at_ms=100))
    _announce(driver, "s", born=90, sequence=21)
    assert driver.state.gate.server is None
    assert driver.state.gate.starts.resolve(start).born == 100
    _announce(driver, "s", born=110)
    assert driver.state.gate.state is node.ServerState.WARM


# The start time of a known server is more exact than the time of its word.
def test_a_departure_of_a_known_server_covers_its_start_only() -> None:
    driver = _build_driver()
    _announce(driver, "s", born=90)
    start = node.ServerStart(server=ids.ServerId("s"))
    driver.submit(node.ServerWithdrawn(server=start, said_at_ms=500))
    assert driver.state.gate.server is None
    assert driver.state.gate.starts.resolve(start).born == 90
    _announce(driver, "s", born=400)
    assert driver.state.gate.state is node.ServerState.WARM


def test_a_departure_of_another_server_is_ignored() -> None:
    driver = _build_driver()
    _announce(driver, "s", born=10)
    _depart(driver, "t", born=11)
    assert driver.state.gate.state is node.ServerState.WARM


def test_a_restarted_node_restores_acknowledged_departures() -> None:
    driver = _build_driver()
    start = node.ServerStart(server=ids.ServerId("s"), born=10)
    driver.submit(node.DeparturesRead(servers=(start,)))
    _announce(driver, "s", born=10)
    assert not driver.state.gate.accepts_work


def test_departures_that_are_read_late_still_apply() -> None:
    driver = _build_driver()
    _announce(driver, "s", born=0)
    start = node.ServerStart(server=ids.ServerId("s"), born=10)
    driver.submit(node.DeparturesRead(servers=(start,)))
    assert driver.state.gate.state is node.ServerState.DRAINING


@hypothesis.given(
    gaps=strategies.lists(
        strategies.floats(min_value=0.0, max_value=0.2), max_size=200
    )
)
def test_starts_in_any_second_stay_within_the_cold_rate(
    gaps: list[float],
) -> None:
    rate = _rate_limiter.ColdRateLimiter()
    now = 0.0
    started: list[float] = []
    for gap in gaps:
        now += gap
        if rate.wait_s(20.0, now) <= 0.0:
            rate.note_start(now)
            started.append(now)
        recent = [at for at in started if at > now - 1.0]
        assert len(recent) <= _rate_limiter.RATE_FACTOR * 20.0


# Guards against twice the rate that a cold server bears: its node is killed
# just after the server became cold, so that the gate of the next one can't
# tell the time before the kill from that of a common start (review,
# hand_over).
@hypothesis.given(
    gaps=strategies.lists(
        strategies.floats(min_value=0.0, max_value=0.05), max_size=150
    ),
    killed_at=strategies.floats(min_value=0.0, max_value=1.5),
    away_s=strategies.floats(min_value=0.34, max_value=1.0),
    rate_per_s=strategies.sampled_from([2.0, 20.0, 45.0, 200.0]),
)
def test_two_gates_in_turn_stay_within_what_a_cold_server_bears(
    gaps: list[float], killed_at: float, away_s: float, rate_per_s: float
) -> None:
    rate = _rate_limiter.ColdRateLimiter()
    now = 0.0
    has_restarted = False
    started: list[float] = []
    for gap in gaps:
        now += gap
        if now > killed_at and not has_restarted:
            has_restarted = True
            now += away_s
            rate = _rate_limiter.ColdRateLimiter()
        # Many calls wait at any time.
        while rate.wait_s(rate_per_s, now) <= 0.0:
            rate.note_start(now)
            started.append(now)
        recent = [at for at in started if at > now - 1.0]
        assert len(recent) <= 1.5 * rate_per_s + 5.0


def test_calls_to_a_cold_server_start_at_its_cold_rate() -> None:
    driver = _build_driver()
    _announce(driver, "s", born=10, cold_left_s=30.0)
    gate = driver.state.gate
    gate.set_service(
        dataclasses.replace(
            next(iter(builders.build_configuration().services.values())),
            cold_rate_per_s=2.0,
            cold_s=30.0,
        )
    )
    started = 0
    for second in range(5):
        for number in range(20):
            commands = driver.arrive(f"c{second}.{number}")
            commands += driver.pass_time(0.05)
            for command in commands:
                if isinstance(command, node.RunOnServer):
                    started += 1
                    driver.submit(
                        node.WorkEnded(
                            attempt=command.attempt,
                            outcome=node.ServerOutcome.ANSWERED,
                            head_s=0.01,
                        )
                    )
                    driver.submit(node.CallEnded(call=command.call))
    assert 5 <= started <= 2 * 6


def _count_starts_after_restart(cold_left_s: float) -> int:
    """Count calls that a new gate starts in its first half second."""
    driver = _build_driver()
    driver.now += 0.2
    _announce(driver, "s", born=10, cold_left_s=cold_left_s)
    gate = driver.state.gate
    gate.set_service(
        dataclasses.replace(
            next(iter(builders.build_configuration().services.values())),
            cold_rate_per_s=2.0,
            cold_s=30.0,
        )
    )
    started = 0
    for number in range(5):
        commands = driver.arrive(f"c{number}") + driver.pass_time(0.1)
        started += sum(isinstance(c, node.RunOnServer) for c in commands)
    return started


# Guards against twice the rate that a cold server bears: the node that was
# killed beside it and the one that replaces it within a second each use it.
def test_a_restarted_gate_counts_on_starts_of_the_one_before() -> None:
    assert _count_starts_after_restart(cold_left_s=20.0) == 0


# After a power failure both start together, and a wait would be in vain.
def test_a_gate_that_started_with_its_server_waits_for_nobody() -> None:
    assert _count_starts_after_restart(cold_left_s=29.5) >= 1


def test_requests_for_another_service_are_refused() -> None:
    driver = _build_driver()
    _announce(driver, "s", born=10)
    kind = next(iter(builders.build_configuration().kinds))
    (refusal,) = driver.submit(
        node.WorkOffered(
            attempt=ids.AttemptId("a.0"),
            host="other.example",
            method="GET",
            path="/",
            deadline_s=1.0,
            prefers_queueing=False,
            fingerprint=ids.Fingerprint("f"),
            service=ids.ServiceName("other"),
            kind=kind,
        )
    )
    assert isinstance(refusal, node.RefuseWork)
    assert refusal.reason is node.Reason.OTHER_SERVICE
    assert isinstance(kind, configuration.RequestKind)
