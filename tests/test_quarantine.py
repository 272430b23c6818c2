"""Requests that crash backend servers: found, refused, let go."""

import hypothesis
from hypothesis import strategies
from marjoramledge_core import _quarantine
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders

POISON = "poison"
BYSTANDER = "bystander"
NOW = 100.0


class _Trio:
    """Three nodes, each with its own server, that hear one another."""

    def __init__(self) -> None:
        self.drivers = [builders.CoreDriver(name=f"n{i}") for i in range(3)]
        for driver in self.drivers:
            driver.configure()
            driver.submit(node.ServerAnnounced(server=builders.build_server()))
        for driver in self.drivers:
            members = [other.state.membership.myself for other in self.drivers]
            driver.submit(node.MembersReceived(members=tuple(members)))
        for number in range(3):
            self.warm(number)

    def warm(self, number: int) -> None:
        """Serve calls until the gate has ramped its server up."""
        for step in range(8):
            attempt = f"warm{number}-{step}"
            assert self.offer(number, attempt, "warm")
            self.end(number, attempt, node.ServerOutcome.ANSWERED)

    def offer(self, number: int, attempt: str, name: str) -> bool:
        """Offer a request to a gate; tell whether it runs."""
        commands = self.submit(
            number,
            node.WorkOffered(
                attempt=ids.AttemptId(attempt),
                host="shop.example",
                method="POST",
                path="/orders",
                deadline_s=5.0,
                prefers_queueing=False,
                fingerprint=ids.Fingerprint(name),
            ),
        )
        return any(isinstance(c, node.StartWork) for c in commands)

    def end(
        self, number: int, attempt: str, outcome: node.ServerOutcome
    ) -> None:
        """End a request at a gate."""
        self.submit(
            number,
            node.WorkEnded(
                attempt=ids.AttemptId(attempt), outcome=outcome, head_s=0.01
            ),
        )

    def die(self, number: int, *attempts: str) -> None:
        """Let a gate's server die under some requests, and come back."""
        for attempt in attempts:
            self.end(number, attempt, node.ServerOutcome.ABORTED)
        self.submit(number, node.ProbeEnded(is_healthy=False, elapsed_s=0.01))
        self.submit(
            number, node.ServerAnnounced(server=builders.build_server())
        )
        self.warm(number)

    def submit(self, number: int, event: node.Event) -> list[node.Command]:
        """Give a node an event and its messages to those they are for."""
        commands = self.drivers[number].submit(event)
        for command in commands:
            if isinstance(command, node.SendMessage):
                self._deliver(command)
        return commands

    def _deliver(self, command: node.SendMessage) -> None:
        for number, driver in enumerate(self.drivers):
            if driver.state.membership.myself.address == command.address:
                received = node.MessageReceived(message=command.message)
                self.submit(number, received)


def _serve(trio: _Trio, number: int, attempt: str, name: str) -> None:
    assert trio.offer(number, attempt, name)
    trio.end(number, attempt, node.ServerOutcome.ANSWERED)


def test_a_request_that_kills_two_servers_reaches_no_third() -> None:
    trio = _Trio()
    assert trio.offer(0, "p.0", POISON)
    trio.die(0, "p.0")
    assert trio.offer(1, "q.0", POISON)
    trio.die(1, "q.0")
    assert not trio.offer(2, "r.0", POISON)
    arrived = node.CallArrived(
        call=ids.CallId("c"),
        host="shop.example",
        method="POST",
        path="/orders",
        deadline_s=None,
        is_body_buffered=True,
        fingerprint=ids.Fingerprint(POISON),
    )
    for number in range(3):
        (refusal,) = trio.submit(number, arrived)
        assert isinstance(refusal, node.RefuseCall)
        assert refusal.reason is node.Reason.QUARANTINED
        assert refusal.run is node.RunState.NOT_RUN
        assert refusal.retry_after_s
    # The same caller's other requests on the same path are served.
    _serve(trio, 2, "other.0", "another")
    for driver in trio.drivers:
        driver.now += _quarantine.QUARANTINE_S + 1
    assert trio.offer(2, "s.0", POISON)


def test_what_ran_beside_it_is_not_blamed() -> None:
    trio = _Trio()
    assert trio.offer(0, "p.0", POISON)
    assert trio.offer(0, "b.0", BYSTANDER)
    trio.die(0, "p.0", "b.0")
    # Both are suspects now; a gate runs one of them at a time.
    assert trio.offer(1, "p.1", POISON)
    assert not trio.offer(1, "b.1", BYSTANDER)
    assert trio.offer(1, "fresh.0", "fresh")
    trio.die(1, "fresh.0", "p.1")
    _serve(trio, 2, "b.2", BYSTANDER)
    _serve(trio, 0, "b.3", BYSTANDER)
    _serve(trio, 1, "fresh.1", "fresh")
    assert not trio.offer(2, "p.2", POISON)


