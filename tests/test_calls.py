"""Calls at their entry node, under virtual time."""

from marjoramledge_core import _calls
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders
import pytest


def _build_driver(
    *, peers: tuple[str, ...] = (), is_cold: bool = False
) -> builders.CoreDriver:
    driver = builders.CoreDriver()
    driver.configure()
    driver.submit(
        node.ServerAnnounced(server=builders.build_server(is_cold=is_cold))
    )
    for peer in peers:
        driver.learn_peer(peer)
    return driver


def _fail_attempt(
    driver: builders.CoreDriver,
    call: str,
    attempt: int,
    run: node.RunState,
) -> list[node.Command]:
    return driver.submit(
        node.AttemptFailed(
            call=ids.CallId(call),
            attempt=ids.AttemptId(f"{call}.{attempt}"),
            run=run,
            reason=node.Reason.ANSWER_LOST,
            load=None,
            is_body_consumed=False,
        )
    )


def _end_work(
    driver: builders.CoreDriver,
    attempt: str,
    outcome: node.ServerOutcome = node.ServerOutcome.ANSWERED,
) -> list[node.Command]:
    return driver.submit(
        node.WorkEnded(
            attempt=ids.AttemptId(attempt), outcome=outcome, head_s=0.01
        )
    )


def _local_server_state(driver: builders.CoreDriver) -> node.ServerState:
    return driver.state.membership.myself.server


def test_a_call_before_any_configuration_is_refused_as_not_run() -> None:
    (command,) = builders.CoreDriver().arrive("c")
    assert isinstance(command, node.RefuseCall)
    assert command.reason is node.Reason.NO_CONFIGURATION
    assert command.run is node.RunState.NOT_RUN
    assert command.retry_after_s


def test_a_local_server_with_free_slots_is_preferred() -> None:
    driver = _build_driver(peers=("n1", "n2"))
    (command,) = driver.arrive("c")
    assert isinstance(command, node.RunOnServer)


def test_a_call_delivers_one_answer_and_leaves_no_state() -> None:
    driver = _build_driver()
    driver.arrive("c")
    answered = node.AttemptAnswered(
        call=ids.CallId("c"),
        attempt=ids.AttemptId("c.0"),
        is_error=False,
        load=None,
    )
    (command,) = driver.submit(answered)
    assert isinstance(command, node.DeliverAnswer)
    _end_work(driver, "c.0")
    driver.submit(node.CallEnded(call=ids.CallId("c")))
    assert not driver.state.calls
    (late,) = driver.submit(answered)
    assert isinstance(late, node.CancelAttempt)


@pytest.mark.parametrize("is_order", [True, False])
def test_only_an_idempotent_call_that_may_have_run_is_retried(
    is_order: bool,
) -> None:
    driver = _build_driver(peers=("n1", "n2"))
    if is_order:
        driver.arrive("c", "POST", "/orders")
    else:
        driver.arrive("c")
    _end_work(driver, "c.0", node.ServerOutcome.ABORTED)
    (command,) = _fail_attempt(driver, "c", 0, node.RunState.MAY_HAVE_RUN)
    if is_order:
        assert isinstance(command, node.RefuseCall)
        assert command.run is node.RunState.MAY_HAVE_RUN
    else:
        assert isinstance(command, node.SendToPeer)


def test_a_non_idempotent_call_that_has_not_run_is_retried() -> None:
    driver = _build_driver(peers=("n1",))
    driver.arrive("c", "POST", "/orders")
    _end_work(driver, "c.0", node.ServerOutcome.UNREACHABLE)
    (command,) = _fail_attempt(driver, "c", 0, node.RunState.NOT_RUN)
    assert isinstance(command, node.SendToPeer)
    (refusal,) = _fail_attempt(driver, "c", 1, node.RunState.NOT_RUN)
    assert isinstance(refusal, node.RefuseCall)
    assert refusal.run is node.RunState.NOT_RUN


def test_retries_stop_when_the_budget_is_spent() -> None:
    driver = _build_driver(peers=tuple(f"n{i}" for i in range(1, 9)))
    retries = 0
    for number in range(40):
        call = f"c{number}"
        (first,) = driver.arrive(call)
        attempt = 0
        if isinstance(first, node.RunOnServer):
            _end_work(driver, f"{call}.0", node.ServerOutcome.ABORTED)
        while True:
            commands = _fail_attempt(
                driver, call, attempt, node.RunState.MAY_HAVE_RUN
            )
            if not isinstance(commands[-1], node.SendToPeer):
                break
            retries += 1
            attempt += 1
    # Ten tokens in the bucket, and a tenth of a token earned per call.
    assert retries <= 10 + 4


def test_answers_reset_the_failures_of_the_local_server() -> None:
    driver = _build_driver()
    for number in range(12):
        call = f"c{number}"
        driver.arrive(call)
        if number % 4 == 0:
            _end_work(driver, f"{call}.0", node.ServerOutcome.ERRORED)
        else:
            _end_work(driver, f"{call}.0")
        driver.submit(
            node.AttemptAnswered(
                call=ids.CallId(call),
                attempt=ids.AttemptId(f"{call}.0"),
                is_error=number % 4 == 0,
                load=None,
            )
        )
        driver.submit(node.CallEnded(call=ids.CallId(call)))
    local_load = driver.state.directory.loads[ids.NodeId("n0")]
    assert not local_load.is_ejected(driver.now)
    assert local_load.consecutive_failures == 0


