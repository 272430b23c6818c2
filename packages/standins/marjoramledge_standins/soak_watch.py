"""Watches the nodes' processes during a soak, from outside.

Looks at how they end, whether their ports take connections, and how many
descriptors they hold.
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
# A node closes connections unused for 15 seconds, and looks for them every
# 15 seconds; some more are in use.
SETTLE_S: typing.Final = 33.0
MAX_MORE_DESCRIPTORS: typing.Final = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeEnd:
    """The end of a node's process; times are monotonic seconds.

    ``status`` is negative when a signal has ended it; ``was_told`` is false
    when it ended though nobody had asked for that.
    """

    vm: int
    was_told: bool
    began_at: float
    ended_at: float
    status: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Seen:
    """What was seen of processes and connections.

    ``echoes`` holds the name of the call in each answer; ``descriptors``
    the first and the last count of each process.
    """

    strays: collections.abc.Sequence[str] = ()
    echoes: collections.abc.Sequence[str] = ()
    log_lines: collections.abc.Sequence[str] = ()
    ends: collections.abc.Sequence[NodeEnd] = ()
    refusals: collections.abc.Sequence[str] = ()
    descriptors: collections.abc.Mapping[str, tuple[int, int]] = (
        dataclasses.field(default_factory=dict)
    )


class Watch:
    """Looks at the nodes from time to time.

    Parameters
    ----------
    vms
        The VMs, whose processes may be started anew.
    """

    def __init__(self, vms: collections.abc.Sequence[deployment.Vm]) -> None:
        self._vms = vms
        # Numbers of the VMs whose node has opened its ports.
        self._open: set[int] = set()
        self._ends: list[NodeEnd] = []
        self._refusals: list[str] = []
        self._descriptors: dict[str, tuple[int, int]] = {}
        self._looking: asyncio.Task[None] | None = None

    @property
    def ends(self) -> collections.abc.Sequence[NodeEnd]:
        """Ends of nodes so far."""
        return self._ends

    @property
    def refusals(self) -> collections.abc.Sequence[str]:
        """Connections that a running node did not take."""
        return self._refusals

    @property
    def descriptors(self) -> collections.abc.Mapping[str, tuple[int, int]]:
        """First and last count of descriptors, by process."""
        return self._descriptors

    def start(self) -> None:
        """Begin to look."""
        self._looking = asyncio.create_task(self._look_again())

    async def stop(self) -> None:
        """Look no more."""
        if self._looking is not None:
            self._looking.cancel()
            await asyncio.wait([self._looking])

    def note_open(self, number: int) -> None:
        """Note that a node has opened its ports."""
        self._open.add(number)

    def has_ended_unasked(self, number: int) -> bool:
        """Tell whether a node has ended though nobody told it to."""
        process = self._vms[number].node
        return (
            number in self._open
            and process is not None
            and process.returncode is not None
        )

    async def end_node(self, number: int, how: signal.Signals) -> int:
        """End a node with a signal; return its status."""
        process = self._vms[number].node
        assert process is not None
        self._open.discard(number)
        was_told = process.returncode is None
        began_at = time.monotonic()
        status = await deployment.end_process(process, how)
        if how is signal.SIGTERM or not was_told:
            self._ends.append(
                NodeEnd(
                    vm=number,
                    was_told=was_told,
                    began_at=began_at,
                    ended_at=time.monotonic(),
                    status=status,
                )
            )
        return status

    async def look(self) -> None:
        """Look at all nodes once."""
        await asyncio.gather(*(self._probe(n) for n in sorted(self._open)))
        for number in self._open:
            self._count_descriptors(self._vms[number])

    async def settle(self, limit_s: float = SETTLE_S) -> None:
        """Look until unused connections are closed, or a while at most.

        From then on only processes that run count.
        """
        until = time.monotonic() + limit_s
        running = {
            _name_process(vm, vm.node)
            for vm in self._vms
            if vm.node is not None and vm.node.returncode is None
        }
        for name in self._descriptors.keys() - running:
            del self._descriptors[name]
        await self.look()
        while time.monotonic() < until and any(
            last > first + MAX_MORE_DESCRIPTORS
            for first, last in self._descriptors.values()
        ):
            await asyncio.sleep(PERIOD_S)
            await self.look()

    async def _look_again(self) -> None:
        while True:
            await self.look()
            await asyncio.sleep(PERIOD_S)

    async def _probe(self, number: int) -> None:
        vm = self._vms[number]
        process = vm.node
        for port in (vm.caller_port, vm.peer_port, vm.local_port):
            refusal = await find_refusal(vm.host, port)
            if refusal:
                # One that has just ended is told of a little later.
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
    """Try to connect; return why that failed, empty when it did not."""
    try:
        async with asyncio.timeout(PROBE_LIMIT_S):
            _, writer = await asyncio.open_connection(host, port)
    except TimeoutError:
        return "not taken in time"
    except OSError as error:
        return repr(error)
    writer.close()
    return ""
