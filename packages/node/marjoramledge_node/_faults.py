"""Handling of unexpected errors from the event loop, libraries and tasks.

Each error is counted by kind and logged as one line of bounded length.  The
lines per kind and second are limited, since an error of a file descriptor may
recur at every call.
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
MAX_TEXT_CHARS: typing.Final = 200
MAX_FRAMES: typing.Final = 3


class FaultKind(enum.Enum):
    """Kinds of reported errors, by their name in logs and metrics."""

    DESCRIPTOR_SHARED = "descriptor-shared"
    DESCRIPTOR_GONE = "descriptor-gone"
    UNCLOSED = "unclosed"
    OTHER = "unexpected-error"


_FATAL_KINDS: typing.Final = frozenset(
    {FaultKind.DESCRIPTOR_SHARED, FaultKind.DESCRIPTOR_GONE}
)


class FaultLog(logging.Handler):
    """Counts and logs errors that the event loop and libraries report.

    Parameters
    ----------
    counts
        Counts the errors by kind.
    clock
        Monotonic time in seconds.
    end_node
        Ends the process.  Called when a file descriptor is shared or was
        closed by code that doesn't own it, since answers may reach the wrong
        callers from then on.
    """

    def __init__(
        self,
        *,
        counts: _counts.Counts,
        clock: collections.abc.Callable[[], float],
        abort_node: collections.abc.Callable[[], None],
    ) -> None:
        super().__init__(level=logging.WARNING)
        self._abort_node = abort_node
        self._counts = counts
        self._clock = clock
        self._window_start = 0.0
        self._line_counts: collections.Counter[FaultKind] = (
            collections.Counter()
        )
        self._suppressed_lines = 0

    @property
    def suppressed_lines(self) -> int:
        """Number of lines suppressed so far."""
        return self._suppressed_lines

    def handle_loop_fault(
        self,
        _loop: asyncio.AbstractEventLoop,
        context: dict[str, typing.Any],
    ) -> None:
        """Handle an error that the event loop reports.

        This is the event loop's exception handler.
        """
        self._handle(
            "event-loop", str(context.get("message")), context.get("exception")
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Handle a warning or error that a library logs."""
        error = record.exc_info[1] if record.exc_info else None
        self._handle(record.name, record.getMessage(), error)

    def _handle(
        self, source: str, message: str, error: BaseException | None
    ) -> None:
        kind = classify(message, error)
        self._counts.note_fault(kind.value)
        self._log(kind, source, message, error)
        if kind in _FATAL_KINDS:
            self._abort_node()

    def _log(
        self,
        kind: FaultKind,
        source: str,
        message: str,
        error: BaseException | None,
    ) -> None:
        if self._clock() - self._window_start >= 1.0:
            self._line_counts.clear()
            self._window_start = self._clock()
        self._line_counts[kind] += 1
        if self._line_counts[kind] > MAX_LINES_PER_KIND_PER_S:
            self._suppressed_lines += 1
            return
        fields = {} if error is None else _build_fields(error)
        loguru.logger.bind(event=kind.value, source=source, **fields).error(
            "{}", message[:MAX_TEXT_CHARS]
        )


def report(message: str, error: Exception) -> None:
    """Report an unexpected error to the event loop's exception handler."""
    asyncio.get_running_loop().call_exception_handler(
        {"message": message, "exception": error}
    )


def classify(message: str, error: BaseException | None) -> FaultKind:
    """Return the kind of a reported error."""
    if isinstance(error, RuntimeError) and "is used by" in str(error):
        return FaultKind.DESCRIPTOR_SHARED
    if isinstance(error, OSError) and error.errno == errno.EBADF:
        return FaultKind.DESCRIPTOR_GONE
    if message.startswith("Unclosed"):
        return FaultKind.UNCLOSED
    return FaultKind.OTHER


def _build_fields(error: BaseException) -> dict[str, str]:
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    where = " < ".join(
        f"{frame.filename.rpartition('/')[2]}:{frame.lineno}"
        for frame in reversed(frames)
    )
    return {
        "error": repr(error)[:MAX_TEXT_CHARS],
        "where": where[:MAX_TEXT_CHARS],
    }
