"""Soak callers that disconnect early, and ones that stay connected."""

import asyncio
import collections.abc
import json

from marjoramledge_standins import demo
from marjoramledge_standins import soak_callers
from marjoramledge_standins import soak_plan
from marjoramledge_standins import soak_process_checks
from marjoramledge_standins import soak_watch
from marjoramledge_standins import traffic

HOST = "127.0.0.1"

Serve = collections.abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    collections.abc.Awaitable[None],
]


def _build_answer(call: str, *, extra: str = "") -> bytes:
    body = json.dumps({"call": call, "body": ""}).encode()
    head = (
        f"HTTP/1.1 200 OK\r\nx-call-id: {call}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def _start_server(serve: Serve) -> tuple[asyncio.Server, int]:
    async def serve_and_close(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await serve(reader, writer)
        writer.close()

    server = await asyncio.start_server(serve_and_close, HOST, 0)
    return server, server.sockets[0].getsockname()[1]


def _run_callers(
    serve: Serve, seconds: float, share: float
) -> soak_callers.ConnectionCallers:
    """Run callers against a server while a share of them leaves early."""

    async def run() -> soak_callers.ConnectionCallers:
        server, port = await _start_server(serve)
        callers = soak_callers.ConnectionCallers(
            entries=[soak_callers.Entry(host=HOST, port=port)],
            kinds=demo.KINDS,
            seed=1,
        )
        callers.start()
        with callers.leaving(0, share):
            await asyncio.sleep(seconds)
        async with asyncio.timeout(5.0):
            await callers.stop()
        server.close()
        return callers

    return asyncio.run(run())


async def _serve_correctly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer each request after a delay with the id of its call."""
    while True:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            return
        call = head.partition(b"X-Call-Id: ")[2].split()[0].decode()
        length = head.partition(b"Content-Length: ")[2].split()
        if length:
            await reader.readexactly(int(length[0]))
        await asyncio.sleep(0.005)
        writer.write(_build_answer(call))


def test_a_share_of_the_callers_leaves_early_during_orders_too() -> None:
    callers = _run_callers(_serve_correctly, 1.0, 0.5)
    left = [
        result
        for result in callers.results
        if result.ending is traffic.Ending.LEFT
    ]
    assert len(left) > 10
    assert {result.kind.runs_once for result in left} == {True, False}
    assert len(callers.results) > 2 * len(left)
    assert len({result.call for result in callers.results}) == len(
        callers.results
    )
    assert not callers.strays


def test_no_caller_leaves_early_when_the_share_is_zero() -> None:
    callers = _run_callers(_serve_correctly, 1.0, 0.0)
    assert callers.results
    assert not [
        result
        for result in callers.results
        if result.ending is traffic.Ending.LEFT
    ]


def test_answers_to_other_calls_are_detected() -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # One answer more than there are calls, with the id of another call.
        writer.write(_build_answer("of-another-call"))
        await _serve_correctly(reader, writer)

    callers = _run_callers(serve, 0.5, 0.0)
    assert callers.strays
    assert "of-another-call" in callers.echoes
    seen = soak_watch.Observations(
        strays=callers.strays, echoes=callers.echoes
    )
    assert soak_process_checks.find_stray_answers(seen)
    assert soak_process_checks.find_second_answers(seen)


def test_periods_of_early_leaving_overlap_faults() -> None:
    overlaps = 0
    for seed in range(10):
        plan = soak_plan.draw_plan(seed=seed, duration_s=60.0, vms=6)
        periods = [
            fault for fault in plan if fault.kind in soak_plan.CALLER_EVENTS
        ]
        assert periods
        assert all(0.0 < period.share < 1.0 for period in periods)
        overlaps += sum(
            period.at < fault.until and fault.at < period.until
            for period in periods
            for fault in plan
            if fault.kind not in soak_plan.NON_FAULTS
        )
    assert overlaps > 10
