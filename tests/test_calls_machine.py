"""Calls over several cores against an oracle of what each server ran.

Three nodes, each an entry and a gate with a server, exchange offers, refusals
and answers that the machine delays, loses and delivers in any order, while
servers fail, shed, crash, drain and come back, nodes die and start again, a
zone is evacuated and callers leave.  The oracle is a dictionary of how often
each request was begun by a server.
"""

import collections
import dataclasses
import enum
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders

NAMES = ("n0", "n1", "n2")
ZONES = {"n0": "north", "n1": "north", "n2": "south"}
_NAME = strategies.sampled_from(NAMES)
_PICK = strategies.integers(min_value=0, max_value=1000)
_PICKS = strategies.lists(_PICK, min_size=1, max_size=4)
# Disturbances that end much at once come seldom, or nothing else happens.
_IS_DUE = strategies.integers(min_value=0, max_value=4).map(lambda n: n == 0)


class _End(enum.Enum):
    """What becomes of a request that a server has been sent."""

    ANSWERED = "answered"
    FAILED = "answered with a failure"
    SHED = "refused by the server, not begun"
    LOST = "begun, its answer lost"


@dataclasses.dataclass(kw_only=True)
class _Call:
    entry: str
    incarnation: int
    is_repeatable: bool
    final: str | None = None
    is_left: bool = False


@dataclasses.dataclass(kw_only=True, eq=False)
class _Offer:
    """An attempt between an entry and the gate of another node."""

    call: str
    attempt: str
    entry: str
    gate: str
    kind: node.SendToPeer
    is_delivered: bool = False
    is_wanted: bool = True


@dataclasses.dataclass(kw_only=True, eq=False)
class _Run:
    """A request at a server; ``offer`` is None where its entry is here."""

    call: str
    attempt: str
    gate: str
    offer: _Offer | None


