"""Requests that crash backend servers: detected, refused and released."""

import hypothesis
from hypothesis import strategies
from marjoramledge_core import _quarantine
from marjoramledge_core import _suspicions
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _wire
from marjoramledge_standins import builders
from marjoramledge_standins import virtual_network

POISON = "poison"
BYSTANDER = "bystander"
NOW = 100.0
AGE_S = 3.0


class _Cluster:
    """Three nodes, each with a local server, that exchange messages."""

    def __init__(self) -> None:
        self.drivers = [builders.CoreDriver(name=f"n{i}") for i in range(3)]
        for driver in self.drivers:
            driver.configure()
            driver.submit(node.ServerAnnounced(server=builders.build_server()))
        for driver in self.drivers:
            members = [other.state.membership.myself for other in self.drivers]
            driver.submit(node.MembersReceived(members=tuple(members)))
        for number in range(3):
            self.ramp_up(number)

    def ramp_up(self, number: int) -> None:
        """Serve calls until the gate has ramped its limit up."""
        for step in range(8):
            attempt = f"warm{number}-{step}"
            assert self.offer(number, attempt, "warm")
            self.end(number, attempt, node.ServerOutcome.ANSWERED)

    def offer(self, number: int, attempt: str, name: str) -> bool:
        """Offer a request to a gate; return whether it starts."""
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
        """End a request at a gate with an outcome."""
        self.submit(
            number,
            node.WorkEnded(
                attempt=ids.AttemptId(attempt), outcome=outcome, head_s=0.01
            ),
        )

    def crash_server(self, number: int, *attempts: str) -> None:
        """Crash a gate's server while it runs requests, and restart it."""
        for attempt in attempts:
            self.end(number, attempt, node.ServerOutcome.ABORTED)
        self.submit(number, node.ProbeEnded(is_healthy=False, elapsed_s=0.01))
        self.submit(
            number, node.ServerAnnounced(server=builders.build_server())
        )
        self.ramp_up(number)

    def submit(self, number: int, event: node.Event) -> list[node.Command]:
        """Submit an event to a node, and deliver the messages it sends."""
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


def _serve(cluster: _Cluster, number: int, attempt: str, name: str) -> None:
    assert cluster.offer(number, attempt, name)
    cluster.end(number, attempt, node.ServerOutcome.ANSWERED)


def test_a_request_that_crashes_two_servers_is_quarantined() -> None:
    cluster = _Cluster()
    assert cluster.offer(0, "p.0", POISON)
    cluster.crash_server(0, "p.0")
    assert cluster.offer(1, "q.0", POISON)
    cluster.crash_server(1, "q.0")
    assert not cluster.offer(2, "r.0", POISON)
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
        (refusal,) = cluster.submit(number, arrived)
        assert isinstance(refusal, node.RefuseCall)
        assert refusal.reason is node.Reason.QUARANTINED
        assert refusal.run is node.RunState.NOT_RUN
        assert refusal.retry_after_s
    # The caller's other requests on the same path are served.
    _serve(cluster, 2, "other.0", "another")
    for driver in cluster.drivers:
        driver.now += _suspicions.QUARANTINE_S + 1
    assert cluster.offer(2, "s.0", POISON)


# Guards against a fatal request that keeps coming and, each time that its
# quarantine has ended, crashes two further servers (review: 300 s).
def test_a_fatal_request_that_keeps_coming_reaches_few_servers() -> None:
    cluster = _Cluster()
    crashed_at = []
    for step in range(720):
        for driver in cluster.drivers:
            driver.now = NOW + 10.0 * step
        number = step % 3
        if cluster.offer(number, f"p.{step}", POISON):
            crashed_at.append(10.0 * step)
            cluster.crash_server(number, f"p.{step}")
    # More than three after the third would break a rule of the users' pages.
    assert 3 <= len(crashed_at) <= 5


# Guards against a long quarantine of a request that ran at many servers which
# ended together: only deaths after its release lengthen it.
def test_deaths_at_the_same_time_do_not_lengthen_a_quarantine() -> None:
    quarantine = _quarantine.Quarantine()
    poison = ids.Fingerprint(POISON)
    for number in range(6):
        quarantine.record_death(ids.DeathId(str(number)), [poison], NOW)
    assert quarantine.remaining_s(poison, NOW) == _suspicions.QUARANTINE_S
    later = NOW + _suspicions.QUARANTINE_S + 1
    assert quarantine.remaining_s(poison, later) is None
    assert quarantine.clear_answered(poison, later)
    assert not quarantine.is_suspect(poison, later)


