"""Drives the decisions of one service's nodes under virtual time.

Not a simulator of a cluster: the real cores of a service's entries and gates,
fake backend servers, and calls that travel between them with a delay.  The
same arrivals and the same disturbances are given to naive policies, and to
one that sees every queue at each instant, which is the limit.
"""

import collections.abc
import dataclasses
import enum
import functools
import heapq
import random
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node

from marjoramledge_standins import virtual_servers

SAME_ZONE_S: typing.Final = 0.0002
WARM_UP_S: typing.Final = 2.0
# Calls that arrive before this time only warm the servers up.
START_S: typing.Final = 5.0
PROBE_S: typing.Final = 0.001
ANSWER_LIMIT_S: typing.Final = 20.0
COLD_S: typing.Final = 1.0


class Policy(enum.Enum):
    """How a backend server is chosen."""

    OURS = "ours"
    ROUND_ROBIN = "round-robin"
    TWO_CHOICES = "two-choices"
    ALL_KNOWING = "all-knowing"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallMix:
    """A kind of request and its share of the calls."""

    name: str
    method: str
    path: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """One service under load; times in seconds."""

    documents: collections.abc.Mapping[str, str]
    host: str
    service: str
    server_zones: tuple[str, ...]
    other_entry_zones: tuple[str, ...]
    slots: int
    zone_delay_s: float
    mean_demand_s: float
    mix: tuple[CallMix, ...]
    load: float
    duration_s: float
    seed: int
    noise: virtual_servers.Noise = virtual_servers.DEFAULT_NOISE
    straggler: bool = False
    restarts_cold: bool = False
    loses_cache: bool = False
    cold_concurrency: int = 2
    grey: virtual_servers.Grey = virtual_servers.WELL
    knee: virtual_servers.Knee = virtual_servers.NO_KNEE
    tells_slowdown: bool = False
    announced_slots: int | None = None

    @property
    def capacity_per_s(self) -> float:
        """Calls a second that all servers can serve together."""
        slots = self.slots * len(self.server_zones)
        return slots * self.noise.mean_speed / self.mean_demand_s


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What became of one call."""

    kind: str
    arrived_at: float
    latency_s: float
    is_answered: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """Outcomes of a run, and what the servers went through.

    ``arrivals`` counts all calls; one that hangs for ever has no outcome.
    """

    arrivals: int
    outcomes: tuple[Outcome, ...]
    overruns: int
    served_s: float
    probes: int
    sent_to_servers: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Arrival:
    number: int
    at: float
    entry: int
    mix: CallMix
    demand_s: float


class _World:
    """Clock, calendar and servers that all policies share."""

    def __init__(self, *, scenario: Scenario) -> None:
        self.scenario = scenario
        self.now = 0.0
        self._calendar: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._pushed = 0
        self.outcomes: list[Outcome] = []
        self.sent_to_servers = 0
        self.zones = scenario.server_zones + scenario.other_entry_zones
        end_s = START_S + scenario.duration_s
        self.servers = [
            virtual_servers.VirtualServer(
                slots=scenario.slots,
                profile=virtual_servers.SpeedProfile(
                    noise=scenario.noise,
                    seed=1000 * scenario.seed + number,
                    until_s=end_s + ANSWER_LIMIT_S,
                    slow_from_s=START_S + 0.3 * scenario.duration_s,
                    slow_until_s=START_S + 0.6 * scenario.duration_s,
                    slowdown=(
                        10.0 if scenario.straggler and number == 0 else 1.0
                    ),
                ),
                schedule=self.at,
                cold_bears=scenario.cold_concurrency,
                grey=scenario.grey if number == 0 else virtual_servers.WELL,
                knee=scenario.knee,
                seed=scenario.seed,
            )
            for number in range(len(scenario.server_zones))
        ]

    def at(
        self, when: float, action: collections.abc.Callable[[], None]
    ) -> None:
        """Do something at a time."""
        self._pushed += 1
        heapq.heappush(self._calendar, (when, self._pushed, action))

    def after(
        self, delay_s: float, action: collections.abc.Callable[[], None]
    ) -> None:
        """Do something after a delay."""
        self.at(self.now + delay_s, action)

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._calendar and self._calendar[0][0] <= until:
            when, _, action = heapq.heappop(self._calendar)
            self.now = max(self.now, when)
            action()
        self.now = until

    def delay_s(self, one: int, other: int) -> float:
        """One-way delay between two nodes."""
        if one == other:
            return 0.0
        if self.zones[one] == self.zones[other]:
            return SAME_ZONE_S
        return self.scenario.zone_delay_s

    def finish(
        self, arrival: _Arrival, *, is_answered: bool, reason: str = ""
    ) -> None:
        """Note what became of a call."""
        if arrival.at < START_S:
            return
        self.outcomes.append(
            Outcome(
                kind=arrival.mix.name,
                arrived_at=arrival.at,
                latency_s=self.now - arrival.at,
                is_answered=is_answered,
                reason=reason,
            )
        )


def run_scenario(scenario: Scenario, policy: Policy) -> RunResult:
    """Run a scenario under a policy."""
    world = _World(scenario=scenario)
    if policy is Policy.OURS:
        nodes = _Nodes(world=world)
        arrive: collections.abc.Callable[[_Arrival], None] = nodes.arrive
    else:
        nodes = None
        arrive = _make_naive(world, policy)
    arrivals = 0
    for arrival in _draw_arrivals(scenario, len(world.zones)):
        world.at(arrival.at, functools.partial(arrive, arrival))
        arrivals += arrival.at >= START_S
    fall_at = START_S + 0.3 * scenario.duration_s
    if scenario.restarts_cold:
        world.at(fall_at, lambda: world.servers[0].restart(world.now, COLD_S))
    if scenario.loses_cache:
        world.at(fall_at, lambda: world.servers[0].go_cold(world.now, COLD_S))
    end_s = START_S + scenario.duration_s
    world.run(end_s)
    served_s = sum(server.served_s for server in world.servers)
    world.run(end_s + ANSWER_LIMIT_S)
    return RunResult(
        arrivals=arrivals,
        outcomes=tuple(world.outcomes),
        overruns=sum(server.overruns for server in world.servers),
        served_s=served_s,
        probes=0 if nodes is None else nodes.probes,
        sent_to_servers=world.sent_to_servers,
    )


def _draw_arrivals(
    scenario: Scenario, entries: int
) -> collections.abc.Iterator[_Arrival]:
    rng = random.Random(scenario.seed)
    rate = scenario.load * scenario.capacity_per_s
    at = START_S - WARM_UP_S
    number = 0
    weights = [mix.share for mix in scenario.mix]
    # The mean of this distribution is 1.
    sigma = 0.5
    while True:
        at += rng.expovariate(rate)
        if at >= START_S + scenario.duration_s:
            return
        (mix,) = rng.choices(scenario.mix, weights)
        yield _Arrival(
            number=number,
            at=at,
            entry=rng.randrange(entries),
            mix=mix,
            demand_s=scenario.mean_demand_s
            * rng.lognormvariate(-sigma * sigma / 2, sigma),
        )
        number += 1


def _make_naive(
    world: _World, policy: Policy
) -> collections.abc.Callable[[_Arrival], None]:
    servers = world.servers
    count = len(servers)
    rng = random.Random(world.scenario.seed + 7)
    turns = [rng.randrange(count) for _ in world.zones]
    own = [[0] * count for _ in world.zones]

    def choose(arrival: _Arrival) -> int:
        entry = arrival.entry
        if policy is Policy.ROUND_ROBIN:
            turns[entry] = (turns[entry] + 1) % count
            return turns[entry]
        if policy is Policy.TWO_CHOICES:
            pair = rng.sample(range(count), 2)
            return min(pair, key=lambda server: own[entry][server])
        return min(
            range(count),
            key=lambda server: (
                servers[server].expected_finish_s(
                    world.now, world.scenario.mean_demand_s
                )
                + 2 * world.delay_s(entry, server)
            ),
        )

    def arrive(arrival: _Arrival) -> None:
        entry, server = arrival.entry, choose(arrival)
        own[entry][server] += 1
        delay_s = world.delay_s(entry, server)

        def answer(is_answered: bool) -> None:
            own[entry][server] -= 1
            world.finish(arrival, is_answered=is_answered)

        def serve() -> None:
            world.sent_to_servers += 1
            servers[server].submit(
                virtual_servers.Job(
                    demand_s=arrival.demand_s,
                    on_done=lambda ok: world.after(
                        delay_s, lambda: answer(ok)
                    ),
                ),
                world.now,
            )

        world.after(delay_s, serve)

    return arrive


class _Nodes:
    """The real cores, one beside each server and some that only enter."""

    def __init__(self, *, world: _World) -> None:
        self._world = world
        self._scenario = world.scenario
        self._rng = random.Random(world.scenario.seed + 13)
        self._arrivals: dict[str, _Arrival] = {}
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
        self._introduce()

    def arrive(self, arrival: _Arrival) -> None:
        """Let a call come in at its entry."""
        call = ids.CallId(f"c{arrival.number}")
        self._arrivals[call] = arrival
        self._entry_of[call] = arrival.entry
        self.submit(
            arrival.entry,
            node.CallArrived(
                call=call,
                host=self._scenario.host,
                method=arrival.mix.method,
                path=arrival.mix.path,
                deadline_s=None,
                is_body_held=True,
                fingerprint=ids.Fingerprint(call),
            ),
        )

    def submit(self, number: int, event: node.Event) -> None:
        """Give a node an event and carry out what follows."""
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
            options=node.Options(stop_limit_s=30.0),
            now=0.0,
        )

    def _announce(self, number: int) -> None:
        server = node.Server(
            service=ids.ServiceName(self._scenario.service),
            host="127.0.0.1",
            port=9000,
            slots=self._scenario.announced_slots or self._scenario.slots,
            connections=1000,
            cold_concurrency=self._scenario.cold_concurrency,
            is_cold=False,
            health_path="/health",
        )
        self.submit(number, node.ServerAnnounced(server=server))

    def _introduce(self) -> None:
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
                self._run(number, command.call, command.attempt, None)
            case node.StartWork():
                self._run(number, "", command.attempt, number)
            case node.SendToPeer():
                self._offer(number, command)
            case node.RefuseWork():
                self._pass_refusal(number, command)
            case node.DeliverAnswer():
                self._finish(command.call, is_answered=True, reason="")
                self._world.after(
                    0.0,
                    lambda: self.submit(
                        number, node.CallEnded(call=command.call)
                    ),
                )
            case node.RefuseCall():
                reason = command.reason.value
                self._finish(command.call, is_answered=False, reason=reason)
            case node.CancelAttempt():
                self._cancel(command.attempt)
            case node.SendMessage():
                self._send(number, command)
            case node.ProbeServer():
                self.probes += 1
                ended = node.ProbeEnded(
                    is_healthy=True,
                    elapsed_s=PROBE_S,
                    slowdown=self._slowdown_of(number),
                )
                self._world.after(PROBE_S, lambda: self.submit(number, ended))
            case _:
                pass

    def _slowdown_of(self, number: int) -> float | None:
        if not self._scenario.tells_slowdown:
            return None
        return self._world.servers[number].slowdown_at(self._world.now)

    def _finish(self, call: str, *, is_answered: bool, reason: str) -> None:
        arrival = self._arrivals.pop(call, None)
        if arrival is not None:
            self._world.finish(arrival, is_answered=is_answered, reason=reason)

    def _demand_s(self, attempt: str) -> float:
        arrival = self._arrivals.get(attempt.rpartition(".")[0])
        # The call may have its answer by now, from another server.
        if arrival is None:
            return self._scenario.mean_demand_s
        return arrival.demand_s

    def _run(
        self,
        number: int,
        call: str,
        attempt: ids.AttemptId,
        gate: int | None,
    ) -> None:
        began_at = self._world.now
        self._world.sent_to_servers += 1

        def done(is_answered: bool) -> None:
            self._jobs.pop(attempt, None)
            outcome = (
                node.ServerOutcome.ANSWERED
                if is_answered
                else node.ServerOutcome.BROKE_OFF
            )
            if gate is None:
                self._answer(number, call, attempt, is_answered, None)
            self.submit(
                number,
                node.WorkEnded(
                    attempt=attempt,
                    outcome=outcome,
                    head_s=self._world.now - began_at,
                    slowdown=self._slowdown_of(number),
                ),
            )
            if gate is not None:
                self._answer_over_network(gate, attempt, is_answered)

        job = virtual_servers.Job(
            demand_s=self._demand_s(attempt), on_done=done
        )
        self._jobs[attempt] = job
        # The server must not answer within the step that sends to it.
        self._world.after(
            0.0,
            lambda: self._world.servers[number].submit(job, self._world.now),
        )

    def _offer(self, number: int, command: node.SendToPeer) -> None:
        peer = self._number_of[command.address]
        self._gate_of[command.attempt] = peer
        arrival = self._arrivals[command.call]
        remaining_s = command.deadline_at - self._world.now
        target_s = command.target_at - self._world.now
        self._world.after(
            self._world.delay_s(number, peer),
            lambda: self.submit(
                peer,
                node.WorkOffered(
                    attempt=command.attempt,
                    host=self._scenario.host,
                    method=arrival.mix.method,
                    path=arrival.mix.path,
                    deadline_s=remaining_s,
                    is_patient=command.is_patient,
                    fingerprint=ids.Fingerprint(command.call),
                    target_s=target_s,
                ),
            ),
        )

    def _answer_over_network(
        self, gate: int, attempt: ids.AttemptId, is_answered: bool
    ) -> None:
        call = attempt.rpartition(".")[0]
        entry = self._entry_of[call]
        load = self._states[gate].gate.report(self._world.now)
        self._world.after(
            self._world.delay_s(gate, entry),
            lambda: self._answer(entry, call, attempt, is_answered, load),
        )

    def _answer(
        self,
        entry: int,
        call: str,
        attempt: ids.AttemptId,
        is_answered: bool,
        load: node.LoadReport | None,
    ) -> None:
        if is_answered:
            event: node.Event = node.AttemptAnswered(
                call=ids.CallId(call),
                attempt=attempt,
                is_error=False,
                load=load,
            )
        else:
            event = node.AttemptFailed(
                call=ids.CallId(call),
                attempt=attempt,
                run=node.RunState.MAY_HAVE_RUN,
                reason=node.Reason.ANSWER_LOST,
                load=load,
                is_body_gone=False,
            )
        self.submit(entry, event)

    def _pass_refusal(self, gate: int, command: node.RefuseWork) -> None:
        call = command.attempt.rpartition(".")[0]
        entry = self._entry_of[call]
        load = self._states[gate].gate.report(self._world.now)
        event = node.AttemptFailed(
            call=ids.CallId(call),
            attempt=command.attempt,
            run=node.RunState.NOT_RUN,
            reason=command.reason,
            load=load,
            is_body_gone=False,
        )
        self._world.after(
            self._world.delay_s(gate, entry),
            lambda: self.submit(entry, event),
        )

    def _cancel(self, attempt: ids.AttemptId) -> None:
        """Break off an attempt, where it is by the time that word comes."""
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
