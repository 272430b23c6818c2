"""Measures the cost of the control plane per node, at four fleet sizes.

One real core holds the members and receives generated messages at the rate
that 1,400 nodes with 548 restarts and failures and 2,600 changes a day cause
(the fleet size expected in two years).  The messages that it sends are encoded
and signed as a node does.  Memory is that of a real node process that has
received as many members.
"""

import asyncio
import dataclasses
import random
import time
import tracemalloc
import typing

import aiohttp
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _auth
from marjoramledge_node import _gossip_port
from marjoramledge_node import _wire
from marjoramledge_node import peers

from marjoramledge_standins import deployment
from marjoramledge_standins import measure_choice
from marjoramledge_standins import measurement

SIZES: typing.Final = (175, 350, 700, 1400)
MEASURED_S: typing.Final = 600.0
UPDATES_PER_RESTART: typing.Final = 5
RESTARTS_PER_DAY: typing.Final = 548
CHANGES_PER_DAY: typing.Final = 2600
STORE_SETTLED_S: typing.Final = 1200.0
STORE_MEASURED_S: typing.Final = 7200.0
DAY_S: typing.Final = 86400.0
# Copies of one membership update that a node receives by gossip.
UPDATE_COPIES: typing.Final = 3
UDP_HEADER_BYTES: typing.Final = 28
SELF: typing.Final = node.Address(host="10.99.0.1", port=8081)

BYTES_BOUND: typing.Final = 6000.0
CPU_BOUND: typing.Final = 0.016
RSS_BOUND_MB: typing.Final = 64.0


