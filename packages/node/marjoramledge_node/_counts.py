"""Counts of what a node did, kept cheaply until somebody asks.

The exposition's library is loaded at the first scrape only: a node that
nobody watches pays neither its memory nor its start.
"""

import bisect
import collections
import typing

from marjoramledge_core import ids
from marjoramledge_core import node

# Upper bounds of the latency histogram, in seconds.
BUCKET_BOUNDS_S: typing.Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
)
# Routes are named by operators; of more than these the rest is summed up.
MAX_ROUTES: typing.Final = 256
OTHER_ROUTE: typing.Final = "other"


class LatencyHistogram:
    """Histogram of one route's answers."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.sum_s = 0.0

    def note(self, elapsed_s: float) -> None:
        """Count one answer."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_S, elapsed_s)] += 1
        self.sum_s += elapsed_s


class Counts:
    """Counters of outcomes by route, of the time line by kind, and of costs.

    ``store_calls`` are by operation and outcome, ``messages`` and
    ``message_bytes`` are datagrams to other nodes by kind,
    ``document_bytes`` what peers and operators were sent by kind, and
    ``faults`` what the event loop and libraries reported by kind.
    """

    def __init__(self) -> None:
        self.answers: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.latencies: dict[str, LatencyHistogram] = {}
        self.records: collections.Counter[node.RecordKind] = (
            collections.Counter()
        )
        self.store_calls: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.messages: collections.Counter[node.MessageKind] = (
            collections.Counter()
        )
        self.message_bytes: collections.Counter[node.MessageKind] = (
            collections.Counter()
        )
        self.document_bytes: collections.Counter[str] = collections.Counter()
        self.faults: collections.Counter[str] = collections.Counter()

    def note_store_call(self, operation: str, outcome: str) -> None:
        """Count one operation at the store."""
        self.store_calls[operation, outcome] += 1

    def note_message(self, kind: node.MessageKind, size: int) -> None:
        """Count one datagram of ``size`` bytes."""
        self.messages[kind] += 1
        self.message_bytes[kind] += size

    def note_document(self, target: str, size: int) -> None:
        """Count one document of ``size`` bytes; its target names its kind."""
        self.document_bytes[target.split("/")[1]] += size

    def note_fault(self, kind: str) -> None:
        """Count one fault that the event loop or a library reported."""
        self.faults[kind] += 1

    def note_answer(
        self, route: ids.KindName | None, status: int, elapsed_s: float
    ) -> None:
        """Count one answer to a caller; None for one without a route."""
        name = route or "none"
        if name not in self.latencies and len(self.latencies) >= MAX_ROUTES:
            name = OTHER_ROUTE
        self.answers[name, status] += 1
        self.latencies.setdefault(name, LatencyHistogram()).note(elapsed_s)

    def note_record(self, record: node.Record) -> None:
        """Count one event of the time line."""
        self.records[record.kind] += 1