def test_a_call_that_broke_is_suspected_only_until_a_probe_says_so() -> None:
    trio = _Trio()
    for number, attempt in ((0, "a.0"), (1, "a.1")):
        assert trio.offer(number, attempt, BYSTANDER)
        trio.end(number, attempt, node.ServerOutcome.ABORTED)
    # Two broken calls, no server seen alive since: not yet a third.
    assert not trio.offer(2, "a.2", BYSTANDER)
    for number in (0, 1):
        trio.submit(number, node.ProbeEnded(is_healthy=True, elapsed_s=0.01))
    _serve(trio, 2, "a.3", BYSTANDER)


# Guards against a deadly request that goes on to a third server because the
# news of a death waits for a probe after a false alarm.
def test_after_a_false_alarm_a_death_is_told_once_a_probe_confirms_it() -> (
    None
):
    trio = _Trio()
    for number in (0, 1):
        assert trio.offer(number, f"a.{number}", f"lost {number}")
        trio.end(number, f"a.{number}", node.ServerOutcome.ABORTED)
        trio.submit(number, node.ProbeEnded(is_healthy=True, elapsed_s=0.01))
    assert trio.offer(0, "p.0", POISON)
    trio.end(0, "p.0", node.ServerOutcome.ABORTED)
    fingerprint = ids.Fingerprint(POISON)
    other = trio.drivers[2]
    assert not other.state.quarantine.is_suspect(fingerprint, other.now)
    trio.submit(0, node.ProbeEnded(is_healthy=False, elapsed_s=0.01))
    assert other.state.quarantine.is_suspect(fingerprint, other.now)
    assert trio.offer(1, "q.0", POISON)
    trio.die(1, "q.0")
    assert not trio.offer(2, "r.0", POISON)


def test_an_answer_clears_a_suspect_everywhere() -> None:
    trio = _Trio()
    assert trio.offer(0, "b.0", BYSTANDER)
    trio.die(0, "b.0")
    _serve(trio, 1, "b.1", BYSTANDER)
    assert trio.offer(2, "b.2", BYSTANDER)
    trio.die(2, "b.2")
    _serve(trio, 0, "b.3", BYSTANDER)


def test_a_death_with_its_node_is_told_by_the_entry() -> None:
    driver = builders.CoreDriver()
    driver.configure()
    driver.learn_peer("n1")
    (lost,) = _arrive(driver, "lost", POISON)
    (found,) = _arrive(driver, "found", "another")
    _fail(driver, lost, node.RunState.MAY_HAVE_RUN, node.Reason.ANSWER_LOST)
    assert not driver.state.quarantine.is_suspect(
        ids.Fingerprint(POISON), driver.now
    )
    # Another call finds that the node is gone, not its server alone.
    _fail(driver, found, node.RunState.NOT_RUN, node.Reason.PEER_UNREACHABLE)
    assert driver.state.quarantine.is_suspect(
        ids.Fingerprint(POISON), driver.now
    )
    assert not driver.state.quarantine.is_suspect(
        ids.Fingerprint("another"), driver.now
    )


def _arrive(
    driver: builders.CoreDriver, call: str, name: str
) -> list[node.Command]:
    return driver.submit(
        node.CallArrived(
            call=ids.CallId(call),
            host="shop.example",
            method="POST",
            path="/orders",
            deadline_s=None,
            is_body_buffered=True,
            fingerprint=ids.Fingerprint(name),
        )
    )


def _fail(
    driver: builders.CoreDriver,
    sent: node.Command,
    run: node.RunState,
    reason: node.Reason,
) -> None:
    assert isinstance(sent, node.SendToPeer)
    driver.submit(
        node.AttemptFailed(
            call=sent.call,
            attempt=sent.attempt,
            run=run,
            reason=reason,
            load=None,
            is_body_consumed=False,
        )
    )


FINGERPRINTS = strategies.sampled_from([ids.Fingerprint(c) for c in "ab"])
DEATHS = strategies.frozensets(
    strategies.sampled_from([ids.DeathId(c) for c in "xyz"])
)
SUSPICIONS = strategies.builds(
    _quarantine.Suspicion,
    fingerprint=FINGERPRINTS,
    deaths=DEATHS,
    cleared=DEATHS,
)


@hypothesis.given(strategies.lists(SUSPICIONS))
def test_what_is_told_twice_changes_nothing(
    told: list[_quarantine.Suspicion],
) -> None:
    quarantine = _quarantine.Quarantine()
    for suspicion in told:
        quarantine.record_suspicions([suspicion], NOW)
        assert quarantine.record_suspicions([suspicion], NOW) == ()


def test_state_is_bounded_and_says_what_it_dropped() -> None:
    quarantine = _quarantine.Quarantine()
    for number in range(_quarantine.MAX_SUSPECTS + 5):
        fingerprint = ids.Fingerprint(str(number))
        quarantine.record_death(ids.DeathId("d"), [fingerprint], NOW)
    assert len(quarantine) == _quarantine.MAX_SUSPECTS
    assert quarantine.dropped == 5
