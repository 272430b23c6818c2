"""Time line of the node: a stream of records, a bounded history and a log.

The time line is the sequence of noteworthy events, such as refused calls and
adopted configurations.  Records come from the engine as commands and are
published as a reactive stream, to which the log and the metrics subscribe.
Under overload a kind of record may come thousands of times a second, so the
log limits the lines per kind and second and reports how many it suppressed.
"""

import collections
import collections.abc
import dataclasses
import time
import typing

import loguru
from marjoramledge_core import node
import reactivex

MAX_RECENT_RECORDS: typing.Final = 4096
MAX_LINES_PER_KIND_PER_S: typing.Final = 100

_WARNINGS: typing.Final = frozenset(
    {
        node.RecordKind.CALL_UNKNOWN,
        node.RecordKind.SERVER_UNREACHABLE,
        node.RecordKind.SERVER_FELL_COLD,
        node.RecordKind.PEER_EJECTED,
        node.RecordKind.MEMBER_FAILED,
        node.RecordKind.CONFIG_REFUSED,
        node.RecordKind.CONFIG_UNPROVEN,
        node.RecordKind.STORE_FAILED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimestampedRecord:
    """A record with the time at which this node wrote it.

    ``at`` is in seconds since the epoch by this VM's clock, for display only.
    """

    at: float
    record: node.Record


class Timeline:
    """The part of the time line that this node records."""

    def __init__(self) -> None:
        self._stream: reactivex.Subject[TimestampedRecord] = (
            reactivex.Subject()
        )
        self._recent: collections.deque[TimestampedRecord] = collections.deque(
            maxlen=MAX_RECENT_RECORDS
        )
        self._dropped = 0
        self._stream.subscribe(self._append_recent)

    @property
    def stream(self) -> reactivex.Observable[TimestampedRecord]:
        """Stream of the records as they are written."""
        return self._stream

    @property
    def dropped(self) -> int:
        """Number of records removed from the history to bound its size."""
        return self._dropped

    def recent(self) -> collections.abc.Sequence[TimestampedRecord]:
        """Return the records in the history, oldest first."""
        return tuple(self._recent)

    def write(self, record: node.Record) -> None:
        """Publish a record to the subscribers."""
        self._stream.on_next(TimestampedRecord(at=time.time(), record=record))

    def _append_recent(self, stamped: TimestampedRecord) -> None:
        if len(self._recent) == MAX_RECENT_RECORDS:
            self._dropped += 1
        self._recent.append(stamped)


class LogWriter:
    """Logs time line records, rate-limited per kind.

    Parameters
    ----------
    clock
        Monotonic time in seconds.
    """

    def __init__(self, *, clock: collections.abc.Callable[[], float]) -> None:
        self._clock = clock
        self._window_start = 0.0
        self._line_counts: collections.Counter[node.RecordKind] = (
            collections.Counter()
        )
        self._suppressed_lines = 0

    @property
    def suppressed_lines(self) -> int:
        """Number of lines suppressed so far."""
        return self._suppressed_lines

    def write(self, stamped: TimestampedRecord) -> None:
        """Log a record unless its kind is over the limit of this second."""
        record = stamped.record
        if self._clock() - self._window_start >= 1.0:
            self._log_suppressed()
            self._line_counts.clear()
            self._window_start = self._clock()
        self._line_counts[record.kind] += 1
        if self._line_counts[record.kind] <= MAX_LINES_PER_KIND_PER_S:
            _log_record(record)
        else:
            self._suppressed_lines += 1

    def _log_suppressed(self) -> None:
        for kind, count in self._line_counts.items():
            suppressed_lines = count - MAX_LINES_PER_KIND_PER_S
            if suppressed_lines > 0:
                loguru.logger.bind(event="log-limited").warning(
                    "suppressed {} lines of {}", suppressed_lines, kind.value
                )


def _log_record(record: node.Record) -> None:
    level = "INFO"
    if record.kind in _WARNINGS:
        level = "WARNING"
    fields = {
        name: value
        for name, value in (
            ("service", record.service),
            ("call", record.call),
            ("request", record.request),
            ("peer", record.peer),
        )
        if value
    }
    loguru.logger.bind(event=record.kind.value, **fields).log(
        level, "{}", record.detail or record.kind.value
    )
