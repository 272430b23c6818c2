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

MAX_KEPT_RECORDS: typing.Final = 4096
MAX_LINES_PER_KIND_PER_S: typing.Final = 20

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
class StampedRecord:
    """A record with the time at which this node wrote it.

    ``at`` is seconds since the epoch by this VM's clock, for people to read.
    """

    at: float
    record: node.Record


class Timeline:
    """The node's own part of the time line."""

    def __init__(self) -> None:
        self._stream: reactivex.Subject[StampedRecord] = reactivex.Subject()
        self._kept: collections.deque[StampedRecord] = collections.deque(
            maxlen=MAX_KEPT_RECORDS
        )
        self._dropped = 0
        self._stream.subscribe(self._keep)

    @property
    def stream(self) -> reactivex.Observable[StampedRecord]:
        """Records as they are written."""
        return self._stream

    @property
    def dropped(self) -> int:
        """Records that are no longer kept."""
        return self._dropped

    def recent(self) -> collections.abc.Sequence[StampedRecord]:
        """Return the records that are kept, oldest first."""
        return tuple(self._kept)

    def write(self, record: node.Record) -> None:
        """Add a record."""
        self._stream.on_next(StampedRecord(at=time.time(), record=record))

    def _keep(self, stamped: StampedRecord) -> None:
        if len(self._kept) == MAX_KEPT_RECORDS:
            self._dropped += 1
        self._kept.append(stamped)


def make_log_writer(
    clock: collections.abc.Callable[[], float],
) -> collections.abc.Callable[[StampedRecord], None]:
    """Make a subscriber that writes records to the log, within bounds."""
    window_at = 0.0
    written: collections.Counter[node.RecordKind] = collections.Counter()

    def write(stamped: StampedRecord) -> None:
        nonlocal window_at
        record = stamped.record
        if clock() - window_at >= 1.0:
            _log_left_out(written)
            written.clear()
            window_at = clock()
        written[record.kind] += 1
        if written[record.kind] <= MAX_LINES_PER_KIND_PER_S:
            _log_record(record)

    return write


def _log_left_out(written: collections.Counter[node.RecordKind]) -> None:
    for kind, count in written.items():
        left_out = count - MAX_LINES_PER_KIND_PER_S
        if left_out > 0:
            loguru.logger.bind(event="log-limited").warning(
                "left out {} lines of {}", left_out, kind.value
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