class CallsMachine(stateful.RuleBasedStateMachine):
    """The world round three cores."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.rng = random.Random(1)
        self.version = 1
        self.incarnations = collections.Counter[str]()
        self.nodes: dict[str, node.NodeState] = {}
        self.calls: dict[str, _Call] = {}
        self.offers: list[_Offer] = []
        self.runs: list[_Run] = []
        self.begun = collections.Counter[str]()
        self.closed_zone = ""
        for name in NAMES:
            self._start(name)

    @stateful.rule(
        name=_NAME,
        repeatable=strategies.lists(
            strategies.booleans(), min_size=1, max_size=4
        ),
    )
    def callers_send(self, name: str, repeatable: list[bool]) -> None:
        """Let callers' requests come in at a node."""
        for is_repeatable in repeatable:
            self._send(name, is_repeatable)

    def _send(self, name: str, is_repeatable: bool) -> None:
        call = f"c{len(self.calls)}"
        self.calls[call] = _Call(
            entry=name,
            incarnation=self.incarnations[name],
            is_repeatable=is_repeatable,
        )
        self._submit(
            name,
            node.CallArrived(
                call=ids.CallId(call),
                host="shop.example",
                method="GET" if is_repeatable else "POST",
                path="/pages/1" if is_repeatable else "/orders",
                deadline_s=2.0,
                is_body_buffered=True,
                fingerprint=ids.Fingerprint(call),
            ),
        )

    @stateful.rule(picks=_PICKS)
    def offers_arrive(self, picks: list[int]) -> None:
        """Deliver offers; their entry may have given them up meanwhile."""
        for pick in picks:
            self._deliver(pick)

    def _deliver(self, pick: int) -> None:
        waiting = [offer for offer in self.offers if not offer.is_delivered]
        if not waiting:
            return
        offer = waiting[pick % len(waiting)]
        offer.is_delivered = True
        command = offer.kind
        self._submit(
            offer.gate,
            node.WorkOffered(
                attempt=command.attempt,
                host="shop.example",
                method="",
                path="",
                deadline_s=command.deadline_at - self.now,
                prefers_queueing=command.prefers_queueing,
                fingerprint=ids.Fingerprint(offer.call),
                service=command.service,
                kind=command.kind,
            ),
        )

    @stateful.rule(pick=_PICK, is_sent=strategies.booleans())
    def connection_breaks(self, pick: int, is_sent: bool) -> None:
        """Break the connection of an offer, before or after it was sent."""
        if not self.offers:
            return
        offer = self.offers[pick % len(self.offers)]
        is_sent = is_sent or offer.is_delivered
        if not is_sent:
            self.offers.remove(offer)
        self._fail(
            offer,
            node.RunState.MAY_HAVE_RUN if is_sent else node.RunState.NOT_RUN,
            node.Reason.ANSWER_LOST
            if is_sent
            else node.Reason.PEER_UNREACHABLE,
        )
        if is_sent:
            self._abandon(offer)

    @stateful.rule(
        ends=strategies.lists(
            strategies.tuples(_PICK, strategies.sampled_from(_End)),
            min_size=1,
            max_size=4,
        )
    )
    def servers_end(self, ends: list[tuple[int, _End]]) -> None:
        """Let servers end requests, for good or ill."""
        for pick, end in ends:
            self._end(pick, end)

    def _end(self, pick: int, end: _End) -> None:
        if not self.runs:
            return
        run = self.runs[pick % len(self.runs)]
        self.runs.remove(run)
        if end is _End.SHED:
            # It was counted when it was sent; the server did not begin it.
            self.begun[run.call] -= 1
        if run.offer is None:
            self._end_here(run, end)
        else:
            self._end_there(run, run.offer, end)

    @stateful.rule(name=_NAME, is_due=_IS_DUE)
    def server_crashes(self, name: str, is_due: bool) -> None:
        """Let a server die under all that it runs."""
        if not is_due:
            return
        for run in [run for run in self.runs if run.gate == name]:
            self.runs.remove(run)
            if run.offer is None:
                self._end_here(run, _End.LOST)
            else:
                self._end_there(run, run.offer, _End.LOST)
        self._submit(name, node.ProbeEnded(is_healthy=False, elapsed_s=0.001))

    @stateful.rule(name=_NAME, is_cold=strategies.booleans())
    def server_announces(self, name: str, is_cold: bool) -> None:
        """Let a server announce itself, cold or warm."""
        self._submit(
            name,
            node.ServerAnnounced(
                server=builders.build_server(is_cold=is_cold, slots=2)
            ),
        )

    @stateful.rule(name=_NAME, is_due=_IS_DUE)
    def server_drains(self, name: str, is_due: bool) -> None:
        """Let a server say that it is leaving."""
        if not is_due:
            return
        self._submit(name, node.ServerDraining())

    @stateful.rule(name=_NAME, is_due=_IS_DUE)
    def node_dies_and_starts(self, name: str, is_due: bool) -> None:
        """Kill a node; its connections break, and a new one starts."""
        if not is_due:
            return
        for run in [run for run in self.runs if run.gate == name]:
            self.runs.remove(run)
        lost = [o for o in self.offers if name in (o.entry, o.gate)]
        for offer in lost:
            self.offers.remove(offer)
            if offer.entry == name:
                self._abandon(offer)
        self._start(name)
        for offer in lost:
            if offer.gate == name and offer.entry != name:
                self._fail(
                    offer,
                    node.RunState.MAY_HAVE_RUN,
                    node.Reason.ANSWER_LOST,
                )

    @stateful.rule(
        zone=strategies.sampled_from(["", "north", "south"]), is_due=_IS_DUE
    )
    def operator_changes_zones(self, zone: str, is_due: bool) -> None:
        """Put a configuration in force that closes a zone, or none."""
        if not is_due:
            return
        self.version += 1
        self.closed_zone = zone
        for name in NAMES:
            self._configure(name)

    @stateful.rule(pick=_PICK)
    def caller_leaves(self, pick: int) -> None:
        """Let a caller hang up."""
        waiting = [
            (name, call)
            for name, call in self.calls.items()
            if self._is_waiting(call)
        ]
        if not waiting:
            return
        name, call = waiting[pick % len(waiting)]
        call.is_left = True
        self._submit(
            call.entry, node.CallerDisconnected(call=ids.CallId(name))
        )

    @stateful.rule(
        seconds=strategies.sampled_from([0.001, 0.05, 0.3, 1.0, 2.5])
    )
    def time_passes(self, seconds: float) -> None:
        """Let time pass, waking every node when it wants to be."""
        until = self.now + seconds
        while True:
            due = [
                (wakeup, name)
                for name, state in self.nodes.items()
                if (wakeup := node.next_wakeup(state)) is not None
                and wakeup <= until
            ]
            if not due:
                break
            wakeup, name = min(due)
            self.now = max(self.now, wakeup)
            self._submit(name, node.TimePassed())
        self.now = until

    @stateful.invariant()
    def nothing_runs_twice_that_must_not(self) -> None:
        """Check the promise of at most once."""
        for name, call in self.calls.items():
            assert call.is_repeatable or self.begun[name] <= 1, name

    @stateful.invariant()
    def what_was_refused_has_not_run(self) -> None:
        """Check that a refusal as not run is true, and stays so."""
        for name, call in self.calls.items():
            if call.final == node.RunState.NOT_RUN.value:
                assert self.begun[name] == 0, name

    def teardown(self) -> None:
        """Check that every caller that waited has had an answer."""
        self.time_passes(10.0)
        for name, call in self.calls.items():
            assert not self._is_waiting(call), f"{name} has no answer"
        self.nothing_runs_twice_that_must_not()
        self.what_was_refused_has_not_run()

    def _is_waiting(self, call: _Call) -> bool:
        is_alive = call.incarnation == self.incarnations[call.entry]
        return is_alive and call.final is None and not call.is_left

    def _start(self, name: str) -> None:
        self.incarnations[name] += 1
        self.nodes[name] = node.create_state(
            identity=node.Identity(
                node=ids.NodeId(name),
                address=node.Address(
                    host="127.0.0.1", port=7000 + int(name[1:])
                ),
                zone=ids.ZoneName(ZONES[name]),
                incarnation=self.incarnations[name],
            ),
            seeds=(),
            options=node.Options(stop_limit_s=30.0),
            now=self.now,
        )
        self._configure(name)
        self._submit(
            name,
            node.ServerAnnounced(server=builders.build_server(slots=2)),
        )
        members = [state.membership.myself for state in self.nodes.values()]
        for other in self.nodes:
            self._submit(other, node.MembersReceived(members=tuple(members)))

    def _configure(self, name: str) -> None:
        self._submit(
            name,
            node.ManifestFetched(
                ref=builders.build_ref(self.version),
                configuration=builders.build_configuration(
                    closed_zone=self.closed_zone
                ),
            ),
        )

    def _submit(self, name: str, event: node.Event) -> None:
        commands = node.handle(self.nodes[name], event, self.now, self.rng)
        for command in commands:
            self._carry_out(name, command)

    def _carry_out(self, name: str, command: node.Command) -> None:
        match command:
            case node.RunOnServer():
                self._begin(name, command.call, command.attempt, None)
            case node.StartWork():
                offer = self._find_offer(command.attempt)
                if offer is None:
                    self._end_work(
                        name, command.attempt, node.ServerOutcome.CANCELLED
                    )
                else:
                    self._begin(name, offer.call, command.attempt, offer)
            case node.RefuseWork():
                offer = self._find_offer(command.attempt)
                if offer is not None:
                    self.offers.remove(offer)
                    self._fail(offer, node.RunState.NOT_RUN, command.reason)
            case node.SendToPeer():
                gate = f"n{command.address.port - 7000}"
                self.offers.append(
                    _Offer(
                        call=command.call,
                        attempt=command.attempt,
                        entry=name,
                        gate=gate,
                        kind=command,
                    )
                )
            case node.CancelAttempt():
                self._cancel(name, command.attempt)
            case node.RefuseCall():
                self._finish(command.call, command.run.value)
                self._submit(name, node.CallEnded(call=command.call))
            case _:
                pass

    def _begin(
        self, gate: str, call: str, attempt: str, offer: _Offer | None
    ) -> None:
        self.begun[call] += 1
        self.runs.append(
            _Run(call=call, attempt=attempt, gate=gate, offer=offer)
        )

    def _end_here(self, run: _Run, end: _End) -> None:
        attempt, call = ids.AttemptId(run.attempt), ids.CallId(run.call)
        if end in (_End.ANSWERED, _End.FAILED):
            self._answer(run.gate, call, attempt, end)
            self._end_work(run.gate, attempt, _OUTCOMES[end])
            return
        self._end_work(run.gate, attempt, _OUTCOMES[end])
        self._submit(
            run.gate,
            node.AttemptFailed(
                call=call,
                attempt=attempt,
                run=_RUN_STATES[end],
                reason=_REASONS[end],
                load=None,
                is_body_consumed=False,
            ),
        )

    def _end_there(self, run: _Run, offer: _Offer, end: _End) -> None:
        self._end_work(run.gate, run.attempt, _OUTCOMES[end])
        if offer in self.offers:
            self.offers.remove(offer)
        if not offer.is_wanted:
            return
        if end in (_End.ANSWERED, _End.FAILED):
            self._answer(
                offer.entry,
                ids.CallId(offer.call),
                ids.AttemptId(offer.attempt),
                end,
            )
        else:
            self._fail(offer, _RUN_STATES[end], _REASONS[end])

    def _answer(
        self, entry: str, call: ids.CallId, attempt: ids.AttemptId, end: _End
    ) -> None:
        commands = node.handle(
            self.nodes[entry],
            node.AttemptAnswered(
                call=call,
                attempt=attempt,
                is_error=end is _End.FAILED,
                load=None,
            ),
            self.now,
            self.rng,
        )
        is_delivered = any(
            isinstance(command, node.DeliverAnswer) for command in commands
        )
        for command in commands:
            self._carry_out(entry, command)
        if is_delivered:
            self._finish(call, "answered")
            self._submit(entry, node.CallEnded(call=call))

    def _finish(self, call: str, final: str) -> None:
        assert self.calls[call].final is None, f"{call} answered twice"
        self.calls[call].final = final

    def _fail(
        self, offer: _Offer, run: node.RunState, reason: node.Reason
    ) -> None:
        if not offer.is_wanted:
            return
        offer.is_wanted = False
        self._submit(
            offer.entry,
            node.AttemptFailed(
                call=ids.CallId(offer.call),
                attempt=ids.AttemptId(offer.attempt),
                run=run,
                reason=reason,
                load=None,
                is_body_consumed=False,
            ),
        )

    def _cancel(self, name: str, attempt: str) -> None:
        """Close an attempt's connection; what was sent may still arrive."""
        for run in [run for run in self.runs if run.attempt == attempt]:
            if run.offer is None:
                self.runs.remove(run)
                self._end_work(name, run.attempt, node.ServerOutcome.CANCELLED)
        offer = self._find_offer(attempt)
        if offer is not None:
            offer.is_wanted = False
            self._abandon(offer)

    def _abandon(self, offer: _Offer) -> None:
        """Let a gate learn that the entry's connection has closed."""
        offer.is_wanted = False
        if not offer.is_delivered:
            return
        attempt = ids.AttemptId(offer.attempt)
        for run in [run for run in self.runs if run.offer is offer]:
            self.runs.remove(run)
            self._end_work(run.gate, attempt, node.ServerOutcome.CANCELLED)
        if offer in self.offers:
            self.offers.remove(offer)
        if offer.gate in self.nodes:
            self._submit(offer.gate, node.WorkAbandoned(attempt=attempt))

    def _end_work(
        self, name: str, attempt: str, outcome: node.ServerOutcome
    ) -> None:
        if self.nodes[name].gate.find(ids.AttemptId(attempt)) is None:
            return
        self._submit(
            name,
            node.WorkEnded(
                attempt=ids.AttemptId(attempt), outcome=outcome, head_s=0.05
            ),
        )

    def _find_offer(self, attempt: str) -> _Offer | None:
        for offer in self.offers:
            if offer.attempt == attempt:
                return offer
        return None


_OUTCOMES = {
    _End.ANSWERED: node.ServerOutcome.ANSWERED,
    _End.FAILED: node.ServerOutcome.ERRORED,
    _End.SHED: node.ServerOutcome.SHED,
    _End.LOST: node.ServerOutcome.ABORTED,
}
_RUN_STATES = {
    _End.SHED: node.RunState.NOT_RUN,
    _End.LOST: node.RunState.MAY_HAVE_RUN,
}
_REASONS = {
    _End.SHED: node.Reason.SERVER_REFUSED,
    _End.LOST: node.Reason.ANSWER_LOST,
}

TestCalls = CallsMachine.TestCase
TestCalls.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=50
)
