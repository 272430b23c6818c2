"""Gossip traffic of a node whose backend server loses answers."""

from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _auth
from marjoramledge_node import _gossip_port
from marjoramledge_standins import builders
from marjoramledge_standins import deployment
import pytest

PEERS = 87
LOST_PER_S = 10
SECONDS = 60
# Limit on the control traffic that a node sends.
CONTROL_BYTES_PER_S = 6000.0
UDP_HEADER_BYTES = 28
PROBE_S = 0.002


class _Gate:
    """A node in a large fleet whose server aborts some answers."""

    def __init__(self) -> None:
        self.driver = builders.CoreDriver()
        self.driver.configure()
        self.driver.submit(
            node.ServerAnnounced(server=builders.build_server())
        )
        for number in range(1, PEERS + 1):
            self.driver.learn_peer(f"n{number}")
        self.sent_bytes = 0
        self._keys = _auth.parse_keys(deployment.KEYS).unwrap()
        self._stamper = _auth.Stamper(run="vm-0000-01234567-")

    def submit(self, event: node.Event) -> None:
        """Submit an event; count bytes of suspicions; answer probes."""
        for command in self.driver.submit(event):
            if isinstance(command, node.SendMessage):
                self._count_suspicion_bytes(command)
            elif isinstance(command, node.ProbeServer):
                self.driver.now += PROBE_S
                self.submit(
                    node.ProbeEnded(is_healthy=True, elapsed_s=PROBE_S)
                )

    def _count_suspicion_bytes(self, command: node.SendMessage) -> None:
        if not command.message.suspicions:
            return
        content = _gossip_port.encode_datagram(
            self._keys,
            self._stamper,
            command.address,
            command.message,
            self.driver.now,
        )
        self.sent_bytes += len(content) + UDP_HEADER_BYTES

    def lose_answer(self, number: int, *names: str) -> None:
        """Run some requests and lose the answer of the first."""
        attempts = [f"a{number}.{index}" for index in range(len(names))]
        for attempt, name in zip(attempts, names, strict=True):
            self.submit(
                node.WorkOffered(
                    attempt=ids.AttemptId(attempt),
                    host="shop.example",
                    method="GET",
                    path="/pages/1",
                    deadline_s=5.0,
                    prefers_queueing=False,
                    fingerprint=ids.Fingerprint(name),
                )
            )
        outcome = node.ServerOutcome.ABORTED
        for attempt in attempts:
            if self.driver.state.gate.find(ids.AttemptId(attempt)):
                self.submit(
                    node.WorkEnded(
                        attempt=ids.AttemptId(attempt),
                        outcome=outcome,
                        head_s=0.1,
                    )
                )
                outcome = node.ServerOutcome.ANSWERED


# Guards against lost answers of a healthy server that are gossiped to all
# nodes as deaths, until the link is full and configurations arrive late.
@pytest.mark.parametrize("is_alike", [False, True])
def test_lost_answers_keep_control_traffic_within_its_limit(
    is_alike: bool,
) -> None:
    gate = _Gate()
    for number in range(SECONDS * LOST_PER_S):
        names = [
            "page" if is_alike else f"{number}.{index}" for index in range(3)
        ]
        gate.lose_answer(number, *names)
        gate.driver.now += 1.0 / LOST_PER_S
    assert gate.sent_bytes <= CONTROL_BYTES_PER_S * SECONDS
