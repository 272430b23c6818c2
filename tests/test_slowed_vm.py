"""A gate whose VM is slow for a while.

The backend server tells how slow its VM is; a call that begins then may take
as many times longer, whatever the VM does afterwards.
"""

from marjoramledge_core import _slowdown
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders
import pytest

USUAL_S = 0.1
SLOWDOWN = 7.0
TARGET_S = 0.4


def _build_driver() -> builders.CoreDriver:
    """Build a node whose server has answered some calls in usual time."""
    driver = builders.CoreDriver()
    driver.configure()
    driver.submit(node.ServerAnnounced(server=builders.build_server()))
    for number in range(20):
        driver.offer(f"usual{number}", target_s=TARGET_S)
        driver.pass_time(USUAL_S)
        driver.submit(
            node.WorkEnded(
                attempt=ids.AttemptId(f"usual{number}.0"),
                outcome=node.ServerOutcome.ANSWERED,
                head_s=USUAL_S,
                slowdown=1.0,
            )
        )
    return driver


def _tell(driver: builders.CoreDriver, slowdown: float) -> list[node.Command]:
    return driver.submit(
        node.ProbeEnded(is_healthy=True, elapsed_s=0.001, slowdown=slowdown)
    )


# Guards against slots held for long by calls that come too late anyhow.
def test_no_call_begins_on_a_slowed_vm_that_would_be_late() -> None:
    driver = _build_driver()
    _tell(driver, SLOWDOWN)
    (answer,) = driver.offer("c", target_s=TARGET_S)
    assert isinstance(answer, node.RefuseWork)
    assert driver.state.gate.running == 0


# Guards against calls that wait on when the VM has long been calm again.
def test_a_call_that_waits_begins_when_the_vm_is_calm() -> None:
    driver = _build_driver()
    _tell(driver, SLOWDOWN)
    # Its deadline passes before a call that begins now would end.
    assert (
        driver.offer(
            "c", target_s=TARGET_S, prefers_queueing=True, deadline_s=0.5
        )
        == []
    )
    assert driver.state.gate.queued == 1
    started = [
        command
        for command in _tell(driver, 1.0)
        if isinstance(command, node.StartWork)
    ]
    assert [command.attempt for command in started] == ["c.0"]


# Guards against a service that serves nobody while all its VMs are slow.
def test_some_late_calls_begin_where_there_is_nowhere_else_to_go() -> None:
    driver = _build_driver()
    _tell(driver, SLOWDOWN)
    commands = [
        command
        for number in range(4)
        for command in driver.offer(
            f"c{number}", target_s=TARGET_S, prefers_queueing=True
        )
    ]
    assert sum(isinstance(c, node.StartWork) for c in commands) == 1


def test_a_vm_that_stays_slow_is_used_like_any_other() -> None:
    driver = _build_driver()
    for _ in range(600):
        driver.pass_time(0.1)
        _tell(driver, SLOWDOWN)
    (answer,) = driver.offer("c", target_s=TARGET_S)
    assert isinstance(answer, node.StartWork)


@pytest.mark.parametrize("power", [0.0, 0.3, 1.0])
def test_what_a_slowdown_does_to_calls_is_learnt(power: float) -> None:
    slowness = _slowdown.VmSlowdown()
    slowness.note_reported(1.0, 100.0)
    for number in range(200):
        now = 100.0 + 0.1 * number
        slowness.learn(SLOWDOWN, SLOWDOWN**power, now)
    expected = SLOWDOWN**power
    assert slowness.slowdown_factor(SLOWDOWN, 120.0) == pytest.approx(
        expected, rel=0.15
    )


# Guards against a node that wakes up a thousand times a second to find that
# the VM is slow still.
def test_calls_that_wait_for_a_calm_vm_cost_no_wake_ups() -> None:
    driver = _build_driver()
    _tell(driver, SLOWDOWN)
    assert (
        driver.offer(
            "c", target_s=TARGET_S, prefers_queueing=True, deadline_s=0.5
        )
        == []
    )
    wakeups = 0
    until = driver.now + 0.2
    while (at := node.next_wakeup(driver.state)) is not None and at < until:
        wakeups += 1
        driver.now = max(driver.now, at)
        driver.submit(node.TimePassed())
        _tell(driver, SLOWDOWN)
    assert driver.state.gate.queued == 1
    assert wakeups < 10