def test_a_deadline_refusal_states_whether_the_call_may_have_run() -> None:
    driver = _build_driver(is_cold=True)
    driver.arrive("sent", "POST", "/orders")
    driver.arrive("waits", "POST", "/orders")
    commands = driver.pass_time(6.0)
    refusals = {
        command.call: command.run
        for command in commands
        if isinstance(command, node.RefuseCall)
    }
    assert refusals == {
        "sent": node.RunState.MAY_HAVE_RUN,
        "waits": node.RunState.NOT_RUN,
    }
    assert any(isinstance(c, node.CancelAttempt) for c in commands)


def test_a_cold_server_runs_no_more_than_its_cold_concurrency() -> None:
    driver = _build_driver(is_cold=True)
    started = [
        command
        for number in range(5)
        for command in driver.arrive(f"c{number}")
        if isinstance(command, node.RunOnServer)
    ]
    assert len(started) == 1


def test_a_caller_that_hangs_up_frees_its_place_in_the_queue() -> None:
    driver = _build_driver(is_cold=True)
    driver.arrive("runs")
    driver.arrive("waits")
    assert driver.state.gate.queued == 1
    driver.submit(node.CallerDisconnected(call=ids.CallId("waits")))
    assert driver.state.gate.queued == 0
    (cancel,) = driver.submit(node.CallerDisconnected(call=ids.CallId("runs")))
    assert isinstance(cancel, node.CancelAttempt)


def test_a_closed_zone_refuses_new_and_queued_work() -> None:
    driver = _build_driver(peers=("n1",), is_cold=True)
    driver.arrive("runs")
    driver.submit(
        node.WorkOffered(
            attempt=ids.AttemptId("other.0"),
            host="shop.example",
            method="GET",
            path="/pages/1",
            deadline_s=5.0,
            prefers_queueing=False,
            fingerprint=ids.Fingerprint("f"),
        )
    )
    commands = driver.configure(2, closed_zone="north")
    (refusal,) = [c for c in commands if isinstance(c, node.RefuseWork)]
    assert refusal.reason is node.Reason.ZONE_CLOSED
    (sent,) = driver.arrive("next")
    assert isinstance(sent, node.SendToPeer)


def test_an_ordered_drain_lasts_until_it_is_ended() -> None:
    driver = _build_driver(peers=("n1",))
    driver.submit(node.DrainOrdered(is_drained=True))
    assert _local_server_state(driver) is node.ServerState.DRAINING
    (sent,) = driver.arrive("elsewhere")
    assert isinstance(sent, node.SendToPeer)
    # A new configuration does not end the drain.
    driver.configure(2)
    (sent,) = driver.arrive("still-elsewhere")
    assert isinstance(sent, node.SendToPeer)
    driver.submit(node.DrainOrdered(is_drained=False))
    assert _local_server_state(driver) is node.ServerState.WARM
    (here,) = driver.arrive("here")
    assert isinstance(here, node.RunOnServer)


def test_an_older_configuration_is_not_adopted() -> None:
    driver = _build_driver()
    driver.configure(3)
    driver.configure(2, closed_zone="north")
    assert driver.state.versions.ref.version == 3
    assert driver.state.versions.configuration is not None
    assert driver.state.versions.configuration.zone_takes_work(
        ids.ZoneName("north")
    )


def test_a_planned_stop_waits_for_running_and_moves_queued_calls() -> None:
    driver = _build_driver(is_cold=True)
    driver.arrive("runs")
    driver.arrive("waits")
    driver.learn_peer("n1")
    commands = driver.submit(node.StopRequested())
    (moved,) = [c for c in commands if isinstance(c, node.SendToPeer)]
    assert moved.call == "waits"
    commands = driver.pass_time(3.0)
    assert any(isinstance(c, node.StopAccepting) for c in commands)
    assert not any(isinstance(c, node.StopNode) for c in commands)
    driver.submit(node.CallEnded(call=ids.CallId("waits")))
    _end_work(driver, "runs.0")
    driver.submit(node.CallEnded(call=ids.CallId("runs")))
    commands = driver.pass_time(1.0)
    (stop,) = [c for c in commands if isinstance(c, node.StopNode)]
    assert stop.aborted_calls == 0


def test_the_same_events_give_the_same_commands() -> None:
    def run_calls() -> str:
        driver = _build_driver(peers=("n1", "n2", "n3"), is_cold=True)
        for number in range(20):
            driver.arrive(f"c{number}")
            driver.pass_time(0.1)
        return repr(driver.out)

    assert run_calls() == run_calls()


def test_only_a_sample_of_ordinary_answers_is_recorded() -> None:
    driver = _build_driver()
    for number in range(3 * _calls.ORDINARY_ANSWERS_PER_RECORD):
        call = f"c{number}"
        driver.arrive(call)
        driver.submit(
            node.AttemptAnswered(
                call=ids.CallId(call),
                attempt=ids.AttemptId(f"{call}.0"),
                is_error=False,
                load=None,
            )
        )
        _end_work(driver, f"{call}.0")
    answered = node.RecordKind.CALL_ANSWERED
    records = [
        command
        for command in driver.out
        if isinstance(command, node.WriteRecord)
        and command.record.kind is answered
    ]
    assert len(records) == 3
