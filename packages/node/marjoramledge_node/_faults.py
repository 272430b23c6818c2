"""Errors that the event loop, libraries and tasks report.

Each report is counted by kind and logged as one line of bounded length.  The
lines of a kind are limited per second, since an error of descriptors may come
with every call.
"""

import asyncio
import collections
import collections.abc
import enum
import errno
import logging
import traceback
import typing

import loguru

from marjoramledge_node import _counts

MAX_LINES_PER_KIND_PER_S: typing.Final = 10
MAX_TEXT: typing.Final = 200
MAX_FRAMES: typing.Final = 3


class FaultKind(enum.Enum):
    """Kinds of reports."""

    DESCRIPTOR_SHARED = "descriptor-shared"
    DESCRIPTOR_GONE = "descriptor-gone"
    UNCLOSED = "unclosed"
    OTHER = "unexpected-error"


_LOST_OWNERS: typing.Final = frozenset(
    {FaultKind.DESCRIPTOR_SHARED, FaultKind.DESCRIPTOR_GONE}
)


class FaultLog(logging.Handler):
    """Counts and logs the reports of the event loop and of libraries.

    Parameters
    ----------
    counts
        Where they are counted.
    clock
        Monotonic time in seconds.
    end_node
        Ends the node.  Called when a descriptor is shared or was closed under
        its owner, since answers may go to other callers from then on.
    """

    def __init__(
        self,
        *,
        counts: _counts.Counts,
        clock: collections.abc.Callable[[], float],
        end_node: collections.abc.Callable[[], None],
    ) -> None:
        super().__init__(level=logging.WARNING)
        self._end_node = end_node
        self._counts = counts
        self._clock = clock
        self._window_at = 0.0
        self._written: collections.Counter[FaultKind] = collections.Counter()
        self._left_out = 0

    @property
    def left_out(self) -> int:
        """Lines that were left out so far."""
        return self._left_out

    def handle_loop_fault(
        self,
        _loop: asyncio.AbstractEventLoop,
        context: dict[str, typing.Any],
    ) -> None:
        """Take what the event loop tells its exception handler."""
        self._note(
            "event-loop", str(context.get("message")), context.get("exception")
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Take a warning that a library logs."""
        error = record.exc_info[1] if record.exc_info else None
        self._note(record.name, record.getMessage(), error)

    def _note(
        self, source: str, message: str, error: BaseException | None
    ) -> None:
        kind = classify(message, error)
        self._counts.note_fault(kind.value)
        self._write(kind, source, message, error)
        if kind in _LOST_OWNERS:
            self._end_node()

    def _write(
        self,
        kind: FaultKind,
        source: str,
        message: str,
        error: BaseException | None,
    ) -> None:
        if self._clock() - self._window_at >= 1.0:
            self._written.clear()
            self._window_at = self._clock()
        self._written[kind] += 1
        if self._written[kind] > MAX_LINES_PER_KIND_PER_S:
            self._left_out += 1
            return
        fields = {} if error is None else _describe(error)
        loguru.logger.bind(event=kind.value, source=source, **fields).error(
            "{}", message[:MAX_TEXT]
        )


def report(message: str, error: Exception) -> None:
    """Report an error of this process, as the event loop does its own."""
    asyncio.get_running_loop().call_exception_handler(
        {"message": message, "exception": error}
    )


def classify(message: str, error: BaseException | None) -> FaultKind:
    """Find the kind of a report."""
    if isinstance(error, RuntimeError) and "is used by" in str(error):
        return FaultKind.DESCRIPTOR_SHARED
    if isinstance(error, OSError) and error.errno == errno.EBADF:
        return FaultKind.DESCRIPTOR_GONE
    if message.startswith("Unclosed"):
        return FaultKind.UNCLOSED
    return FaultKind.OTHER


def _describe(error: BaseException) -> dict[str, str]:
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    where = " < ".join(
        f"{frame.filename.rpartition('/')[2]}:{frame.lineno}"
        for frame in reversed(frames)
    )
    return {"error": repr(error)[:MAX_TEXT], "where": where[:MAX_TEXT]}
