"""A site on loopback whose store comes back from an older copy.

Nodes are processes of the platform's command.  The store, a small backend
server beside each node, the operator and the clients run in this process.
Machine i has the address 127.A.B.(10 + i), with A and B drawn for each site,
and all machines have the same ports.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import itertools
import os
import pathlib
import random
import resource
import socket
import subprocess
import sys
import tempfile
import time
import typing

import aiohttp
from aiohttp import web
import platform_restored_store

HOST: typing.Final = "shop.example"
SERVICE: typing.Final = "shop"
REGION: typing.Final = "isle"
KEYS: typing.Final = "1:a-secret-of-this-site"
METRICS_PORT: typing.Final = 7381
PORT_NAMES: typing.Final = (
    *("inbound", "outbound", "ready", "control", "app", "store", "peer"),
)
SLOTS: typing.Final = 12
HEARTBEAT_S: typing.Final = 1.5
# A change must be in force this long after its acknowledgement.
CONFIG_APPLY_S: typing.Final = 2.0
# No request may reach an evacuated zone this long after its acknowledgement.
EVACUATION_S: typing.Final = 5.0
SAMPLE_PERIOD_S: typing.Final = 0.25
REQUEST_TIMEOUT_S: typing.Final = 1.0
# Limits of a VM, as the platform states them.
MEMORY_MB: typing.Final = 300
MAX_DESCRIPTORS: typing.Final = 4100
# Ends a site that doesn't come up; not a performance bound.
START_TIMEOUT_S: typing.Final = 20.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """One request: when it was sent and answered; status 0 is no answer."""

    sent_at: float
    ended_at: float
    node: str
    route: str
    status: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """A request that a backend server ran, and the node it was sent to."""

    at: float
    node: str
    zone: str
    version: str = "v1"


class Server:
    """Backend server of a machine: heartbeats, health and answers.

    Parameters
    ----------
    machine
        The machine that it runs on.
    runs
        Receives the requests that it runs.
    """

    def __init__(self, *, machine: "Machine", runs: list[Run]) -> None:
        self._machine = machine
        self._runs = runs
        self._id = f"i-{machine.name}"
        self._born = time.time_ns() // 1_000_000
        self._sequence = itertools.count(1)
        self._is_leaving = False
        self.version = "v1"
        # Share of requests that are answered with an error.
        self.error_share = 0.0
        self._listener: asyncio.Server | None = None

    @property
    def server_id(self) -> str:
        """Return the id of the server."""
        return self._id

    async def start(self) -> None:
        """Listen for requests."""
        self._listener = await asyncio.get_running_loop().create_server(
            web.Server(self._serve),
            self._machine.host,
            self._machine.ports["app"],
        )

    def stop(self) -> None:
        """Close the listening socket."""
        if self._listener is not None:
            self._listener.close()

    async def send_heartbeats(self, session: aiohttp.ClientSession) -> None:
        """Send heartbeats to the node until the server leaves."""
        while not self._is_leaving:
            await self.send_heartbeat(session)
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self, session: aiohttp.ClientSession) -> bool:
        """Report that it leaves; return whether that was acknowledged."""
        self._is_leaving = True
        return await self.send_heartbeat(session)

    async def send_heartbeat(self, session: aiohttp.ClientSession) -> bool:
        """Send a heartbeat; return whether it was acknowledged."""
        ports = self._machine.ports
        document = {
            "address": f"{self._machine.host}:{ports['app']}",
            "born": self._born,
            "info": {
                "service": SERVICE,
                "version": self.version,
                "zone": self._machine.zone,
                "slots": SLOTS,
            },
            "status": {
                "state": "draining" if self._is_leaving else "ready",
                "seqNo": next(self._sequence),
                "coldLeft": "0ms",
            },
        }
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.post(
                f"http://{self._machine.host}:{ports['control']}"
                f"/api/instances/{self._id}/heartbeat",
                json=document,
            ) as response:
                return 200 <= response.status < 300
        return False

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = {"Server-Load": f"0,0,{SLOTS},100"}
        if request.path == "/health":
            headers |= {"Instance-Id": self._id, "Cold-Ms": "0"}
            status = 503 if self._is_leaving else 200
            return web.Response(status=status, headers=headers)
        request_id = request.headers.get("Request-Id", "")
        headers["Request-Id"] = request_id
        if request.headers.get("Target-Instance", self._id) != self._id:
            headers |= {"Instance-Id": self._id, "Not-Executed": "1"}
            return web.Response(status=421, headers=headers)
        self._runs.append(
            Run(
                at=time.monotonic(),
                node=request.path.split("/")[2],
                zone=self._machine.zone,
                version=self.version,
            )
        )
        headers["Response-Seal"] = f"seal.{request_id}"
        status = 500 if random.random() < self.error_share else 200
        return web.Response(status=status, body=b"done", headers=headers)


class Machine:
    """A machine with a node process and a backend server.

    Parameters
    ----------
    site
        The site that it belongs to.
    name, host, zone
        Name, address and zone of the machine.
    """

    def __init__(
        self, *, site: "Site", name: str, host: str, zone: str
    ) -> None:
        self._site = site
        self.name = name
        self.host = host
        self.zone = zone
        self.ports = site.ports
        self.server = Server(machine=self, runs=site.runs)
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        """Return the URL of the node's port for clients."""
        return f"http://{self.host}:{self.ports['outbound']}"

    def start_node(self) -> None:
        """Start the node process."""
        settings = self._site.folder / f"{self.name}.toml"
        settings.write_text(self._site.build_settings(self))
        with open(self._site.folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "marjoramledge_platform"],
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "SSL_CERT_FILE": os.devnull,
                    "SSL_CERT_DIR": os.devnull,
                    "MARJORAMLEDGE_KEYS": KEYS,
                    "MARJORAMLEDGE_BOOT": str(settings),
                },
                stdout=log,
                stderr=log,
            )
        limit = self._site.max_descriptors
        resource.prlimit(
            self._process.pid, resource.RLIMIT_NOFILE, (limit, limit)
        )

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """Return the node's process."""
        assert self._process is not None
        return self._process

    def kill_node(self) -> None:
        """End the node process with SIGKILL."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


class Operator:
    """Writes configurations and evacuations, and knows the newest of them.

    Parameters
    ----------
    store
        The store to write to.
    """

    def __init__(
        self, *, store: platform_restored_store.RestoredStore
    ) -> None:
        self._store = store
        self._number = 0
        self._prefixes: list[str] = []
        # When the change that added a route was acknowledged.
        self.acknowledged_at: dict[str, float] = {}

    @property
    def routes(self) -> tuple[str, ...]:
        """Return the prefixes of all routes."""
        return tuple(self._prefixes)

    def add_route(self) -> int:
        """Write a configuration with one more route; return its version."""
        self._number += 7
        prefix = f"/r{len(self._prefixes)}/"
        self._prefixes.append(prefix)
        version = self.write_again()
        self.acknowledged_at[prefix] = time.monotonic()
        return version

    def write_again(self) -> int:
        """Write the newest configuration again; return its version."""
        return self._store.write("op", "config", self._build_configuration())

    def evacuate(self, zone: str) -> int:
        """Order that nothing be sent to the servers of a zone."""
        return self._store.write("op", f"evacuate/{zone}", {})

    def end_evacuation(self, zone: str) -> int:
        """Remove the order for a zone."""
        return self._store.write("op", f"evacuate/{zone}", None)

    def _build_configuration(self) -> dict[str, object]:
        return {
            "version": f"{self._number:08x}",
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
            },
            "listeners": [
                {
                    "host": HOST,
                    "rules": [_build_rule(each) for each in self._prefixes],
                }
            ],
            "clusters": [
                {
                    "name": SERVICE,
                    "healthPath": "/health",
                    "maxConns": 220,
                    "protocol": "h1",
                    "tls": False,
                    "coldStart": "3s",
                    "coldPerS": 20.0,
                }
            ],
        }


class Site:
    """Nodes, backend servers, store, operator and clients.

    Parameters
    ----------
    machine_zones
        The zone of each machine.
    memory_mb, max_descriptors
        Limits of each machine; the second is the node's RLIMIT_NOFILE too.
    """

    def __init__(
        self,
        *,
        machine_zones: collections.abc.Sequence[str],
        memory_mb: int = MEMORY_MB,
        max_descriptors: int = MAX_DESCRIPTORS,
    ) -> None:
        self._memory_mb = memory_mb
        self.max_descriptors = max_descriptors
        self._temporary = tempfile.TemporaryDirectory(prefix="marjoramledge-")
        self.folder = pathlib.Path(self._temporary.name)
        self.runs: list[Run] = []
        self.samples: list[Sample] = []
        count = len(machine_zones)
        self._subnet, self.ports = _draw_addresses(count)
        self.machines = [
            Machine(
                site=self,
                name=f"{zone}-{number}",
                host=f"{self._subnet}.{10 + number}",
                zone=zone,
            )
            for number, zone in enumerate(machine_zones)
        ]
        self.store = platform_restored_store.RestoredStore(
            hosts={
                machine.name: f"{self._subnet}.{110 + number}"
                for number, machine in enumerate(self.machines)
            },
            port=self.ports["store"],
        )
        self.operator = Operator(store=self.store)
        self._request_ids = itertools.count(1)
        self._tasks: list[asyncio.Task[None]] = []
        # What the store held before any node was started.
        self.first_copy = self.store.take_copy()
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the client's session."""
        assert self._session is not None
        return self._session

    @contextlib.asynccontextmanager
    async def run(self) -> collections.abc.AsyncIterator["Site"]:
        """Start everything with one route, and end it after the block."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        )
        try:
            await self.store.start()
            self.operator.add_route()
            self.first_copy = self.store.take_copy()
            for machine in self.machines:
                await machine.server.start()
                machine.start_node()
                self.start_task(machine.server.send_heartbeats(self.session))
            await self._wait_until_complete()
            self.start_task(self._send_requests())
            yield self
        finally:
            await self._stop()

    def start_task(
        self, work: collections.abc.Coroutine[None, None, None]
    ) -> None:
        """Run work until the site ends."""
        self._tasks.append(asyncio.create_task(work))

    async def wait_until(
        self, check: collections.abc.Callable[[], object], timeout_s: float
    ) -> bool:
        """Wait until a check holds; return False after the timeout."""
        ends_at = time.monotonic() + timeout_s
        while not check():
            if time.monotonic() > ends_at:
                return False
            await asyncio.sleep(0.05)
        return True

    def find_refused(self, start: float, end: float) -> list[Sample]:
        """Return 404 for routes that had to be in force, sent in a time."""
        acknowledged_at = self.operator.acknowledged_at
        return [
            sample
            for sample in self.samples
            if sample.status == 404
            and start <= sample.sent_at < end
            and sample.sent_at > acknowledged_at[sample.route] + CONFIG_APPLY_S
        ]

    def find_fallen_back(self, since: float) -> list[Sample]:
        """Return 404 where the node had served the route before."""
        served_at: dict[tuple[str, str], float] = {}
        for sample in self.samples:
            if sample.status == 200:
                served_at.setdefault(
                    (sample.node, sample.route), sample.ended_at
                )
        return [
            sample
            for sample in self.samples
            if sample.status == 404
            and sample.sent_at >= since
            and sample.sent_at
            > served_at.get((sample.node, sample.route), float("inf"))
        ]

    def find_unserved(self, start: float, end: float) -> list[tuple[str, str]]:
        """Return nodes and routes without an answer 200 in a time."""
        served = {
            (sample.node, sample.route)
            for sample in self.samples
            if sample.status == 200 and start <= sample.sent_at < end
        }
        return [
            (machine.name, route)
            for machine in self.machines
            for route in self.operator.routes
            if (machine.name, route) not in served
        ]

    def find_runs(self, zone: str, start: float, end: float) -> list[Run]:
        """Return the requests that the servers of a zone began in a time."""
        return [
            run
            for run in self.runs
            if run.zone == zone and start <= run.at < end
        ]

    async def read_gauge(self, machine: Machine, name: str) -> int | None:
        """Return a gauge of a node's metrics, or None without an answer."""
        url = f"http://{machine.host}:{METRICS_PORT}/metrics"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.session.get(url) as response:
                for line in (await response.text()).splitlines():
                    key, _, value = line.rpartition(" ")
                    if key == f"marjoramledge_{name}":
                        return int(float(value))
        return None

    async def describe_versions(self) -> str:
        """Describe which versions of the store the nodes hold."""
        held = [
            await self.read_gauge(machine, "configuration_version")
            for machine in self.machines
        ]
        return f"the store is at {self.store.version}, the nodes at {held}"

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for machine in self.machines:
            machine.kill_node()
            machine.server.stop()
        await self.store.stop()
        if self._session is not None:
            await self._session.close()
        self._clean_up()

    def _clean_up(self) -> None:
        """Remove the folder; keep the logs where SITE_LOGS says."""
        if "SITE_LOGS" in os.environ:
            for log in self.folder.glob("*.log"):
                target = pathlib.Path(os.environ["SITE_LOGS"], log.name)
                target.write_bytes(log.read_bytes())
        self._temporary.cleanup()

    async def _wait_until_complete(self) -> None:
        """Wait until each node serves and knows all others."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for machine in self.machines:
                while not await self._is_complete(machine):  # noqa: ASYNC110
                    await asyncio.sleep(0.1)

    async def _is_complete(self, machine: Machine) -> bool:
        present = await self.read_gauge(machine, "members_present")
        if present != len(self.machines):
            return False
        sample = await self.send_request(machine, "/r0/")
        return sample.status == 200

    async def _send_requests(self) -> None:
        """Send a request on each route to each node, again and again."""
        async with asyncio.TaskGroup() as group:
            while True:
                for machine in self.machines:
                    for route in self.operator.routes:
                        group.create_task(self._sample(machine, route))
                await asyncio.sleep(SAMPLE_PERIOD_S)

    async def _sample(self, machine: Machine, route: str) -> None:
        self.samples.append(await self.send_request(machine, route))

    async def send_request(
        self,
        machine: Machine,
        route: str,
        session: aiohttp.ClientSession | None = None,
    ) -> Sample:
        """Send one request of an ordinary client."""
        sent_at = time.monotonic()
        number = next(self._request_ids)
        status = 0
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (session or self.session).get(
                f"{machine.url}{route}{machine.name}/{number}",
                headers={
                    "Host": HOST,
                    "Request-Id": f"{number:016x}",
                    "Deadline-Ms": "1000",
                },
            ) as response:
                await response.read()
                status = response.status
        return Sample(
            sent_at=sent_at,
            ended_at=time.monotonic(),
            node=machine.name,
            route=route,
            status=status,
        )

    def build_settings(self, machine: Machine) -> str:
        """Build the settings file of a node."""
        listen = "\n".join(
            f'{name} = "{machine.host}:{self.ports[name]}"'
            for name in ("inbound", "outbound", "ready", "control")
        )
        regions = "\n".join(
            f'{zone} = "{REGION}"'
            for zone in sorted({each.zone for each in self.machines})
        )
        store_host = self.store.hosts[machine.name]
        return SETTINGS.format(
            name=machine.name,
            host=machine.host,
            zone=machine.zone,
            region=REGION,
            service=SERVICE,
            app=self.ports["app"],
            peer=self.ports["peer"],
            listen=listen,
            regions=regions,
            store=f"{store_host}:{self.ports['store']}",
            apply_ms=round(1000 * CONFIG_APPLY_S),
            memory_mb=self._memory_mb,
            max_descriptors=self.max_descriptors,
        )


SETTINGS: typing.Final = """
[local]
node = "sidecar-{name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{host}"
zone = "{zone}"
region = "{region}"
includeInTolerance = false
bootstrap = true
appAddr = "{host}:{app}"
service = "{service}"
[local.limits]
cpuShare = 0.86
cores = 1
memoryMb = {memory_mb}
maxFds = {max_descriptors}
linkMbps = 1000.0
diskMb = 0
[network]
internalPorts = [{peer}]
seeds = []
[network.listen]
{listen}
[network.zones]
{regions}
[platform]
discovery = "static"
entry = "static"
heartbeat = "1500ms"
[platform.platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
tx = "5ms"
partWritesS = 200
rowBytes = 65536
across = false
history = "20s"
[terms.bounds]
contact = "3000ms"
ack = "4000ms"
catchUp = "4s"
drain = "2000ms"
grace = "6s"
configApply = "{apply_ms}ms"
retryBudgetRatio = 0.2
budgetWindow = "10s"
retryBudgetSlack = 56
evac = "5000ms"
exposeShare = 0.1
exposeSlack = 50
rollback = "5000ms"
recover = "15s"
"""


def _build_rule(prefix: str) -> dict[str, object]:
    return {
        "name": prefix.strip("/"),
        "kind": "safe",
        "targetLatency": "400ms",
        "priority": 1,
        "match": {"pathPrefix": prefix},
        "action": {
            "service": SERVICE,
            "timeout": "1000ms",
            "maxAttempts": 2,
        },
    }


def _draw_addresses(count: int) -> tuple[str, dict[str, int]]:
    """Draw a subnet and ports that are free on all machines."""
    while True:
        subnet = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}"
        first = random.randint(20000, 28000)
        ports = {name: first + i for i, name in enumerate(PORT_NAMES)}
        with contextlib.suppress(OSError):
            for number in range(count):
                for port in (*ports.values(), METRICS_PORT):
                    _check_free(f"{subnet}.{10 + number}", port)
                _check_free(f"{subnet}.{110 + number}", ports["store"])
            return subnet, ports


def _check_free(host: str, port: int) -> None:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((host, port))
