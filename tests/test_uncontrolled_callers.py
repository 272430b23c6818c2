"""Many connections that each hold what one connection may hold.

Nodes are processes of the platform's command on loopback.  A test opens a
fixed number of connections that send as much as the node takes, and keeps them
open.  The process must stay alive and within its VM's memory and descriptors,
and answer an ordinary request meanwhile.  No test checks a time or a share of
served requests.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import os
import pathlib
import typing

import aiohttp
import platform_deployment
import pytest

# Memory of the VM in these tests.  Less than of the smallest VM (200 MB), so
# that few connections suffice.
MEMORY_MB: typing.Final = 160
# Descriptors of the VM in the tests of their number.
MAX_DESCRIPTORS: typing.Final = 400
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S: typing.Final = 40.0
# A sender whose bytes are not taken for this long goes on no more.
BLOCKED_S: typing.Final = 2.0
# Time for the node to accept the last connections.
SETTLING_S: typing.Final = 1.0
ROUTE: typing.Final = "/r0/"
HOST: typing.Final = platform_deployment.HOST.encode()

GET = b"GET /none HTTP/1.1\r\nHost: %b\r\n" % HOST
# Its route exists, and no server gets it before its body is complete.
POST = b"POST /r0/a-0/1 HTTP/1.1\r\nHost: %b\r\n" % HOST
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """What each of some connections sends: a beginning and equal pieces."""

    connections: int
    first: bytes
    piece: bytes = b""
    pieces: int = 0


FIELDS = b"a:\r\n" * 1024
LOADS = {
    # 120 KB in lines that each port accepts.
    "long heads": Load(
        connections=1000,
        first=GET,
        piece=b"a: %b\r\n" % (b"x" * 8000),
        pieces=15,
    ),
    "many fields": Load(connections=300, first=GET, piece=FIELDS, pieces=4),
    "unread answers": Load(
        connections=60,
        first=b"",
        piece=(GET + b"\r\n") * 400,
        pieces=100,
    ),
    "buffered bodies": Load(
        connections=1000,
        first=POST + b"Content-Length: 65536\r\n\r\n",
        piece=b"x" * 65535,
        pieces=1,
    ),
    "bodies in one-byte chunks": Load(
        connections=100, first=CHUNKED, piece=b"1\r\nx\r\n" * 1000, pieces=30
    ),
    "pipelined fields": Load(
        connections=20,
        first=b"",
        piece=(GET + FIELDS * 3 + b"\r\n") * 16,
        pieces=4,
    ),
}
PORTS = ("outbound", "control", "ready", "peer", "metrics")


class _Senders:
    """Connections of uncontrolled callers; they stay open."""

    def __init__(self, *, host: str, port: int, load: Load) -> None:
        self._host = host
        self._port = port
        self._load = load
        self._writers: list[asyncio.StreamWriter] = []

    async def send(self) -> None:
        """Open all connections, and send until the node takes no more."""
        for begin in range(0, self._load.connections, 50):
            await asyncio.gather(
                *(
                    self._send_one()
                    for _ in range(
                        begin, min(begin + 50, self._load.connections)
                    )
                )
            )

    async def _send_one(self) -> None:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(BLOCKED_S):
                _, writer = await asyncio.open_connection(
                    self._host, self._port, limit=1
                )
            self._writers.append(writer)
            writer.write(self._load.first)
            for _ in range(self._load.pieces):
                writer.write(self._load.piece)
                async with asyncio.timeout(BLOCKED_S):
                    await writer.drain()

    def abort(self) -> None:
        """Abort all connections."""
        for writer in self._writers:
            writer.transport.abort()


def _read_peak_mb(pid: int) -> float:
    """Return the greatest resident memory of a process so far."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == "VmHWM":
            return int(value.split()[0]) / 1024
    raise AssertionError("the process has ended")


def _count_descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


def _port_of(machine: platform_deployment.Machine, port: str) -> int:
    if port == "metrics":
        return platform_deployment.METRICS_PORT
    return machine.ports[port]


@contextlib.asynccontextmanager
async def _run_site(
    **limits: int,
) -> collections.abc.AsyncIterator[platform_deployment.Site]:
    site = platform_deployment.Site(machine_zones=["a"], **limits)
    async with site.run():
        yield site


