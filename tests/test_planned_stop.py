"""A planned stop of a node whose backend server keeps running."""

import dataclasses

from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders
import pytest

OPTIONS = node.Options(
    stop_limit_s=4.8,
    stop_spread_s=2.2,
    stop_accept_s=3.6,
    stop_keeps_server=True,
)


def _build_driver() -> builders.CoreDriver:
    driver = builders.CoreDriver()
    driver.state.options = OPTIONS
    driver.configure()
    driver.submit(node.ServerAnnounced(server=builders.build_server()))
    driver.learn_peer("n1")
    return driver


def _arrive_with_deadline(
    driver: builders.CoreDriver, call: str, deadline_s: float
) -> list[node.Command]:
    arrival = builders.build_call(call)
    return driver.submit(dataclasses.replace(arrival, deadline_s=deadline_s))


def _finish_call(driver: builders.CoreDriver, run: node.Command) -> None:
    assert isinstance(run, node.RunOnServer)
    driver.submit(
        node.WorkEnded(
            attempt=run.attempt,
            outcome=node.ServerOutcome.ANSWERED,
            head_s=0.1,
        )
    )
    driver.submit(node.CallEnded(call=run.call))


def _stop_command_types(commands: list[node.Command]) -> list[type]:
    wanted = (node.StopAccepting, node.StopNode)
    return [type(c) for c in commands if isinstance(c, wanted)]


def test_the_local_server_is_used_until_the_spread_is_over() -> None:
    driver = _build_driver()
    driver.submit(node.StopRequested())
    driver.pass_time(1.0)
    (run,) = driver.arrive("early")
    _finish_call(driver, run)
    driver.pass_time(1.3)
    assert driver.state.is_server_released


def test_calls_are_accepted_while_any_call_runs() -> None:
    driver = _build_driver()
    (slow,) = driver.arrive("slow")
    driver.submit(node.StopRequested())
    assert not _stop_command_types(driver.pass_time(3.0))
    (sent,) = _arrive_with_deadline(driver, "late", 1.5)
    assert isinstance(sent, node.SendToPeer)
    driver.submit(node.CallEnded(call=ids.CallId("late")))
    _finish_call(driver, slow)
    kinds = _stop_command_types(driver.pass_time(1.0))
    assert kinds == [node.StopAccepting, node.StopNode]


def test_a_stop_ends_within_its_limit_despite_running_calls() -> None:
    driver = _build_driver()
    driver.arrive("endless")
    driver.submit(node.StopRequested())
    commands = driver.pass_time(3.7)
    assert _stop_command_types(commands) == [node.StopAccepting]
    (stop,) = [
        c for c in driver.pass_time(1.5) if isinstance(c, node.StopNode)
    ]
    assert stop.aborted_calls


def test_changed_options_take_effect() -> None:
    driver = _build_driver()
    changed = dataclasses.replace(OPTIONS, stop_limit_s=9.0)
    driver.submit(node.OptionsChanged(options=changed))
    assert driver.state.options.stop_limit_s == 9.0


# Guards against a late call that a stop cuts: it is taken and passed on, its
# server works until its deadline, and the stop ends before that.
@pytest.mark.parametrize("grace_s", [4.0, 6.0, 10.0])
@pytest.mark.parametrize("deadline_s", [0.4, 1.2, 2.5, 4.0, 6.0])
def test_no_call_that_came_after_the_spread_is_cut(
    grace_s: float, deadline_s: float
) -> None:
    driver = _build_driver()
    driver.state.options = dataclasses.replace(
        OPTIONS, stop_limit_s=0.85 * grace_s, stop_accept_s=0.48 * grace_s
    )
    driver.arrive("endless")
    driver.submit(node.StopRequested())
    driver.pass_time(OPTIONS.stop_spread_s)
    for number in range(100):
        if driver.state.stop_phase < node.StopPhase.NOT_ACCEPTING:
            _arrive_with_deadline(driver, f"late-{number}", deadline_s)
        driver.pass_time(0.1)
    assert driver.state.stop_phase is node.StopPhase.STOPPED
    assert driver.state.calls.keys() <= {"endless"}


def test_a_late_call_that_cannot_end_in_time_is_refused_at_once() -> None:
    driver = _build_driver()
    driver.submit(node.StopRequested())
    driver.pass_time(2.3)
    driver.arrive("keeps the node up")
    (refusal,) = _arrive_with_deadline(driver, "long", 2.6)
    assert isinstance(refusal, node.RefuseCall)
    assert refusal.run is node.RunState.NOT_RUN
    assert refusal.retry_after_s is not None
    (sent,) = _arrive_with_deadline(driver, "short", 2.4)
    assert isinstance(sent, node.SendToPeer)


# A caller that can't know of the stop yet is served: most calls end long
# before their deadline.
def test_calls_of_the_spread_are_taken_whatever_their_deadline() -> None:
    driver = _build_driver()
    driver.submit(node.StopRequested())
    (run,) = _arrive_with_deadline(driver, "long", 5.0)
    assert isinstance(run, node.RunOnServer)


# Another gate costs a peer's call a message; here it could be cut.
def test_the_gate_refuses_offers_that_may_outlast_the_stop() -> None:
    driver = _build_driver()
    driver.submit(node.StopRequested())
    driver.pass_time(0.5)
    (refusal,) = driver.offer("long", deadline_s=4.5)
    assert isinstance(refusal, node.RefuseWork)
    assert refusal.reason is node.Reason.NODE_STOPPING
    (start,) = driver.offer("short", deadline_s=4.0)
    assert isinstance(start, node.StartWork)
