"""The fault injection soak: its plan, its checks and a short run."""

import asyncio
import dataclasses
import pathlib
import typing

from marjoramledge_standins import demo
from marjoramledge_standins import deployment
from marjoramledge_standins import links
from marjoramledge_standins import soak
from marjoramledge_standins import soak_checks
from marjoramledge_standins import soak_plan
from marjoramledge_standins import soak_report
from marjoramledge_standins import soak_watch
from marjoramledge_standins import traffic
import pytest

PAGE, _LOOKUP, ORDER = demo.KINDS

Change = dict[str, object]


def _build_result(
    call: str,
    kind: traffic.CallKind = PAGE,
    ending: traffic.Ending = traffic.Ending.ANSWERED,
    started_at: float = 10.0,
) -> traffic.CallResult:
    return traffic.CallResult(
        call=call,
        kind=kind,
        entry="http://127.0.0.1:1",
        started_at=started_at,
        elapsed_s=0.1,
        ending=ending,
        reason="",
    )


def _build_record(
    call: str, event: str = "run", at: float = 10.0
) -> deployment.RunRecord:
    return deployment.RunRecord(
        server="shop-0",
        zone="obihiro",
        at=at,
        event=event,
        call=call,
        method="GET",
        path="/",
        is_cold=False,
        running=1,
    )


def _build_vm() -> deployment.Vm:
    return deployment.Vm(
        plan=deployment.VmPlan(
            name="shop-0", service="shopfront", zone="obihiro"
        ),
        host="127.0.0.1",
        caller_port=1,
        peer_port=2,
        local_port=3,
        server_port=4,
        records=pathlib.Path("none"),
        store_url="",
    )


def _build_evidence() -> soak_checks.Evidence:
    """Build evidence without any violation."""
    return soak_checks.Evidence(
        vms=[_build_vm()],
        results=[_build_result("a"), _build_result("late", started_at=100.0)],
        records=[_build_record("a"), _build_record("late", at=100.0)],
        done=[],
        adoptions=[_build_adoption(1, 0.0), _build_adoption(2, 1.0)],
        zones_out=[],
        cut_by_stops=[],
        rss_mb={"shop-0": 60.0},
        quiet_from=50.0,
        ended_at=101.0,
    )


def _build_adoption(version: int, at: float) -> soak_checks.Adoption:
    return soak_checks.Adoption(vm=0, run=0, version=version, at=at)


def _build_done(kind: soak_plan.FaultKind) -> soak_checks.ExecutedFault:
    fault = soak_plan.Fault(kind=kind, vm=0, at=9.0, for_s=1.0)
    return soak_checks.ExecutedFault(fault=fault, began_at=9.0, ended_at=10.0)


def _build_seen(**changes: object) -> Change:
    return {
        "seen": soak_watch.Observations(**typing.cast(typing.Any, changes))
    }


def _build_stop(
    began_at: float = 9.0, **changes: object
) -> soak_watch.NodeExit:
    return dataclasses.replace(
        soak_watch.NodeExit(
            vm=0,
            was_signalled=True,
            began_at=began_at,
            ended_at=began_at + 2.0,
            status=0,
        ),
        **typing.cast(typing.Any, changes),
    )


def _build_signal(kind: soak_plan.FaultKind) -> Change:
    """Build a signal during which a server runs many calls."""
    fault = soak_plan.Fault(kind=kind, vm=0, at=9.0, for_s=8.0, rate_per_s=1.0)
    signal = soak_checks.ExecutedFault(
        fault=fault, began_at=20.0, ended_at=28.0
    )
    calls = [f"s{number}" for number in range(20)]
    return {
        "signals": [signal],
        "results": [
            *_build_evidence().results,
            *[_build_result(call, started_at=25.0) for call in calls],
        ],
        "records": [
            *_build_evidence().records,
            *[_build_record(call, at=25.0) for call in calls],
        ],
    }


_LOST = _build_result("b", ending=traffic.Ending.LOST)
_NOT_TAKEN = _build_result("b", ending=traffic.Ending.NOT_TAKEN)
_CUT_NEW = _build_result("b", ending=traffic.Ending.CUT_NEW)
_LATE = _build_result("late", started_at=100.0)
_ZONE_OUT = soak_checks.ZoneOut(zone="obihiro", accepted_at=20.0, until=30.0)


