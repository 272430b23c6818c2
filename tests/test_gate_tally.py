"""Statistics that a gate logs while it refuses calls."""

from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders


def _offer(driver: builders.CoreDriver, count: int) -> None:
    for number in range(count):
        driver.offer(f"c{number}", target_s=0.4)


def _end_work(
    driver: builders.CoreDriver, name: str, outcome: node.ServerOutcome
) -> None:
    driver.submit(
        node.WorkEnded(
            attempt=ids.AttemptId(name), outcome=outcome, head_s=0.1
        )
    )


def _logged_summaries(driver: builders.CoreDriver) -> list[str]:
    return [
        command.record.detail
        for command in driver.out
        if isinstance(command, node.WriteRecord)
        and command.record.kind is node.RecordKind.GATE_PRESSED
    ]


def _build_driver() -> builders.CoreDriver:
    driver = builders.CoreDriver()
    driver.configure()
    driver.submit(node.ServerAnnounced(server=builders.build_server()))
    driver.pass_time(2.0)
    return driver


def test_a_gate_that_refuses_calls_logs_its_statistics() -> None:
    driver = _build_driver()
    _offer(driver, 8)
    running_count, queued_count = (
        driver.state.gate.running,
        driver.state.gate.queued,
    )
    driver.pass_time(0.25)
    _end_work(driver, "c0.0", node.ServerOutcome.ANSWERED)
    driver.pass_time(3.0)
    (summary,) = _logged_summaries(driver)
    assert f"{8 - running_count - queued_count} refused" in summary
    assert "0.250 in time" in summary


def test_a_gate_that_refuses_nothing_logs_no_statistics() -> None:
    driver = _build_driver()
    _offer(driver, 1)
    driver.pass_time(0.1)
    _end_work(driver, "c0.0", node.ServerOutcome.ANSWERED)
    driver.pass_time(5.0)
    assert _logged_summaries(driver) == []
