"""Backend servers that say in their answers that they leave."""

import dataclasses

from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders
import pytest

START = node.ServerStart(server=ids.ServerId("i-1"), born=7)
NEXT_START = dataclasses.replace(START, born=8)
LEAVING = node.ServerSignals(is_leaving=True)


def _announce(
    driver: builders.CoreDriver,
    start: node.ServerStart,
    *,
    sequence: int = 1,
    is_cold: bool = False,
) -> None:
    server = dataclasses.replace(
        builders.build_server(is_cold=is_cold), start=start, sequence=sequence
    )
    driver.submit(node.ServerAnnounced(server=server))


def _start_gate(
    start: node.ServerStart = START,
) -> builders.CoreDriver:
    driver = builders.CoreDriver()
    driver.configure()
    driver.learn_peer("n1")
    _announce(driver, start)
    return driver


def _takes_work(
    driver: builders.CoreDriver,
    name: str,
    status: node.ServerStatus | None = None,
) -> bool:
    """Offer a call to the gate; end it if it starts."""
    commands = driver.offer(name, status=status)
    starts = [c for c in commands if isinstance(c, node.StartWork)]
    for start in starts:
        driver.submit(
            node.WorkEnded(
                attempt=start.attempt,
                outcome=node.ServerOutcome.ANSWERED,
                head_s=0.01,
            )
        )
    return bool(starts)


# Guards against work for a server that leaves and says so only in its answers.
@pytest.mark.parametrize("start", [START, node.ANY_START])
def test_a_server_that_says_that_it_leaves_gets_no_new_work(
    start: node.ServerStart,
) -> None:
    driver = _start_gate(start)
    assert _takes_work(driver, "a")
    driver.submit(node.ServerSignalled(server=start, signals=LEAVING))
    assert not _takes_work(driver, "b")
    myself = driver.state.membership.myself
    assert myself.server is node.ServerState.DRAINING
    # Its entry sends callers' requests elsewhere.
    (sent,) = driver.arrive("c")
    assert isinstance(sent, node.SendToPeer)


# Guards against a departure that only the gate's process knows: once it and
# the entries that it told have restarted, the server would be used again.
def test_a_departure_that_answers_tell_is_stored_once() -> None:
    driver = _start_gate()
    signalled = node.ServerSignalled(server=START, signals=LEAVING)
    commands = driver.submit(signalled)
    stored = [c for c in commands if isinstance(c, node.StoreDeparture)]
    assert [command.server for command in stored] == [START]
    repeated = driver.submit(signalled)
    assert not [c for c in repeated if isinstance(c, node.StoreDeparture)]
    restarted = _start_gate(dataclasses.replace(START, born=0))
    restarted.submit(node.DeparturesRead(servers=(START,)))
    assert not _takes_work(restarted, "a")


# Guards against a probe that shows the same, and is ignored.
def test_a_probe_may_show_that_a_server_leaves() -> None:
    driver = _start_gate()
    driver.submit(
        node.ProbeEnded(is_healthy=True, elapsed_s=0.01, signals=LEAVING)
    )
    assert not _takes_work(driver, "a")


# Guards against heartbeats of a leaving server that bring it back.
@pytest.mark.parametrize("start", [START, node.ANY_START])
def test_announcements_of_a_leaving_server_do_not_bring_it_back(
    start: node.ServerStart,
) -> None:
    driver = _start_gate(start)
    driver.submit(node.ServerSignalled(server=start, signals=LEAVING))
    for sequence in range(2, 5):
        _announce(driver, start, sequence=sequence)
        assert not _takes_work(driver, f"a{sequence}")


# Guards against a next start that gets no work since the last one left.
@pytest.mark.parametrize("start", [START, node.ANY_START])
def test_the_next_start_of_a_server_gets_work(
    start: node.ServerStart,
) -> None:
    driver = _start_gate(start)
    driver.submit(node.ServerSignalled(server=start, signals=LEAVING))
    following = start if start == node.ANY_START else NEXT_START
    _announce(driver, following, is_cold=True)
    assert _takes_work(driver, "a")
    late = node.ServerSignalled(server=START, signals=LEAVING)
    if start == START:
        driver.submit(late)
        assert _takes_work(driver, "b")


# Guards against a gate that restarts, finds the server still running, and
# sends it work from entries that have passed on that it leaves.
def test_a_restarted_gate_learns_from_entries_that_its_server_leaves() -> None:
    driver = _start_gate()
    driver.submit(node.ServerSignalled(server=START, signals=LEAVING))
    status = node.build_status(driver.state)
    assert status is not None and status.is_leaving
    # A running server that a probe has found has no start time yet.
    found = dataclasses.replace(START, born=0)
    restarted = _start_gate(found)
    assert not _takes_work(restarted, "a", status)
    _announce(restarted, START, sequence=2)
    assert not _takes_work(restarted, "b")
    _announce(restarted, NEXT_START)
    assert _takes_work(restarted, "c", status)


# Guards against a server without an identity that is taken for the one before.
def test_a_departure_without_an_identity_is_not_recalled() -> None:
    driver = _start_gate(node.ANY_START)
    status = node.ServerStatus(start=node.ANY_START, is_leaving=True)
    assert _takes_work(driver, "a", status)


# Guards against a garbled value that ends the use of a server without a word.
def test_a_garbled_value_is_recorded_and_ignored() -> None:
    driver = _start_gate()
    driver.out.clear()
    driver.submit(
        node.ServerSignalled(
            server=START, signals=node.ServerSignals(invalid_leaving="?")
        )
    )
    kinds = [
        command.record.kind
        for command in driver.out
        if isinstance(command, node.WriteRecord)
    ]
    assert kinds == [node.RecordKind.LEAVING_INVALID]
    assert _takes_work(driver, "a")


# Guards against queued calls that are lost when the server says it leaves.
def test_queued_calls_are_returned_to_their_entries() -> None:
    driver = _start_gate()
    commands: list[node.Command] = []
    for number in range(8):
        commands += driver.offer(f"q{number}", target_s=5.0)
    waiting = 8 - len(commands)
    assert waiting > 0
    commands = driver.submit(
        node.ServerSignalled(server=START, signals=LEAVING)
    )
    refused = [c for c in commands if isinstance(c, node.RefuseWork)]
    assert len(refused) == waiting
    assert {c.reason for c in refused} == {node.Reason.SERVER_LEAVING}
