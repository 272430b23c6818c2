"""Demonstrates Kitabalcony's deployment under traffic and faults.

Exits with 0 only if all guarantees held according to the backend servers'
own records.
"""

import asyncio
import collections.abc
import pathlib
import re
import shutil
import signal
import sys
import time
import typing

from marjoramledge_standins import deployment
from marjoramledge_standins import judgement
from marjoramledge_standins import traffic

EXAMPLE: typing.Final = pathlib.Path("examples/kitabalcony")
ZONE: typing.Final = "obihiro"
IN_FORCE_LIMIT_S: typing.Final = 4.0
CALLS_PER_S: typing.Final = 150.0

_SHOP: typing.Final = "shopfront.kitabalcony.example"
_ADVISOR: typing.Final = "advisor.kitabalcony.example"
KINDS: typing.Final = (
    traffic.CallKind(
        name="catalogue-page",
        host=_SHOP,
        method="GET",
        path="/kits/7",
        weight=0.6,
    ),
    traffic.CallKind(
        name="advisor-lookup",
        host=_ADVISOR,
        method="GET",
        path="/plants/fuki",
        weight=0.25,
    ),
    traffic.CallKind(
        name="place-order",
        host=_SHOP,
        method="POST",
        path="/orders",
        weight=0.15,
        body=b'{"kit": 7, "crates": 1}',
        runs_once=True,
    ),
)
_SHOP_ZONES: typing.Final = (
    "sapporo-a",
    "sapporo-a",
    "sapporo-b",
    "asahikawa",
    "obihiro",
)
_ADVISOR_ZONES: typing.Final = (
    "sapporo-a",
    "sapporo-b",
    "asahikawa",
    "obihiro",
)


def plan_vms() -> list[deployment.VmPlan]:
    """Plan Kitabalcony's VMs at the deployment's present size."""
    flags = ("--service-ms", "12", "--noise", "4")
    placed = [
        *(("shopfront", zone) for zone in _SHOP_ZONES),
        *(("advisor", zone) for zone in _ADVISOR_ZONES),
    ]
    return [
        deployment.VmPlan(
            name=f"{service}-{number}",
            service=service,
            zone=zone,
            server_flags=flags,
        )
        for number, (service, zone) in enumerate(placed, start=1)
    ]


def write_closed_example(folder: pathlib.Path, zone: str) -> pathlib.Path:
    """Write the example configuration with one zone out of service."""
    shutil.copytree(EXAMPLE, folder)
    inventory = folder / "inventory.toml"
    inventory.write_text(
        re.sub(
            rf"(\[zones\.{zone}\][^\[]*?takes_work = )true",
            r"\1false",
            inventory.read_text(),
        )
    )
    return folder