def test_requests_that_ran_beside_a_fatal_one_are_not_quarantined() -> None:
    cluster = _Cluster()
    assert cluster.offer(0, "p.0", POISON)
    assert cluster.offer(0, "b.0", BYSTANDER)
    cluster.crash_server(0, "p.0", "b.0")
    # Both are suspects now; a gate runs only one suspect at a time.
    assert cluster.offer(1, "p.1", POISON)
    assert not cluster.offer(1, "b.1", BYSTANDER)
    assert cluster.offer(1, "fresh.0", "fresh")
    cluster.crash_server(1, "fresh.0", "p.1")
    _serve(cluster, 2, "b.2", BYSTANDER)
    _serve(cluster, 0, "b.3", BYSTANDER)
    _serve(cluster, 1, "fresh.1", "fresh")
    assert not cluster.offer(2, "p.2", POISON)


def test_a_request_of_aborted_calls_is_cleared_by_healthy_probes() -> None:
    cluster = _Cluster()
    for number, attempt in ((0, "a.0"), (1, "a.1")):
        assert cluster.offer(number, attempt, BYSTANDER)
        cluster.end(number, attempt, node.ServerOutcome.ABORTED)
    # Two calls aborted, and no probe has found the servers healthy since: the
    # request is not run a third time.
    assert not cluster.offer(2, "a.2", BYSTANDER)
    for number in (0, 1):
        cluster.submit(
            number, node.ProbeEnded(is_healthy=True, elapsed_s=0.01)
        )
    _serve(cluster, 2, "a.3", BYSTANDER)


# Guards against a fatal request that reaches a third server: after a false
# alarm, a gate reports a death only once a probe has confirmed it.
def test_after_a_false_alarm_a_death_is_reported_when_a_probe_fails() -> None:
    cluster = _Cluster()
    for number in (0, 1):
        assert cluster.offer(number, f"a.{number}", f"lost {number}")
        cluster.end(number, f"a.{number}", node.ServerOutcome.ABORTED)
        cluster.submit(
            number, node.ProbeEnded(is_healthy=True, elapsed_s=0.01)
        )
    assert cluster.offer(0, "p.0", POISON)
    cluster.end(0, "p.0", node.ServerOutcome.ABORTED)
    fingerprint = ids.Fingerprint(POISON)
    other = cluster.drivers[2]
    assert not other.state.quarantine.is_suspect(fingerprint, other.now)
    cluster.submit(0, node.ProbeEnded(is_healthy=False, elapsed_s=0.01))
    assert other.state.quarantine.is_suspect(fingerprint, other.now)
    assert cluster.offer(1, "q.0", POISON)
    cluster.crash_server(1, "q.0")
    assert not cluster.offer(2, "r.0", POISON)


def test_an_answer_clears_a_suspect_on_all_nodes() -> None:
    cluster = _Cluster()
    assert cluster.offer(0, "b.0", BYSTANDER)
    cluster.crash_server(0, "b.0")
    _serve(cluster, 1, "b.1", BYSTANDER)
    assert cluster.offer(2, "b.2", BYSTANDER)
    cluster.crash_server(2, "b.2")
    _serve(cluster, 0, "b.3", BYSTANDER)


# Guards against a good request that is refused everywhere: two servers are
# killed at about the same time, and both run the request that most callers
# make.  Each had answered it before, so it was not what ended them.
def test_a_request_that_the_dead_servers_had_answered_is_not_blamed() -> None:
    cluster = _Cluster()
    for number in range(2):
        _serve(cluster, number, f"before.{number}", "frequent")
        assert cluster.offer(number, f"lost.{number}", "frequent")
    for number in range(2):
        cluster.crash_server(number, f"lost.{number}")
    _serve(cluster, 2, "after.0", "frequent")


# A restarted server may run other software, so answers of the one before it
# prove nothing.
def test_answers_of_an_earlier_start_do_not_clear_a_request() -> None:
    cluster = _Cluster()
    for number in range(2):
        _serve(cluster, number, f"before.{number}", POISON)
    for number in range(2):
        cluster.crash_server(number)
        assert cluster.offer(number, f"lost.{number}", POISON)
        cluster.crash_server(number, f"lost.{number}")
    assert not cluster.offer(2, "after.0", POISON)


# Guards against a third crash: a server that sheds a suspect has not run it.
def test_a_suspect_that_is_shed_stays_suspected() -> None:
    cluster = _Cluster()
    assert cluster.offer(0, "p.0", POISON)
    cluster.crash_server(0, "p.0")
    assert cluster.offer(1, "p.1", POISON)
    cluster.end(1, "p.1", node.ServerOutcome.SHED)
    assert cluster.offer(1, "p.2", POISON)
    cluster.crash_server(1, "p.2")
    assert not cluster.offer(2, "p.3", POISON)


