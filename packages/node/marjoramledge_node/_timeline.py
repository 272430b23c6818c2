"""Stream of the node's time line, its bounded memory and its log.

Records come from the engine as commands and leave as a reactive stream; the
log, the metrics and the operators' view are subscribers.  Under overload one
kind of record may come thousands of times a second, so the log writes only
so many of a kind each second and then says how many it left out.
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
        node.RecordKind.STORE_FAILED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimestampedRecord:
    """A record with the time at which this node wrote it.

    ``at`` is seconds since the epoch by this VM's clock, for people to read.
    """

    at: float
    record: node.Record


class Timeline:
    """The node's own part of the time line."""

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
        """Records as they are written."""
        return self._stream

    @property
    def dropped(self) -> int:
        """Records that are no longer kept."""
        return self._dropped

    def recent(self) -> collections.abc.Sequence[TimestampedRecord]:
        """Return the records that are kept, oldest first."""
        return tuple(self._recent)

    def write(self, record: node.Record) -> None:
        """Add a record."""
        self._stream.on_next(TimestampedRecord(at=time.time(), record=record))

    def _append_recent(self, stamped: TimestampedRecord) -> None:
        if len(self._recent) == MAX_RECENT_RECORDS:
            self._dropped += 1
        self._recent.append(stamped)


class LogWriter:
    """Writes records to the log, so many of a kind each second.

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
        """Lines that were left out so far."""
        return self._suppressed_lines

    def write(self, stamped: TimestampedRecord) -> None:
        """Write one record, unless there are too many of its kind."""
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
                    "left out {} lines of {}", suppressed_lines, kind.value
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