@pytest.mark.parametrize(
    ("name", "change"),
    [
        (
            "run at most once",
            {
                "results": [
                    _build_result("late", started_at=100.0),
                    _build_result("o", ORDER),
                ],
                "records": [
                    _build_record("late"),
                    _build_record("o"),
                    _build_record("o"),
                ],
            },
        ),
        (
            "refusals are true",
            {
                "results": [
                    _build_result("late", started_at=100.0),
                    _build_result("a", ending=traffic.Ending.REFUSED_NOT_RUN),
                ]
            },
        ),
        ("answers are whole and own", {"records": [_build_record("late")]}),
        (
            "planned work cuts nothing",
            {
                "results": [_build_result("late", started_at=100.0), _LOST],
                "done": [_build_done(soak_plan.FaultKind.NODE_STOP)],
            },
        ),
        (
            "a zone that is out gets no work",
            {
                "zones_out": [_ZONE_OUT],
                "records": [
                    _build_record("a"),
                    _build_record("late", at=25.0),
                ],
            },
        ),
        (
            "a named limit is kept",
            _build_signal(soak_plan.FaultKind.SERVER_LIMIT),
        ),
        (
            "a leaving server gets no work",
            _build_signal(soak_plan.FaultKind.SERVER_LEAVES),
        ),
        (
            "versions never go back",
            {
                "adoptions": [
                    _build_adoption(2, 0.0),
                    _build_adoption(1, 1.0),
                    _build_adoption(2, 2.0),
                ]
            },
        ),
        (
            "cold servers are spared",
            {
                "records": [
                    _build_record("a"),
                    _build_record("late"),
                    _build_record("x", "fell"),
                ]
            },
        ),
        (
            "repeats keep to the budget",
            {"records": [_build_record("late"), *[_build_record("a")] * 30]},
        ),
        ("recovery within its time", {"results": [_build_result("a")]}),
        ("memory is bounded", {"rss_mb": {"shop-0": 200.0}}),
        # Callers that leave early explain no lost calls.
        (
            "planned work cuts nothing",
            {
                "results": [_LATE, _LOST],
                "done": [_build_done(soak_plan.FaultKind.CALLERS_LEAVE)],
            },
        ),
        # A reused connection ended while no node was stopping.
        ("planned work cuts nothing", {"results": [_LATE, _NOT_TAKEN]}),
        (
            "planned work cuts nothing",
            {
                "results": [_LATE, _NOT_TAKEN],
                **_build_seen(ends=[_build_stop(began_at=12.0)]),
            },
        ),
        # A node was stopping, but the call ran.
        (
            "planned work cuts nothing",
            {
                "results": [_LATE, _NOT_TAKEN],
                "records": [
                    _build_record("late", at=100.0),
                    _build_record("b"),
                ],
                **_build_seen(ends=[_build_stop()]),
            },
        ),
        (
            "planned work cuts nothing",
            {"results": [_LATE, _LOST], **_build_seen(ends=[_build_stop()])},
        ),
        (
            "a stop cuts no new connection",
            {
                "results": [_LATE, _CUT_NEW],
                **_build_seen(ends=[_build_stop()]),
            },
        ),
        ("planned work cuts nothing", {"results": [_LATE, _CUT_NEW]}),
        (
            "planned work cuts nothing",
            {
                "results": [_LATE, _CUT_NEW],
                "records": [
                    _build_record("late", at=100.0),
                    _build_record("b"),
                ],
                **_build_seen(ends=[_build_stop()]),
            },
        ),
        ("an answer comes where a call waits", _build_seen(strays=["a"])),
        ("no call is answered twice", _build_seen(echoes=["a", "b", "a"])),
        (
            "no descriptor has two owners",
            _build_seen(log_lines=["shop-0: Bad"]),
        ),
        (
            "nodes end within their grace time",
            _build_seen(ends=[_build_stop(ended_at=19.1, status=-9)]),
        ),
        (
            "nodes end when told, by themselves",
            _build_seen(ends=[_build_stop(status=-6)]),
        ),
        (
            "nodes end when told, by themselves",
            _build_seen(ends=[_build_stop(was_signalled=False, status=0)]),
        ),
        ("running nodes take connections", _build_seen(refusals=["port 1"])),
        (
            "descriptors are given back",
            _build_seen(descriptors={"1": (20, 120)}),
        ),
    ],
)
def test_each_check_finds_its_violation(name: str, change: Change) -> None:
    without_violation = soak_checks.check_all(_build_evidence())
    assert not any(without_violation.values())
    found = soak_checks.check_all(
        dataclasses.replace(
            _build_evidence(), **typing.cast(typing.Any, change)
        )
    )
    assert [check for check, findings in found.items() if findings] == [name]


