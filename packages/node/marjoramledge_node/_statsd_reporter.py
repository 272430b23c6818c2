"""Metrics sent to a statsd server.

Counters of the time line's records by kind and gauges of the gate are sent
once a second in one batch, so that the cost does not grow with the traffic.
"""

import asyncio
import collections
import typing

import loguru
from marjoramledge_core import configuration
from marjoramledge_core import node
import statsd

from marjoramledge_node import _engine
from marjoramledge_node import _timeline

SEND_PERIOD_S: typing.Final = 1.0


class StatsdReporter:
    """Counts time line records and sends them to a statsd server.

    Parameters
    ----------
    address
        Address of the statsd server.
    prefix
        Prefix of every metric name.
    engine
        The node's engine, for the gauges.
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
        """Send the metrics once a second until cancelled."""
        while True:
            await asyncio.sleep(SEND_PERIOD_S)
            self._send()

    def _send(self) -> None:
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
                version = self._engine.state.versions.ref.version
                batch.gauge("config.version", configuration.number_of(version))
                batch.gauge("config.era", configuration.era_of(version))
        except OSError as error:
            loguru.logger.debug("metrics not sent: {!r}", error)
        self._counts.clear()
