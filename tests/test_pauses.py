"""A node that was paused acts on nothing that ran out meanwhile.

A process may be stopped, or its VM suspended, for seconds.  The first event
that it handles afterwards is rarely a timer: answers and messages that
arrived during the pause are handled in the same iteration of the event loop.
"""

import asyncio
import time

from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _bodies
from marjoramledge_node import _clock
from marjoramledge_node import _dialect
from marjoramledge_node import _event_loop
from marjoramledge_node import _upstream
from marjoramledge_standins import builders
import multidict
import pytest

PAUSE_S = 5.0


def _build_driver() -> builders.CoreDriver:
    driver = builders.CoreDriver()
    driver.configure()
    driver.submit(node.ServerAnnounced(server=builders.build_server(slots=1)))
    driver.learn_peer("n1")
    return driver


def _end_work(
    driver: builders.CoreDriver, attempt: ids.AttemptId
) -> list[node.Command]:
    return driver.submit(
        node.WorkEnded(
            attempt=attempt, outcome=node.ServerOutcome.ANSWERED, head_s=0.1
        )
    )


# Guards against a request that runs after its caller has given up: the answer
# of another request, which came during the pause, frees the slot.
def test_a_queued_offer_does_not_start_after_its_deadline() -> None:
    driver = _build_driver()
    (start,) = driver.offer("first")
    assert isinstance(start, node.StartWork)
    assert not driver.offer("second", prefers_queueing=True, deadline_s=1.0)
    driver.now += PAUSE_S
    commands = _end_work(driver, start.attempt)
    assert not [c for c in commands if isinstance(c, node.StartWork)]
    assert [c for c in commands if isinstance(c, node.RefuseWork)]


# The same for a call of this entry.
def test_a_queued_call_is_not_run_after_its_deadline() -> None:
    driver = builders.CoreDriver()
    driver.configure()
    driver.submit(node.ServerAnnounced(server=builders.build_server(slots=1)))
    (run,) = driver.arrive("first")
    assert isinstance(run, node.RunOnServer)
    assert not driver.arrive("second")
    driver.now += 2 * PAUSE_S
    commands = _end_work(driver, run.attempt)
    assert not [c for c in commands if isinstance(c, node.RunOnServer)]
    refused = {c.call for c in commands if isinstance(c, node.RefuseCall)}
    assert ids.CallId("second") in refused


# Guards against a suspension of the VM that no clock of the node shows: the
# monotonic clock does not count it.
@pytest.mark.skipif(
    not hasattr(time, "CLOCK_BOOTTIME"), reason="needs CLOCK_BOOTTIME"
)
def test_the_clock_of_a_node_counts_suspensions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    suspended_s = 7.0
    real = time.clock_gettime

    def read(clock: int) -> float:
        is_boot_time = clock == time.CLOCK_BOOTTIME
        return real(clock) + (suspended_s if is_boot_time else 0.0)

    before = _clock.read_clock()
    monkeypatch.setattr(time, "clock_gettime", read)
    assert _clock.read_clock() - before >= suspended_s


# Guards against a request that is sent although its deadline passed between
# the decision and the sending.
def test_nothing_is_sent_when_no_time_is_left() -> None:
    async def send() -> _upstream.SendResult:
        upstream = _upstream.Upstream(
            dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=1.0
        )
        outgoing = _upstream.OutgoingRequest(
            method="POST",
            target="/orders",
            headers=multidict.CIMultiDict(),
            body=_bodies.Body(buffered=b""),
            is_repeatable=False,
        )
        try:
            # Nobody listens at the port: a connect would not be refused as
            # too late.
            return await upstream.send_to_server(
                outgoing, builders.build_server(port=1), -0.1
            )
        finally:
            await upstream.close()

    with asyncio.Runner(loop_factory=_event_loop.new_event_loop) as runner:
        failure = runner.run(send()).failure()
    assert failure.reason is node.Reason.DEADLINE_PASSED
    assert failure.run is node.RunState.NOT_RUN
