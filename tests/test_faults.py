"""Reports of the event loop and of libraries: counted, logged, bounded."""

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
GONE = OSError(errno.EBADF, "Bad file descriptor")
SHARED = RuntimeError("File descriptor 35 is used by transport <TCP>")


@pytest.fixture
def lines() -> collections.abc.Iterator[Lines]:
    """Collect the fields and texts of log lines."""
    written: Lines = []

    def keep(text: str) -> None:
        record = json.loads(text)["record"]
        written.append({**record["extra"], "message": record["message"]})

    sink = loguru.logger.add(keep, serialize=True, format="{message}")
    yield written
    loguru.logger.remove(sink)


def _make_log(
    counts: _counts.Counts,
    clock: collections.abc.Callable[[], float],
    ends: list[bool] | None = None,
) -> _faults.FaultLog:
    told: list[bool] = [] if ends is None else ends
    return _faults.FaultLog(
        counts=counts, clock=clock, abort_node=lambda: told.append(True)
    )


class _Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.mark.parametrize(
    ("message", "error", "kind"),
    [
        ("Error handling request", SHARED, "descriptor-shared"),
        ("Exception in callback", GONE, "descriptor-gone"),
        ("Unclosed connection", None, "unclosed"),
        ("Unclosed client session", None, "unclosed"),
        (
            "Error handling request",
            RuntimeError("of ours"),
            "unexpected-error",
        ),
        ("Exception in callback", ConnectionResetError(), "unexpected-error"),
    ],
)
def test_a_report_is_counted_and_logged_by_what_it_tells(
    lines: Lines, message: str, error: Exception | None, kind: str
) -> None:
    counts = _counts.Counts()
    log = _make_log(counts, _Clock())
    loop = asyncio.new_event_loop()
    log.handle_loop_fault(loop, {"message": message, "exception": error})
    loop.close()
    assert counts.faults == {kind: 1}
    (line,) = lines
    assert (line["event"], line["source"]) == (kind, "event-loop")
    assert line["message"] == message
    assert line.get("error") == (None if error is None else repr(error))


def test_lines_of_a_kind_and_their_length_are_bounded(lines: Lines) -> None:
    counts = _counts.Counts()
    clock = _Clock()
    log = _make_log(counts, clock)
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


def test_what_a_library_logs_is_one_line(lines: Lines) -> None:
    counts = _counts.Counts()
    log = _make_log(counts, _Clock())
    library = logging.getLogger("test-library")
    library.addHandler(log)
    try:
        library.info("not a fault")
        try:
            raise GONE
        except OSError:
            library.exception("Error handling %s", "request")
    finally:
        library.removeHandler(log)
    assert counts.faults == {"descriptor-gone": 1}
    (line,) = lines
    assert line["source"] == "test-library"
    assert line["message"] == "Error handling request"
    assert line["where"].startswith("test_faults.py:")


def test_the_event_loop_tells_of_a_descriptor_that_is_gone(
    lines: Lines,
) -> None:
    counts = _counts.Counts()

    async def lose_a_descriptor() -> None:
        loop = asyncio.get_running_loop()
        log = _make_log(counts, loop.time)
        loop.set_exception_handler(log.handle_loop_fault)

        def touch_what_is_closed() -> None:
            descriptor = os.dup(0)
            os.close(descriptor)
            socket.socket(fileno=descriptor)

        loop.call_soon(touch_what_is_closed)
        await asyncio.sleep(0.01)

    uvloop.run(lose_a_descriptor())
    assert counts.faults == {"descriptor-gone": 1}
    assert [line["event"] for line in lines] == ["descriptor-gone"]


# Guards against MIXED: a node that goes on serving with descriptors that have
# lost their owner.
@pytest.mark.parametrize(
    ("error", "is_ended"),
    [(SHARED, True), (GONE, True), (ValueError("of ours"), False)],
)
def test_a_lost_descriptor_ends_the_node(
    lines: Lines, error: Exception, is_ended: bool
) -> None:
    ends: list[bool] = []
    log = _make_log(_counts.Counts(), _Clock(), ends)
    loop = asyncio.new_event_loop()
    log.handle_loop_fault(loop, {"message": "failed", "exception": error})
    loop.close()
    assert bool(ends) is is_ended
    assert len(lines) == 1


def test_faults_are_read_as_a_metric() -> None:
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
