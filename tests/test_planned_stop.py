"""A planned stop of a node whose backend server outlives it."""

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


def _start() -> builders.CoreDriver:
    driver = builders.CoreDriver()
    driver.state.options = OPTIONS
    driver.configure()
    driver.submit(node.ServerAnnounced(server=builders.build_server()))
    driver.learn_peer("n1")
    return driver


def _finish(driver: builders.CoreDriver, run: node.Command) -> None:
    assert isinstance(run, node.RunOnServer)
    driver.submit(
        node.WorkEnded(
            attempt=run.attempt,
            outcome=node.ServerOutcome.ANSWERED,
            head_s=0.1,
        )
    )
    driver.submit(node.CallEnded(call=run.call))


def _kinds(commands: list[node.Command]) -> list[type]:
    wanted = (node.StopAccepting, node.StopNode)
    return [type(c) for c in commands if isinstance(c, wanted)]


def test_the_server_is_used_until_callers_have_gone() -> None:
    driver = _start()
    driver.submit(node.StopRequested())
    driver.pass_time(1.0)
    (run,) = driver.arrive("early")
    _finish(driver, run)
    driver.pass_time(1.3)
    assert driver.state.is_server_released


def test_callers_are_taken_while_anything_runs() -> None:
    driver = _start()
    (slow,) = driver.arrive("slow")
    driver.submit(node.StopRequested())
    assert not _kinds(driver.pass_time(3.0))
    (sent,) = driver.arrive("late")
    assert isinstance(sent, node.SendToPeer)
    driver.submit(node.CallEnded(call=ids.CallId("late")))
    _finish(driver, slow)
    kinds = _kinds(driver.pass_time(1.0))
    assert kinds == [node.StopAccepting, node.StopNode]


def test_the_end_comes_within_the_limit_whatever_runs() -> None:
    driver = _start()
    driver.arrive("endless")
    driver.submit(node.StopRequested())
    commands = driver.pass_time(3.7)
    assert _kinds(commands) == [node.StopAccepting]
    (stop,) = [
        c for c in driver.pass_time(1.5) if isinstance(c, node.StopNode)
    ]
    assert stop.aborted_calls


def test_options_that_change_take_effect() -> None:
    driver = _start()
    changed = dataclasses.replace(OPTIONS, stop_limit_s=9.0)
    driver.submit(node.OptionsChanged(options=changed))
    assert driver.state.options.stop_limit_s == 9.0
