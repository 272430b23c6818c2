"""Metrics over statsd.

Counters of the time line's records by kind, and gauges of the gate, are sent
once a second in one datagram, so that the cost does not follow the traffic.
"""

import asyncio
import collections
import typing

import loguru
from marjoramledge_core import node
import statsd

from marjoramledge_node import _engine
from marjoramledge_node import _timeline

FLUSH_PERIOD_S: typing.Final = 1.0


class StatsdReporter:
    """Counts between two flushes.

    Parameters
    ----------
    address
        Where the statsd server listens.
    prefix
        Start of every metric's name.
    engine
        The node's engine, whose gate is described.
    """

    def __init__(
        self, *, address: node.Address, prefix: str, engine: _engine.Engine
    ) -> None:
        self._client = statsd.StatsClient(
            host=address.host, port=address.port, prefix=prefix
        )
        self._engine = engine
        self._counts: collections.Counter[str] = collections.Counter()

    def count_record(self, stamped: _timeline.TimestampedRecord) -> None:
        """Count one record of the time line."""
        self._counts[stamped.record.kind.value] += 1

    async def run(self) -> None:
        """Flush once a second for ever."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self._flush()

    def _flush(self) -> None:
        gate = self._engine.state.gate
        report = gate.report(self._engine.now())
        try:
            with self._client.pipeline() as batch:
                for name, count in self._counts.items():
                    batch.incr(f"events.{name}", count)
                batch.gauge("gate.running", gate.running)
                batch.gauge("gate.queued", gate.queued)
                batch.gauge("gate.limit", report.limit)
                batch.gauge("gate.service_us", round(report.service_s * 1e6))
                batch.gauge("entry.calls", len(self._engine.state.calls))
                batch.gauge(
                    "config.version", self._engine.state.versions.ref.version
                )
        except OSError as error:
            loguru.logger.debug("metrics not sent: {!r}", error)
        self._counts.clear()
