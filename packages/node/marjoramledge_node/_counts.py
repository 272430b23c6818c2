"""Plain counters of the node's activity, read when metrics are scraped.

They don't use the Prometheus library, which is imported at the first scrape
only: a node that is never scraped saves its memory and its import time.
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
# Bounds the label values, since operators name the routes.  Further routes are
# counted together.
MAX_ROUTES: typing.Final = 256
OTHER_ROUTE: typing.Final = "other"


class LatencyHistogram:
    """Latency histogram of one route's answers."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.sum_s = 0.0

    def note(self, elapsed_s: float) -> None:
        """Count one answer."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_S, elapsed_s)] += 1
        self.sum_s += elapsed_s


class Counts:
    """Counters of answers, time line records, store operations and traffic.

    ``answers`` are by route and status, ``latencies`` by route, ``records``
    of the time line by kind, and ``store_calls`` by operation and outcome.
    ``messages`` and ``message_bytes`` count the datagrams sent to other
    nodes, by kind, ``document_bytes`` the documents sent to peers and
    operators, by kind, and ``faults`` the errors that the event loop and
    libraries reported, by kind.
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
        """Count one store operation."""
        self.store_calls[operation, outcome] += 1

    def note_message(self, kind: node.MessageKind, size: int) -> None:
        """Count one sent datagram of ``size`` bytes."""
        self.messages[kind] += 1
        self.message_bytes[kind] += size

    def note_document(self, target: str, size: int) -> None:
        """Count a document of ``size`` bytes.

        Its kind is the first segment of ``target``.
        """
        self.document_bytes[target.split("/")[1]] += size

    def note_fault(self, kind: str) -> None:
        """Count one error that the event loop or a library reported."""
        self.faults[kind] += 1

    def note_answer(
        self, route: ids.KindName | None, status: int, elapsed_s: float
    ) -> None:
        """Count one answer to a caller.

        ``route`` is None if no route matched the request.
        """
        name = route or "none"
        if name not in self.latencies and len(self.latencies) >= MAX_ROUTES:
            name = OTHER_ROUTE
        self.answers[name, status] += 1
        self.latencies.setdefault(name, LatencyHistogram()).note(elapsed_s)

    def note_record(self, record: node.Record) -> None:
        """Count one record of the time line."""
        self.records[record.kind] += 1
