"""Measures configuration and zone changes, planned stops, a store outage.

Real processes of Kitabalcony's nine VMs run under 150 calls per second; the
results are checked against the backend servers' records and the callers'
responses.
"""

import asyncio
import collections.abc
import pathlib
import signal
import time
import typing

from marjoramledge_cli import _fleet_client
from marjoramledge_node import peers
from returns import result

from marjoramledge_standins import demo
from marjoramledge_standins import deployment
from marjoramledge_standins import judgement
from marjoramledge_standins import measurement
from marjoramledge_standins import traffic

ZONE: typing.Final = "obihiro"
STEADY_S: typing.Final = 20.0
CLOSED_S: typing.Final = 15.0
REOPENED_S: typing.Final = 60.0
OUTAGE_S: typing.Final = 30.0
POLL_S: typing.Final = 0.02
IN_FORCE_LIMIT_S: typing.Final = 30.0

_FAILED: typing.Final = frozenset(
    {
        traffic.Ending.REFUSED_NOT_RUN,
        traffic.Ending.MAY_HAVE_RUN,
        traffic.Ending.SERVER_ERROR,
        traffic.Ending.WRONG_ANSWER,
        traffic.Ending.LOST,
    }
)


class _Experiment:
    def __init__(self) -> None:
        self.fleet = deployment.Deployment(plans=demo.plan_vms())
        self.callers = traffic.Callers(
            urls=[vm.caller_url for vm in self.fleet.vms],
            kinds=demo.KINDS,
            calls_per_s=demo.CALLS_PER_S,
            seed=3,
        )
        self._version = 0

    async def apply(
        self, folder: pathlib.Path, *, store_fails: bool = False
    ) -> float:
        """Apply a folder and return the seconds until it is in force.

        The time runs from before the command starts until all nodes have the
        version.
        """
        began_at = time.monotonic()
        status, output = await self.fleet.run_command("apply", str(folder))
        if status != 0:
            raise AssertionError(output)
        if store_fails:
            await self.fleet.set_faults("down")
        self._version += 1
        await self._wait_in_force(began_at + IN_FORCE_LIMIT_S)
        return time.monotonic() - began_at

    def results_between(
        self, start: float, end: float
    ) -> list[traffic.CallResult]:
        """Return the calls that started within an interval."""
        return [
            result
            for result in self.callers.results
            if start <= result.started_at < end
        ]

    async def replace_vm(self, vm: deployment.Vm) -> None:
        """Restart a VM; its node is stopped before its backend server."""
        for process in (vm.node, vm.server):
            if process is None:
                raise AssertionError("the VM was never started")
            await deployment.end_process(process, signal.SIGTERM)
        await self.fleet.start_vm(vm)

    async def _wait_in_force(self, deadline: float) -> None:
        keys = peers.parse_keys(deployment.KEYS).unwrap()
        client = _fleet_client.FleetClient(keys=keys)
        addresses = [
            peers.parse_address(vm.peer_address).unwrap()
            for vm in self.fleet.vms
        ]
        try:
            while time.monotonic() < deadline:
                statuses = await asyncio.gather(
                    *(client.read_status(address) for address in addresses)
                )
                versions = [
                    status.unwrap().version
                    for status in statuses
                    if isinstance(status, result.Success)
                ]
                if min(versions) >= self._version:
                    return
                await asyncio.sleep(POLL_S)
        finally:
            await client.close()


async def run() -> list[measurement.Measure]:
    """Run all phases of the measurement on one deployment."""
    experiment = _Experiment()
    fleet = experiment.fleet
    try:
        await fleet.start()
        await experiment.apply(demo.EXAMPLE)
        await asyncio.sleep(3.0)
        experiment.callers.start()
        measures = await _close_and_reopen_zone(experiment)
        measures.extend(await _replace_all(experiment))
        measures.extend(await _lose_store(experiment))
        await experiment.callers.stop()
        verdict = judgement.judge(
            experiment.callers.results, fleet.read_records()
        )
    finally:
        await fleet.stop()
    broken = verdict.run_twice + verdict.false_not_run + verdict.wrong_answers
    measures.append(
        measurement.make(
            "zones_broken_promises", broken, "calls", 0, verdict.calls
        )
    )
    return measures


async def _close_and_reopen_zone(
    experiment: _Experiment,
) -> list[measurement.Measure]:
    fleet = experiment.fleet
    closed = demo.write_closed_example(fleet.folder / "closed", ZONE)
    steady_at = time.monotonic()
    await asyncio.sleep(STEADY_S)
    out_at = time.monotonic()
    out_s = await experiment.apply(closed)
    await asyncio.sleep(CLOSED_S)
    back_at = time.monotonic()
    back_s = await experiment.apply(demo.EXAMPLE)
    await asyncio.sleep(REOPENED_S)
    end = time.monotonic()
    steady = experiment.results_between(steady_at, out_at)
    out = experiment.results_between(out_at, back_at)
    back = experiment.results_between(back_at, end)
    steady_ms = traffic.percentile_ms(steady, 0.99)
    return [
        measurement.make("config_in_force_s", max(out_s, back_s), "s", 4.0, 2),
        measurement.make(
            "zone_out_last_new_work_s",
            judgement.last_run_after(
                fleet.read_records(), ZONE, out_at, back_at
            ),
            "s",
            judgement.LEAVING_LIMIT_S,
            len(out),
        ),
        measurement.make(
            "zone_out_failed_calls", _count_failed(out), "calls", 0, len(out)
        ),
        measurement.make(
            "zone_return_failed_calls",
            _count_failed(back),
            "calls",
            0,
            len(back),
        ),
        measurement.make(
            "zone_return_p99_ratio",
            traffic.percentile_ms(back, 0.99) / steady_ms,
            "ratio",
            1.2,
            len(back),
        ),
    ]


async def _replace_all(experiment: _Experiment) -> list[measurement.Measure]:
    began_at = time.monotonic()
    for vm in experiment.fleet.vms:
        await experiment.replace_vm(vm)
        # The fleet has to recover before the next VM is stopped.
        await asyncio.sleep(4.0)
    calls = experiment.results_between(began_at, time.monotonic())
    cut = sum(
        result.ending in (traffic.Ending.LOST, traffic.Ending.MAY_HAVE_RUN)
        for result in calls
    )
    return [
        measurement.make(
            "planned_stop_cut_calls", cut, "calls", 0, len(calls)
        ),
        measurement.make(
            "planned_stop_failed_calls",
            _count_failed(calls),
            "calls",
            None,
            len(calls),
        ),
    ]


async def _lose_store(experiment: _Experiment) -> list[measurement.Measure]:
    fleet = experiment.fleet
    closed = demo.write_closed_example(fleet.folder / "closed2", ZONE)
    in_force_s = await experiment.apply(closed, store_fails=True)
    began_at = time.monotonic()
    for vm in fleet.vms[:2]:
        await experiment.replace_vm(vm)
        await asyncio.sleep(4.0)
    await asyncio.sleep(max(0.0, began_at + OUTAGE_S - time.monotonic()))
    calls = experiment.results_between(began_at, time.monotonic())
    await fleet.set_faults("up")
    return [
        measurement.make(
            "config_in_force_store_fails_s", in_force_s, "s", 4.0, 1
        ),
        measurement.make(
            "outage_failed_calls", _count_failed(calls), "calls", 0, len(calls)
        ),
    ]


def _count_failed(
    calls: collections.abc.Iterable[traffic.CallResult],
) -> int:
    return sum(result.ending in _FAILED for result in calls)