async def _is_served(site: platform_deployment.Site) -> bool:
    """Return whether an ordinary request is answered in the end.

    It comes on a new connection, so that it needs descriptors.
    """
    machine = site.machines[0]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while machine.process.poll() is None:
                async with aiohttp.ClientSession(
                    timeout=aiohttp.ClientTimeout(
                        total=platform_deployment.REQUEST_TIMEOUT_S
                    )
                ) as session:
                    sample = await site.send_request(machine, ROUTE, session)
                if sample.status == 200:
                    return True
                await asyncio.sleep(0.1)
    return False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Result:
    """What a node shows while the connections are open."""

    is_served: bool
    idle_mb: float
    peak_mb: float
    descriptors: int


async def _play(port: str, load: Load, **limits: int) -> _Result:
    async with _run_site(**limits) as site:
        machine = site.machines[0]
        pid = machine.process.pid
        idle_mb = _read_peak_mb(pid)
        senders = _Senders(
            host=machine.host, port=_port_of(machine, port), load=load
        )
        await senders.send()
        await asyncio.sleep(SETTLING_S)
        shown = _Result(
            is_served=await _is_served(site),
            idle_mb=idle_mb,
            peak_mb=_read_peak_mb(pid),
            descriptors=_count_descriptors(pid),
        )
        senders.abort()
    print(f"{port}: {shown}")
    return shown


# Guards against a process that runs out of memory since only what a single
# connection holds is bounded, and not the sum over all connections.
@pytest.mark.parametrize("name", LOADS)
def test_callers_do_not_exhaust_the_memory(name: str) -> None:
    shown = asyncio.run(_play("outbound", LOADS[name], memory_mb=MEMORY_MB))
    assert shown.is_served
    assert shown.peak_mb < MEMORY_MB


# Guards against the same on the other ports.
@pytest.mark.parametrize("port", PORTS[1:])
def test_no_port_lets_its_senders_exhaust_the_memory(port: str) -> None:
    shown = asyncio.run(_play(port, LOADS["long heads"], memory_mb=MEMORY_MB))
    assert shown.is_served
    assert shown.peak_mb < MEMORY_MB


# Guards against connections, opened and abandoned, that take all descriptors,
# so that ordinary callers can't connect and the node can't reach servers.
@pytest.mark.parametrize("port", PORTS)
def test_abandoned_connections_leave_descriptors(port: str) -> None:
    load = Load(connections=MAX_DESCRIPTORS + 200, first=b"")
    shown = asyncio.run(_play(port, load, max_descriptors=MAX_DESCRIPTORS))
    assert shown.is_served
    assert shown.descriptors < 0.75 * MAX_DESCRIPTORS


async def _trickle(port: str) -> tuple[int, bool]:
    """Send heads a byte at a time; return how many connections end."""
    async with _run_site() as site:
        machine = site.machines[0]

        async def send() -> bool:
            reader, writer = await asyncio.open_connection(
                machine.host, _port_of(machine, port)
            )
            ended = asyncio.create_task(reader.read())
            head = iter(GET + b"a: " + b"x" * 10000)
            with contextlib.suppress(TimeoutError, OSError):
                async with asyncio.timeout(HANG_TIMEOUT_S):
                    while not ended.done():
                        writer.write(bytes([next(head)]))
                        await writer.drain()
                        await asyncio.sleep(0.1)
            is_ended = ended.done()
            ended.cancel()
            writer.transport.abort()
            return is_ended

        ends = await asyncio.gather(*(send() for _ in range(20)))
        return sum(ends), await _is_served(site)


# Guards against heads that arrive a byte at a time and hold their connections
# without end.
@pytest.mark.parametrize("port", PORTS)
def test_a_head_in_single_bytes_does_not_hold_its_connection(
    port: str,
) -> None:
    assert asyncio.run(_trickle(port)) == (20, True)


async def _send_head(size: int) -> bytes:
    async with _run_site() as site:
        machine = site.machines[0]
        reader, writer = await asyncio.open_connection(
            machine.host, machine.ports["outbound"]
        )
        head = GET + b"Connection: close\r\na: "
        writer.write(head + b"x" * (size - len(head) - 4) + b"\r\n\r\n")
        async with asyncio.timeout(HANG_TIMEOUT_S):
            answer = await reader.read()
        writer.transport.abort()
        return answer.partition(b"\r\n")[0]


# Guards against a head that is accepted though it is much longer than the
# configuration's ``maxHeaderBytes``, and against one within it that is not.
@pytest.mark.parametrize(
    ("size", "status"), [(16384, b"404"), (2 * 16384, b"431")]
)
def test_the_configuration_limits_heads(size: int, status: bytes) -> None:
    assert asyncio.run(_send_head(size)).split()[1] == status