class _MeasuredNode:
    """One core with generated peers that answer it."""

    def __init__(self, *, count: int) -> None:
        self._rng = random.Random(1)
        self._keys = _auth.parse_keys(deployment.KEYS).unwrap()
        self._members = list(measure_choice.build_members(count))
        documents = measure_choice.build_documents()
        self._documents = documents
        declared = configuration.parse_documents(documents).unwrap()
        self._state = measure_choice.build_state(
            tuple(self._members), declared, self._rng
        )
        self._version = 1
        self._stamper = _auth.Stamper(run="vm-0000-01234567-")
        self._guard = node.ReplayGuard()
        self._inbox: list[tuple[float, bytes]] = []
        self.now = 0.0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.cpu_s = 0.0
        self.reads = 0
        self.registrations = 0

    def advance(self, seconds: float) -> None:
        """Advance the clock while peers answer and events arrive."""
        count = len(self._members)
        updates_per_s = UPDATES_PER_RESTART * RESTARTS_PER_DAY / DAY_S
        rates = {
            self._receive_ping: 1.0,
            self._receive_update: UPDATE_COPIES * updates_per_s * count / 1400,
            self._receive_version: CHANGES_PER_DAY / DAY_S,
        }
        end = self.now + seconds
        scheduled = [
            (self.now + self._rng.expovariate(rate), action)
            for action, rate in rates.items()
        ]
        while True:
            wakeup = node.next_wakeup(self._state)
            times = [at for at, _ in scheduled]
            times.extend(at for at, _ in self._inbox)
            times.append(end if wakeup is None else wakeup)
            self.now = max(self.now, min(times))
            if self.now >= end:
                return
            self._submit(node.TimePassed())
            self._deliver_inbox()
            for position, (at, action) in enumerate(scheduled):
                if at <= self.now:
                    action()
                    again = self.now + self._rng.expovariate(rates[action])
                    scheduled[position] = (again, action)

    def _deliver_inbox(self) -> None:
        due = [content for at, content in self._inbox if at <= self.now]
        self._inbox = [entry for entry in self._inbox if entry[0] > self.now]
        for content in due:
            self._receive(content)

    def _receive_ping(self) -> None:
        sender = self._rng.choice(self._members)
        self._receive(self._encode(self._build_message(sender, (sender,))))

    def _receive_update(self) -> None:
        sender = self._rng.choice(self._members)
        number = self._rng.randrange(len(self._members))
        known = self._members[number]
        changed = dataclasses.replace(known, incarnation=known.incarnation + 1)
        self._members[number] = changed
        updates = (sender, changed)
        self._receive(self._encode(self._build_message(sender, updates)))

    def _receive_version(self) -> None:
        self._version += 1
        began_at = time.process_time()
        declared = configuration.parse_documents(self._documents).unwrap()
        self.cpu_s += time.process_time() - began_at
        ref = configuration.VersionRef(
            version=ids.ConfigVersion(self._version), digest=ids.Digest("d")
        )
        self._submit(node.ManifestFetched(ref=ref, configuration=declared))

    def _build_message(
        self, sender: node.Member, updates: tuple[node.Member, ...]
    ) -> node.Message:
        return node.Message(
            kind=node.MessageKind.PING,
            sender=sender.node,
            sender_address=sender.address,
            sequence=1,
            target=ids.NodeId("self"),
            config=configuration.VersionRef(
                version=ids.ConfigVersion(1), digest=ids.Digest("0" * 64)
            ),
            updates=updates,
            suspicions=(),
        )

    def _encode(
        self, message: node.Message, receiver: node.Address = SELF
    ) -> bytes:
        return _gossip_port.encode_datagram(
            self._keys, self._stamper, receiver, message, self.now
        )

    def _receive(self, content: bytes) -> None:
        self.received_bytes += len(content) + UDP_HEADER_BYTES
        began_at = time.process_time()
        envelope = _wire.decode_envelope(content).unwrap()
        signed = _auth.signed_message_content(
            envelope.stamp, SELF, envelope.payload
        )
        if not self._keys.verify(envelope.key_id, envelope.mac, signed):
            raise AssertionError("a generated message has a wrong signature")
        self._guard.accept(envelope.stamp.run, envelope.stamp.number)
        message = _wire.decode_message(envelope.payload, self.now).unwrap()
        self.cpu_s += time.process_time() - began_at
        self._submit(node.MessageReceived(message=message))

    def _submit(self, event: node.Event) -> None:
        began_at = time.process_time()
        commands = node.handle(self._state, event, self.now, self._rng)
        sent = [c for c in commands if isinstance(c, node.SendMessage)]
        syncs = [c for c in commands if isinstance(c, node.SyncMembers)]
        for command in commands:
            self.reads += isinstance(command, node.ReadVersion)
            self.registrations += isinstance(command, node.RegisterMember)
        contents = [self._encode(c.message, c.address) for c in sent]
        self.cpu_s += time.process_time() - began_at
        if syncs:
            self._exchange_members()
        for command, content in zip(sent, contents, strict=True):
            self.sent_bytes += len(content) + UDP_HEADER_BYTES
            if command.message.kind is node.MessageKind.PING:
                self._answer(command.message)

    def _exchange_members(self) -> None:
        """Exchange member lists, once as the client and once as the server.

        On average, each node serves as many exchanges as it starts.
        """
        began_at = time.process_time()
        content = _wire.encode_members(self._members)
        _wire.decode_members(content).unwrap()
        self.cpu_s += 2 * (time.process_time() - began_at)
        self.sent_bytes += 2 * len(content)
        self.received_bytes += 2 * len(content)

    def _answer(self, ping: node.Message) -> None:
        (target,) = [
            member for member in self._members if member.node == ping.target
        ]
        ack = node.Message(
            kind=node.MessageKind.ACK,
            sender=target.node,
            sender_address=target.address,
            sequence=ping.sequence,
            target=target.node,
            config=ping.config,
            updates=(target,),
            suspicions=(),
        )
        self._inbox.append((self.now + 0.002, self._encode(ack)))


