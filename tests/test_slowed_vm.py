"""A gate whose VM is slow for a while.

The backend server reports the slowdown factor of its VM.  A call that starts
during a slowdown may take longer by this factor, even if the VM is fast again
before the call ends.
"""

from marjoramledge_core import _slowdown
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders
import pytest

TYPICAL_S = 0.1
SLOWDOWN = 7.0
TARGET_S = 0.4


def _build_driver() -> builders.CoreDriver:
    """Build a node whose server has answered calls in the typical time."""
    driver = builders.CoreDriver()
    driver.configure()
    driver.submit(node.ServerAnnounced(server=builders.build_server()))
    for number in range(20):
        driver.offer(f"usual{number}", target_s=TARGET_S)
        driver.pass_time(TYPICAL_S)
        driver.submit(
            node.WorkEnded(
                attempt=ids.AttemptId(f"usual{number}.0"),
                outcome=node.ServerOutcome.ANSWERED,
                head_s=TYPICAL_S,
                slowdown=1.0,
            )
        )
    return driver


def _report_slowdown(
    driver: builders.CoreDriver, slowdown: float
) -> list[node.Command]:
    return driver.submit(
        node.ProbeEnded(is_healthy=True, elapsed_s=0.001, slowdown=slowdown)
    )


# Guards against slots that are held for long by calls that will be late.
def test_a_call_that_would_be_late_does_not_start_on_a_slow_vm() -> None:
    driver = _build_driver()
    _report_slowdown(driver, SLOWDOWN)
    (answer,) = driver.offer("c", target_s=TARGET_S)
    assert isinstance(answer, node.RefuseWork)
    assert driver.state.gate.running == 0


# Guards against calls that run into their deadline at the start of traffic: no
# call has been measured, and a slow VM looked as fast as any other.
def test_an_unmeasured_gate_counts_on_the_expected_time() -> None:
    driver = builders.CoreDriver()
    driver.configure()
    driver.submit(node.ServerAnnounced(server=builders.build_server()))
    declared = builders.build_configuration()
    (service,) = declared.services.values()
    driver.state.gate.set_service(service, TYPICAL_S)
    _report_slowdown(driver, 1.0)
    _report_slowdown(driver, SLOWDOWN)
    reported_s = driver.state.gate.report(driver.now).service_s
    assert reported_s == pytest.approx(SLOWDOWN * TYPICAL_S)
    (answer,) = driver.offer("c", target_s=TARGET_S)
    assert isinstance(answer, node.RefuseWork)
    _report_slowdown(driver, 1.0)
    (answer,) = driver.offer("d", target_s=TARGET_S)
    assert isinstance(answer, node.StartWork)


# Guards against calls that stay queued after the slowdown has ended.
def test_a_queued_call_starts_when_the_vm_is_no_longer_slow() -> None:
    driver = _build_driver()
    _report_slowdown(driver, SLOWDOWN)
    # A call that starts now would end after its deadline.
    assert (
        driver.offer(
            "c", target_s=TARGET_S, prefers_queueing=True, deadline_s=0.5
        )
        == []
    )
    assert driver.state.gate.queued == 1
    started = [
        command
        for command in _report_slowdown(driver, 1.0)
        if isinstance(command, node.StartWork)
    ]
    assert [command.attempt for command in started] == ["c.0"]


# Guards against a service that runs no calls while all its VMs are slow.
def test_some_late_calls_start_when_no_other_server_could_run_them() -> None:
    driver = _build_driver()
    _report_slowdown(driver, SLOWDOWN)
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
        _report_slowdown(driver, SLOWDOWN)
    (answer,) = driver.offer("c", target_s=TARGET_S)
    assert isinstance(answer, node.StartWork)


@pytest.mark.parametrize("power", [0.0, 0.3, 1.0])
def test_the_effect_of_a_slowdown_on_calls_is_learned(power: float) -> None:
    estimate = _slowdown.VmSlowdown()
    estimate.note_reported(1.0, 100.0)
    for number in range(200):
        now = 100.0 + 0.1 * number
        estimate.learn(SLOWDOWN, SLOWDOWN**power, now)
    expected = SLOWDOWN**power
    assert estimate.slowdown_factor(SLOWDOWN, 120.0) == pytest.approx(
        expected, rel=0.15
    )


# Guards against a node that wakes up a thousand times a second to find that
# the VM is still slow.
def test_calls_queued_on_a_slow_vm_cause_few_wakeups() -> None:
    driver = _build_driver()
    _report_slowdown(driver, SLOWDOWN)
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
        _report_slowdown(driver, SLOWDOWN)
    assert driver.state.gate.queued == 1
    assert wakeups < 10
