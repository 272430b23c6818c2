"""Runs the real cores of a scenario's nodes under virtual time.

There is a node beside each backend server, and some act as entry nodes only.
Their commands are executed on emulated servers and sent as messages with a
network delay.  A request that runs on a server may call another service
through that server's node.
"""

import dataclasses
import math
import random
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node

from marjoramledge_standins import scenarios
from marjoramledge_standins import virtual_callers
from marjoramledge_standins import virtual_servers
from marjoramledge_standins import virtual_world

PROBE_DURATION_S: typing.Final = 0.001

_OUTCOMES: typing.Final = {
    virtual_servers.JobEnd.ANSWERED: node.ServerOutcome.ANSWERED,
    virtual_servers.JobEnd.ERRORED: node.ServerOutcome.ERRORED,
    virtual_servers.JobEnd.ABORTED: node.ServerOutcome.ABORTED,
}


@dataclasses.dataclass(slots=True, kw_only=True)
class _OpenCall:
    """A call in progress."""

    entry: int
    mix: scenarios.CallMix
    demand_s: float
    on_end: virtual_callers.OnEnd


class Nodes:
    """The cores of all nodes, with or without a backend server.

    Parameters
    ----------
    world
        The clock and the servers.
    """

    def __init__(self, *, world: virtual_world.World) -> None:
        self._world = world
        self._scenario = world.scenario
        self._rng = random.Random(world.scenario.seed + 13)
        self._mixes = {mix.name: mix for mix in world.scenario.mix}
        self._calls: dict[str, _OpenCall] = {}
        self._inner_calls = 0
        self._entry_of: dict[str, int] = {}
        self._jobs: dict[str, virtual_servers.Job] = {}
        self._gate_of: dict[str, int] = {}
        self._wakeups: list[float] = []
        self.probes = 0
        declared = configuration.parse_documents(
            world.scenario.documents
        ).unwrap()
        self._states = [
            self._create(number, zone)
            for number, zone in enumerate(world.zones)
        ]
        self._number_of = {
            state.membership.myself.address: number
            for number, state in enumerate(self._states)
        }
        self._wakeups = [float("inf")] * len(self._states)
        ref = configuration.VersionRef(
            version=ids.ConfigVersion(1), digest=ids.Digest("d")
        )
        for number in range(len(self._states)):
            self.submit(
                number,
                node.ManifestFetched(ref=ref, configuration=declared),
            )
            if number < len(world.servers):
                self._announce(number)
        self._exchange_members()

    def call(
        self,
        name: str,
        entry: int,
        mix: scenarios.CallMix,
        demand_s: float,
        time_left_s: float | None,
        on_end: virtual_callers.OnEnd,
    ) -> None:
        """Submit a call to its entry node."""
        call = ids.CallId(name)
        self._calls[call] = _OpenCall(
            entry=entry, mix=mix, demand_s=demand_s, on_end=on_end
        )
        self._entry_of[call] = entry
        self.submit(
            entry,
            node.CallArrived(
                call=call,
                host=mix.host or self._scenario.host,
                method=mix.method,
                path=mix.path,
                deadline_s=time_left_s,
                is_body_buffered=True,
                fingerprint=ids.Fingerprint(call),
            ),
        )

    def submit(self, number: int, event: node.Event) -> None:
        """Let a node handle an event and execute the resulting commands."""
        if self._world.is_lost(number):
            return
        now = self._world.now
        state = self._states[number]
        for command in node.handle(state, event, now, self._rng):
            self._carry_out(number, command)
        self._arm(number)

    def _create(self, number: int, zone: str) -> node.NodeState:
        return node.create_state(
            identity=node.Identity(
                node=ids.NodeId(f"n{number}"),
                address=node.Address(host="127.0.0.1", port=7000 + number),
                zone=ids.ZoneName(zone),
                incarnation=1,
            ),
            seeds=(),
            options=self._scenario.options,
            now=0.0,
        )

    def _announce(self, number: int) -> None:
        server = node.Server(
            service=ids.ServiceName(self._scenario.service_of(number)),
            host="127.0.0.1",
            port=9000,
            slots=self._scenario.announced_slots or self._scenario.slots,
            connections=1000,
            cold_concurrency=self._scenario.cold_concurrency,
            is_cold=False,
            health_path="/health",
        )
        self.submit(number, node.ServerAnnounced(server=server))

    def _exchange_members(self) -> None:
        members = tuple(state.membership.myself for state in self._states)
        for number in range(len(self._states)):
            self.submit(number, node.MembersReceived(members=members))

    def _arm(self, number: int) -> None:
        wakeup = node.next_wakeup(self._states[number])
        if wakeup is None or wakeup >= self._wakeups[number]:
            return
        self._wakeups[number] = wakeup
        self._world.at(wakeup, lambda: self._wake(number))

    def _wake(self, number: int) -> None:
        self._wakeups[number] = float("inf")
        self.submit(number, node.TimePassed())

    def _carry_out(self, number: int, command: node.Command) -> None:
        match command:
            case node.RunOnServer():
                self._start_job(number, command.call, command.attempt, None)
            case node.StartWork():
                self._start_job(number, "", command.attempt, number)
            case node.SendToPeer():
                self._send_attempt(number, command)
            case node.RefuseWork():
                self._send_refusal(number, command)
            case node.DeliverAnswer():
                self._world.after(
                    0.0,
                    lambda: self.submit(
                        number, node.CallEnded(call=command.call)
                    ),
                )
            case node.RefuseCall():
                self._end_call(
                    command.call,
                    virtual_callers.CallEnd(
                        is_answered=False,
                        reason=command.reason.value,
                        run=command.run,
                        retry_after_s=command.retry_after_s,
                    ),
                )
            case node.CancelAttempt():
                self._cancel(command.attempt)
            case node.SendMessage():
                self._send(number, command)
            case node.ProbeServer():
                self.probes += 1
                ended = node.ProbeEnded(
                    is_healthy=True,
                    elapsed_s=PROBE_DURATION_S,
                    slowdown=self._slowdown_of(number),
                )
                self._world.after(
                    PROBE_DURATION_S, lambda: self.submit(number, ended)
                )
            case _:
                pass

    def _slowdown_of(self, number: int) -> float | None:
        if not self._scenario.reports_slowdown:
            return None
        return self._world.servers[number].slowdown_at(self._world.now)

    def _end_call(self, call: str, end: virtual_callers.CallEnd) -> None:
        open_call = self._calls.pop(call, None)
        if open_call is not None:
            open_call.on_end(end)

    def _demand_s(self, attempt: str) -> float:
        call = self._calls.get(attempt.rpartition(".")[0])
        # Another server may have answered the call in the meantime.
        return self._scenario.mean_demand_s if call is None else call.demand_s

    def _start_job(
        self,
        number: int,
        call: str,
        attempt: ids.AttemptId,
        gate: int | None,
    ) -> None:
        started_at = self._world.now
        if gate is None:
            self._record_crossing(number, number, attempt)
        self._world.sent_to_servers += 1
        self._world.starts[number].append(started_at)

        def done(end: virtual_servers.JobEnd) -> None:
            self._jobs.pop(attempt, None)
            signals = None
            if end is not virtual_servers.JobEnd.ABORTED:
                signals = self._world.signals_of(number)
                if signals != node.NO_SIGNALS:
                    self.submit(
                        number,
                        node.ServerSignalled(
                            server=node.ANY_START, signals=signals
                        ),
                    )
            if gate is None:
                self._deliver_answer(number, call, attempt, end, None)
            self.submit(
                number,
                node.WorkEnded(
                    attempt=attempt,
                    outcome=_OUTCOMES[end],
                    head_s=self._world.now - started_at,
                    slowdown=self._slowdown_of(number),
                    signals=signals,
                ),
            )
            if gate is not None:
                self._send_answer(gate, attempt, end)

        job = virtual_servers.Job(
            demand_s=self._demand_s(attempt), on_done=done
        )
        self._prepare_inner_call(number, attempt, job)
        self._jobs[attempt] = job
        # The server must not answer while the sending node is still handling
        # its event.
        self._world.after(
            0.0,
            lambda: self._world.servers[number].submit(job, self._world.now),
        )

    def _prepare_inner_call(
        self, number: int, attempt: str, job: virtual_servers.Job
    ) -> None:
        """Make a job call another service, with its kind's probability."""
        open_call = self._calls.get(attempt.rpartition(".")[0])
        if open_call is None or open_call.mix.inner is None:
            return
        if self._rng.random() >= open_call.mix.inner_share:
            return
        mix = self._mixes[open_call.mix.inner]
        names: list[str] = []
        demands_s: list[float] = []
        for _ in range(open_call.mix.inner_calls):
            self._inner_calls += 1
            names.append(f"i{self._inner_calls}")
            demands_s.append(
                virtual_callers.draw_demand(self._scenario, mix, self._rng)
            )
        server = self._world.servers[number]
        position = 0

        def end(outcome: virtual_callers.CallEnd) -> None:
            nonlocal position
            position += 1
            if outcome.is_answered and position < len(names):
                if not job.is_cancelled:
                    begin()
                return
            server.end_call(
                job, self._world.now, is_answered=outcome.is_answered
            )

        def begin() -> None:
            self.call(
                names[position],
                number,
                mix,
                demands_s[position],
                mix.patience_s,
                end,
            )

        def disconnect() -> None:
            for name in names:
                if self._calls.pop(name, None) is not None:
                    self.submit(
                        number, node.CallerDisconnected(call=ids.CallId(name))
                    )

        job.call_another = begin
        job.on_cancel = disconnect

    def _send_attempt(self, number: int, command: node.SendToPeer) -> None:
        peer = self._number_of[command.address]
        self._gate_of[command.attempt] = peer
        self._world.offers += 1
        self._record_crossing(number, peer, command.attempt)
        if self._world.is_lost(peer):
            self._fail_attempt(number, command)
            return
        mix = self._calls[command.call].mix
        remaining_s = command.deadline_at - self._world.now
        target_s = command.target_at - self._world.now
        self._world.after(
            self._world.delay_s(number, peer),
            lambda: self.submit(
                peer,
                node.WorkOffered(
                    attempt=command.attempt,
                    host=mix.host or self._scenario.host,
                    method=mix.method,
                    path=mix.path,
                    deadline_s=remaining_s,
                    prefers_queueing=command.prefers_queueing,
                    fingerprint=ids.Fingerprint(command.call),
                    target_s=target_s,
                    status=command.status,
                ),
            ),
        )

    def _fail_attempt(self, number: int, command: node.SendToPeer) -> None:
        """Fail an attempt that could not connect to its node."""
        failed = node.AttemptFailed(
            call=command.call,
            attempt=command.attempt,
            run=node.RunState.NOT_RUN,
            reason=node.Reason.PEER_UNREACHABLE,
            load=None,
            is_body_consumed=False,
        )
        peer = self._number_of[command.address]
        self._world.after(
            2.0 * self._world.delay_s(number, peer),
            lambda: self.submit(number, failed),
        )

    def _record_crossing(self, entry: int, chosen: int, attempt: str) -> None:
        """Record where an attempt is sent, with the state of all servers."""
        world = self._world
        call, _, number = attempt.rpartition(".")
        is_warm = world.now >= scenarios.START_S
        if not self._scenario.records_crossings or not is_warm:
            return
        mix = self._calls[call].mix
        demand_s = self._scenario.demand_of(mix)
        service = self._scenario.service_of(chosen)
        home_s = away_s = sent_s = math.inf
        for server, virtual in enumerate(world.servers):
            if self._scenario.service_of(server) != service:
                continue
            gate = self._states[server].gate
            load = (gate.running + gate.queued + 1.0) / gate.limit
            taken_s = demand_s * virtual.slowdown_at(world.now) * max(
                1.0, load
            ) + 2.0 * world.delay_s(entry, server)
            if server == chosen:
                sent_s = taken_s
            if world.zones[server] == world.zones[entry]:
                home_s = min(home_s, taken_s)
            else:
                away_s = min(away_s, taken_s)
        world.crossings.append(
            scenarios.Crossing(
                call=call,
                kind=mix.name,
                is_first=number == "0",
                is_home=world.zones[chosen] == world.zones[entry],
                sent_s=sent_s,
                home_s=home_s,
                away_s=away_s,
            )
        )

    def _send_answer(
        self,
        gate: int,
        attempt: ids.AttemptId,
        end: virtual_servers.JobEnd,
    ) -> None:
        call = attempt.rpartition(".")[0]
        entry = self._entry_of[call]
        load = self._states[gate].gate.report(self._world.now)
        status = node.build_status(self._states[gate])
        self._world.after(
            self._world.delay_s(gate, entry),
            lambda: self._deliver_answer(
                entry, call, attempt, end, load, status
            ),
        )

    def _deliver_answer(
        self,
        entry: int,
        call: str,
        attempt: ids.AttemptId,
        end: virtual_servers.JobEnd,
        load: node.LoadReport | None,
        status: node.ServerStatus | None = None,
    ) -> None:
        if end is virtual_servers.JobEnd.ABORTED:
            self.submit(
                entry,
                node.AttemptFailed(
                    call=ids.CallId(call),
                    attempt=attempt,
                    run=node.RunState.MAY_HAVE_RUN,
                    reason=node.Reason.ANSWER_LOST,
                    load=load,
                    is_body_consumed=False,
                    status=status,
                ),
            )
            return
        is_error = end is virtual_servers.JobEnd.ERRORED
        before = self._states[entry].calls.get(ids.CallId(call))
        self.submit(
            entry,
            node.AttemptAnswered(
                call=ids.CallId(call),
                attempt=attempt,
                is_error=is_error,
                load=load,
                status=status,
            ),
        )
        if before is not None and before.delivered is not None:
            self._end_call(
                call, virtual_callers.CallEnd(is_answered=not is_error)
            )

    def _send_refusal(self, gate: int, command: node.RefuseWork) -> None:
        call = command.attempt.rpartition(".")[0]
        entry = self._entry_of[call]
        load = self._states[gate].gate.report(self._world.now)
        event = node.AttemptFailed(
            call=ids.CallId(call),
            attempt=command.attempt,
            run=node.RunState.NOT_RUN,
            reason=command.reason,
            load=load,
            is_body_consumed=False,
            status=command.status,
        )
        self._world.after(
            self._world.delay_s(gate, entry),
            lambda: self.submit(entry, event),
        )

    def _cancel(self, attempt: ids.AttemptId) -> None:
        """Cancel an attempt at its gate, after the network delay."""
        entry = self._entry_of[attempt.rpartition(".")[0]]
        gate = self._gate_of.get(attempt, entry)
        self._world.after(
            self._world.delay_s(entry, gate),
            lambda: self._cancel_at(gate, attempt),
        )

    def _cancel_at(self, gate: int, attempt: ids.AttemptId) -> None:
        job = self._jobs.pop(attempt, None)
        if job is None:
            self.submit(gate, node.WorkAbandoned(attempt=attempt))
            return
        self._world.servers[gate].cancel(job, self._world.now)
        self.submit(
            gate,
            node.WorkEnded(
                attempt=attempt,
                outcome=node.ServerOutcome.CANCELLED,
                head_s=0.0,
            ),
        )

    def _send(self, number: int, command: node.SendMessage) -> None:
        peer = self._number_of.get(command.address)
        if peer is None:
            return
        event = node.MessageReceived(message=command.message)
        self._world.after(
            self._world.delay_s(number, peer),
            lambda: self.submit(peer, event),
        )
