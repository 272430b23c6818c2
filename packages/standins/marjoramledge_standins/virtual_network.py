"""An emulated network of several node cores under virtual time.

Delivers their datagrams and member exchanges, with configurable loss, delay,
duplication and reordering, and emulates the platform's table and object
store.  It covers membership and configuration only and carries no calls.
"""

import collections.abc
import dataclasses
import functools
import heapq
import random
import sys
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node

from marjoramledge_standins import builders

EXCHANGE_S: typing.Final = 0.005
DEFAULT_SERVER: typing.Final = builders.build_server()


@dataclasses.dataclass(slots=True, kw_only=True)
class Link:
    """Probabilities of loss and duplication, and delays of datagrams."""

    loss: float = 0.0
    duplication: float = 0.0
    min_delay_s: float = 0.0005
    max_delay_s: float = 0.003


class Store:
    """The part of the platform's table and object store that nodes use."""

    def __init__(self) -> None:
        self.is_up = True
        self.ref = configuration.NO_VERSION
        self.contents: dict[ids.Digest, configuration.Configuration] = {}
        self.members: dict[ids.NodeId, node.Member] = {}
        self.reads = 0
        self.writes = 0

    def accept(self, version: int, *, closed_zone: str = "") -> None:
        """Store a new version, as an operator's conditional write does."""
        ref = builders.build_ref(version)
        self.contents[ref.digest] = builders.build_configuration(
            closed_zone=closed_zone
        )
        self.ref = ref


