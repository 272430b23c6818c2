"""Runs a whole deployment on this machine as separate processes.

Used by the demonstration, the measurements and the tests with real
processes.  Every VM gets a loopback address of its own and free ports.
"""

import asyncio
import collections.abc
import dataclasses
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import typing

import aiohttp

# Number of VMs whose nodes are seeds in the settings of all nodes.
SEEDS: typing.Final = 3
KEYS: typing.Final = "k1:a-secret-of-this-deployment"
# Only for processes that never start: a busy machine starts a few dozen
# processes within half a minute.
START_TIMEOUT_S: typing.Final = 60.0
STOP_TIMEOUT_S: typing.Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmPlan:
    """The settings of a backend server VM."""

    name: str
    service: str
    zone: str
    slots: int = 12
    connections: int = 220
    server_flags: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, kw_only=True)
class Vm:
    """A backend server VM with its node and backend server processes."""

    plan: VmPlan
    host: str
    caller_port: int
    peer_port: int
    local_port: int
    server_port: int
    records: pathlib.Path
    store_url: str
    advertised: str = ""
    announced_port: int = 0
    node: asyncio.subprocess.Process | None = None
    server: asyncio.subprocess.Process | None = None

    @property
    def caller_url(self) -> str:
        """Return the URL of the node's port for callers."""
        return f"http://{self.host}:{self.caller_port}"

    @property
    def server_url(self) -> str:
        """Return the URL of the backend server itself."""
        return f"http://{self.host}:{self.server_port}"

    @property
    def peer_address(self) -> str:
        """Return the address of the node's peer port for other processes."""
        return self.advertised or f"{self.host}:{self.peer_port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunRecord:
    """An entry of a backend server's record file."""

    server: str
    zone: str
    at: float
    event: str
    call: str
    method: str
    path: str
    is_cold: bool
    running: int