async def run() -> list[measurement.Measure]:
    """Run at four fleet sizes; the targets apply to the largest."""
    measures: list[measurement.Measure] = []
    for count in SIZES:
        member = _MeasuredNode(count=count)
        member.advance(60.0)
        before = (member.sent_bytes + member.received_bytes, member.cpu_s)
        member.advance(MEASURED_S)
        total = member.sent_bytes + member.received_bytes - before[0]
        cpu_s = member.cpu_s - before[1]
        measures.extend(
            (
                measurement.make(
                    f"gossip_bytes_per_s_{count}",
                    total / MEASURED_S,
                    "B/s",
                    BYTES_BOUND,
                    int(MEASURED_S),
                ),
                measurement.make(
                    f"control_cpu_share_{count}",
                    cpu_s / MEASURED_S,
                    "cores",
                    CPU_BOUND,
                    int(MEASURED_S),
                ),
            )
        )
    measures.extend(_measure_store_traffic())
    measures.extend(_measure_state())
    measures.extend(await _measure_rss())
    return measures


def _measure_store_traffic() -> list[measurement.Measure]:
    """Measure the store traffic of 1,400 nodes in the steady state.

    A registration writes one row and also reads some others.
    """
    member = _MeasuredNode(count=measure_choice.MEMBERS)
    member.advance(STORE_SETTLED_S)
    reads, registrations = member.reads, member.registrations
    member.advance(STORE_MEASURED_S)
    registrations = member.registrations - registrations
    reads = member.reads - reads + registrations
    fleet_per_s = measure_choice.MEMBERS / STORE_MEASURED_S
    return [
        measurement.make(
            "store_reads_per_s", reads * fleet_per_s, "1/s", 200.0, reads
        ),
        measurement.make(
            "store_writes_per_s",
            registrations * fleet_per_s,
            "1/s",
            50.0,
            registrations,
        ),
    ]


def _measure_state() -> list[measurement.Measure]:
    """Measure the core's memory per member and per rule."""
    tracemalloc.start()
    try:
        empty = tracemalloc.get_traced_memory()[0]
        documents = measure_choice.build_documents()
        declared = configuration.parse_documents(documents).unwrap()
        with_rules = tracemalloc.get_traced_memory()[0]
        members = measure_choice.build_members(measure_choice.MEMBERS)
        state = measure_choice.build_state(members, declared, random.Random(1))
        with_members = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    rules = len(declared.kinds) + len(declared.services)
    count = len(state.membership.members)
    one = _wire.encode_members(members[:1])
    two = _wire.encode_members(members[:2])
    return [
        measurement.make(
            "bytes_per_rule", (with_rules - empty) / rules, "B", None, rules
        ),
        measurement.make(
            "bytes_per_member",
            (with_members - with_rules) / count,
            "B",
            None,
            count,
        ),
        measurement.make(
            "message_bytes_per_member", len(two) - len(one), "B", None, 1
        ),
    ]


async def _measure_rss() -> list[measurement.Measure]:
    fleet = deployment.Deployment(
        plans=[
            deployment.VmPlan(name="self", service="s0", zone="z0", slots=12)
        ]
    )
    try:
        await fleet.start()
        folder = fleet.folder / "large"
        folder.mkdir()
        for name, text in measure_choice.build_documents().items():
            (folder / name).write_text(text)
        await fleet.apply(folder)
        (vm,) = fleet.vms
        await _send_members(vm.peer_address)
        await asyncio.sleep(3.0)
        if vm.node is None:
            raise AssertionError("the node was never started")
        rss_mb = measurement.read_rss_mb(vm.node.pid)
    finally:
        await fleet.stop()
    return [measurement.make("control_rss_mb", rss_mb, "MB", RSS_BOUND_MB, 1)]


async def _send_members(address: str) -> None:
    keys = peers.parse_keys(deployment.KEYS).unwrap()
    body = _wire.encode_members(
        measure_choice.build_members(measure_choice.MEMBERS)
    )
    headers = peers.sign_request(keys, "POST", peers.MEMBERS_TARGET, body)
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"http://{address}{peers.MEMBERS_TARGET}",
            data=body,
            headers=headers,
        ) as response,
    ):
        if response.status != 200:
            raise AssertionError(f"status {response.status}")