class Network:
    """Several node cores, the links between them and the store.

    Parameters
    ----------
    count
        Number of nodes.
    seed
        Seed of all randomness.
    uses_store
        Whether nodes discover each other through the table; if not, through
        one seed address.
    max_rows
        Rows of other nodes that a node takes from the table at most.
    """

    def __init__(
        self,
        *,
        count: int,
        seed: int,
        uses_store: bool = True,
        max_rows: int = sys.maxsize,
    ) -> None:
        self.now = 100.0
        self.rng = random.Random(seed)
        self.link = Link()
        self.store = Store()
        self.uses_store = uses_store
        self.max_rows = max_rows
        self.nodes: dict[node.Address, node.NodeState] = {}
        self.paused: set[node.Address] = set()
        self.cut: set[frozenset[node.Address]] = set()
        self.records: list[tuple[float, ids.NodeId, node.Record]] = []
        self.sent_messages = 0
        self._queue: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._sequence = 0
        for number in range(count):
            self.start(number)

    @staticmethod
    def address(number: int) -> node.Address:
        """Return the address of a node."""
        return node.Address(host="127.0.0.1", port=7000 + number)

    def start(
        self,
        number: int,
        incarnation: int = 1,
        *,
        server: node.Server | None = DEFAULT_SERVER,
    ) -> None:
        """Start or restart a node, and announce its backend server."""
        address = self.address(number)
        seeds = () if self.uses_store else (self.address(0),)
        self.nodes[address] = node.create_state(
            identity=node.Identity(
                node=ids.NodeId(f"n{number}"),
                address=address,
                zone=ids.ZoneName(self.zone_of(number)),
                incarnation=incarnation,
            ),
            seeds=seeds,
            options=self.make_options(),
            now=self.now,
        )
        if server is not None:
            self.submit(address, node.ServerAnnounced(server=server))

    def make_options(self) -> node.Options:
        """Build the options that nodes start with."""
        return node.Options(stop_limit_s=30.0)

    def zone_of(self, number: int) -> str:
        """Return the name of a node's zone."""
        return "north" if number % 2 else "south"

    def kill(self, number: int) -> None:
        """Remove a node without notice, as a crash does."""
        del self.nodes[self.address(number)]

    def pause(self, number: int, seconds: float) -> None:
        """Freeze a node for some time; events sent to it are delayed."""
        address = self.address(number)
        self.paused.add(address)
        self._push(seconds, lambda: self.paused.discard(address))

    def submit(self, address: node.Address, event: node.Event) -> None:
        """Let a node handle an event, after its pause if it is paused."""
        state = self.nodes.get(address)
        if state is None:
            return
        if address in self.paused:
            self._push(0.05, lambda: self.submit(address, event))
            return
        for command in node.handle(state, event, self.now, self.rng):
            self._carry_out(address, state, command)

    def run(self, seconds: float) -> None:
        """Advance the clock, running due events and wakeups of all nodes."""
        until = self.now + seconds
        while True:
            due = self._next_due()
            if due is None or due > until:
                break
            self.now = max(self.now, due)
            while self._queue and self._queue[0][0] <= self.now:
                heapq.heappop(self._queue)[2]()
            for address, state in list(self.nodes.items()):
                wakeup = node.next_wakeup(state)
                is_due = wakeup is not None and wakeup <= self.now
                if is_due and address not in self.paused:
                    self.submit(address, node.TimePassed())
        self.now = until

    def view(self, number: int) -> dict[str, node.MemberStatus]:
        """Return the statuses of all members as one node sees them."""
        members = self.nodes[self.address(number)].membership.members
        return {name: member.status for name, member in members.items()}

    def is_agreed(self) -> bool:
        """Return whether all nodes see exactly the running nodes as alive."""
        running = {state.node for state in self.nodes.values()}
        return all(
            {
                name
                for name, member in state.membership.members.items()
                if member.status is node.MemberStatus.ALIVE
            }
            == running
            for state in self.nodes.values()
        )

    def versions(self) -> set[int]:
        """Return the configuration versions in force on any node."""
        return {state.versions.ref.version for state in self.nodes.values()}

    def is_cut(self, one: node.Address, other: node.Address) -> bool:
        """Return whether the link between two nodes is cut."""
        return frozenset((one, other)) in self.cut

    def _next_due(self) -> float | None:
        wakeups = [
            wakeup
            for address, state in self.nodes.items()
            if address not in self.paused
            and (wakeup := node.next_wakeup(state)) is not None
        ]
        if self._queue:
            wakeups.append(self._queue[0][0])
        return min(wakeups, default=None)

    def _push(
        self, delay_s: float, action: collections.abc.Callable[[], None]
    ) -> None:
        self._sequence += 1
        heapq.heappush(
            self._queue, (self.now + delay_s, self._sequence, action)
        )

    def _carry_out(
        self,
        address: node.Address,
        state: node.NodeState,
        command: node.Command,
    ) -> None:
        match command:
            case node.SendMessage():
                self._send(address, command)
            case node.SyncMembers():
                self._push(
                    EXCHANGE_S, lambda: self._sync(address, command.address)
                )
            case node.RegisterMember():
                self._register(address)
            case node.ReadVersion():
                if self.store.is_up:
                    self.store.reads += 1
                    ref = self.store.ref
                    self._reply(address, node.VersionRead(ref=ref))
            case node.FetchManifest():
                self._reply(address, self._fetch(address, command))
            case node.WriteRecord():
                self.records.append((self.now, state.node, command.record))
            case _:
                pass

    def _send(self, sender: node.Address, command: node.SendMessage) -> None:
        self.sent_messages += 1
        copies = 2 if self.rng.random() < self.link.duplication else 1
        if self.is_cut(sender, command.address):
            return
        for _ in range(copies):
            if self.rng.random() < self.link.loss:
                continue
            delay_s = self.rng.uniform(
                self.link.min_delay_s, self.link.max_delay_s
            )
            event = node.MessageReceived(message=command.message)
            deliver = functools.partial(self.submit, command.address, event)
            self._push(delay_s, deliver)

    def _sync(self, one: node.Address, other: node.Address) -> None:
        states = self.nodes.get(one), self.nodes.get(other)
        is_away = one in self.paused or other in self.paused
        if None in states or is_away or self.is_cut(one, other):
            return
        for receiver, sender in ((other, one), (one, other)):
            state = self.nodes[sender]
            event = node.MembersReceived(
                members=tuple(state.membership.members.values()),
                suspicions=state.quarantine.list_suspicions(self.now),
            )
            self.submit(receiver, event)

    def _register(self, address: node.Address) -> None:
        if not self.uses_store or not self.store.is_up:
            return
        self.store.writes += 1
        self.store.reads += 1
        myself = self.nodes[address].membership.myself
        self.store.members[myself.node] = node.build_stored_member(
            node=myself.node,
            address=myself.address,
            zone=myself.zone,
            service=myself.service,
            slots=myself.slots,
        )
        rows = list(self.store.members.values())
        if len(rows) > self.max_rows:
            rows = self.rng.sample(rows, self.max_rows)
        read = tuple(rows)
        self._reply(address, node.StoredMembersRead(members=read))

    def _fetch(
        self, address: node.Address, command: node.FetchManifest
    ) -> node.Event:
        ref = command.ref
        if command.source is None:
            is_stored = ref.digest in self.store.contents
            has_content = self.store.is_up and is_stored
        else:
            peer = self.nodes.get(command.source)
            has_content = (
                peer is not None
                and peer.versions.ref == ref
                and not self.is_cut(address, command.source)
            )
        if not has_content:
            return node.ManifestFailed(ref=ref, detail="not available")
        return node.ManifestFetched(
            ref=ref, configuration=self.store.contents[ref.digest]
        )

    def _reply(self, address: node.Address, event: node.Event) -> None:
        self._push(EXCHANGE_S, lambda: self.submit(address, event))
