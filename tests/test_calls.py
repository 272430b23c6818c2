"""The life of a call at its entry, under virtual time."""

from marjoramledge_core import _calls
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders
import pytest


def _start(
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


def _fail(
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


def _shown_server(driver: builders.CoreDriver) -> node.ServerState:
    return driver.state.membership.myself.server


def test_a_call_before_any_configuration_is_refused_as_not_run() -> None:
    (command,) = builders.CoreDriver().arrive("c")
    assert isinstance(command, node.RefuseCall)
    assert command.reason is node.Reason.NO_CONFIGURATION
    assert command.run is node.RunState.NOT_RUN
    assert command.retry_after_s


def test_own_server_with_room_is_taken_without_a_second_hop() -> None:
    driver = _start(peers=("n1", "n2"))
    (command,) = driver.arrive("c")
    assert isinstance(command, node.RunOnServer)


def test_an_answer_is_delivered_once_and_the_call_forgotten() -> None:
    driver = _start()
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
def test_only_an_idempotent_call_is_sent_again_when_it_may_have_run(
    is_order: bool,
) -> None:
    driver = _start(peers=("n1", "n2"))
    if is_order:
        driver.arrive("c", "POST", "/orders")
    else:
        driver.arrive("c")
    _end_work(driver, "c.0", node.ServerOutcome.ABORTED)
    (command,) = _fail(driver, "c", 0, node.RunState.MAY_HAVE_RUN)
    if is_order:
        assert isinstance(command, node.RefuseCall)
        assert command.run is node.RunState.MAY_HAVE_RUN
    else:
        assert isinstance(command, node.SendToPeer)


def test_a_call_proven_not_run_is_sent_elsewhere_even_if_an_order() -> None:
    driver = _start(peers=("n1",))
    driver.arrive("c", "POST", "/orders")
    _end_work(driver, "c.0", node.ServerOutcome.UNREACHABLE)
    (command,) = _fail(driver, "c", 0, node.RunState.NOT_RUN)
    assert isinstance(command, node.SendToPeer)
    (refusal,) = _fail(driver, "c", 1, node.RunState.NOT_RUN)
    assert isinstance(refusal, node.RefuseCall)
    assert refusal.run is node.RunState.NOT_RUN


def test_retries_stop_when_the_budget_is_spent() -> None:
    driver = _start(peers=tuple(f"n{i}" for i in range(1, 9)))
    retries = 0
    for number in range(40):
        call = f"c{number}"
        (first,) = driver.arrive(call)
        attempt = 0
        if isinstance(first, node.RunOnServer):
            _end_work(driver, f"{call}.0", node.ServerOutcome.ABORTED)
        while True:
            commands = _fail(driver, call, attempt, node.RunState.MAY_HAVE_RUN)
            if not isinstance(commands[-1], node.SendToPeer):
                break
            retries += 1
            attempt += 1
    # The bucket's ten tokens and a tenth of one for each call.
    assert retries <= 10 + 4


def test_old_failures_of_the_own_server_are_forgiven_by_answers() -> None:
    driver = _start()
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
    own = driver.state.directory.loads[ids.NodeId("n0")]
    assert not own.is_ejected(driver.now)
    assert own.consecutive_failures == 0


def test_a_deadline_ends_a_waiting_call_with_the_truth() -> None:
    driver = _start(is_cold=True)
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


def test_a_cold_server_gets_no_more_than_it_bears() -> None:
    driver = _start(is_cold=True)
    started = [
        command
        for number in range(5)
        for command in driver.arrive(f"c{number}")
        if isinstance(command, node.RunOnServer)
    ]
    assert len(started) == 1


def test_a_caller_that_hangs_up_frees_its_slot_in_the_queue() -> None:
    driver = _start(is_cold=True)
    driver.arrive("runs")
    driver.arrive("waits")
    assert driver.state.gate.queued == 1
    driver.submit(node.CallerDisconnected(call=ids.CallId("waits")))
    assert driver.state.gate.queued == 0
    (cancel,) = driver.submit(node.CallerDisconnected(call=ids.CallId("runs")))
    assert isinstance(cancel, node.CancelAttempt)


def test_a_closed_zone_takes_no_new_work_and_gives_back_what_waits() -> None:
    driver = _start(peers=("n1",), is_cold=True)
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


def test_a_drain_by_order_holds_until_it_is_ended() -> None:
    driver = _start(peers=("n1",))
    driver.submit(node.DrainOrdered(is_drained=True))
    assert _shown_server(driver) is node.ServerState.DRAINING
    (sent,) = driver.arrive("elsewhere")
    assert isinstance(sent, node.SendToPeer)
    # A new configuration is no end of the order.
    driver.configure(2)
    (sent,) = driver.arrive("still-elsewhere")
    assert isinstance(sent, node.SendToPeer)
    driver.submit(node.DrainOrdered(is_drained=False))
    assert _shown_server(driver) is node.ServerState.WARM
    (here,) = driver.arrive("here")
    assert isinstance(here, node.RunOnServer)


def test_a_configuration_never_reverts() -> None:
    driver = _start()
    driver.configure(3)
    driver.configure(2, closed_zone="north")
    assert driver.state.versions.ref.version == 3
    assert driver.state.versions.configuration is not None
    assert driver.state.versions.configuration.zone_takes_work(
        ids.ZoneName("north")
    )


def test_a_planned_stop_waits_for_calls_and_hands_back_the_rest() -> None:
    driver = _start(is_cold=True)
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
    def play() -> str:
        driver = _start(peers=("n1", "n2", "n3"), is_cold=True)
        for number in range(20):
            driver.arrive(f"c{number}")
            driver.pass_time(0.1)
        return repr(driver.out)

    assert play() == play()


def test_of_ordinary_answers_a_stated_part_is_recorded() -> None:
    driver = _start()
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
    told = [
        command
        for command in driver.out
        if isinstance(command, node.WriteRecord)
        and command.record.kind is answered
    ]
    assert len(told) == 3