def test_an_unplanned_fault_explains_a_lost_call() -> None:
    evidence = dataclasses.replace(
        _build_evidence(),
        results=[_build_result("late", started_at=100.0), _LOST],
        done=[_build_done(soak_plan.FaultKind.NODE_KILL)],
    )
    assert not any(soak_checks.check_all(evidence).values())


def test_a_stop_explains_the_end_of_a_reused_connection() -> None:
    evidence = dataclasses.replace(
        _build_evidence(),
        results=[_LATE, _NOT_TAKEN],
        seen=soak_watch.Observations(
            ends=[_build_stop()],
            echoes=["a", "late"],
            descriptors={"1": (20, 60)},
        ),
    )
    assert not any(soak_checks.check_all(evidence).values())


def test_calls_after_the_end_are_ignored_by_the_recovery_check() -> None:
    after = _build_result(
        "c", started_at=102.0, ending=traffic.Ending.MAY_HAVE_RUN
    )
    evidence = dataclasses.replace(
        _build_evidence(), results=[*_build_evidence().results, after]
    )
    assert not any(soak_checks.check_all(evidence).values())


def test_the_report_lists_calls_with_their_ending() -> None:
    evidence = dataclasses.replace(_build_evidence(), results=[_LOST])
    (line,) = soak_report.list_calls(evidence)
    assert line.split()[:4] == ["10.000000", "0.100000", "b", PAGE.name]
    assert "lost" in line


def test_the_plan_depends_on_the_seed_only() -> None:
    plans = [
        soak_plan.draw_plan(seed=seed, duration_s=60.0, vms=6)
        for seed in (1, 1, 2)
    ]
    assert plans[0] == plans[1] != plans[2]
    kinds: set[soak_plan.FaultKind] = set()
    for seed in range(20):
        plan = soak_plan.draw_plan(seed=seed, duration_s=60.0, vms=6)
        assert all(
            fault.until <= 60.0 - soak_plan.QUIET_END_S for fault in plan
        )
        kinds.update(fault.kind for fault in plan)
    assert kinds == set(soak_plan.FaultKind)


@pytest.mark.parametrize("mode", list(links.LinkMode))
def test_a_link_fails_as_its_mode_says(mode: links.LinkMode) -> None:
    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(await reader.read(100))
        await writer.drain()
        writer.close()

    async def exchange(link: links.Link) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
        try:
            writer.write(b"ping")
            async with asyncio.timeout(0.3):
                return await reader.read(100)
        except (TimeoutError, OSError):
            return b"lost"
        finally:
            writer.close()

    async def check_mode() -> None:
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        link = links.Link(
            host="127.0.0.1", target_host="127.0.0.1", target_port=port
        )
        await link.open()
        link.set_mode(mode, delay_s=0.01)
        passes = mode in (links.LinkMode.PASSING, links.LinkMode.SLOW)
        assert (await exchange(link) == b"ping") is passes
        link.set_mode(links.LinkMode.PASSING)
        assert await exchange(link) == b"ping"
        await link.close()
        server.close()

    asyncio.run(check_mode())


def test_a_short_soak_has_no_violations() -> None:
    async def run() -> soak_checks.Evidence:
        return await soak.Soak(
            seed=3, duration_s=12.0, vms=6, quiet_end_s=3.0
        ).run()

    evidence = asyncio.run(run())
    found = soak_checks.check_all(evidence)
    assert len(evidence.done) > 5
    assert len(evidence.results) > 100
    assert not [found[name] for name in soak_checks.UNTIMED if found[name]]
    assert "Soak, seed 3" in soak_report.render(
        seed=3, evidence=evidence, found=found
    )
