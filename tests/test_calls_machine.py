"""State machine test of calls over three nodes.

Each node is an entry and a gate with a server.  The machine delays, loses and
reorders the offers, refusals and answers between the nodes, while servers
fail, shed, crash, drain and return, nodes die and restart, a zone is evacuated
and callers hang up.  The oracle counts how often a server began each request.
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
# Disturbances that end many calls at once are rare; otherwise few calls would
# get far enough to test anything else.
_RARELY = strategies.integers(min_value=0, max_value=4).map(lambda n: n == 0)


class _RequestOutcome(enum.Enum):
    """Outcome of a request that was sent to a server."""

    ANSWERED = "answered"
    FAILED = "answered with a failure"
    SHED = "refused by the server, not begun"
    LOST = "begun, its answer lost"


@dataclasses.dataclass(kw_only=True)
class _Call:
    entry: str
    incarnation: int
    is_idempotent: bool
    result: str | None = None
    has_hung_up: bool = False


@dataclasses.dataclass(kw_only=True, eq=False)
class _Offer:
    """An attempt between an entry and the gate of another node."""

    call: str
    attempt: str
    entry: str
    gate: str
    sent: node.SendToPeer
    is_delivered: bool = False
    is_wanted: bool = True


@dataclasses.dataclass(kw_only=True, eq=False)
class _RunningRequest:
    """A request at a server; ``offer`` is None if its entry is local."""

    call: str
    attempt: str
    gate: str
    offer: _Offer | None


class CallsMachine(stateful.RuleBasedStateMachine):
    """Simulates the environment of three nodes."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.rng = random.Random(1)
        self.version = 1
        self.incarnations = collections.Counter[str]()
        self.nodes: dict[str, node.NodeState] = {}
        self.calls: dict[str, _Call] = {}
        self.offers: list[_Offer] = []
        self.running: list[_RunningRequest] = []
        self.begun = collections.Counter[str]()
        self.closed_zone = ""
        for name in NAMES:
            self._start(name)

    @stateful.rule(
        name=_NAME,
        are_idempotent=strategies.lists(
            strategies.booleans(), min_size=1, max_size=4
        ),
    )
    def callers_send(self, name: str, are_idempotent: list[bool]) -> None:
        """Send requests of callers to a node."""
        for is_idempotent in are_idempotent:
            self._send(name, is_idempotent)

    def _send(self, name: str, is_idempotent: bool) -> None:
        call = f"c{len(self.calls)}"
        self.calls[call] = _Call(
            entry=name,
            incarnation=self.incarnations[name],
            is_idempotent=is_idempotent,
        )
        self._submit(
            name,
            node.CallArrived(
                call=ids.CallId(call),
                host="shop.example",
                method="GET" if is_idempotent else "POST",
                path="/pages/1" if is_idempotent else "/orders",
                deadline_s=2.0,
                is_body_buffered=True,
                fingerprint=ids.Fingerprint(call),
            ),
        )

    @stateful.rule(picks=_PICKS)
    def offers_arrive(self, picks: list[int]) -> None:
        """Deliver offers, some of which their entry may have cancelled."""
        for pick in picks:
            self._deliver(pick)

    def _deliver(self, pick: int) -> None:
        waiting = [offer for offer in self.offers if not offer.is_delivered]
        if not waiting:
            return
        offer = waiting[pick % len(waiting)]
        offer.is_delivered = True
        command = offer.sent
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
        self._fail_attempt(
            offer,
            node.RunState.MAY_HAVE_RUN if is_sent else node.RunState.NOT_RUN,
            node.Reason.ANSWER_LOST
            if is_sent
            else node.Reason.PEER_UNREACHABLE,
        )
        if is_sent:
            self._abandon(offer)

    @stateful.rule(
        request_outcomes=strategies.lists(
            strategies.tuples(_PICK, strategies.sampled_from(_RequestOutcome)),
            min_size=1,
            max_size=4,
        )
    )
    def servers_end(
        self, request_outcomes: list[tuple[int, _RequestOutcome]]
    ) -> None:
        """End requests at their servers, each with its outcome."""
        for pick, request_outcome in request_outcomes:
            self._end_request(pick, request_outcome)

    def _end_request(
        self, pick: int, request_outcome: _RequestOutcome
    ) -> None:
        if not self.running:
            return
        run = self.running[pick % len(self.running)]
        self.running.remove(run)
        if request_outcome is _RequestOutcome.SHED:
            # It was counted when it was sent, but the server did not begin it.
            self.begun[run.call] -= 1
        if run.offer is None:
            self._end_local_request(run, request_outcome)
        else:
            self._end_offered_request(run, run.offer, request_outcome)

    @stateful.rule(name=_NAME, happens=_RARELY)
    def server_crashes(self, name: str, happens: bool) -> None:
        """Crash a server, which loses all requests that it runs."""
        if not happens:
            return
        for run in [run for run in self.running if run.gate == name]:
            self.running.remove(run)
            if run.offer is None:
                self._end_local_request(run, _RequestOutcome.LOST)
            else:
                self._end_offered_request(run, run.offer, _RequestOutcome.LOST)
        self._submit(name, node.ProbeEnded(is_healthy=False, elapsed_s=0.001))

    @stateful.rule(name=_NAME, is_cold=strategies.booleans())
    def server_announces(self, name: str, is_cold: bool) -> None:
        """Announce a server to its node, cold or warm."""
        self._submit(
            name,
            node.ServerAnnounced(
                server=builders.build_server(is_cold=is_cold, slots=2)
            ),
        )

    @stateful.rule(name=_NAME, happens=_RARELY)
    def server_drains(self, name: str, happens: bool) -> None:
        """Report to a node that its server is draining."""
        if not happens:
            return
        self._submit(name, node.ServerDraining())

    @stateful.rule(name=_NAME, happens=_RARELY)
    def node_dies_and_starts(self, name: str, happens: bool) -> None:
        """Kill a node, break its connections and start it again."""
        if not happens:
            return
        for run in [run for run in self.running if run.gate == name]:
            self.running.remove(run)
        lost = [o for o in self.offers if name in (o.entry, o.gate)]
        for offer in lost:
            self.offers.remove(offer)
            if offer.entry == name:
                self._abandon(offer)
        self._start(name)
        for offer in lost:
            if offer.gate == name and offer.entry != name:
                self._fail_attempt(
                    offer,
                    node.RunState.MAY_HAVE_RUN,
                    node.Reason.ANSWER_LOST,
                )

    @stateful.rule(
        zone=strategies.sampled_from(["", "north", "south"]), happens=_RARELY
    )
    def operator_changes_zones(self, zone: str, happens: bool) -> None:
        """Put a configuration in force that closes one zone or none."""
        if not happens:
            return
        self.version += 1
        self.closed_zone = zone
        for name in NAMES:
            self._configure(name)

    @stateful.rule(pick=_PICK)
    def caller_leaves(self, pick: int) -> None:
        """Hang up a caller whose call is unanswered."""
        waiting = [
            (name, call)
            for name, call in self.calls.items()
            if self._is_unanswered(call)
        ]
        if not waiting:
            return
        name, call = waiting[pick % len(waiting)]
        call.has_hung_up = True
        self._submit(
            call.entry, node.CallerDisconnected(call=ids.CallId(name))
        )

    @stateful.rule(
        seconds=strategies.sampled_from([0.001, 0.05, 0.3, 1.0, 2.5])
    )
    def time_passes(self, seconds: float) -> None:
        """Advance the time, waking each node when one of its timers is due."""
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
    def non_idempotent_calls_run_at_most_once(self) -> None:
        """Check that calls that are not idempotent run at most once."""
        for name, call in self.calls.items():
            assert call.is_idempotent or self.begun[name] <= 1, name

    @stateful.invariant()
    def calls_refused_as_not_run_never_ran(self) -> None:
        """Check that no server began a call that was refused as not run."""
        for name, call in self.calls.items():
            if call.result == node.RunState.NOT_RUN.value:
                assert self.begun[name] == 0, name

    def teardown(self) -> None:
        """Check that every caller that did not hang up has an answer."""
        self.time_passes(10.0)
        for name, call in self.calls.items():
            assert not self._is_unanswered(call), f"{name} has no answer"
        self.non_idempotent_calls_run_at_most_once()
        self.calls_refused_as_not_run_never_ran()

    def _is_unanswered(self, call: _Call) -> bool:
        is_alive = call.incarnation == self.incarnations[call.entry]
        return is_alive and call.result is None and not call.has_hung_up

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
                self._begin_request(name, command.call, command.attempt, None)
            case node.StartWork():
                offer = self._find_offer(command.attempt)
                if offer is None:
                    self._end_work(
                        name, command.attempt, node.ServerOutcome.CANCELLED
                    )
                else:
                    self._begin_request(
                        name, offer.call, command.attempt, offer
                    )
            case node.RefuseWork():
                offer = self._find_offer(command.attempt)
                if offer is not None:
                    self.offers.remove(offer)
                    self._fail_attempt(
                        offer, node.RunState.NOT_RUN, command.reason
                    )
            case node.SendToPeer():
                gate = f"n{command.address.port - 7000}"
                self.offers.append(
                    _Offer(
                        call=command.call,
                        attempt=command.attempt,
                        entry=name,
                        gate=gate,
                        sent=command,
                    )
                )
            case node.CancelAttempt():
                self._cancel(name, command.attempt)
            case node.RefuseCall():
                self._finish_call(command.call, command.run.value)
                self._submit(name, node.CallEnded(call=command.call))
            case _:
                pass

    def _begin_request(
        self, gate: str, call: str, attempt: str, offer: _Offer | None
    ) -> None:
        self.begun[call] += 1
        self.running.append(
            _RunningRequest(call=call, attempt=attempt, gate=gate, offer=offer)
        )

    def _end_local_request(
        self, run: _RunningRequest, request_outcome: _RequestOutcome
    ) -> None:
        attempt, call = ids.AttemptId(run.attempt), ids.CallId(run.call)
        if request_outcome in (
            _RequestOutcome.ANSWERED,
            _RequestOutcome.FAILED,
        ):
            self._answer(run.gate, call, attempt, request_outcome)
            self._end_work(
                run.gate, attempt, _SERVER_OUTCOMES[request_outcome]
            )
            return
        self._end_work(run.gate, attempt, _SERVER_OUTCOMES[request_outcome])
        self._submit(
            run.gate,
            node.AttemptFailed(
                call=call,
                attempt=attempt,
                run=_RUN_STATES[request_outcome],
                reason=_REASONS[request_outcome],
                load=None,
                is_body_consumed=False,
            ),
        )

    def _end_offered_request(
        self,
        run: _RunningRequest,
        offer: _Offer,
        request_outcome: _RequestOutcome,
    ) -> None:
        self._end_work(
            run.gate, run.attempt, _SERVER_OUTCOMES[request_outcome]
        )
        if offer in self.offers:
            self.offers.remove(offer)
        if not offer.is_wanted:
            return
        if request_outcome in (
            _RequestOutcome.ANSWERED,
            _RequestOutcome.FAILED,
        ):
            self._answer(
                offer.entry,
                ids.CallId(offer.call),
                ids.AttemptId(offer.attempt),
                request_outcome,
            )
        else:
            self._fail_attempt(
                offer, _RUN_STATES[request_outcome], _REASONS[request_outcome]
            )

    def _answer(
        self,
        entry: str,
        call: ids.CallId,
        attempt: ids.AttemptId,
        request_outcome: _RequestOutcome,
    ) -> None:
        commands = node.handle(
            self.nodes[entry],
            node.AttemptAnswered(
                call=call,
                attempt=attempt,
                is_error=request_outcome is _RequestOutcome.FAILED,
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
            self._finish_call(call, "answered")
            self._submit(entry, node.CallEnded(call=call))

    def _finish_call(self, call: str, result: str) -> None:
        assert self.calls[call].result is None, f"{call} answered twice"
        self.calls[call].result = result

    def _fail_attempt(
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
        """Close the connection of an attempt; its offer may still arrive."""
        for run in [run for run in self.running if run.attempt == attempt]:
            if run.offer is None:
                self.running.remove(run)
                self._end_work(name, run.attempt, node.ServerOutcome.CANCELLED)
        offer = self._find_offer(attempt)
        if offer is not None:
            offer.is_wanted = False
            self._abandon(offer)

    def _abandon(self, offer: _Offer) -> None:
        """Report to a gate that the entry's connection was closed."""
        offer.is_wanted = False
        if not offer.is_delivered:
            return
        attempt = ids.AttemptId(offer.attempt)
        for run in [run for run in self.running if run.offer is offer]:
            self.running.remove(run)
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


_SERVER_OUTCOMES = {
    _RequestOutcome.ANSWERED: node.ServerOutcome.ANSWERED,
    _RequestOutcome.FAILED: node.ServerOutcome.ERRORED,
    _RequestOutcome.SHED: node.ServerOutcome.SHED,
    _RequestOutcome.LOST: node.ServerOutcome.ABORTED,
}
_RUN_STATES = {
    _RequestOutcome.SHED: node.RunState.NOT_RUN,
    _RequestOutcome.LOST: node.RunState.MAY_HAVE_RUN,
}
_REASONS = {
    _RequestOutcome.SHED: node.Reason.SERVER_REFUSED,
    _RequestOutcome.LOST: node.Reason.ANSWER_LOST,
}

TestCalls = CallsMachine.TestCase
TestCalls.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=50
)
