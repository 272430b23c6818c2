"""Decision functions compared with simple reference implementations."""

import dataclasses
import random
import typing

import hypothesis
from hypothesis import strategies
from marjoramledge_core import _budget
from marjoramledge_core import _latency
from marjoramledge_core import _limit
from marjoramledge_core import _load
from marjoramledge_core import _queue
from marjoramledge_core import _routing
from marjoramledge_core import _service_time
from marjoramledge_core import _timers
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders
import pytest

NOW = 100.0


def _build_load(number: int, **fields: float) -> _load.ServerLoad:
    load = _load.ServerLoad(
        node=ids.NodeId(f"n{number}"),
        address=node.Address(host="127.0.0.1", port=7000 + number),
        zone=ids.ZoneName("north"),
        zone_cost_s=0.0,
        slots=4,
    )
    return dataclasses.replace(load, **typing.cast(typing.Any, fields))


LOADS: strategies.SearchStrategy[list[dict[str, float]]] = strategies.lists(
    strategies.builds(
        dict,
        entry_in_flight=strategies.integers(0, 20),
        others_in_flight=strategies.floats(0, 20),
        limit=strategies.floats(1, 20),
        latency_s=strategies.floats(0.001, 1.0),
        ejected_until=strategies.sampled_from([0.0, NOW + 1, NOW + 9]),
        reported_at=strategies.floats(NOW - 5, NOW),
    ),
    max_size=_routing.SAMPLE_SIZE,
)


@hypothesis.given(LOADS, strategies.sets(strategies.integers(0, 5)))
def test_a_choice_among_few_servers_matches_the_reference(
    fields: list[dict[str, float]], excluded: set[int]
) -> None:
    servers = [_build_load(i, **entry) for i, entry in enumerate(fields)]
    names = {ids.NodeId(f"n{number}") for number in excluded}
    usable = [server for server in servers if server.node not in names]
    ready = [server for server in usable if server.ejected_until <= NOW]
    expected = None
    if ready:
        expected = min(
            ready, key=lambda s: _routing.expected_response_s(s, NOW)
        )
    elif usable:
        expected = min(usable, key=lambda server: server.ejected_until)
    chosen = _routing.choose_server(servers, names, NOW, random.Random(1))
    assert chosen is expected


@hypothesis.given(strategies.integers(5, 60), strategies.integers(0, 9))
def test_a_choice_among_many_skips_excluded_and_ejected_servers(
    count: int, seed: int
) -> None:
    servers = [
        _build_load(i, ejected_until=NOW + 5 if i % 3 == 0 else 0.0)
        for i in range(count)
    ]
    excluded = {server.node for server in servers if server.node[-1] == "1"}
    chosen = _routing.choose_server(
        servers, excluded, NOW, random.Random(seed)
    )
    assert chosen is not None
    assert chosen.node not in excluded
    assert not chosen.is_ejected(NOW)


def test_a_server_that_fails_fast_does_not_attract_calls() -> None:
    servers = [_build_load(i, latency_s=0.02) for i in range(4)]
    servers[0].latency_s = 0.0001
    rng = random.Random(1)
    chosen_failing = 0
    for step in range(1000):
        now = NOW + step * 0.002
        chosen = _routing.choose_server(servers, (), now, rng)
        assert chosen is not None
        if chosen is servers[0]:
            chosen_failing += 1
            chosen.note_failure(now)
        else:
            chosen.note_success(now)
    assert chosen_failing <= 8


PRIORITIES = strategies.sampled_from(list(configuration.Priority))


def _build_work(number: int, priority: configuration.Priority) -> _queue.Work:
    kind = configuration.RequestKind(
        name=ids.KindName("k"),
        service=ids.ServiceName("s"),
        methods=frozenset({"GET"}),
        path="/*",
        priority=priority,
        idempotent=True,
        deadline_s=1.0,
        hedging=False,
        hedge_after_s=0.0,
        max_slot_share=1.0,
    )
    return _queue.Work(
        attempt=ids.AttemptId(f"a{number}"),
        call=None,
        kind=kind,
        prefers_queueing=True,
        fingerprint=ids.Fingerprint("f"),
        deadline_at=NOW,
        offered_at=float(number),
    )


@hypothesis.given(
    strategies.lists(strategies.one_of(strategies.none(), PRIORITIES)),
    strategies.integers(1, 6),
)
def test_the_queue_matches_a_sorted_list(
    steps: list[configuration.Priority | None], capacity: int
) -> None:
    queue = _queue.WorkQueue(capacity=capacity)
    reference: list[_queue.Work] = []
    pop_count = 0
    for number, priority in enumerate(steps):
        if priority is not None:
            work = _build_work(number, priority)
            reference.append(work)
            expected = None
            if len(reference) > capacity:
                expected = max(
                    reference, key=lambda w: (w.kind.priority, w.offered_at)
                )
                reference.remove(expected)
            assert queue.push(work) is expected
            continue
        expected = None
        if reference:
            pop_count += 1
            expected = min(
                reference,
                key=lambda w: (
                    w.offered_at
                    if pop_count % _queue.OLDEST_FIRST_INTERVAL == 0
                    else (w.kind.priority, w.offered_at)
                ),
            )
            reference.remove(expected)
        assert queue.pop_next() is expected
    assert len(queue) == len(reference)


