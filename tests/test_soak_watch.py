"""How the soak observes node processes from outside."""

import asyncio
import pathlib
import signal
import sys

from marjoramledge_standins import deployment
from marjoramledge_standins import soak_logs
from marjoramledge_standins import soak_process_checks
from marjoramledge_standins import soak_watch
import pytest

HOST = "127.0.0.1"
_SLEEP = "import time\nprint(flush=True)\ntime.sleep(60)"


async def _run_python(code: str) -> asyncio.subprocess.Process:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", code, stdout=asyncio.subprocess.PIPE
    )
    assert process.stdout is not None
    await process.stdout.readline()
    return process


def _build_vm(process: asyncio.subprocess.Process, port: int) -> deployment.Vm:
    return deployment.Vm(
        plan=deployment.VmPlan(
            name="shop-0", service="shopfront", zone="obihiro"
        ),
        host=HOST,
        caller_port=port,
        peer_port=port,
        local_port=port,
        server_port=port,
        records=pathlib.Path("none"),
        store_url="",
        node=process,
    )


def _run_and_stop(code: str, wait_s: float = 0.0) -> soak_watch.Observations:
    """Run a program as a node and stop it; return what was observed."""

    async def run() -> soak_watch.Observations:
        process = await _run_python(code)
        if wait_s:
            async with asyncio.timeout(wait_s):
                await process.wait()
        watch = soak_watch.Watch([_build_vm(process, 1)])
        await watch.end_node(0, signal.SIGTERM)
        return soak_watch.Observations(ends=watch.ends)

    return asyncio.run(run())


def test_a_node_that_stops_on_request_is_not_reported() -> None:
    seen = _run_and_stop(
        "import signal, sys, time\n"
        "signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))\n"
        "print(flush=True)\ntime.sleep(60)"
    )
    assert len(seen.ends) == 1
    assert not soak_process_checks.find_late_exits(seen)
    assert not soak_process_checks.find_unexpected_exits(seen)


def test_a_node_that_exceeds_its_grace_time_is_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(deployment, "STOP_TIMEOUT_S", 0.3)
    seen = _run_and_stop(
        "import signal, time\n"
        "signal.signal(signal.SIGTERM, signal.SIG_IGN)\n"
        "print(flush=True)\ntime.sleep(60)"
    )
    assert soak_process_checks.find_late_exits(seen)
    assert not soak_process_checks.find_unexpected_exits(seen)


def test_a_node_that_exits_by_itself_is_reported() -> None:
    seen = _run_and_stop(
        "import os\nprint(flush=True)\nos.abort()", wait_s=10.0
    )
    (found,) = soak_process_checks.find_unexpected_exits(seen)
    assert "unexpectedly" in found
    assert not soak_process_checks.find_late_exits(seen)


def test_a_node_that_aborts_during_its_stop_is_reported() -> None:
    seen = _run_and_stop(
        "import os, signal, time\n"
        "signal.signal(signal.SIGTERM, lambda *_: os.abort())\n"
        "print(flush=True)\ntime.sleep(60)"
    )
    (found,) = soak_process_checks.find_unexpected_exits(seen)
    assert "abnormally" in found


async def _serve(
    _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.close()


def test_a_closed_port_of_a_running_node_is_reported() -> None:
    async def run() -> list[int]:
        process = await _run_python(_SLEEP)
        server = await asyncio.start_server(_serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        watch = soak_watch.Watch([_build_vm(process, port)])
        counts = []
        await watch.check_nodes()
        watch.mark_open(0)
        await watch.check_nodes()
        counts.append(len(watch.refusals))
        server.close()
        await server.wait_closed()
        await watch.check_nodes()
        counts.append(len(watch.refusals))
        # A node that is being stopped may close its ports.
        await watch.end_node(0, signal.SIGKILL)
        await watch.check_nodes()
        counts.append(len(watch.refusals))
        return counts

    assert asyncio.run(run()) == [0, 3, 3]


def test_refused_connections_to_a_dead_node_are_not_counted() -> None:
    async def run() -> int:
        process = await _run_python(_SLEEP)
        watch = soak_watch.Watch([_build_vm(process, 1)])
        watch.mark_open(0)
        assert not watch.has_exited_unexpectedly(0)
        process.kill()
        await watch.check_nodes()
        assert watch.has_exited_unexpectedly(0)
        await watch.end_node(0, signal.SIGKILL)
        assert not watch.has_exited_unexpectedly(0)
        return len(watch.refusals)

    assert asyncio.run(run()) == 0


def test_leaked_descriptors_are_reported() -> None:
    async def run() -> soak_watch.Observations:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            "import os\ninput()\n"
            "kept = [os.open('/dev/null', 0) for _ in range(100)]\n"
            "print(flush=True)\ninput()",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdin is not None and process.stdout is not None
        watch = soak_watch.Watch([_build_vm(process, 1)])
        watch.mark_open(0)
        await watch.check_nodes()
        before = soak_watch.Observations(descriptors=dict(watch.descriptors))
        assert not soak_process_checks.find_descriptor_leaks(before)
        process.stdin.write(b"\n")
        await process.stdout.readline()
        await watch.settle(limit_s=0.1)
        await watch.end_node(0, signal.SIGKILL)
        kept = soak_watch.Observations(descriptors=dict(watch.descriptors))
        await watch.settle(limit_s=0.1)
        assert not watch.descriptors
        return kept

    assert soak_process_checks.find_descriptor_leaks(asyncio.run(run()))


@pytest.mark.parametrize(
    "line",
    [
        "OSError: [Errno 9] Bad file descriptor",
        "RuntimeError: File descriptor 35 is used by transport <TCP>",
        "Unclosed connection",
        "Exception in callback TCPTransport._call_connection_made",
        "Task exception was never retrieved",
        "Fatal write error on socket transport",
        "Error handling request from 127.0.0.1",
        '{"event": "x", "message": "OSError: [Errno 9] Bad file descriptor"}',
    ],
)
def test_log_lines_of_descriptors_with_two_owners_are_reported(
    line: str,
) -> None:
    log = '{"event": "node-started", "message": "node is running"}\n'
    assert not soak_logs.find_descriptor_errors("shop-0", log)
    found = soak_logs.find_descriptor_errors("shop-0", f"{log}{line}\n{log}")
    assert found == [f"shop-0: {line}"]
    assert soak_process_checks.find_shared_descriptors(
        soak_watch.Observations(log_lines=found)
    )
