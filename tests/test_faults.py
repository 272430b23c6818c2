"""Faults reported by the event loop and by libraries, and their logging."""

import asyncio
import collections.abc
import errno
import json
import logging
import os
import socket
import typing

from aiohttp import test_utils
from aiohttp import web
import loguru
from marjoramledge_node import _counts
from marjoramledge_node import _engine
from marjoramledge_node import _faults
from marjoramledge_node import _metrics_port
from marjoramledge_standins import builders
import pytest
import uvloop

Lines = list[dict[str, typing.Any]]
CLOSED_DESCRIPTOR = OSError(errno.EBADF, "Bad file descriptor")
SHARED_DESCRIPTOR = RuntimeError(
    "File descriptor 35 is used by transport <TCP>"
)


@pytest.fixture
def lines() -> collections.abc.Iterator[Lines]:
    """Capture the fields and messages of log lines."""
    written: Lines = []

    def capture(text: str) -> None:
        record = json.loads(text)["record"]
        written.append({**record["extra"], "message": record["message"]})

    sink = loguru.logger.add(capture, serialize=True, format="{message}")
    yield written
    loguru.logger.remove(sink)


def _build_fault_log(
    counts: _counts.Counts,
    clock: collections.abc.Callable[[], float],
    end_calls: list[bool] | None = None,
) -> _faults.FaultLog:
    recorded: list[bool] = [] if end_calls is None else end_calls
    return _faults.FaultLog(
        counts=counts, clock=clock, abort_node=lambda: recorded.append(True)
    )


class _Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.mark.parametrize(
    ("message", "error", "kind"),
    [
        ("Error handling request", SHARED_DESCRIPTOR, "descriptor-shared"),
        ("Exception in callback", CLOSED_DESCRIPTOR, "descriptor-gone"),
        ("Unclosed connection", None, "unclosed"),
        ("Unclosed client session", None, "unclosed"),
        (
            "Error handling request",
            RuntimeError("another error"),
            "unexpected-error",
        ),
        ("Exception in callback", ConnectionResetError(), "unexpected-error"),
    ],
)
def test_a_fault_is_counted_and_logged_by_its_kind(
    lines: Lines, message: str, error: Exception | None, kind: str
) -> None:
    counts = _counts.Counts()
    log = _build_fault_log(counts, _Clock())
    loop = asyncio.new_event_loop()
    log.handle_loop_fault(loop, {"message": message, "exception": error})
    loop.close()
    assert counts.faults == {kind: 1}
    (line,) = lines
    assert (line["event"], line["source"]) == (kind, "event-loop")
    assert line["message"] == message
    assert line.get("error") == (None if error is None else repr(error))


def test_log_lines_per_kind_and_their_length_are_bounded(lines: Lines) -> None:
    counts = _counts.Counts()
    clock = _Clock()
    log = _build_fault_log(counts, clock)
    loop = asyncio.new_event_loop()
    report = {"message": 9999 * "m", "exception": ValueError(9999 * "x")}
    limit = _faults.MAX_LINES_PER_KIND_PER_S
    for _ in range(limit + 7):
        log.handle_loop_fault(loop, report)
    assert len(lines) == limit
    log.handle_loop_fault(loop, {"message": "Unclosed connection"})
    assert len(lines) == limit + 1
    clock.now += 1.0
    log.handle_loop_fault(loop, report)
    loop.close()
    assert len(lines) == limit + 2
    assert log.suppressed_lines == 7
    assert counts.faults == {"unexpected-error": limit + 8, "unclosed": 1}
    for line in lines:
        assert len(line["message"]) <= _faults.MAX_TEXT_CHARS
        assert len(line.get("error", "")) <= _faults.MAX_TEXT_CHARS


def test_an_error_logged_by_a_library_becomes_one_line(lines: Lines) -> None:
    counts = _counts.Counts()
    log = _build_fault_log(counts, _Clock())
    library = logging.getLogger("test-library")
    library.addHandler(log)
    try:
        library.info("not a fault")
        try:
            raise CLOSED_DESCRIPTOR
        except OSError:
            library.exception("Error handling %s", "request")
    finally:
        library.removeHandler(log)
    assert counts.faults == {"descriptor-gone": 1}
    (line,) = lines
    assert line["source"] == "test-library"
    assert line["message"] == "Error handling request"
    assert line["where"].startswith("test_faults.py:")


def test_the_event_loop_reports_a_closed_descriptor(
    lines: Lines,
) -> None:
    counts = _counts.Counts()

    async def run_loop() -> None:
        loop = asyncio.get_running_loop()
        log = _build_fault_log(counts, loop.time)
        loop.set_exception_handler(log.handle_loop_fault)

        def use_closed_descriptor() -> None:
            descriptor = os.dup(0)
            os.close(descriptor)
            socket.socket(fileno=descriptor)

        loop.call_soon(use_closed_descriptor)
        await asyncio.sleep(0.01)

    uvloop.run(run_loop())
    assert counts.faults == {"descriptor-gone": 1}
    assert [line["event"] for line in lines] == ["descriptor-gone"]


# Guards against a node that keeps serving although one of its descriptors was
# closed or is shared by two transports.
@pytest.mark.parametrize(
    ("error", "is_ended"),
    [
        (SHARED_DESCRIPTOR, True),
        (CLOSED_DESCRIPTOR, True),
        (ValueError("another error"), False),
    ],
)
def test_a_lost_descriptor_ends_the_node(
    lines: Lines, error: Exception, is_ended: bool
) -> None:
    end_calls: list[bool] = []
    log = _build_fault_log(_counts.Counts(), _Clock(), end_calls)
    loop = asyncio.new_event_loop()
    log.handle_loop_fault(loop, {"message": "failed", "exception": error})
    loop.close()
    assert bool(end_calls) is is_ended
    assert len(lines) == 1


def test_faults_are_exported_as_a_metric() -> None:
    counts = _counts.Counts()
    counts.note_fault("descriptor-gone")
    counts.note_fault("descriptor-gone")
    driver = builders.CoreDriver()
    driver.configure()

    async def scrape() -> str:
        port = _metrics_port.MetricsPort(
            engine=_engine.Engine(
                state=driver.state, rng=driver.rng, clock=lambda: driver.now
            ),
            counts=counts,
            count_suppressed_lines=lambda: 0,
        )
        request = test_utils.make_mocked_request("GET", "/metrics")
        response = await port.serve(request)
        assert isinstance(response, web.Response)
        assert isinstance(response.body, bytes)
        return response.body.decode()

    text = asyncio.run(scrape())
    assert 'marjoramledge_faults_total{kind="descriptor-gone"} 2.0' in text