class Deployment:
    """Runs the platform's stand-in and a number of VMs.

    Parameters
    ----------
    plans
        The VMs to run.
    log_level, log_format
        Level and format of the nodes' logs, which go to files in the folder.
    """

    def __init__(
        self,
        *,
        plans: collections.abc.Iterable[VmPlan],
        log_level: str = "info",
        log_format: str = "text",
    ) -> None:
        self._log_format = log_format
        self._temporary_folder = tempfile.TemporaryDirectory(
            prefix="marjoramledge-"
        )
        self._folder = pathlib.Path(self._temporary_folder.name)
        self._log_level = log_level
        self._platform: asyncio.subprocess.Process | None = None
        self._bare_pass: asyncio.subprocess.Process | None = None
        self._platform_port = find_free_port("127.0.0.1")
        self._vms = [
            self._create_vm(number, plan) for number, plan in enumerate(plans)
        ]

    @property
    def folder(self) -> pathlib.Path:
        """Return the folder with logs and record files."""
        return self._folder

    @property
    def vms(self) -> collections.abc.Sequence[Vm]:
        """Return the VMs of the deployment."""
        return self._vms

    @property
    def platform_port(self) -> int:
        """Return the port of the platform's store on 127.0.0.1."""
        return self._platform_port

    @property
    def store_url(self) -> str:
        """Return the URL of the platform's store."""
        return f"http://127.0.0.1:{self._platform_port}"

    async def start(self) -> None:
        """Start all processes and wait until their ports are open."""
        await self.start_platform()
        await asyncio.gather(*(self.start_vm(vm) for vm in self._vms))

    async def start_platform(self) -> None:
        """Start the platform's stand-in."""
        self._platform = await self._spawn(
            "platform",
            sys.executable,
            "-m",
            "marjoramledge_standins.platform_service",
            "127.0.0.1",
            str(self._platform_port),
        )
        await self._wait_for_port("127.0.0.1", self._platform_port)

    async def start_vm(self, vm: Vm) -> None:
        """Start the node and the backend server of a VM."""
        await asyncio.gather(self.start_node(vm), self.start_server(vm))

    async def start_node(self, vm: Vm) -> None:
        """Start the node of a VM."""
        vm.node = await self._spawn(
            f"{vm.plan.name}-node",
            str(pathlib.Path(sys.executable).parent / "marjoramledge-node"),
            "--node-id",
            vm.plan.name,
            "--zone",
            vm.plan.zone,
            "--listen",
            f"{vm.host}:{vm.caller_port}",
            "--peer-listen",
            f"{vm.host}:{vm.peer_port}",
            "--peer-advertise",
            vm.peer_address,
            "--local-listen",
            f"{vm.host}:{vm.local_port}",
            "--store-url",
            vm.store_url,
            "--seeds",
            ",".join(other.peer_address for other in self._vms[:SEEDS]),
            "--log-level",
            self._log_level,
            "--log-format",
            self._log_format,
        )
        await self._wait_for_port(vm.host, vm.peer_port)

    async def start_server(self, vm: Vm) -> None:
        """Start the backend server of a VM."""
        vm.server = await self._spawn(
            f"{vm.plan.name}-server",
            sys.executable,
            "-m",
            "marjoramledge_standins.backend_server",
            "--name",
            vm.plan.name,
            "--service",
            vm.plan.service,
            "--host",
            vm.host,
            "--port",
            str(vm.server_port),
            "--announce-port",
            str(vm.announced_port or vm.server_port),
            "--records",
            str(vm.records),
            "--node-url",
            f"http://{vm.host}:{vm.local_port}",
            "--slots",
            str(vm.plan.slots),
            "--connections",
            str(vm.plan.connections),
            *vm.plan.server_flags,
        )
        await self._wait_for_port(vm.host, vm.server_port)

    async def apply(self, folder: pathlib.Path) -> None:
        """Apply a configuration folder and wait for the callers' ports."""
        status, output = await self.run_command("apply", str(folder), "--wait")
        if status != 0:
            raise AssertionError(output)
        for vm in self._vms:
            await self._wait_for_port(vm.host, vm.caller_port)

    async def start_bare_pass(self, target_url: str) -> str:
        """Start a plain forwarding proxy and return its URL."""
        port = find_free_port("127.0.0.1")
        self._bare_pass = await self._spawn(
            "bare-pass",
            sys.executable,
            "-m",
            "marjoramledge_standins.bare_pass",
            "127.0.0.1",
            str(port),
            target_url,
        )
        await self._wait_for_port("127.0.0.1", port)
        return f"http://127.0.0.1:{port}"

    async def run_command(self, *arguments: str) -> tuple[int, str]:
        """Run the operator's command; return its exit status and output."""
        process = await asyncio.create_subprocess_exec(
            str(pathlib.Path(sys.executable).parent / "marjoramledge"),
            *arguments,
            env=self._environment(),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode or 0, output.decode()

    async def set_faults(self, mode: str, delay_s: float = 1.0) -> None:
        """Set the fault mode of the platform's stand-in."""
        async with aiohttp.ClientSession() as session:
            await session.put(
                f"{self.store_url}/faults",
                json={"mode": mode, "delay_s": delay_s},
            )

    def read_records(self) -> list[RunRecord]:
        """Read the records of all backend servers, ordered by time."""
        records = []
        for vm in self._vms:
            if not vm.records.exists():
                continue
            for line in vm.records.read_text().splitlines():
                fields = json.loads(line)
                fields["at"] = fields.pop("t")
                records.append(
                    RunRecord(server=vm.plan.name, zone=vm.plan.zone, **fields)
                )
        return sorted(records, key=lambda record: record.at)

    async def stop(self) -> None:
        """Kill all started processes and remove the folder."""
        processes = [self._platform, self._bare_pass]
        for vm in self._vms:
            processes.extend((vm.node, vm.server))
        await asyncio.gather(
            *(
                end_process(process, signal.SIGKILL)
                for process in processes
                if process is not None
            )
        )
        self._temporary_folder.cleanup()

    def _create_vm(self, number: int, plan: VmPlan) -> Vm:
        host = f"127.0.{1 + number // 250}.{1 + number % 250}"
        ports = [find_free_port(host) for _ in range(4)]
        return Vm(
            plan=plan,
            host=host,
            caller_port=ports[0],
            peer_port=ports[1],
            local_port=ports[2],
            server_port=ports[3],
            records=self._folder / f"{plan.name}.records",
            store_url=self.store_url,
        )

    def _environment(self) -> dict[str, str]:
        return {
            **os.environ,
            "MARJORAMLEDGE_KEYS": KEYS,
            "MARJORAMLEDGE_STORE_URL": self.store_url,
        }

    async def _spawn(
        self, log_name: str, *arguments: str
    ) -> asyncio.subprocess.Process:
        with (self._folder / f"{log_name}.log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                *arguments, env=self._environment(), stdout=log, stderr=log
            )

    async def _wait_for_port(self, host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + START_TIMEOUT_S
        while loop.time() < deadline:
            if await is_open(host, port):
                return
            await asyncio.sleep(0.05)
        logs = [
            f"{path.name}: {path.read_text()[-500:]}"
            for path in sorted(self._folder.glob("*.log"))
        ]
        raise AssertionError("\n".join(["a process did not start", *logs]))


async def end_process(
    process: asyncio.subprocess.Process, number: signal.Signals
) -> int:
    """Send a signal to a process and wait until it exits.

    A process that is still running after ``STOP_TIMEOUT_S`` is killed.
    """
    if process.returncode is None:
        process.send_signal(number)
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await process.wait()
    except TimeoutError:
        process.kill()
        return await process.wait()


async def is_open(host: str, port: int) -> bool:
    """Return whether a port accepts connections."""
    try:
        _, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.close()
    return True


def find_free_port(host: str) -> int:
    """Return the number of an unused port."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])
