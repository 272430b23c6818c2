"""Watches the nodes' processes from outside during a soak.

Records how they exit, whether their ports accept connections, and how many
descriptors they have open.
"""

import asyncio
import collections.abc
import dataclasses
import os
import signal
import time
import typing

from marjoramledge_standins import deployment

PERIOD_S: typing.Final = 0.5
PROBE_LIMIT_S: typing.Final = 2.0
END_NOTICE_S: typing.Final = 0.2
# A node closes connections that were idle for 15 seconds and checks for them
# every 15 seconds.
SETTLE_S: typing.Final = 33.0
# Room for connections that are in use.
MAX_MORE_DESCRIPTORS: typing.Final = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeExit:
    """The exit of a node's process; times are monotonic seconds.

    ``status`` is negative when a signal killed the process;
    ``was_signalled`` is false when it exited before the soak sent a signal.
    """

    vm: int
    was_signalled: bool
    began_at: float
    ended_at: float
    status: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observations:
    """Observations of processes and connections.

    ``echoes`` holds the call ID of each answer; ``descriptors`` the first
    and the last number of open descriptors of each process.
    """

    strays: collections.abc.Sequence[str] = ()
    echoes: collections.abc.Sequence[str] = ()
    log_lines: collections.abc.Sequence[str] = ()
    ends: collections.abc.Sequence[NodeExit] = ()
    refusals: collections.abc.Sequence[str] = ()
    descriptors: collections.abc.Mapping[str, tuple[int, int]] = (
        dataclasses.field(default_factory=dict)
    )


class Watch:
    """Checks the nodes periodically.

    Parameters
    ----------
    vms
        The VMs to watch; their processes may be restarted meanwhile.
    """

    def __init__(self, vms: collections.abc.Sequence[deployment.Vm]) -> None:
        self._vms = vms
        # Numbers of the VMs whose nodes have opened their ports.
        self._open: set[int] = set()
        self._ends: list[NodeExit] = []
        self._refusals: list[str] = []
        self._descriptors: dict[str, tuple[int, int]] = {}
        self._check_task: asyncio.Task[None] | None = None

    @property
    def ends(self) -> collections.abc.Sequence[NodeExit]:
        """Return the exits of nodes so far."""
        return self._ends

    @property
    def refusals(self) -> collections.abc.Sequence[str]:
        """Return the failed connections to running nodes."""
        return self._refusals

    @property
    def descriptors(self) -> collections.abc.Mapping[str, tuple[int, int]]:
        """Return the first and last descriptor counts by process."""
        return self._descriptors

    def start(self) -> None:
        """Start the periodic checks."""
        self._check_task = asyncio.create_task(self._check_periodically())

    async def stop(self) -> None:
        """Stop the periodic checks."""
        if self._check_task is not None:
            self._check_task.cancel()
            await asyncio.wait([self._check_task])

    def mark_open(self, number: int) -> None:
        """Record that a node has opened its ports."""
        self._open.add(number)

    def has_exited_unexpectedly(self, number: int) -> bool:
        """Return whether a node exited without a signal from the soak."""
        process = self._vms[number].node
        return (
            number in self._open
            and process is not None
            and process.returncode is not None
        )

    async def end_node(self, number: int, stop_signal: signal.Signals) -> int:
        """Send a signal that ends a node and return its exit status."""
        process = self._vms[number].node
        assert process is not None
        self._open.discard(number)
        was_signalled = process.returncode is None
        began_at = time.monotonic()
        status = await deployment.end_process(process, stop_signal)
        if stop_signal is signal.SIGTERM or not was_signalled:
            self._ends.append(
                NodeExit(
                    vm=number,
                    was_signalled=was_signalled,
                    began_at=began_at,
                    ended_at=time.monotonic(),
                    status=status,
                )
            )
        return status

    async def check_nodes(self) -> None:
        """Check all nodes once."""
        await asyncio.gather(*(self._probe(n) for n in sorted(self._open)))
        for number in self._open:
            self._count_descriptors(self._vms[number])

    async def settle(self, limit_s: float = SETTLE_S) -> None:
        """Wait until idle connections are closed, up to a time limit.

        Drops the descriptor counts of processes that no longer run.
        """
        until = time.monotonic() + limit_s
        running = {
            _name_process(vm, vm.node)
            for vm in self._vms
            if vm.node is not None and vm.node.returncode is None
        }
        for name in self._descriptors.keys() - running:
            del self._descriptors[name]
        await self.check_nodes()
        while time.monotonic() < until and any(
            last > first + MAX_MORE_DESCRIPTORS
            for first, last in self._descriptors.values()
        ):
            await asyncio.sleep(PERIOD_S)
            await self.check_nodes()

    async def _check_periodically(self) -> None:
        while True:
            await self.check_nodes()
            await asyncio.sleep(PERIOD_S)

    async def _probe(self, number: int) -> None:
        vm = self._vms[number]
        process = vm.node
        for port in (vm.caller_port, vm.peer_port, vm.local_port):
            refusal = await find_refusal(vm.host, port)
            if refusal:
                # asyncio reports the exit of a process with a delay.
                await asyncio.sleep(END_NOTICE_S)
            still_runs = (
                process is not None
                and process is vm.node
                and process.returncode is None
            )
            if refusal and still_runs and number in self._open:
                self._refusals.append(
                    f"port {port} of {vm.plan.name}: {refusal}"
                )

    def _count_descriptors(self, vm: deployment.Vm) -> None:
        if vm.node is None or vm.node.returncode is not None:
            return
        try:
            count = len(os.listdir(f"/proc/{vm.node.pid}/fd"))
        except OSError:
            return
        name = _name_process(vm, vm.node)
        first, _ = self._descriptors.get(name, (count, count))
        self._descriptors[name] = (first, count)


def _name_process(
    vm: deployment.Vm, process: asyncio.subprocess.Process
) -> str:
    return f"{vm.plan.name}, process {process.pid}"


async def find_refusal(host: str, port: int) -> str:
    """Try to connect; return the reason of a failure or an empty string."""
    try:
        async with asyncio.timeout(PROBE_LIMIT_S):
            _, writer = await asyncio.open_connection(host, port)
    except TimeoutError:
        return "connection not accepted in time"
    except OSError as error:
        return repr(error)
    writer.close()
    return ""
