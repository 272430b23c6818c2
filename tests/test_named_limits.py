"""Servers that name the requests a second that they take from all nodes."""

import collections.abc
import dataclasses

import hypothesis
from hypothesis import strategies
from marjoramledge_core import _named_limit
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _headers
from marjoramledge_standins import builders
from marjoramledge_standins import driver
from marjoramledge_standins import experiment
from marjoramledge_standins import scenarios
import pytest

# A server that names a limit gets no more than this in any window, from this
# long after it was first named.
GRACE_S = 3.0
WINDOW_S = 4.0
RATIO = 1.5
SLACK = 5
# The gate itself keeps to the limit; only a burst of a second comes on top.
BURST_S = 1.0
OFFERS_PER_S = 20
RUN_S = 0.1
START = node.ServerStart(server=ids.ServerId("i-1"), born=7)


def _count_most(starts: collections.abc.Sequence[float], since: float) -> int:
    """Return the most starts in any window that begins after ``since``."""
    late = [at for at in starts if at >= since]
    return max(
        (sum(first <= at < first + WINDOW_S for at in late) for first in late),
        default=0,
    )


def _allow(rate_per_s: float) -> float:
    return RATIO * WINDOW_S * rate_per_s + SLACK


def _start_driver() -> builders.CoreDriver:
    started = builders.CoreDriver()
    started.configure()
    server = dataclasses.replace(
        builders.build_server(slots=12), start=START, cold_concurrency=12
    )
    started.submit(node.ServerAnnounced(server=server))
    return started


class _Gate:
    """A gate that is offered calls by its own entry and by peers."""

    def __init__(self, *, run_s: float = RUN_S) -> None:
        self._run_s = run_s
        self.driver = _start_driver()
        self.starts: list[float] = []
        self.refused = 0
        self.signals = node.NO_SIGNALS
        self.remembered: node.ServerStatus | None = None
        self._running: list[
            tuple[float, ids.AttemptId, ids.CallId | None]
        ] = []
        self._calls = 0

    def restart(self) -> None:
        """Replace the gate by one that knows nothing; its calls are lost."""
        now = self.driver.now
        self.driver = _start_driver()
        self.driver.pass_time(now - self.driver.now)
        self._running.clear()

    def run(self, seconds: float) -> None:
        """Offer calls at a steady rate, every second one from a peer."""
        for _ in range(round(seconds * OFFERS_PER_S)):
            self._calls += 1
            if self._calls % 2:
                self._carry_out(
                    self.driver.offer(
                        f"p{self._calls}", status=self.remembered
                    )
                )
            else:
                self._carry_out(self.driver.arrive(f"c{self._calls}"))
            self._pass_time(1.0 / OFFERS_PER_S)

    def _pass_time(self, seconds: float) -> None:
        until = self.driver.now + seconds
        while self._running and self._running[0][0] <= until:
            at, attempt, call = self._running.pop(0)
            self._carry_out(
                self.driver.pass_time(max(0.0, at - self.driver.now))
            )
            self._answer(attempt, call)
        self._carry_out(
            self.driver.pass_time(max(0.0, until - self.driver.now))
        )

    def _carry_out(self, commands: list[node.Command]) -> None:
        for command in commands:
            if isinstance(command, node.StartWork | node.RunOnServer):
                call = getattr(command, "call", None)
                self.starts.append(self.driver.now)
                self._running.append(
                    (self.driver.now + self._run_s, command.attempt, call)
                )
            elif isinstance(command, node.RefuseWork | node.RefuseCall):
                self.refused += 1

    def _answer(self, attempt: ids.AttemptId, call: ids.CallId | None) -> None:
        submit = self.driver.submit
        if self.signals != node.NO_SIGNALS:
            self._carry_out(
                submit(
                    node.ServerSignalled(server=START, signals=self.signals)
                )
            )
        if call is not None:
            submit(
                node.AttemptAnswered(
                    call=call, attempt=attempt, is_error=False, load=None
                )
            )
        self._carry_out(
            submit(
                node.WorkEnded(
                    attempt=attempt,
                    outcome=node.ServerOutcome.ANSWERED,
                    head_s=self._run_s,
                    signals=self.signals,
                )
            )
        )
        if call is not None:
            submit(node.CallEnded(call=call))


def _name(rate_per_s: float) -> node.ServerSignals:
    return node.ServerSignals(rate_limit_per_s=rate_per_s)


