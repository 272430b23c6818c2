"""A network whose links have a speed, over which a configuration spreads.

Adds to ``virtual_network`` what a large configuration meets: each node sends
and receives through a link of its own, one document after the other; nodes
follow the store with reads that wait for a change; a node that has read a
version keeps its content, and what a peer sends too late is thrown away.
"""

import collections
import dataclasses
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import peers

from marjoramledge_standins import builders
from marjoramledge_standins import virtual_network

# The store gives rows as text, in base64.
STORE_OVERHEAD: typing.Final = 4.0 / 3.0


class LinkedNetwork(virtual_network.Network):
    """Nodes in zones behind links of one speed.

    Parameters
    ----------
    count, seed
        As of ``Network``.
    zones
        Availability zones that the nodes are spread over.
    bytes_per_s
        Speed of each link, either way.
    """

    def __init__(
        self, *, count: int, seed: int, zones: int, bytes_per_s: float
    ) -> None:
        self._zones = zones
        self._bytes_per_s = bytes_per_s
        self._sending_until: dict[node.Address, float] = {}
        self._receiving_until: dict[node.Address, float] = {}
        self._waiting: dict[node.Address, int] = {}
        self._read: dict[node.Address, configuration.VersionRef] = {}
        self._content = b""
        self._fetching: set[tuple[node.Address, ids.Digest]] = set()
        self.sent_bytes: collections.Counter[node.Address] = (
            collections.Counter()
        )
        self.repeated_fetches = 0
        super().__init__(count=count, seed=seed)

    def make_options(self) -> node.Options:
        """Make the options of a node that follows the store."""
        return node.Options(stop_limit_s=30.0, waits_for_version=True)

    def zone_of(self, number: int) -> str:
        """Name the zone of a node."""
        return f"z{number % self._zones}"

    def accept(self, version: int, content: bytes) -> None:
        """Accept a version; those that wait for a change read it."""
        self._content = content
        self.store.accept(version)
        self._answer_waiting()

    def renumber(self, version: int) -> None:
        """Name the content in force by a later version of the store."""
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
                self._wait_version(address, state, command)
            case node.FetchManifest():
                self._start_fetch(address, command)
            case _:
                super()._carry_out(address, state, command)

    def _wait_version(
        self,
        address: node.Address,
        state: node.NodeState,
        command: node.ReadVersion,
    ) -> None:
        if self.store.ref.version > state.versions.ref.version:
            self._send_rows(address)
            return
        self._pushed += 1
        number = self._pushed
        self._waiting[address] = number
        self._push(command.wait_s, lambda: self._end_wait(address, number))

    def _end_wait(self, address: node.Address, number: int) -> None:
        if self._waiting.get(address) == number:
            del self._waiting[address]
            self.submit(address, node.VersionReadEnded(is_success=True))

    def _send_rows(self, address: node.Address) -> None:
        """Send the operator's rows to a node that follows the store."""
        ref = self.store.ref
        size = STORE_OVERHEAD * len(self._content)
        came_at = self._receive(address, self.now, size)

        def arrive() -> None:
            self._read[address] = ref
            self.submit(address, node.VersionRead(ref=ref))
            self.submit(address, node.VersionReadEnded(is_success=True))

        self._push(came_at - self.now, arrive)

    def _start_fetch(
        self, address: node.Address, command: node.FetchManifest
    ) -> None:
        if command.source is None:
            read = self._read.get(address)
            is_kept = read is not None and read.digest == command.ref.digest
            self._end_fetch(address, command, is_kept, 0.0)
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
        self._note_fetch(address, command.ref.digest)
        size = builders.wire_size(self._content)
        self.sent_bytes[command.source] += size
        begun_at = max(self.now, self._sending_until.get(command.source, 0.0))
        sent_at = begun_at + size / self._bytes_per_s
        self._sending_until[command.source] = sent_at
        came_at = self._receive(address, sent_at, size)
        took_s = came_at - self.now
        if took_s > peers.PEER_TIMEOUT_S:
            self._end_fetch(address, command, False, peers.PEER_TIMEOUT_S)
        else:
            self._end_fetch(address, command, True, took_s)

    def _note_fetch(self, address: node.Address, digest: ids.Digest) -> None:
        key = (address, digest)
        self.repeated_fetches += key in self._fetching
        self._fetching.add(key)

    def _end_fetch(
        self,
        address: node.Address,
        command: node.FetchManifest,
        is_had: bool,
        after_s: float,
    ) -> None:
        event: node.Event = node.ManifestFailed(
            ref=command.ref, detail="not to be had"
        )
        if is_had:
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
        """Take bytes through a node's link; tell when the last one is in."""
        begun_at = max(
            self._receiving_until.get(address, 0.0),
            sent_at - size / self._bytes_per_s,
        )
        came_at = max(sent_at, begun_at + size / self._bytes_per_s)
        self._receiving_until[address] = came_at
        return came_at + virtual_network.EXCHANGE_S
