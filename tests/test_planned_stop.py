"""A planned stop of a node whose backend server keeps running."""

import dataclasses

from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders

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
    (sent,) = driver.arrive("late")
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