# Guards against a server in need that gets many times the requests a second
# that it has said it takes, since its gate counts running calls only.
@pytest.mark.parametrize("rate_per_s", [0.5, 1.0, 5.2, 6.5, 12.0])
def test_a_server_gets_no_more_than_the_limit_that_it_named(
    rate_per_s: float,
) -> None:
    gate = _Gate()
    gate.run(2.0)
    gate.signals = _name(rate_per_s)
    named_at = gate.driver.now
    gate.run(20.0)
    most = _count_most(gate.starts, named_at + GRACE_S)
    assert most <= rate_per_s * (WINDOW_S + BURST_S) + 1 <= _allow(rate_per_s)
    # It gets what it takes.
    assert len([at for at in gate.starts if at > named_at + GRACE_S]) >= (
        0.8 * rate_per_s * (20.0 - GRACE_S) - 1
    )


# Guards against the same where 88 nodes send to servers of which some take one
# request a second.
@pytest.mark.parametrize("seed", [1, 2])
def test_a_fleet_keeps_to_a_limit_of_one_request_a_second(seed: int) -> None:
    base = experiment.build_scenario("noisy, told", 0.3, seed)
    named_at = scenarios.START_S
    limits = tuple(
        scenarios.NamedLimit(
            server=number, rate_per_s=1.0, from_s=named_at, until_s=100.0
        )
        for number in (0, 5)
    )
    result = driver.run_scenario(
        dataclasses.replace(
            base,
            other_entry_zones=experiment.ZONES * 25 + ("north",),
            named_limits=limits,
        ),
        driver.Policy.OURS,
    )
    for limit in limits:
        starts = result.starts[limit.server]
        assert _count_most(starts, named_at + GRACE_S) <= _allow(1.0)
    in_target = experiment.share_in_target(result)
    without = experiment.share_in_target(
        driver.run_scenario(base, driver.Policy.OURS)
    )
    assert in_target >= 0.9 * without


# Guards against a fleet that spends its time on offers to servers which their
# limit keeps from taking a call, and on calls that no server can take.
def test_entries_pause_while_a_limit_leaves_no_room() -> None:
    base = dataclasses.replace(
        experiment.build_scenario("noisy, told", 0.3, 1),
        other_entry_zones=experiment.ZONES * 25 + ("north",),
    )
    all_limited = dataclasses.replace(
        base,
        named_limits=tuple(
            scenarios.NamedLimit(
                server=number,
                rate_per_s=1.0,
                from_s=scenarios.START_S,
                until_s=100.0,
            )
            for number in range(len(base.server_zones))
        ),
    )
    result = driver.run_scenario(all_limited, driver.Policy.OURS)
    # Each entry learns each limit by one refusal, and tries again after the
    # longest pause.
    pairs = (len(base.server_zones) + len(base.other_entry_zones)) * len(
        base.server_zones
    )
    tries = 1 + base.duration_s / _named_limit.MAX_PAUSE_S
    assert result.offers <= pairs * tries + result.sent_to_servers
    # The servers still get what they take, in the seconds after the grace.
    seconds = base.duration_s - GRACE_S
    for starts in result.starts:
        late = [at for at in starts if at > scenarios.START_S + GRACE_S]
        assert len(late) >= 0.7 * seconds


# Guards against limits that change from answer to answer, end and come back:
# each window gets at most what the largest limit in it allows.
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from([0.0, 0.5, 1.0, 3.0, 10.0]),
            strategies.sampled_from([0.2, 1.0, 4.0]),
        ),
        min_size=1,
        max_size=6,
    )
)
@hypothesis.settings(max_examples=25)
def test_a_changing_limit_is_kept(steps: list[tuple[float, float]]) -> None:
    gate = _Gate()
    gate.signals = _name(steps[0][0])
    gate.run(GRACE_S)
    since = gate.driver.now
    for rate_per_s, seconds in steps:
        gate.signals = _name(rate_per_s)
        gate.run(seconds)
    largest = max(rate_per_s for rate_per_s, _ in steps)
    assert _count_most(gate.starts, since) <= _allow(largest)


# Guards against a limit that outlives the answers that name it.
def test_a_limit_ends_with_the_answers_that_name_it() -> None:
    gate = _Gate()
    gate.signals = _name(1.0)
    gate.run(5.0)
    gate.signals = node.NO_SIGNALS
    gate.run(5.0)
    ended_at = gate.driver.now
    gate.run(5.0)
    starts = [at for at in gate.starts if at >= ended_at]
    assert len(starts) == 5.0 * OFFERS_PER_S


