"""An emulated fleet whose callers show keys, under virtual time.

Runs the real cores of many nodes.  The store answers reads that wait for a
change, refuses some nodes, or is away; datagrams are lost, delayed and
reordered; nodes are frozen and restarted.  Requests are only admitted or
refused: no backend server runs them.
"""

import collections
import collections.abc
import dataclasses
import functools
import heapq
import math
import random
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node

from marjoramledge_standins import builders

REVOCATION_LIMIT_S: typing.Final = 5.0
MIN_DELAY_S: typing.Final = 0.0003
MAX_DELAY_S: typing.Final = 0.0045
STORE_DELAY_S: typing.Final = 0.005
STORE_TIMEOUT_S: typing.Final = 1.5
FETCH_S: typing.Final = 0.03
ZONES: typing.Final = ("z0", "z1", "z2")

Action = collections.abc.Callable[[], None]


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Disturbances of the links; delays are in seconds."""

    loss: float = 0.0
    late_share: float = 0.0
    max_late_s: float = 0.0
    store_late_s: float = 0.0
    hangs_at_store: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class _Node:
    state: node.NodeState
    run: int
    wakes_at: float = math.inf
    frozen_until: float = 0.0
    held: list[node.Event] = dataclasses.field(default_factory=list)


class AccessFleet:
    """Nodes, a store and callers with keys.

    Parameters
    ----------
    count
        Number of nodes; they are spread over three zones.
    seed
        Seed of all randomness.
    limit_s
        Bound of a revocation.
    """

    def __init__(
        self, *, count: int, seed: int, limit_s: float = REVOCATION_LIMIT_S
    ) -> None:
        self.now = 100.0
        self.rng = random.Random(seed)
        self.faults = Faults()
        self.refused_by_store: set[int] = set()
        self.is_store_away = False
        self.cut: set[tuple[int, int]] = set()
        self.messages: collections.Counter[int] = collections.Counter()
        self.reads: list[float] = []
        self._limit_s = limit_s
        self._queue: list[tuple[float, int, Action]] = []
        self._sequence = 0
        self._calls = 0
        self._ref = configuration.NO_VERSION
        self._contents: dict[ids.Digest, configuration.Configuration] = {}
        self._waiting: dict[int, tuple[int, Action]] = {}
        self.publish({"k0"})
        self._nodes: list[_Node] = []
        for number in range(count):
            self._nodes.append(self._start(number, 1))
        for number in range(count):
            self._join(number)

    @property
    def count(self) -> int:
        """Number of nodes."""
        return len(self._nodes)

    def publish(self, keys: collections.abc.Set[str]) -> None:
        """Accept a configuration with these keys, and acknowledge it now."""
        ref = builders.build_ref(self._ref.version + 1)
        plain = builders.build_configuration(zones=ZONES)
        self._contents[ref.digest] = configuration.Configuration(
            organisation="garden",
            services=tuple(plain.services.values()),
            zones=tuple(plain.zones.values()),
            kinds=plain.kinds,
            measuring=plain.measuring,
            default_deadline_s=plain.default_deadline_s,
            workspaces=configuration.WorkspaceTable(
                configuration.Workspace(
                    name=ids.WorkspaceName(key),
                    key_digests=frozenset(
                        {configuration.digest_key(key.encode())}
                    ),
                )
                for key in keys
            ),
        )
        self._ref = ref
        waiting, self._waiting = self._waiting, {}
        for _, answer in waiting.values():
            answer()

    def request(self, number: int, key: str) -> node.Reason | None:
        """Send a request; return why it is refused, or None if it runs."""
        self._calls += 1
        event = dataclasses.replace(
            builders.build_call(f"c{self._calls}"),
            credentials=(f"Bearer {key}",),
        )
        state = self._nodes[number].state
        commands = self._handle(number, event)
        call = event.call
        for command in commands:
            if isinstance(command, node.RefuseCall):
                return command.reason
        # The request is abandoned at once.
        node.handle(
            state, node.CallerDisconnected(call=call), self.now, self.rng
        )
        for command in commands:
            if isinstance(command, node.RunOnServer):
                ended = node.WorkEnded(
                    attempt=command.attempt,
                    outcome=node.ServerOutcome.CANCELLED,
                    head_s=0.0,
                )
                node.handle(state, ended, self.now, self.rng)
        return None

    def is_frozen(self, number: int) -> bool:
        """Return whether a node is frozen now."""
        return self._nodes[number].frozen_until > self.now

    def age_s(self, number: int) -> float:
        """Return the age of a node's confirmation."""
        return self._nodes[number].state.confirmation.age_s(self.now)

    def freeze(self, number: int, seconds: float) -> None:
        """Freeze a node; it gets what arrives meanwhile when it resumes."""
        frozen = self._nodes[number]
        frozen.frozen_until = self.now + seconds
        run = frozen.run

        def resume() -> None:
            current = self._nodes[number]
            if current.run != run or self.is_frozen(number):
                return
            held, current.held = current.held, []
            for event in held:
                self._submit(number, run, event)
            self._arm(number, force=True)

        self._push(seconds + 1e-6, resume)

    def restart(self, number: int) -> None:
        """Replace a node's process by a new one at once."""
        self._waiting.pop(number, None)
        run = self._nodes[number].run + 1
        self._nodes[number] = self._start(number, run)
        self._join(number)

    def cut_off(
        self, numbers: collections.abc.Collection[int], is_cut: bool
    ) -> None:
        """Cut some nodes off from the others, or connect them again."""
        for one in numbers:
            for other in range(self.count):
                if other in numbers:
                    continue
                for pair in ((one, other), (other, one)):
                    if is_cut:
                        self.cut.add(pair)
                    else:
                        self.cut.discard(pair)

    def at(self, after_s: float, action: Action) -> None:
        """Do something later."""
        self._push(after_s, action)

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            at, _, action = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            action()
        self.now = until

    def _start(self, number: int, run: int) -> _Node:
        state = node.create_state(
            identity=node.Identity(
                node=ids.NodeId(f"n{number:04}"),
                address=self._address(number),
                zone=ids.ZoneName(ZONES[number % len(ZONES)]),
                incarnation=run,
            ),
            seeds=(),
            options=node.Options(
                stop_limit_s=30.0,
                waits_for_version=True,
                revocation_limit_s=self._limit_s,
            ),
            now=self.now,
        )
        return _Node(state=state, run=run)

    def _join(self, number: int) -> None:
        members = tuple(each.state.membership.myself for each in self._nodes)
        run = self._nodes[number].run
        for event in (
            node.MembersReceived(members=members),
            node.ServerAnnounced(server=builders.build_server(slots=1000)),
        ):
            self._submit(number, run, event)

    def _address(self, number: int) -> node.Address:
        return node.Address(host="127.0.0.1", port=7000 + number)

    def _push(self, delay_s: float, action: Action) -> None:
        self._sequence += 1
        heapq.heappush(
            self._queue, (self.now + delay_s, self._sequence, action)
        )

    def _submit(self, number: int, run: int, event: node.Event) -> None:
        target = self._nodes[number]
        if target.run != run:
            return
        if self.is_frozen(number):
            target.held.append(event)
            return
        self._handle(number, event)

    def _handle(self, number: int, event: node.Event) -> list[node.Command]:
        state = self._nodes[number].state
        commands = node.handle(state, event, self.now, self.rng)
        for command in commands:
            self._carry_out(number, command)
        self._arm(number)
        return commands

    def _arm(self, number: int, *, force: bool = False) -> None:
        target = self._nodes[number]
        wakeup = node.next_wakeup(target.state)
        if wakeup is None or (wakeup >= target.wakes_at and not force):
            return
        target.wakes_at = wakeup
        run = target.run

        def wake() -> None:
            current = self._nodes[number]
            if current.run != run or current.wakes_at != wakeup:
                return
            current.wakes_at = math.inf
            if not self.is_frozen(number):
                self._handle(number, node.TimePassed())

        self._push(max(0.0, wakeup - self.now), wake)

    def _carry_out(self, number: int, command: node.Command) -> None:
        match command:
            case node.SendMessage():
                self._send(number, command)
            case node.ReadVersion():
                self._read(number, command)
            case node.FetchManifest():
                self._fetch(number, command)
            case _:
                pass

    def _send(self, number: int, command: node.SendMessage) -> None:
        self.messages[number] += 1
        other = command.address.port - 7000
        if (number, other) in self.cut:
            return
        if self.rng.random() < self.faults.loss:
            return
        delay_s = self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
        if self.rng.random() < self.faults.late_share:
            delay_s += self.rng.uniform(0.0, self.faults.max_late_s)
        event = node.MessageReceived(message=command.message)

        def deliver() -> None:
            # The address stays when the process is replaced.
            self._submit(other, self._nodes[other].run, event)

        self._push(delay_s, deliver)

    def _read(self, number: int, command: node.ReadVersion) -> None:
        self.reads.append(self.now)
        run, started_at = self._nodes[number].run, self.now
        self._sequence += 1
        read = self._sequence

        def end(ref: configuration.VersionRef | None) -> None:
            if ref is not None:
                self._submit(
                    number,
                    run,
                    node.VersionRead(ref=ref, started_at=started_at),
                )
            self._submit(
                number,
                run,
                node.VersionReadEnded(
                    is_success=ref is not None,
                    is_confirming=command.is_confirming,
                ),
            )

        def answer() -> None:
            delay_s = STORE_DELAY_S
            delay_s += self.rng.uniform(0.0, self.faults.store_late_s)
            ref = None if self._is_refused(number) else self._ref
            self._push(delay_s, functools.partial(end, ref))

        def arrive() -> None:
            if self._is_refused(number):
                hangs = self.faults.hangs_at_store
                self._push(
                    STORE_TIMEOUT_S if hangs else STORE_DELAY_S,
                    functools.partial(end, None),
                )
                return
            held = self._nodes[number].state.versions.ref
            if not command.wait_s or self._ref.version > held.version:
                answer()
                return
            self._waiting[number] = (read, answer)

            def end_wait() -> None:
                waiting = self._waiting.get(number)
                if waiting is not None and waiting[0] == read:
                    del self._waiting[number]
                    answer()

            self._push(command.wait_s, end_wait)

        self._push(STORE_DELAY_S, arrive)

    def _is_refused(self, number: int) -> bool:
        return self.is_store_away or number in self.refused_by_store

    def _fetch(self, number: int, command: node.FetchManifest) -> None:
        run, ref = self._nodes[number].run, command.ref
        event: node.Event = node.ManifestFetched(
            ref=ref, configuration=self._contents[ref.digest]
        )
        if command.source is None:
            is_there = not self._is_refused(number)
        else:
            other = command.source.port - 7000
            is_there = (
                (number, other) not in self.cut
                and not self.is_frozen(other)
                and self._nodes[other].state.versions.ref == ref
            )
        if not is_there:
            event = node.ManifestFailed(ref=ref, detail="not available")
        self._push(
            FETCH_S, functools.partial(self._submit, number, run, event)
        )
