"""Measures what limits of workspaces cost in datagrams, under virtual time.

Plays the typical load, 78 workspaces with 420 requests a second in all, on the
cores of a fleet.  Datagrams are encoded and signed to count their bytes; the
members are known from the start, and no other datagrams are exchanged.
Usage: ``python tools/measure_limits.py [SECONDS]``.
"""

import collections
import heapq
import random
import sys
import typing

from marjoramledge_core import _quota
from marjoramledge_core import _state
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _auth
from marjoramledge_node import _gossip_port
from marjoramledge_standins import builders

FLEETS: typing.Final = (9, 72, 195, 1400)
LARGE: typing.Final = 3
SMALL: typing.Final = 75
REQUESTS_PER_S: typing.Final = 420.0
SMALL_RATE_PER_S: typing.Final = 2.0
ZONES: typing.Final = ("a", "b", "c")
SAME_ZONE_S: typing.Final = 0.0003
OTHER_ZONE_S: typing.Final = (0.0005, 0.0045)


class Fleet:
    """Cores of a fleet that exchange datagrams about limits only."""

    def __init__(self, count: int) -> None:
        self.now = 100.0
        self.rng = random.Random(count)
        self.datagrams: collections.Counter[ids.NodeId] = collections.Counter()
        self.sent_bytes = 0
        self.between_zones_bytes = 0
        self.admitted = 0
        self.decided = 0
        self._keys = _auth.parse_keys("1:" + 16 * "k").unwrap()
        self._stamper = _auth.Stamper(run="0123456789abcdef")
        self._queue: list[tuple[float, int, int, node.Event | None]] = []
        self._pushes = 0
        large_rate_per_s = (REQUESTS_PER_S - SMALL * SMALL_RATE_PER_S) / LARGE
        self.rates = {f"large-{i}": large_rate_per_s for i in range(LARGE)} | {
            f"small-{i}": SMALL_RATE_PER_S for i in range(SMALL)
        }
        base = builders.build_configuration()
        self._configuration = configuration.Configuration(
            organisation="",
            services=tuple(base.services.values()),
            zones=tuple(base.zones.values()),
            kinds=base.kinds,
            measuring=base.measuring,
            default_deadline_s=5.0,
            workspaces=configuration.WorkspaceTable(
                configuration.Workspace(
                    name=ids.WorkspaceName(name),
                    rate_per_s=1.6 * rate,
                    burst=1.6 * rate,
                )
                for name, rate in self.rates.items()
            ),
        )
        self.states = [self._start(number) for number in range(count)]
        members = tuple(state.membership.myself for state in self.states)
        for state in self.states:
            node.handle(
                state,
                node.MembersReceived(members=members),
                self.now,
                self.rng,
            )
            # Only the timers of the limits run.
            while state.timers.pop_due(float("inf")) is not None:
                pass

    def run(self, seconds: float) -> None:
        """Play the load for some time."""
        until = self.now + seconds
        names = list(self.rates)
        weights = list(self.rates.values())
        at = self.now
        calls = 0
        while True:
            at += self.rng.expovariate(REQUESTS_PER_S)
            self._run_until(min(at, until))
            if at >= until:
                return
            calls += 1
            name = self.rng.choices(names, weights)[0]
            self._call(f"c{calls}", name)

    def _start(self, number: int) -> node.NodeState:
        state = node.create_state(
            identity=node.Identity(
                node=ids.NodeId(f"shopfront-{number}@10.0.0.{number}"),
                address=node.Address(host="10.0.0.1", port=7000 + number),
                zone=ids.ZoneName(ZONES[number % 3]),
                incarnation=1,
            ),
            seeds=(),
            options=builders.DEFAULT_OPTIONS,
            now=0.0,
        )
        node.handle(
            state,
            node.ManifestFetched(
                ref=builders.build_ref(1), configuration=self._configuration
            ),
            self.now,
            self.rng,
        )
        return state

    def _call(self, name: str, workspace: str) -> None:
        number = int(self.rng.random() * len(self.states))
        state = self.states[number]
        step = _state.Step(
            state=state, now=self.now, rng=self.rng, out=[], returned_work=[]
        )
        kind = self._configuration.find_kind("shop.example", "GET", "/")
        assert kind is not None
        call = _state.Call(
            call=ids.CallId(name),
            kind=kind,
            service=kind.service,
            arrived_at=self.now,
            deadline_at=self.now + 5.0,
            target_at=self.now + 5.0,
            is_body_buffered=True,
            attempts={},
            tried=set(),
            faulty=set(),
            timers=[],
            fingerprint=ids.Fingerprint(name),
            workspace=ids.WorkspaceName(workspace),
        )
        _quota.admit(step, call, ids.WorkspaceName(workspace))
        self._carry_out(number, step.out)

    def _run_until(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            self.now, _, number, event = heapq.heappop(self._queue)
            state = self.states[number]
            wakeup = node.next_wakeup(state)
            if event is None and (wakeup is None or wakeup > self.now):
                continue
            commands = node.handle(
                state, event or node.TimePassed(), self.now, self.rng
            )
            self._carry_out(number, commands)
        self.now = until

    def _push(self, at: float, number: int, event: node.Event | None) -> None:
        self._pushes += 1
        heapq.heappush(self._queue, (at, self._pushes, number, event))

    def _carry_out(self, number: int, commands: list[node.Command]) -> None:
        for command in commands:
            if isinstance(command, node.SendMessage):
                self._send(number, command)
        wakeup = node.next_wakeup(self.states[number])
        if wakeup is not None:
            self._push(wakeup, number, None)

    def _send(self, number: int, command: node.SendMessage) -> None:
        datagram = _gossip_port.encode_datagram(
            self._keys,
            self._stamper,
            command.address,
            command.message,
            self.now,
        )
        receiver = command.address.port - 7000
        self.datagrams[self.states[number].node] += 1
        self.datagrams[self.states[receiver].node] += 1
        self.sent_bytes += len(datagram)
        delay_s = SAME_ZONE_S
        if (receiver - number) % 3:
            self.between_zones_bytes += len(datagram)
            delay_s = self.rng.uniform(*OTHER_ZONE_S)
        event = node.MessageReceived(message=command.message)
        self._push(self.now + delay_s, receiver, event)


def main() -> None:
    """Print the cost for each size of fleet."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    for count in FLEETS:
        fleet = Fleet(count)
        fleet.run(2.0)
        fleet.datagrams.clear()
        fleet.sent_bytes = fleet.between_zones_bytes = 0
        fleet.run(seconds)
        sent = sum(fleet.datagrams.values()) / 2.0
        refused = sum(
            sum(state.quota.refused.values()) for state in fleet.states
        )
        sys.stdout.write(
            f"{count} nodes: {sent / seconds:.0f} datagrams/s,"
            f" {fleet.sent_bytes / seconds / 1000:.0f} kB/s,"
            f" {fleet.between_zones_bytes / seconds / 1000:.0f} kB/s between"
            " zones; sent and received at the busiest node"
            f" {max(fleet.datagrams.values()) / seconds:.0f}/s, at a mean one"
            f" {2.0 * sent / count / seconds:.1f}/s; {refused} refused\n"
        )


if __name__ == "__main__":
    main()