class Demo:
    """One run of the demonstration."""

    def __init__(self) -> None:
        self._deployment = deployment.Deployment(plans=plan_vms())
        self._callers = traffic.Callers(
            urls=[vm.caller_url for vm in self._deployment.vms],
            kinds=KINDS,
            calls_per_s=CALLS_PER_S,
            seed=1,
        )
        self._started_at = time.monotonic()
        self._failures: list[str] = []
        self._in_force_s: list[float] = []
        self._out_at = 0.0
        self._back_at = 0.0

    async def run(self) -> bool:
        """Run the demonstration; return whether all guarantees held."""
        try:
            await self._run_phases()
            return self._report()
        finally:
            await self._callers.close()
            await self._deployment.stop()

    async def _run_phases(self) -> None:
        fleet = self._deployment
        self._print_progress(
            "starting the platform, 9 backend servers and 9 nodes"
        )
        await fleet.start()
        self._print_progress("applying examples/kitabalcony")
        await self._apply(EXAMPLE)
        await asyncio.sleep(2.0)
        self._callers.start()
        self._print_progress(f"callers make {CALLS_PER_S:.0f} calls a second")
        await asyncio.sleep(6.0)
        await self._move_zone()
        await self._stop_node()
        await self._kill_server()
        self._print_progress("ending the traffic")
        await self._callers.stop()

    async def _move_zone(self) -> None:
        fleet = self._deployment
        closed = write_closed_example(fleet.folder / "closed", ZONE)
        self._print_progress(f"taking {ZONE} out of service")
        self._out_at = await self._apply(closed)
        await asyncio.sleep(6.0)
        self._print_progress(f"bringing {ZONE} back")
        self._back_at = await self._apply(EXAMPLE)
        await asyncio.sleep(6.0)

    async def _stop_node(self) -> None:
        vm = self._deployment.vms[1]
        self._print_progress(f"stopping the node of {vm.plan.name} gracefully")
        if vm.node is None:
            raise AssertionError("the node was never started")
        status = await deployment.end_process(vm.node, signal.SIGTERM)
        if status != 0:
            self._failures.append(f"the stopped node exited with {status}")
        self._callers.urls.remove(vm.caller_url)
        await asyncio.sleep(2.0)

    async def _kill_server(self) -> None:
        vm = self._deployment.vms[2]
        self._print_progress(f"killing the backend server of {vm.plan.name}")
        if vm.server is None:
            raise AssertionError("the backend server was never started")
        await deployment.end_process(vm.server, signal.SIGKILL)
        await asyncio.sleep(3.0)

    async def _apply(self, folder: pathlib.Path) -> float:
        """Apply a folder; return the time before the command started."""
        began_at = time.monotonic()
        status, output = await self._deployment.run_command(
            "apply", str(folder), "--wait", "--author", "demo"
        )
        elapsed_s = time.monotonic() - began_at
        self._in_force_s.append(elapsed_s)
        if status != 0:
            self._failures.append(f"apply exited with {status}: {output}")
        self._print_progress(f"in force everywhere after {elapsed_s:.2f} s")
        return began_at

    def _print_progress(self, text: str) -> None:
        seconds = time.monotonic() - self._started_at
        calls = len(self._callers.results)
        print(f"[{seconds:5.1f} s, {calls:5d} calls] {text}", flush=True)

    def _report(self) -> bool:
        records = self._deployment.read_records()
        results = self._callers.results
        verdict = judgement.judge(results, records)
        last_work_s = judgement.last_run_after(
            records, ZONE, self._out_at, self._back_at
        )
        returned = [
            record
            for record in records
            if record.zone == ZONE and record.at > self._back_at
        ]
        rows = [
            ("calls", str(verdict.calls)),
            ("refused, not run", str(verdict.refused_not_run)),
            ("failed, may have run", str(verdict.may_have_run)),
            ("lost without an answer", str(verdict.lost)),
            ("wrong answers", str(verdict.wrong_answers)),
            ("orders run twice", str(verdict.run_twice)),
            ("ran despite 'not run'", str(verdict.false_not_run)),
            ("cold servers overloaded", str(verdict.cold_overruns)),
            *self._latency_rows(results),
            (f"last new work in {ZONE} after", f"{last_work_s:.2f} s"),
            (f"work in {ZONE} after its return", str(len(returned))),
            ("in force everywhere after", f"{max(self._in_force_s):.2f} s"),
        ]
        print()
        for name, value in rows:
            print(f"  {name:<38}{value:>12}")
        self._check(verdict, last_work_s, bool(returned))
        for failure in self._failures:
            print(f"FAILED: {failure}")
        print("some checks failed" if self._failures else "all checks passed")
        return not self._failures

    def _latency_rows(
        self, results: collections.abc.Sequence[traffic.CallResult]
    ) -> list[tuple[str, str]]:
        phases = (
            ("before", 0.0, self._out_at),
            ("while the zone is out", self._out_at, self._back_at),
            ("after its return", self._back_at, float("inf")),
        )
        rows = []
        for name, start, end in phases:
            phase = [r for r in results if start <= r.started_at < end]
            p50 = traffic.percentile_ms(phase, 0.5)
            p99 = traffic.percentile_ms(phase, 0.99)
            rows.append((f"p50 / p99 {name}", f"{p50:.0f} / {p99:.0f} ms"))
        return rows

    def _check(
        self,
        verdict: judgement.Verdict,
        last_work_s: float,
        has_returned: bool,
    ) -> None:
        if not verdict.has_passed:
            self._failures.append("a guarantee was violated, see the table")
        if last_work_s > judgement.LEAVING_LIMIT_S:
            self._failures.append(f"{ZONE} got work after {last_work_s:.1f} s")
        if not has_returned:
            self._failures.append(f"{ZONE} got no work after its return")
        if max(self._in_force_s) > IN_FORCE_LIMIT_S:
            self._failures.append("a configuration took effect too late")


def main() -> int:
    """Run the demonstration; return the exit status."""

    async def run() -> bool:
        return await Demo().run()

    try:
        return 0 if asyncio.run(run()) else 1
    except KeyboardInterrupt:
        print("interrupted; all processes were ended")
        return 130


if __name__ == "__main__":
    sys.exit(main())