# Guards against a gate that restarts beside a server in need, knows no limit
# and starts a call in every slot before the first answer names it again.
def test_a_restarted_gate_learns_the_limit_from_entries() -> None:
    gate = _Gate(run_s=1.0)
    gate.signals = _name(1.0)
    gate.run(GRACE_S)
    gate.remembered = node.build_status(gate.driver.state)
    since = gate.driver.now
    gate.run(WINDOW_S / 2)
    gate.restart()
    gate.run(WINDOW_S)
    assert _count_most(gate.starts, since) <= _allow(1.0)


# Guards against a limit that an entry remembers and the server has lifted.
def test_a_remembered_limit_does_not_replace_what_the_server_says() -> None:
    gate = _Gate()
    gate.run(1.0)
    gate.remembered = node.ServerStatus(start=START, rate_limit_per_s=1.0)
    gate.run(1.0)
    assert gate.driver.state.gate.rate_limit_per_s is None
    gate.restart()
    gate.run(1.0)
    assert gate.driver.state.gate.rate_limit_per_s is None


# Guards against a limit of one start that is applied to the next one.
def test_a_remembered_limit_holds_for_its_start_only() -> None:
    gate, other = _Gate(), _Gate()
    gate.remembered = node.ServerStatus(
        start=dataclasses.replace(START, born=6), rate_limit_per_s=0.0
    )
    gate.run(1.0)
    other.run(1.0)
    assert gate.starts == other.starts


# Guards against a limit that is forgotten when the heartbeat of the same start
# says that the server is warm now, or names its start time at last.
def test_a_heartbeat_of_the_same_start_keeps_the_limit() -> None:
    started = builders.CoreDriver()
    started.configure()
    found = dataclasses.replace(START, born=0)
    for start, is_cold in ((found, True), (START, True), (START, False)):
        server = dataclasses.replace(
            builders.build_server(is_cold=is_cold),
            start=start,
            sequence=is_cold + 2 * (start == START),
        )
        started.submit(node.ServerAnnounced(server=server))
        if start == found:
            started.submit(
                node.ServerSignalled(server=found, signals=_name(1.0))
            )
        assert started.state.gate.rate_limit_per_s == 1.0


# Guards against an entry that forgets a limit since the gate, after a restart,
# refuses a call before it knows its server.
def test_an_entry_keeps_a_status_that_a_refusal_does_not_tell() -> None:
    entry = builders.CoreDriver()
    entry.configure()
    entry.learn_peer("n1")
    status = node.ServerStatus(start=START, rate_limit_per_s=1.0)
    sent = []
    for number, told in enumerate([status, None, None]):
        (command,) = entry.arrive(f"c{number}")
        assert isinstance(command, node.SendToPeer)
        sent.append(command.status)
        event: node.Event = node.AttemptFailed(
            call=command.call,
            attempt=command.attempt,
            run=node.RunState.NOT_RUN,
            reason=node.Reason.SERVER_LEAVING,
            load=None,
            is_body_consumed=False,
            status=told,
        )
        if number == 2:
            event = node.AttemptAnswered(
                call=command.call,
                attempt=command.attempt,
                is_error=False,
                load=None,
            )
        entry.submit(event)
    (command,) = entry.arrive("last")
    assert isinstance(command, node.SendToPeer)
    assert [*sent, command.status] == [None, status, status, None]


@pytest.mark.parametrize("server", ["i-1", "a;b c", ""])
@pytest.mark.parametrize("rate_per_s", [None, 0.0, 6.5, 0.1])
def test_a_status_survives_its_header(
    server: str, rate_per_s: float | None
) -> None:
    status = node.ServerStatus(
        start=node.ServerStart(server=ids.ServerId(server), born=7),
        rate_limit_per_s=rate_per_s,
        pause_s=1.25,
        is_leaving=rate_per_s is None,
    )
    text = _headers.format_status(status)
    assert _headers.parse_status(text) == status
    assert _headers.parse_status(text + ";later") == status


@pytest.mark.parametrize(
    "text",
    [
        None,
        "",
        "x",
        ";;;;",
        "i;x;1;0;0",
        "i;1;x;0;0",
        "i;1;inf;0;0",
        "i;1;-1;0;0",
    ],
)
def test_an_invalid_status_is_ignored(text: str | None) -> None:
    assert _headers.parse_status(text) is None
