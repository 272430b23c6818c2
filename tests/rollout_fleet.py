"""A few nodes under virtual time, with a store, for tests of roll-outs."""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import random
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders

SHOP: typing.Final = ids.ServiceName("shop")
OLD: typing.Final = ids.ServerVersion("v1")
NEW: typing.Final = ids.ServerVersion("v2")
FIRST: typing.Final = ids.OrderId("1")
ABSENT: typing.Final = ids.ServerVersion("v9")
Order = configuration.RolloutOrder
LATENCY_S: typing.Final = 0.002
STORE_S: typing.Final = 0.02
OPTIONS: typing.Final = node.Options(
    stop_limit_s=30.0, rollouts=node.RolloutOptions()
)


@dataclasses.dataclass(slots=True)
class Store:
    """One row with a condition; answers can be lost, and the store be down."""

    row: node.RolloutRow | None = None
    number: int = 0
    is_up: bool = True
    loses_answers: bool = False
    history: list[node.RolloutRow] = dataclasses.field(default_factory=list)

    def write(self, row: node.RolloutRow, etag: str) -> node.RolloutRow | None:
        """Write if the condition holds; return the row, or None."""
        if etag != ("" if self.row is None else self.row.etag):
            return None
        self.number += 1
        self.row = dataclasses.replace(row, etag=str(self.number))
        self.history.append(self.row)
        return self.row