def test_background_work_does_not_starve() -> None:
    queue = _queue.WorkQueue(capacity=1000)
    queue.push(_build_work(0, configuration.Priority.BACKGROUND))
    for number in range(1, 200):
        queue.push(_build_work(number, configuration.Priority.CRITICAL))
    popped_work = [
        queue.pop_next() for _ in range(_queue.OLDEST_FIRST_INTERVAL)
    ]
    assert any(w is not None and w.attempt == "a0" for w in popped_work)


def test_the_limit_ramps_up_to_the_slots_and_no_further() -> None:
    limit = _limit.ConcurrencyLimit(
        slots=12, cold_concurrency=2, is_cold=False
    )
    assert limit.current == 2
    for _ in range(60):
        limit.note_success(0.01, limit.current - 1, NOW)
    assert limit.current == 12


def test_the_limit_of_a_cold_server_stays_at_its_cold_concurrency() -> None:
    limit = _limit.ConcurrencyLimit(slots=12, cold_concurrency=2, is_cold=True)
    for step in range(1000):
        limit.note_success(0.01, 1, NOW + step)
    assert limit.current == 2


@pytest.mark.parametrize("is_still_cold", [True, False])
def test_the_limit_after_a_drop_stays_low_while_the_server_is_slow(
    is_still_cold: bool,
) -> None:
    limit = _limit.ConcurrencyLimit(
        slots=12, cold_concurrency=2, is_cold=False
    )
    for _ in range(60):
        limit.note_success(0.01, limit.current - 1, NOW)
    assert not limit.note_shed(0.01, 11, NOW)
    assert limit.note_shed(0.01, 10, NOW)
    assert limit.current == 2
    elapsed_s = 0.04 if is_still_cold else 0.01
    for step in range(60):
        now = NOW + step * 0.1
        limit.note_success(elapsed_s, limit.current - 1, now)
    assert limit.current == (2 if is_still_cold else 12)
    # After the hold time the ramp restarts even if calls are still slow.
    limit.note_success(elapsed_s, 1, NOW + _limit.MAX_HOLD_S)
    for _ in range(60):
        limit.note_success(elapsed_s, limit.current - 1, NOW + 70)
    assert limit.current == 12


def test_the_service_time_rises_before_slow_calls_finish() -> None:
    service_time = _service_time.ServiceTimeEstimate()
    now = 0.0
    for _ in range(400):
        now += 0.001
        service_time.note_running(10, now)
        service_time.note_finished(0.01, now)
    baseline_s = service_time.service_s(10, now)
    assert baseline_s == pytest.approx(0.01, rel=0.2)
    # No call finishes for the next 30 ms.
    assert service_time.service_s(10, now + 0.03) > 3 * baseline_s


@hypothesis.given(strategies.integers(0, 5))
def test_a_quantile_estimate_is_near_the_exact_quantile(seed: int) -> None:
    rng = random.Random(seed)
    values = [rng.lognormvariate(0, 0.5) for _ in range(4000)]
    estimate = _latency.QuantileEstimate()
    for value in values:
        estimate.note(value)
    share_below = sum(value <= estimate.value_s for value in values) / len(
        values
    )
    assert 0.90 <= share_below <= 0.99


@hypothesis.given(strategies.lists(strategies.booleans()))
def test_the_budget_bounds_retries(failures: list[bool]) -> None:
    budget = _budget.RetryBudget()
    retries = 0
    for number, is_failed in enumerate(failures, start=1):
        budget.earn()
        if is_failed and budget.spend():
            retries += 1
        assert retries <= budget.capacity + 0.1 * number


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.floats(0, 100), strategies.booleans())
    )
)
def test_timers_expire_in_the_order_of_their_times(
    timer_settings: list[tuple[float, bool]],
) -> None:
    queue = _timers.TimerQueue()
    reference = []
    for number, (at, is_cancelled) in enumerate(timer_settings):
        timer = queue.set(at, _timers.TimerKind.SEND_UPDATES, number=number)
        timer.is_cancelled = is_cancelled
        if not is_cancelled:
            reference.append((at, number))
    reference.sort()
    assert queue.next_at == (reference[0][0] if reference else None)
    popped = []
    while (due := queue.pop_due(100.0)) is not None:
        popped.append(due.number)
    assert popped == [number for _, number in reference]


def test_only_a_slow_idempotent_call_is_hedged() -> None:
    driver = builders.CoreDriver()
    driver.configure()
    for peer in ("n1", "n2", "n3"):
        driver.learn_peer(peer)
    for number in range(50):
        call = ids.CallId(f"warm{number}")
        (sent,) = driver.arrive(call)
        assert isinstance(sent, node.SendToPeer)
        driver.now += 0.01
        driver.submit(
            node.AttemptAnswered(
                call=call, attempt=sent.attempt, is_error=False, load=None
            )
        )
        driver.submit(node.CallEnded(call=call))
    driver.arrive("order", "POST", "/orders")
    driver.arrive("page")
    hedges = [
        command
        for command in driver.pass_time(0.5)
        if isinstance(command, node.SendToPeer)
    ]
    assert [(hedge.call, hedge.is_hedge) for hedge in hedges] == [
        ("page", True)
    ]
    (first, second) = driver.state.calls[ids.CallId("page")].attempts.values()
    assert first.server is not second.server
    commands = driver.submit(
        node.AttemptAnswered(
            call=ids.CallId("page"),
            attempt=second.attempt,
            is_error=False,
            load=None,
        )
    )
    cancelled = [c for c in commands if isinstance(c, node.CancelAttempt)]
    assert [command.attempt for command in cancelled] == [first.attempt]
