"""Noisy neighbours: VMs that are several times slower for short periods.

Each VM is slow for a fifth to a quarter of the time, in periods of tenths of a
second.  Calls must go to servers that are not slow now, and a call whose VM
turns slow is hedged at a second server while that still helps.
"""

import dataclasses

from marjoramledge_core import _budget
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders

FAST_S = 0.1
SLOW_S = 0.7


def _build_driver(peers: int = 3) -> builders.CoreDriver:
    driver = builders.CoreDriver()
    driver.configure()
    driver.submit(node.ServerAnnounced(server=builders.build_server()))
    for number in range(1, peers + 1):
        driver.learn_peer(f"n{number}", zone="north")
    return driver


def _report_load(
    driver: builders.CoreDriver, name: str, service_s: float
) -> None:
    peer = ids.NodeId(name)
    driver.submit(
        node.MessageReceived(
            message=node.Message(
                kind=node.MessageKind.LOAD,
                sender=peer,
                sender_address=node.Address(host="127.0.0.1", port=7000),
                sequence=0,
                target=driver.state.node,
                config=builders.build_ref(0),
                updates=(),
                suspicions=(),
                load=node.LoadReport(
                    in_flight=0, limit=4, service_s=service_s
                ),
            )
        )
    )


def _report_local_slowdown(
    driver: builders.CoreDriver, slowdown: float
) -> list[node.Command]:
    return driver.submit(
        node.ProbeEnded(is_healthy=True, elapsed_s=0.001, slowdown=slowdown)
    )


def _serve_calls(driver: builders.CoreDriver, count: int) -> None:
    """Let the local server answer some calls in the typical time."""
    for number in range(count):
        call = f"usual{number}"
        (run,) = driver.arrive(call)
        assert isinstance(run, node.RunOnServer)
        driver.pass_time(FAST_S)
        driver.submit(
            node.AttemptAnswered(
                call=run.call, attempt=run.attempt, is_error=False, load=None
            )
        )
        driver.submit(
            node.WorkEnded(
                attempt=run.attempt,
                outcome=node.ServerOutcome.ANSWERED,
                head_s=FAST_S,
                slowdown=1.0,
            )
        )
        driver.submit(node.CallEnded(call=run.call))


def test_calls_go_to_the_server_that_is_not_slow() -> None:
    driver = _build_driver()
    _serve_calls(driver, 8)
    _report_local_slowdown(driver, 7.0)
    _report_load(driver, "n1", SLOW_S)
    _report_load(driver, "n2", FAST_S)
    _report_load(driver, "n3", SLOW_S)
    for number in range(10):
        (sent,) = driver.arrive(f"c{number}")
        assert isinstance(sent, node.SendToPeer)
        assert sent.node == "n2"
        driver.submit(
            node.AttemptAnswered(
                call=sent.call,
                attempt=sent.attempt,
                is_error=False,
                load=None,
            )
        )
        driver.submit(node.CallEnded(call=sent.call))


def test_a_change_of_speed_is_reported_at_once_and_only_once() -> None:
    driver = _build_driver()
    _serve_calls(driver, 8)
    reports = [
        command.message.load
        for command in _report_local_slowdown(driver, 7.0)
        if isinstance(command, node.SendMessage)
    ]
    assert len(reports) == 3
    assert all(load is not None for load in reports)
    repeated = _report_local_slowdown(driver, 7.0)
    assert not [c for c in repeated if isinstance(c, node.SendMessage)]
    recovered = _report_local_slowdown(driver, 1.0)
    assert len([c for c in recovered if isinstance(c, node.SendMessage)]) == 3


def test_in_a_large_fleet_load_is_reported_within_the_zone_only() -> None:
    driver = _build_driver(peers=4)
    for number in range(5, 40):
        driver.learn_peer(f"n{number}", zone="south")
    _serve_calls(driver, 8)
    reports = [
        command
        for command in _report_local_slowdown(driver, 7.0)
        if isinstance(command, node.SendMessage)
        and command.message.kind is node.MessageKind.LOAD
    ]
    assert len(reports) == 4


def test_a_call_on_a_vm_that_turns_slow_is_hedged() -> None:
    driver = _build_driver()
    _serve_calls(driver, 8)
    for name in ("n1", "n2", "n3"):
        _report_load(driver, name, FAST_S)
    declared = driver.state.versions.configuration
    assert declared is not None
    page = declared.find_kind("shop.example", "GET", "/pages/1")
    assert page is not None
    (run,) = driver.arrive("caught")
    assert isinstance(run, node.RunOnServer)
    call = driver.state.calls[run.call]
    call.kind = dataclasses.replace(page, target_s=0.4)
    _report_local_slowdown(driver, 7.0)
    commands = driver.pass_time(0.6)
    hedges = [c for c in commands if isinstance(c, node.SendToPeer)]
    assert [hedge.is_hedge for hedge in hedges] == [True]


def test_a_refusal_by_the_server_spends_the_retry_budget() -> None:
    driver = _build_driver()
    driver.state.budgets.clear()
    budget = _budget.RetryBudget(tokens=1.0, earned_per_call=0.0)
    driver.state.budgets[ids.ServiceName("shop")] = budget
    runs = 0
    for number in range(3):
        commands = driver.arrive(f"c{number}")
        while commands:
            command = commands[0]
            if not isinstance(command, node.RunOnServer | node.SendToPeer):
                break
            runs += 1
            if isinstance(command, node.RunOnServer):
                driver.submit(
                    node.WorkEnded(
                        attempt=command.attempt,
                        outcome=node.ServerOutcome.SHED,
                        head_s=0.0,
                    )
                )
            commands = driver.submit(
                node.AttemptFailed(
                    call=command.call,
                    attempt=command.attempt,
                    run=node.RunState.NOT_RUN,
                    reason=node.Reason.SERVER_REFUSED,
                    load=None,
                    is_body_consumed=False,
                )
            )
    assert runs == 3 + 1


def test_the_retries_of_all_entries_stay_within_the_fleet_budget() -> None:
    fleet = _budget.FleetRetryBudget(ratio=0.2, slack=56.0)
    for nodes in (1, 3, 9, 30):
        spent = 0
        for _ in range(nodes):
            budget = _budget.RetryBudget()
            budget.set_share(fleet, nodes)
            for _ in range(100):
                budget.earn()
                spent += budget.spend()
        assert spent <= 0.2 * 100 * nodes + 56.0


def test_a_call_that_cannot_be_answered_in_time_is_not_queued() -> None:
    driver = _build_driver(peers=0)
    _serve_calls(driver, 8)
    declared = driver.state.versions.configuration
    assert declared is not None
    page = declared.find_kind("shop.example", "GET", "/pages/1")
    offers = []
    for number in range(8):
        offers += driver.submit(
            node.WorkOffered(
                attempt=ids.AttemptId(f"a{number}.0"),
                host="shop.example",
                method="GET",
                path="/pages/1",
                deadline_s=1.0,
                prefers_queueing=True,
                fingerprint=ids.Fingerprint(f"f{number}"),
                service=ids.ServiceName("shop"),
                kind=page,
                target_s=FAST_S / 2,
            )
        )
    refused = [c for c in offers if isinstance(c, node.RefuseWork)]
    started = [c for c in offers if isinstance(c, node.StartWork)]
    assert len(started) == driver.state.gate.limit
    assert len(refused) == 8 - len(started)
    assert {c.reason for c in refused} == {node.Reason.OVERLOADED}