class Fleet:
    """Nodes, each with a server, and callers of the service.

    Parameters
    ----------
    versions
        Version of the server of each node.
    zones
        Zone of each node, repeated as needed.
    """

    def __init__(
        self,
        *,
        versions: collections.abc.Sequence[ids.ServerVersion],
        zones: collections.abc.Sequence[str] = ("north", "south"),
        seed: int = 1,
        options: node.Options = OPTIONS,
    ) -> None:
        self.now = 100.0
        self.rng = random.Random(seed)
        self.store = Store()
        self.options = options
        self.versions = list(versions)
        self.zones = [zones[i % len(zones)] for i in range(len(versions))]
        self.alive = set(range(len(versions)))
        self.cut: set[int] = set()
        self.message_loss = 0.0
        self.error_shares: dict[ids.ServerVersion, float] = {}
        self.response_s: dict[ids.ServerVersion, float] = {}
        self.sent: collections.Counter[ids.ServerVersion] = (
            collections.Counter()
        )
        self.sent_at: list[tuple[float, int, ids.ServerVersion]] = []
        # Attempts at the new version that cost a token.
        self.exposed = 0
        self.sent_after_reversal = 0
        self.calls = 0
        self.refused = 0
        self.records: list[node.Record] = []
        self._starts = itertools.count(1)
        self._ids = itertools.count()
        self._queue: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._versions_read = itertools.count(1)
        self._ref = builders.build_ref(0)
        self._configuration = builders.build_configuration()
        self.states: dict[int, node.NodeState] = {}
        for number in range(len(versions)):
            self.start(number)
        self.order()
        members = tuple(
            state.membership.myself for state in self.states.values()
        )
        for number in self.states:
            self.submit(number, node.MembersReceived(members=members))

    def start(self, number: int) -> None:
        """Start a node, without any memory."""
        self.states[number] = node.create_state(
            identity=node.Identity(
                node=ids.NodeId(f"n{number}"),
                address=node.Address(host="127.0.0.1", port=7000 + number),
                zone=ids.ZoneName(self.zones[number]),
                incarnation=next(self._starts),
            ),
            seeds=(),
            options=self.options,
            now=self.now,
        )
        self.alive.add(number)

    def announce(self, number: int) -> None:
        """Let a node's server announce itself."""
        server = dataclasses.replace(
            builders.build_server(slots=64), version=self.versions[number]
        )
        self.submit(number, node.ServerAnnounced(server=server))

    def kill(self, number: int) -> None:
        """End a node and its server."""
        self.alive.discard(number)

    def restart(self, number: int) -> None:
        """Start a node again; it learns of the fleet from one peer."""
        self.start(number)
        self._configure(number)
        self.announce(number)
        members = tuple(
            self.states[other].membership.myself
            for other in sorted(self.alive)
        )
        for other in self.alive:
            self.submit(other, node.MembersReceived(members=members))

    def order(self, *orders: configuration.RolloutOrder) -> None:
        """Put a configuration with these orders in force on all nodes."""
        base = builders.build_configuration()
        self._configuration = configuration.Configuration(
            organisation=base.organisation,
            services=tuple(base.services.values()),
            zones=tuple(base.zones.values()),
            kinds=base.kinds,
            measuring=base.measuring,
            default_deadline_s=base.default_deadline_s,
            rollouts=orders,
        )
        number = next(self._versions_read)
        self._ref = configuration.VersionRef(
            version=configuration.pack_version(1, number),
            digest=ids.Digest(f"d{number}"),
        )
        self._put_in_force()

    def enter_era(self, era: int) -> None:
        """Let all nodes see that the store was restored."""
        self._ref = configuration.VersionRef(
            version=configuration.pack_version(era, 1),
            digest=ids.Digest(f"era{era}"),
        )
        self._put_in_force()

    def _put_in_force(self) -> None:
        for number in sorted(self.alive):
            if number not in self.cut:
                self._configure(number)

    def _configure(self, number: int) -> None:
        is_first = self.states[number].versions.configuration is None
        self.submit(
            number,
            node.ManifestFetched(
                ref=self._ref, configuration=self._configuration
            ),
        )
        if is_first:
            self.announce(number)

    def submit(self, number: int, event: node.Event) -> None:
        """Let a node handle an event, and carry out its commands."""
        if number not in self.alive:
            return
        for command in node.handle(
            self.states[number], event, self.now, self.rng
        ):
            self._carry_out(number, command)

    def after(
        self, delay_s: float, action: collections.abc.Callable[[], None]
    ) -> None:
        """Do something later."""
        heapq.heappush(
            self._queue, (self.now + delay_s, next(self._ids), action)
        )

    def run(self, seconds: float, *, calls_per_s: float = 0.0) -> None:
        """Advance the clock, with callers at all nodes that live."""
        until = self.now + seconds
        pause_s = 1.0 / calls_per_s if calls_per_s else seconds + 1.0
        call_at = self.now + pause_s
        while True:
            at, number = min(
                (
                    (wakeup, number)
                    for number in self.alive
                    if (wakeup := node.next_wakeup(self.states[number]))
                    is not None
                ),
                default=(until, -1),
            )
            queued_at = self._queue[0][0] if self._queue else until
            next_at = min(at, queued_at, call_at)
            if next_at >= until:
                break
            self.now = max(self.now, next_at)
            if next_at == call_at:
                call_at += pause_s
                self._call()
            elif next_at == queued_at:
                heapq.heappop(self._queue)[2]()
            else:
                self.submit(number, node.TimePassed())
        self.now = until

    def phases(self, order: str = "1") -> set[node.RolloutPhase]:
        """Return the phases of an order that the living nodes know."""
        key = (SHOP, ids.OrderId(order))
        return {
            self.states[number].rollouts.states[key].phase
            for number in self.alive
            if key in self.states[number].rollouts.states
        }

    def _call(self) -> None:
        self.calls += 1
        entry = self.rng.choice(sorted(self.alive))
        name = f"c{next(self._ids)}"
        method, path = self.rng.choice(
            (("GET", "/pages/1"), ("GET", "/pages/2"), ("POST", "/orders"))
        )
        self.submit(entry, builders.build_call(name, method, path))

    def _carry_out(self, number: int, command: node.Command) -> None:
        match command:
            case node.RunOnServer() | node.SendToPeer():
                server = number
                if isinstance(command, node.SendToPeer):
                    server = command.address.port - 7000
                self._run_attempt(
                    number, server, command.call, command.attempt
                )
            case node.SendMessage():
                self._send(number, command)
            case node.ReadRollout():
                self._read_row(number, command)
            case node.WriteRollout():
                self._write_row(number, command)
            case node.ProbeServer():
                self.after(
                    LATENCY_S,
                    lambda: self.submit(
                        number,
                        node.ProbeEnded(is_healthy=True, elapsed_s=LATENCY_S),
                    ),
                )
            case node.RefuseCall():
                self.refused += 1
            case node.DeliverAnswer():
                self.after(
                    0.0,
                    lambda: self.submit(
                        number, node.CallEnded(call=command.call)
                    ),
                )
            case node.WriteRecord():
                self.records.append(command.record)
            case _:
                pass

    def _run_attempt(
        self,
        entry: int,
        server: int,
        call: ids.CallId,
        attempt: ids.AttemptId,
    ) -> None:
        version = self.versions[server]
        self.sent[version] += 1
        self.sent_at.append((self.now, entry, version))
        known = self.states[entry].rollouts.states.get((SHOP, FIRST))
        if version == NEW and (
            known is None or known.phase is node.RolloutPhase.RUNNING
        ):
            self.exposed += 1
        if known is not None and known.phase is node.RolloutPhase.REVERTED:
            self.sent_after_reversal += version == NEW
        is_error = self.rng.random() < self.error_shares.get(version, 0.0)
        response_s = self.response_s.get(version, 0.02)
        elapsed_s = self.rng.uniform(0.7, 1.3) * response_s

        state = self.states[entry]

        def answer() -> None:
            if self.states[entry] is not state:
                return
            if entry == server:
                self.submit(
                    entry,
                    node.WorkEnded(
                        attempt=attempt,
                        outcome=(
                            node.ServerOutcome.ERRORED
                            if is_error
                            else node.ServerOutcome.ANSWERED
                        ),
                        head_s=elapsed_s,
                    ),
                )
            self.submit(
                entry,
                node.AttemptAnswered(
                    call=call, attempt=attempt, is_error=is_error, load=None
                ),
            )

        def fail() -> None:
            self.submit(
                entry,
                node.AttemptFailed(
                    call=call,
                    attempt=attempt,
                    run=node.RunState.NOT_RUN,
                    reason=node.Reason.PEER_UNREACHABLE,
                    load=None,
                    is_body_consumed=False,
                ),
            )

        is_reached = server in self.alive and not self._is_cut(entry, server)
        self.after(elapsed_s, answer if is_reached else fail)

    def _is_cut(self, one: int, other: int) -> bool:
        return one != other and (one in self.cut) != (other in self.cut)

    def _send(self, number: int, command: node.SendMessage) -> None:
        receiver = command.address.port - 7000
        if (
            self._is_cut(number, receiver)
            or self.rng.random() < self.message_loss
        ):
            return
        event = node.MessageReceived(message=command.message)
        self.after(LATENCY_S, lambda: self.submit(receiver, event))

    def _read_row(self, number: int, command: node.ReadRollout) -> None:
        is_success = self.store.is_up and number not in self.cut
        row = self.store.row if is_success else None
        self.after(
            STORE_S,
            lambda: self.submit(
                number,
                node.RolloutRead(
                    service=command.service, row=row, is_success=is_success
                ),
            ),
        )

    def _write_row(self, number: int, command: node.WriteRollout) -> None:
        def execute() -> None:
            written = None
            is_conflict = False
            if self.store.is_up and number not in self.cut:
                written = self.store.write(command.row, command.etag)
                is_conflict = written is None
            if self.store.loses_answers:
                written, is_conflict = None, False
            self.after(
                STORE_S,
                lambda: self.submit(
                    number,
                    node.RolloutWritten(
                        service=command.service,
                        row=written,
                        is_conflict=is_conflict,
                    ),
                ),
            )

        # A write whose answer is lost may be executed much later.
        delay_s = STORE_S
        if self.store.loses_answers:
            delay_s = self.rng.uniform(0.0, 3.0)
        self.after(delay_s, execute)


def build_order(
    order: str = "1",
    version: ids.ServerVersion = NEW,
    *,
    duration_s: float = 12.0,
    problem: str = "",
) -> configuration.RolloutOrder:
    """Build an order of a roll-out."""
    return configuration.RolloutOrder(
        service=SHOP,
        version=version,
        duration_s=duration_s,
        order=ids.OrderId(order),
        problem=problem,
    )