def test_the_entry_blames_no_request_that_was_answered_just_before() -> None:
    driver = builders.CoreDriver()
    driver.configure()
    driver.learn_peer("n1")
    (answered,) = _arrive(driver, "before", "frequent")
    assert isinstance(answered, node.SendToPeer)
    driver.submit(
        node.AttemptAnswered(
            call=answered.call,
            attempt=answered.attempt,
            is_error=False,
            load=None,
        )
    )
    (lost,) = _arrive(driver, "lost", "frequent")
    (unreachable,) = _arrive(driver, "found", "another")
    _fail_attempt(
        driver, lost, node.RunState.MAY_HAVE_RUN, node.Reason.ANSWER_LOST
    )
    _fail_attempt(
        driver,
        unreachable,
        node.RunState.NOT_RUN,
        node.Reason.PEER_UNREACHABLE,
    )
    assert not driver.state.quarantine.is_suspect(
        ids.Fingerprint("frequent"), driver.now
    )


def test_the_entry_reports_a_server_that_died_with_its_node() -> None:
    driver = builders.CoreDriver()
    driver.configure()
    driver.learn_peer("n1")
    (aborted,) = _arrive(driver, "lost", POISON)
    (unreachable,) = _arrive(driver, "found", "another")
    _fail_attempt(
        driver, aborted, node.RunState.MAY_HAVE_RUN, node.Reason.ANSWER_LOST
    )
    assert not driver.state.quarantine.is_suspect(
        ids.Fingerprint(POISON), driver.now
    )
    # Another call shows that the whole node is gone, not only its server.
    _fail_attempt(
        driver,
        unreachable,
        node.RunState.NOT_RUN,
        node.Reason.PEER_UNREACHABLE,
    )
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


def _fail_attempt(
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
def test_repeated_suspicions_change_nothing(
    suspicions: list[_quarantine.Suspicion],
) -> None:
    quarantine = _quarantine.Quarantine()
    for suspicion in suspicions:
        quarantine.record_suspicions([suspicion], NOW)
        assert quarantine.record_suspicions([suspicion], NOW) == ()


def test_suspects_are_bounded_and_drops_are_counted() -> None:
    quarantine = _quarantine.Quarantine()
    for number in range(_quarantine.MAX_SUSPECTS + 5):
        fingerprint = ids.Fingerprint(str(number))
        quarantine.record_death(ids.DeathId("d"), [fingerprint], NOW)
    assert len(quarantine) == _quarantine.MAX_SUSPECTS
    assert quarantine.dropped == 5


def _learn_of_poison(deaths: int) -> node.MembersReceived:
    """Build a peer's view with a request that ran at some deaths."""
    known = _quarantine.Quarantine()
    for number in range(deaths):
        death = ids.DeathId(f"n{number}#1")
        known.record_death(death, [ids.Fingerprint(POISON)], NOW)
    suspicions = known.list_suspicions(NOW + AGE_S)
    encoded = _wire.encode_members([], suspicions)
    return _wire.decode_members(encoded).unwrap()


# Guards against a request that crashes further servers after each restart of a
# node, which forgot that it is fatal (review, case 5).
def test_a_restarted_node_learns_which_requests_are_fatal() -> None:
    cluster = _Cluster()
    cluster.submit(0, _learn_of_poison(deaths=2))
    assert not cluster.offer(0, "a", POISON)
    assert cluster.offer(0, "b", BYSTANDER)


# Guards against a suspect that is run beside another one after a restart.
def test_a_restarted_node_learns_of_suspects() -> None:
    cluster = _Cluster()
    cluster.submit(0, _learn_of_poison(deaths=1))
    quarantine = cluster.drivers[0].state.quarantine
    assert quarantine.is_suspect(ids.Fingerprint(POISON), NOW)


# Guards against a quarantine that never ends, since nodes tell it each other
# again and again.
def test_a_quarantine_that_is_passed_on_ends_when_the_first_one_does() -> None:
    views = [_quarantine.Quarantine() for _ in range(3)]
    for number in range(2):
        death = ids.DeathId(f"n{number}#1")
        views[0].record_death(death, [ids.Fingerprint(POISON)], NOW)
    now = NOW
    while now < NOW + 3 * _suspicions.QUARANTINE_S:
        for one, other in ((0, 1), (1, 2), (2, 0)):
            told = views[one].list_suspicions(now)
            views[other].record_suspicions(told, now)
        now += 7.0
        is_over = now > NOW + _suspicions.QUARANTINE_S
        for view in views:
            left_s = view.remaining_s(ids.Fingerprint(POISON), now)
            assert (left_s is None) is is_over


# Guards against a restarted fleet: those who know tell all others.
def test_fatal_requests_are_known_after_all_but_one_node_restart() -> None:
    network = virtual_network.Network(count=9, seed=1)
    network.run(5.0)
    knowing = network.nodes[network.address(0)]
    for number in range(2):
        death = ids.DeathId(f"n{number}#1")
        fingerprints = [ids.Fingerprint(POISON)]
        knowing.quarantine.record_death(death, fingerprints, network.now)
    for number in range(1, 9):
        network.kill(number)
        network.start(number, 10**12)
    network.run(60.0)
    for state in network.nodes.values():
        left_s = state.quarantine.remaining_s(
            ids.Fingerprint(POISON), network.now
        )
        assert left_s is not None
