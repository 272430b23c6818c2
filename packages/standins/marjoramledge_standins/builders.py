"""Builders of common test values, and a driver for one node's core."""

import math
import random
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import peers

_SERVICES = """
organisation = "garden"
[services.shop]
hosts = ["shop.example"]
servers = 2
slots = 4
connections = 40
cold_concurrency = 1
"""


def _format_inventory(zones: tuple[str, ...], closed_zone: str = "") -> str:
    inventory = _SERVICES
    for zone in zones:
        takes_work = "false" if zone == closed_zone else "true"
        inventory += (
            f'[zones.{zone}]\nregion = "isle"\ntakes_work = {takes_work}\n'
        )
    return inventory


INVENTORY = _format_inventory(("north", "south"))
RULES = """
[[kinds]]
name = "order"
service = "shop"
methods = ["POST"]
path = "/orders"
priority = "critical"
idempotent = false
[[kinds]]
name = "page"
service = "shop"
methods = ["GET"]
path = "/pages/*"
priority = "normal"
idempotent = true
hedging = true
[[kinds]]
name = "export"
service = "shop"
methods = ["GET"]
path = "/exports/*"
priority = "background"
idempotent = true
max_slot_share = 0.25
"""


def build_configuration(
    *, closed_zone: str = "", zones: tuple[str, ...] = ("north", "south")
) -> configuration.Configuration:
    """Build a configuration of some zones, optionally with one closed."""
    inventory = _format_inventory(zones, closed_zone)
    return configuration.parse_documents(
        {"inventory.toml": inventory, "rules.toml": RULES}
    ).unwrap()


def build_server(
    *, is_cold: bool = False, slots: int = 4, port: int = 9000
) -> node.Server:
    """Build the announcement of a backend server."""
    return node.Server(
        service=ids.ServiceName("shop"),
        host="127.0.0.1",
        port=port,
        slots=slots,
        connections=40,
        cold_concurrency=1,
        is_cold=is_cold,
        health_path="/health",
    )


def wire_size(content: bytes) -> int:
    """Return the size in bytes of a configuration sent between nodes."""
    return len(peers.compress_content(content))


def build_ref(version: int) -> configuration.VersionRef:
    """Build the reference to a version."""
    return configuration.VersionRef(
        version=ids.ConfigVersion(version), digest=ids.Digest(f"d{version}")
    )


def build_call(
    call: str, method: str = "GET", path: str = "/pages/1"
) -> node.CallArrived:
    """Build the arrival of a caller's request."""
    return node.CallArrived(
        call=ids.CallId(call),
        host="shop.example",
        method=method,
        path=path,
        deadline_s=None,
        is_body_buffered=True,
        fingerprint=ids.Fingerprint(call),
    )


DEFAULT_OPTIONS: typing.Final = node.Options(stop_limit_s=30.0)


class CoreDriver:
    """Drives one node's state machine under virtual time."""

    def __init__(
        self,
        *,
        name: str = "n0",
        zone: str = "north",
        options: node.Options = DEFAULT_OPTIONS,
    ) -> None:
        self.now = 100.0
        self.rng = random.Random(1)
        self.out: list[node.Command] = []
        self.state = node.create_state(
            identity=node.Identity(
                node=ids.NodeId(name),
                address=node.Address(host="127.0.0.1", port=7000),
                zone=ids.ZoneName(zone),
                incarnation=1,
            ),
            seeds=(),
            options=options,
            now=self.now,
        )

    def submit(self, event: node.Event) -> list[node.Command]:
        """Handle an event and return its commands except log records."""
        commands = node.handle(self.state, event, self.now, self.rng)
        self.out.extend(commands)
        return [c for c in commands if not isinstance(c, node.WriteRecord)]

    def pass_time(self, seconds: float) -> list[node.Command]:
        """Advance the clock, firing the wakeups that fall due."""
        until = self.now + seconds
        commands: list[node.Command] = []
        while True:
            wakeup = node.next_wakeup(self.state)
            if wakeup is None or wakeup > until:
                break
            self.now = max(self.now, wakeup)
            commands.extend(self.submit(node.TimePassed()))
        self.now = until
        return commands

    def configure(
        self, version: int = 1, *, closed_zone: str = ""
    ) -> list[node.Command]:
        """Make a configuration take effect."""
        return self.submit(
            node.ManifestFetched(
                ref=build_ref(version),
                configuration=build_configuration(closed_zone=closed_zone),
            )
        )

    def hear_version(
        self, version: int, peer: str, age_s: float = 0.0
    ) -> list[node.Command]:
        """Receive a peer's message that names a version as in force."""
        port = 7000 + int(peer.removeprefix("n"))
        return self.submit(
            node.MessageReceived(
                message=node.Message(
                    kind=node.MessageKind.NEWS,
                    sender=ids.NodeId(peer),
                    sender_address=node.Address(host="127.0.0.1", port=port),
                    sequence=0,
                    target=ids.NodeId(peer),
                    config=build_ref(version),
                    updates=(),
                    suspicions=(),
                    config_known_at=self.now - age_s,
                )
            )
        )

    def arrive(
        self, call: str, method: str = "GET", path: str = "/pages/1"
    ) -> list[node.Command]:
        """Submit a request from a caller."""
        return self.submit(build_call(call, method, path))

    def offer(
        self,
        name: str,
        *,
        target_s: float = math.inf,
        prefers_queueing: bool = False,
        deadline_s: float = 5.0,
        config: configuration.VersionRef | None = None,
        status: node.ServerStatus | None = None,
    ) -> list[node.Command]:
        """Submit the first attempt of a call, sent by a peer to the gate."""
        return self.submit(
            node.WorkOffered(
                attempt=ids.AttemptId(f"{name}.0"),
                host="shop.example",
                method="GET",
                path="/pages/1",
                deadline_s=deadline_s,
                prefers_queueing=prefers_queueing,
                fingerprint=ids.Fingerprint(name),
                target_s=target_s,
                config=config,
                status=status,
            )
        )

    def learn_peer(
        self, name: str, zone: str = "south", incarnation: int = 1
    ) -> list[node.Command]:
        """Submit a membership entry of a peer with a warm backend server."""
        port = 7000 + int(name.removeprefix("n"))
        member = node.Member(
            node=ids.NodeId(name),
            address=node.Address(host="127.0.0.1", port=port),
            zone=ids.ZoneName(zone),
            incarnation=incarnation,
            status=node.MemberStatus.ALIVE,
            service=ids.ServiceName("shop"),
            server=node.ServerState.WARM,
            slots=4,
        )
        return self.submit(node.MembersReceived(members=(member,)))
