"""An emulated network whose links have limited bandwidth.

Extends ``virtual_network`` with what matters for distributing a large
configuration: each node sends and receives documents one at a time over its
own link; nodes follow the store with long-polling reads; a node that has read
a version keeps its content, and a peer's response that begins or ends after
the timeouts is discarded.
"""

import collections
import dataclasses
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import peers
from marjoramledge_store import followed

from marjoramledge_standins import builders
from marjoramledge_standins import virtual_network

# The store returns rows as base64 text.
STORE_OVERHEAD: typing.Final = 4.0 / 3.0
# Half a second less than the promised time for a version to be in force.
OUTDATED_LIMIT_S: typing.Final = 2.0


class LinkedNetwork(virtual_network.Network):
    """Nodes in several zones, each with a link of the same bandwidth.

    Parameters
    ----------
    count, seed
        As for ``Network``.
    zones
        Number of availability zones that the nodes are spread over.
    bytes_per_s
        Bandwidth of each link, in each direction.
    """

    def __init__(
        self, *, count: int, seed: int, zones: int, bytes_per_s: float
    ) -> None:
        self._zones = zones
        self._bytes_per_s = bytes_per_s
        self._narrow: dict[node.Address, tuple[float, float]] = {}
        self._sending_until: dict[node.Address, float] = {}
        self._receiving_until: dict[node.Address, float] = {}
        self._waiting: dict[node.Address, int] = {}
        self._last_read: dict[node.Address, configuration.VersionRef] = {}
        self._content = b""
        self._fetching: set[tuple[node.Address, ids.Digest]] = set()
        self.sent_bytes: collections.Counter[node.Address] = (
            collections.Counter()
        )
        self.repeated_fetches = 0
        super().__init__(count=count, seed=seed)

    def make_options(self) -> node.Options:
        """Build the options of nodes that follow the store."""
        return node.Options(
            stop_limit_s=30.0,
            waits_for_version=True,
            outdated_limit_s=OUTDATED_LIMIT_S,
        )

    def zone_of(self, number: int) -> str:
        """Return the name of a node's zone."""
        return f"z{number % self._zones}"

    def accept(self, version: int, content: bytes) -> None:
        """Store a new version and answer the reads that wait for one."""
        self._content = content
        self.store.accept(version)
        self.store.contents[self.store.ref.digest] = (
            builders.build_configuration(
                zones=tuple(self.zone_of(zone) for zone in range(self._zones))
            )
        )
        self._answer_waiting()

    def narrow(self, number: int, bytes_per_s: float, loss: float) -> None:
        """Leave a node this bandwidth, and drop a share of its datagrams."""
        self._narrow[self.address(number)] = (bytes_per_s, loss)

    def serves_call(self, name: ids.NodeId) -> bool:
        """Submit a caller's request to a node; return if it is served."""
        state = next(s for s in self.nodes.values() if s.node == name)
        commands = node.handle(
            state, builders.build_call("c"), self.now, self.rng
        )
        return not any(isinstance(c, node.RefuseCall) for c in commands)

    def _send(self, sender: node.Address, command: node.SendMessage) -> None:
        for address in (sender, command.address):
            _bandwidth, loss = self._narrow.get(address, (0.0, 0.0))
            if loss and self.rng.random() < loss:
                return
        super()._send(sender, command)

    def _bandwidth(self, address: node.Address) -> float:
        narrow = self._narrow.get(address)
        return self._bytes_per_s if narrow is None else narrow[0]

    def fall_silent(self, left_s: float) -> None:
        """Let the store answer nothing any more.

        The reads that wait for a change are lost; they began together, at the
        last change, and would have waited for ``left_s`` more.
        """
        self.store.is_up = False
        waiting, self._waiting = self._waiting, {}
        for address in waiting:
            self._lose_read(address, left_s)

    def _lose_read(self, address: node.Address, wait_s: float) -> None:
        """End a read that gets no answer at its time limit."""
        self._push(
            wait_s + followed.CALL_TIMEOUT_S,
            lambda: self.submit(
                address, node.VersionReadEnded(is_success=False)
            ),
        )

    def renumber(self, version: int) -> None:
        """Give the current content a later version number."""
        self.store.ref = dataclasses.replace(
            self.store.ref, version=builders.build_ref(version).version
        )
        self._answer_waiting()

    def _answer_waiting(self) -> None:
        waiting, self._waiting = self._waiting, {}
        for address in waiting:
            self._send_rows(address)

    def _carry_out(
        self,
        address: node.Address,
        state: node.NodeState,
        command: node.Command,
    ) -> None:
        match command:
            case node.ReadVersion():
                self._await_version(address, state, command)
            case node.FetchManifest():
                self._start_fetch(address, command)
            case _:
                super()._carry_out(address, state, command)

    def _await_version(
        self,
        address: node.Address,
        state: node.NodeState,
        command: node.ReadVersion,
    ) -> None:
        if not self.store.is_up:
            self._lose_read(address, command.wait_s)
            return
        if self.store.ref.version > state.versions.ref.version:
            self._send_rows(address)
            return
        self._sequence += 1
        number = self._sequence
        self._waiting[address] = number
        self._push(command.wait_s, lambda: self._end_wait(address, number))

    def _end_wait(self, address: node.Address, number: int) -> None:
        if self._waiting.get(address) == number:
            del self._waiting[address]
            self.submit(address, node.VersionReadEnded(is_success=True))

    def _send_rows(self, address: node.Address) -> None:
        """Send the rows of the current version to a node."""
        ref = self.store.ref
        size = STORE_OVERHEAD * len(self._content)
        arrived_at = self._receive(address, self.now, size)

        def arrive() -> None:
            self._last_read[address] = ref
            self.submit(address, node.VersionRead(ref=ref))
            self.submit(address, node.VersionReadEnded(is_success=True))

        self._push(arrived_at - self.now, arrive)

    def _start_fetch(
        self, address: node.Address, command: node.FetchManifest
    ) -> None:
        if command.source is None:
            read = self._last_read.get(address)
            is_stored = read is not None and read.digest == command.ref.digest
            self._end_fetch(address, command, is_stored, 0.0)
            return
        peer = self.nodes.get(command.source)
        is_served = (
            peer is not None and peer.versions.ref.digest == command.ref.digest
        )
        if not is_served:
            self._end_fetch(
                address, command, False, virtual_network.EXCHANGE_S
            )
            return
        self._count_repeated_fetch(address, command.ref.digest)
        size = builders.wire_size(self._content)
        self.sent_bytes[command.source] += size
        begun_at = max(self.now, self._sending_until.get(command.source, 0.0))
        sent_at = begun_at + size / self._bandwidth(command.source)
        self._sending_until[command.source] = sent_at
        arrived_at = self._receive(address, sent_at, size)
        duration_s = arrived_at - self.now
        if begun_at - self.now > peers.MANIFEST_IDLE_S:
            self._end_fetch(address, command, False, peers.MANIFEST_IDLE_S)
        elif duration_s > peers.MANIFEST_TIMEOUT_S:
            self._end_fetch(address, command, False, peers.MANIFEST_TIMEOUT_S)
        else:
            self._end_fetch(address, command, True, duration_s)

    def _count_repeated_fetch(
        self, address: node.Address, digest: ids.Digest
    ) -> None:
        key = (address, digest)
        self.repeated_fetches += key in self._fetching
        self._fetching.add(key)

    def _end_fetch(
        self,
        address: node.Address,
        command: node.FetchManifest,
        is_success: bool,
        after_s: float,
    ) -> None:
        event: node.Event = node.ManifestFailed(
            ref=command.ref, detail="not available"
        )
        if is_success:
            event = node.ManifestFetched(
                ref=command.ref,
                configuration=self.store.contents[command.ref.digest],
            )

        def end() -> None:
            self._fetching.discard((address, command.ref.digest))
            self.submit(address, event)

        self._push(after_s, end)

    def _receive(
        self, address: node.Address, sent_at: float, size: float
    ) -> float:
        """Occupy a node's link and return when the last byte arrives."""
        duration_s = size / self._bandwidth(address)
        begun_at = max(
            self._receiving_until.get(address, 0.0), sent_at - duration_s
        )
        arrived_at = max(sent_at, begun_at + duration_s)
        self._receiving_until[address] = arrived_at
        return arrived_at + virtual_network.EXCHANGE_S
