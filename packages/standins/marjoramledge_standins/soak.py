"""Runs the real programs under randomly drawn faults (a soak).

Runs a deployment in which all traffic between processes passes through
links, carries out the faults and orders that one seed draws, keeps callers
running throughout, and checks the product's guarantees at the end.  Run as
``python -m marjoramledge_standins.soak --seed 1 --minutes 1``.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import pathlib
import random
import shutil
import signal
import sys
import time
import typing

import aiohttp
import typer

from marjoramledge_standins import demo
from marjoramledge_standins import deployment
from marjoramledge_standins import links
from marjoramledge_standins import measurement
from marjoramledge_standins import soak_callers
from marjoramledge_standins import soak_checks
from marjoramledge_standins import soak_logs
from marjoramledge_standins import soak_plan
from marjoramledge_standins import soak_report
from marjoramledge_standins import soak_watch
from marjoramledge_standins import traffic

CALLS_PER_S: typing.Final = 60.0
LEAVE_SHARE: typing.Final = 0.03
SLOW_S: typing.Final = 0.3
# How often, and with what pauses, a restarted node's port is tried.
READY_TRIES: typing.Final = 300
READY_TRY_S: typing.Final = 0.1
# Faults end within seconds, so a command that fails this often has an error.
COMMAND_TRIES: typing.Final = 20
# An order takes one zone out of service at a time; the others still serve.
ZONES: typing.Final = ("sapporo-a", "sapporo-b", "obihiro")
_SERVICES: typing.Final = ("shopfront", "advisor")

_Kind = soak_plan.FaultKind
_CONFIGURATION_ORDERS: typing.Final = frozenset({_Kind.ZONE_OUT, _Kind.CHANGE})
_STORE_MODES: typing.Final = {
    _Kind.STORE_DOWN: "down",
    _Kind.STORE_SLOW: "slow",
    _Kind.STORE_LOSES_ANSWERS: "lose-answers",
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _VmLinks:
    """The links of one VM, each named for the process it leads to."""

    peer: links.Link
    store: links.Link
    server: links.Link

    def all(self) -> tuple[links.Link, ...]:
        return self.peer, self.store, self.server


def plan_vms(count: int) -> list[deployment.VmPlan]:
    """Plan VMs of two services, spread across the zones."""
    return [
        deployment.VmPlan(
            name=f"{_SERVICES[number % 2]}-{number}",
            service=_SERVICES[number % 2],
            zone=ZONES[number // 2 % len(ZONES)],
            server_flags=("--service-ms", "10", "--noise", "3"),
        )
        for number in range(count)
    ]


class Soak:
    """Runs one soak and collects its evidence.

    Parameters
    ----------
    seed
        Seed of the faults, the arrivals and the callers' choices.
    duration_s
        Seconds of traffic.
    vms
        Number of VMs, each with a node and a backend server.
    quiet_end_s
        Seconds at the end without faults.
    kept_logs
        Folder that the logs of all processes are copied to at the end.
    """

    def __init__(
        self,
        *,
        seed: int,
        duration_s: float,
        vms: int,
        quiet_end_s: float = soak_plan.QUIET_END_S,
        logs_folder: pathlib.Path | None = None,
    ) -> None:
        self._logs_folder = logs_folder
        self._faults = soak_plan.draw_plan(
            seed=seed,
            duration_s=duration_s,
            vms=vms,
            quiet_end_s=quiet_end_s,
        )
        self._quiet_end_s = quiet_end_s
        self._duration_s = duration_s
        self._rng = random.Random(seed)
        self._fleet = deployment.Deployment(
            plans=plan_vms(vms), log_format="json"
        )
        self._links = [self._create_links(vm) for vm in self._fleet.vms]
        self._callers = traffic.Callers(
            urls=[vm.caller_url for vm in self._fleet.vms],
            kinds=demo.KINDS,
            calls_per_s=CALLS_PER_S * vms / 6,
            seed=seed,
            leave_share=LEAVE_SHARE,
        )
        self._connections = soak_callers.ConnectionCallers(
            entries=[
                soak_callers.Entry(host=vm.host, port=vm.caller_port)
                for vm in self._fleet.vms
            ],
            kinds=demo.KINDS,
            seed=seed,
        )
        self._watch = soak_watch.Watch(self._fleet.vms)
        # Targets of current faults; an overlapping fault on the same target
        # is skipped.
        self._reserved: set[tuple[str, int]] = set()
        self._operator = asyncio.Lock()
        self._done: list[soak_checks.ExecutedFault] = []
        self._signals: list[soak_checks.ExecutedFault] = []
        self._zones_out: list[soak_checks.ZoneOut] = []
        self._cut_by_stops: list[str] = []
        self._failed_orders: list[str] = []
        self._rss_mb: dict[str, float] = {}
        self._began_at = 0.0
        self._folders = 0

    @property
    def folder(self) -> pathlib.Path:
        """Return the folder with the logs of all processes."""
        return self._fleet.folder

    async def run(self) -> soak_checks.Evidence:
        """Run the soak and return its evidence."""
        try:
            for vm_links in self._links:
                await asyncio.gather(*(link.open() for link in vm_links.all()))
            await self._fleet.start()
            await self._fleet.apply(demo.EXAMPLE)
            await asyncio.sleep(2.0)
            return await self._run_traffic()
        finally:
            if self._logs_folder is not None:
                shutil.copytree(
                    self._fleet.folder, self._logs_folder, dirs_exist_ok=True
                )
            await self._watch.stop()
            await self._callers.close()
            await self._connections.close()
            await self._fleet.stop()
            for vm_links in self._links:
                await asyncio.gather(
                    *(link.close() for link in vm_links.all())
                )

    def _create_links(self, vm: deployment.Vm) -> _VmLinks:
        created = _VmLinks(
            peer=links.Link(
                host=vm.host, target_host=vm.host, target_port=vm.peer_port
            ),
            store=links.Link(
                host=vm.host,
                target_host="127.0.0.1",
                target_port=self._fleet.platform_port,
            ),
            server=links.Link(
                host=vm.host, target_host=vm.host, target_port=vm.server_port
            ),
        )
        vm.advertised = created.peer.address
        vm.store_url = f"http://{created.store.address}"
        vm.announced_port = created.server.port
        return created

    async def _run_traffic(self) -> soak_checks.Evidence:
        for number in range(len(self._fleet.vms)):
            self._watch.mark_open(number)
        self._watch.start()
        self._callers.start()
        self._connections.start()
        self._began_at = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for fault in self._faults:
                tasks.create_task(self._carry_out(fault))
        quiet_from = time.monotonic()
        left_s = self._began_at + self._duration_s - quiet_from
        await asyncio.sleep(max(self._quiet_end_s, left_s))
        await self._callers.stop()
        await self._connections.stop_visits()
        await self._watch.settle()
        for vm in self._fleet.vms:
            if vm.node is not None and vm.node.returncode is None:
                rss_mb = measurement.read_rss_mb(vm.node.pid)
                self._rss_mb[vm.plan.name] = rss_mb
        ended_at = time.monotonic()
        await self._stop_all()
        return soak_checks.Evidence(
            vms=self._fleet.vms,
            results=[*self._callers.results, *self._connections.results],
            records=self._fleet.read_records(),
            done=self._done,
            signals=self._signals,
            adoptions=soak_logs.read_adoptions(self._fleet),
            zones_out=self._zones_out,
            cut_by_stops=self._cut_by_stops,
            failed_orders=self._failed_orders,
            rss_mb=self._rss_mb,
            quiet_from=quiet_from,
            ended_at=ended_at,
            seen=self._collect_seen(),
        )

    async def _stop_all(self) -> None:
        """Stop all nodes while some callers still have connections."""
        async with asyncio.TaskGroup() as tasks:
            for number in range(len(self._fleet.vms)):
                tasks.create_task(self._stop_at_end(number))
        await self._connections.stop()

    async def _stop_at_end(self, number: int) -> None:
        status = await self._watch.end_node(number, signal.SIGTERM)
        if status > 0:
            name = self._fleet.vms[number].plan.name
            self._cut_by_stops.append(
                f"the node of {name} exited with {status} at the final stop"
            )

    def _collect_seen(self) -> soak_watch.Observations:
        return soak_watch.Observations(
            strays=self._connections.strays,
            echoes=[
                *self._connections.echoes,
                *(
                    result.call
                    for result in self._callers.results
                    if result.ending is traffic.Ending.ANSWERED
                ),
            ],
            log_lines=soak_logs.read_descriptor_errors(self._fleet),
            ends=self._watch.ends,
            refusals=self._watch.refusals,
            descriptors=self._watch.descriptors,
        )

    async def _carry_out(self, fault: soak_plan.Fault) -> None:
        begins_at = self._began_at + fault.at
        await asyncio.sleep(max(0.0, begins_at - time.monotonic()))
        began_at = time.monotonic()
        number = len(self._done)
        self._done.append(
            soak_checks.ExecutedFault(
                fault=fault, began_at=began_at, ended_at=float("inf")
            )
        )
        if fault.kind in _CONFIGURATION_ORDERS:
            # There is one operator, so an order that an outage delays also
            # delays the next one.
            async with self._operator:
                await _OPERATIONS[fault.kind](self, fault)
        else:
            await _OPERATIONS[fault.kind](self, fault)
        self._done[number] = dataclasses.replace(
            self._done[number], ended_at=time.monotonic()
        )

    @contextlib.asynccontextmanager
    async def _reserve(
        self, what: str, vm: int
    ) -> collections.abc.AsyncIterator[bool]:
        """Reserve a part of a VM for a fault.

        Yields false when another fault has reserved it.
        """
        key = (what, vm)
        if key in self._reserved:
            yield False
            return
        self._reserved.add(key)
        try:
            yield True
        finally:
            self._reserved.remove(key)

    async def _kill_node(self, fault: soak_plan.Fault) -> None:
        await self._end_node(fault, signal.SIGKILL)

    async def _stop_node(self, fault: soak_plan.Fault) -> None:
        await self._end_node(fault, signal.SIGTERM)

    async def _end_node(
        self, fault: soak_plan.Fault, number: signal.Signals
    ) -> None:
        vm = self._fleet.vms[fault.vm]
        async with self._reserve("node", fault.vm) as is_reserved:
            if not is_reserved or vm.node is None:
                return
            began_at = time.monotonic()
            status = await self._watch.end_node(fault.vm, number)
            ended_at = time.monotonic()
            await asyncio.sleep(fault.for_s)
            await self._fleet.start_node(vm)
            if await self._wait_until_open(vm):
                self._watch.mark_open(fault.vm)
        is_disturbed = any(
            done.fault.vm == fault.vm and done.covers(began_at, ended_at)
            for done in self._done
            if done.fault.kind not in soak_plan.NON_FAULTS
        )
        if number is signal.SIGTERM and status != 0 and not is_disturbed:
            self._cut_by_stops.append(
                f"the stopped node of {vm.plan.name} exited with {status}"
            )

    async def _freeze_node(self, fault: soak_plan.Fault) -> None:
        await self._freeze(fault, "node", self._fleet.vms[fault.vm].node)

    async def _freeze_server(self, fault: soak_plan.Fault) -> None:
        await self._freeze(fault, "server", self._fleet.vms[fault.vm].server)

    async def _freeze(
        self,
        fault: soak_plan.Fault,
        what: str,
        process: asyncio.subprocess.Process | None,
    ) -> None:
        async with self._reserve(what, fault.vm) as is_reserved:
            if not is_reserved or process is None:
                return
            if process.returncode is not None:
                return
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            process.send_signal(signal.SIGCONT)

    async def _kill_server(self, fault: soak_plan.Fault) -> None:
        vm = self._fleet.vms[fault.vm]
        async with self._reserve("server", fault.vm) as is_reserved:
            if not is_reserved or vm.server is None:
                return
            await deployment.end_process(vm.server, signal.SIGKILL)
            await asyncio.sleep(fault.for_s)
            await self._fleet.start_server(vm)

    async def _fail_server(self, fault: soak_plan.Fault) -> None:
        async with self._reserve("server", fault.vm) as is_reserved:
            if is_reserved:
                await self._change_server(fault.vm, fail_fast=True)
                await asyncio.sleep(fault.for_s)
                await self._change_server(fault.vm, fail_fast=False)

    async def _limit_server(self, fault: soak_plan.Fault) -> None:
        async with self._reserve("server", fault.vm) as is_reserved:
            if not is_reserved:
                return
            named_at = time.monotonic()
            await self._change_server(
                fault.vm, rate_limit=f"{fault.rate_per_s:g}"
            )
            await asyncio.sleep(fault.for_s)
            self._note_signal(fault, named_at)
            await self._change_server(fault.vm, rate_limit="")

    async def _let_server_leave(self, fault: soak_plan.Fault) -> None:
        vm = self._fleet.vms[fault.vm]
        async with self._reserve("server", fault.vm) as is_reserved:
            if not is_reserved or vm.server is None:
                return
            said_at = time.monotonic()
            await self._change_server(fault.vm, is_leaving=True)
            await asyncio.sleep(fault.for_s)
            self._note_signal(fault, said_at)
            await deployment.end_process(vm.server, signal.SIGTERM)
            await self._fleet.start_server(vm)

    def _note_signal(self, fault: soak_plan.Fault, began_at: float) -> None:
        self._signals.append(
            soak_checks.ExecutedFault(
                fault=fault, began_at=began_at, ended_at=time.monotonic()
            )
        )

    async def _change_server(self, vm: int, **behaviour: object) -> None:
        url = f"{self._fleet.vms[vm].server_url}/standin"
        async with aiohttp.ClientSession() as session:
            async with session.put(url, json=behaviour) as response:
                await response.read()

    async def _break_link(self, fault: soak_plan.Fault) -> None:
        name = fault.kind.value.removesuffix("-link")
        link: links.Link = getattr(self._links[fault.vm], name)
        async with self._reserve(name, fault.vm) as is_reserved:
            if is_reserved:
                link.set_mode(links.LinkMode(fault.link_mode), SLOW_S)
                await asyncio.sleep(fault.for_s)
                link.set_mode(links.LinkMode.PASSING)

    async def _break_store(self, fault: soak_plan.Fault) -> None:
        await self._fleet.set_faults(_STORE_MODES[fault.kind], SLOW_S)
        await asyncio.sleep(fault.for_s)
        await self._fleet.set_faults("up")

    async def _take_zone_out(self, fault: soak_plan.Fault) -> None:
        zone = self._fleet.vms[fault.vm].plan.zone
        closed = demo.write_closed_example(self._next_folder(), zone)
        accepted_at = await self._apply(closed)
        await asyncio.sleep(fault.for_s)
        until = time.monotonic()
        if accepted_at is not None:
            self._zones_out.append(
                soak_checks.ZoneOut(
                    zone=zone, accepted_at=accepted_at, until=until
                )
            )
        # The store may be unavailable; retry until the zone is in service.
        await _retry(lambda: self._run_command("apply", str(demo.EXAMPLE)))

    async def _change(self, _fault: soak_plan.Fault) -> None:
        folder = self._next_folder()
        folder.mkdir()
        for name in ("inventory.toml", "rules.toml"):
            text = (demo.EXAMPLE / name).read_text()
            deadline_ms = self._rng.randrange(4000, 6000)
            text = text.replace(
                "deadline_ms = 5000", f"deadline_ms = {deadline_ms}"
            )
            (folder / name).write_text(text)
        await self._apply(folder)

    async def _order_drain(self, fault: soak_plan.Fault) -> None:
        vm = self._fleet.vms[fault.vm]
        order = ("--node", vm.plan.name, "--peers", vm.peer_address)
        await self._run_command("drain", *order)
        await asyncio.sleep(fault.for_s)

        async def end_order() -> int:
            # A drain order ends when the node's process exits.
            if self._watch.has_exited_unexpectedly(fault.vm):
                return 0
            return await self._run_command("drain", "--end", *order)

        await _retry(end_order)

    async def _apply(self, folder: pathlib.Path) -> float | None:
        """Apply a folder; return when it was accepted, or None on failure."""
        status = await self._run_command("apply", str(folder))
        return None if status else time.monotonic()

    async def _run_command(self, *arguments: str) -> int:
        status, output = await self._fleet.run_command(*arguments)
        if status:
            self._failed_orders.append(
                f"{arguments[0]} exited with {status}: {output}"
            )
        return status

    async def _wait_until_open(self, vm: deployment.Vm) -> bool:
        """Wait until a node accepts callers; return false on timeout."""
        for _ in range(READY_TRIES):
            if await deployment.is_open(vm.host, vm.caller_port):
                return True
            await asyncio.sleep(READY_TRY_S)
        return False

    async def _let_callers_leave(self, fault: soak_plan.Fault) -> None:
        with self._connections.leaving(fault.vm, fault.share):
            await asyncio.sleep(fault.for_s)

    def _next_folder(self) -> pathlib.Path:
        self._folders += 1
        return self._fleet.folder / f"change-{self._folders}"


_Operation = collections.abc.Callable[
    [Soak, soak_plan.Fault], collections.abc.Awaitable[None]
]
_OPERATIONS: typing.Final[collections.abc.Mapping[_Kind, _Operation]] = {
    _Kind.NODE_KILL: Soak._kill_node,
    _Kind.NODE_STOP: Soak._stop_node,
    _Kind.NODE_FREEZE: Soak._freeze_node,
    _Kind.SERVER_KILL: Soak._kill_server,
    _Kind.SERVER_FREEZE: Soak._freeze_server,
    _Kind.SERVER_FAILS: Soak._fail_server,
    _Kind.SERVER_LINK: Soak._break_link,
    _Kind.PEER_LINK: Soak._break_link,
    _Kind.STORE_LINK: Soak._break_link,
    _Kind.STORE_DOWN: Soak._break_store,
    _Kind.STORE_SLOW: Soak._break_store,
    _Kind.STORE_LOSES_ANSWERS: Soak._break_store,
    _Kind.ZONE_OUT: Soak._take_zone_out,
    _Kind.CHANGE: Soak._change,
    _Kind.DRAIN_ORDER: Soak._order_drain,
    _Kind.CALLERS_LEAVE: Soak._let_callers_leave,
    _Kind.SERVER_LIMIT: Soak._limit_server,
    _Kind.SERVER_LEAVES: Soak._let_server_leave,
}


async def _retry(
    attempt: collections.abc.Callable[[], collections.abc.Awaitable[int]],
) -> None:
    """Retry a command every second until it exits with 0.

    Raises
    ------
    AssertionError
        The command failed ``COMMAND_TRIES`` times.
    """
    for _ in range(COMMAND_TRIES):
        if not await attempt():
            return
        await asyncio.sleep(1.0)
    raise AssertionError("an operator's command failed in every attempt")


def _write(path: pathlib.Path, text: str) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text)


async def run_soak(
    *, seed: int, duration_s: float, vms: int, report: pathlib.Path | None
) -> dict[str, list[str]]:
    """Run a soak, write its report, and return the violations found."""
    soak = Soak(
        seed=seed,
        duration_s=duration_s,
        vms=vms,
        logs_folder=None if report is None else report.with_suffix(""),
    )
    evidence = await soak.run()
    found = soak_checks.check_all(evidence)
    if report is not None:
        text = soak_report.render(seed=seed, evidence=evidence, found=found)
        await asyncio.to_thread(_write, report, text)
        whole = json.dumps(found, indent=1)
        await asyncio.to_thread(_write, report.with_suffix(".json"), whole)
        calls = report.with_suffix("") / "calls.txt"
        lines = soak_report.list_calls(evidence)
        await asyncio.to_thread(_write, calls, "\n".join(lines))
    print(soak_report.summarise(seed=seed, evidence=evidence, found=found))
    return found


def main(
    *,
    seed: int = 1,
    seeds: int = 1,
    minutes: float = 0.75,
    vms: int = 6,
    report_folder: str = "build/soak",
) -> None:
    """Run one or more soaks with consecutive seeds."""
    failed = []
    for number in range(seed, seed + seeds):
        found = asyncio.run(
            run_soak(
                seed=number,
                duration_s=60.0 * minutes,
                vms=vms,
                report=pathlib.Path(report_folder) / f"{number}.html",
            )
        )
        if any(found.values()):
            failed.append(number)
    print(f"seeds that failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
