"""The port where counts and gauges are read, as text for a collector."""

import collections.abc
import typing

from aiohttp import web
from marjoramledge_core import node

from marjoramledge_node import _counts
from marjoramledge_node import _engine

if typing.TYPE_CHECKING:
    from prometheus_client import core


class MetricsPort:
    """Handler of scrapes.

    Parameters
    ----------
    engine
        The node's engine, for its gauges.
    counts
        What the node has counted.
    lines_left_out
        Tells how many log lines were left out.
    """

    def __init__(
        self,
        *,
        engine: _engine.Engine,
        counts: _counts.Counts,
        count_suppressed_lines: collections.abc.Callable[[], int],
    ) -> None:
        self._engine = engine
        self._counts = counts
        self._count_suppressed_lines = count_suppressed_lines

    async def serve(self, _request: web.BaseRequest) -> web.StreamResponse:
        """Serve one scrape, whatever its path."""
        from prometheus_client import exposition

        return web.Response(
            body=exposition.generate_latest(self),
            headers={"Content-Type": "text/plain; version=0.0.4"},
        )

    def collect(self) -> collections.abc.Iterator["core.Metric"]:
        """Yield all metrics, for the library that writes them."""
        from prometheus_client import core

        answers = core.CounterMetricFamily(
            "marjoramledge_answers",
            "Answers to callers.",
            labels=("route", "status"),
        )
        for (route, status), count in self._counts.answers.items():
            answers.add_metric((route, str(status)), count)
        yield answers
        latencies = core.HistogramMetricFamily(
            "marjoramledge_answer_seconds",
            "Time from a request to its answer.",
            labels=("route",),
        )
        for route, histogram in self._counts.latencies.items():
            latencies.add_metric(
                (route,), _cumulate(histogram), histogram.sum_s
            )
        yield latencies
        records = core.CounterMetricFamily(
            "marjoramledge_events",
            "Events of the time line.",
            labels=("event",),
        )
        for kind, count in self._counts.records.items():
            records.add_metric((kind.value,), count)
        yield records
        store_calls = core.CounterMetricFamily(
            "marjoramledge_store_calls",
            "Operations at the store.",
            labels=("operation", "outcome"),
        )
        for labels, count in self._counts.store_calls.items():
            store_calls.add_metric(labels, count)
        yield store_calls
        for name, help_text, counter in (
            ("messages", "Datagrams to nodes.", self._counts.messages),
            ("message_bytes", "Their bytes.", self._counts.message_bytes),
        ):
            family = core.CounterMetricFamily(
                f"marjoramledge_{name}", help_text, labels=("kind",)
            )
            for message_kind, count in counter.items():
                family.add_metric((message_kind.name.lower(),), count)
            yield family
        documents = core.CounterMetricFamily(
            "marjoramledge_document_bytes",
            "Bytes of documents to nodes and operators.",
            labels=("kind",),
        )
        for document_kind, size in self._counts.document_bytes.items():
            documents.add_metric((document_kind,), size)
        yield documents
        faults = core.CounterMetricFamily(
            "marjoramledge_faults",
            "Faults that the event loop and libraries reported.",
            labels=("kind",),
        )
        for fault_kind, count in self._counts.faults.items():
            faults.add_metric((fault_kind,), count)
        yield faults
        for name, help_text, value in self._gauges():
            yield core.GaugeMetricFamily(
                f"marjoramledge_{name}", help_text, value
            )

    def _gauges(self) -> collections.abc.Iterator[tuple[str, str, float]]:
        state, now = self._engine.state, self._engine.now()
        report = state.gate.report(now)
        yield "gate_running", "Calls that run here.", state.gate.running
        yield "gate_queued", "Calls that wait here.", state.gate.queued
        yield "gate_limit", "Calls that may run here.", state.gate.limit
        yield "gate_call_seconds", "Expected time here.", report.service_s
        yield "calls", "Calls that entered here.", len(state.calls)
        yield (
            "configuration_version",
            "Version of the configuration in force.",
            state.versions.ref.version,
        )
        yield (
            "configuration_read_age_seconds",
            "Time since this node last asked the store.",
            now - state.versions.read_at,
        )
        present = state.membership.present_count
        yield "members_present", "Members not departed.", present
        yield (
            "gate_accepting",
            "Whether the backend server here takes work.",
            float(state.gate.accepts_work),
        )
        yield (
            "stopping",
            "Whether a planned stop is under way.",
            float(state.stop_phase is not node.StopPhase.RUNNING),
        )
        yield (
            "log_lines_left_out",
            "Log lines left out to bound the volume.",
            self._count_suppressed_lines(),
        )
        for service, budget in state.budgets.items():
            yield (
                f"repeats_left_{_sanitize_name(service)}",
                "Calls that may be repeated now.",
                budget.tokens,
            )


def _cumulate(histogram: _counts.LatencyHistogram) -> list[tuple[str, float]]:
    bounds = [f"{bound:g}" for bound in _counts.BUCKET_BOUNDS_S]
    total = 0
    buckets: list[tuple[str, float]] = []
    for bound, count in zip([*bounds, "+Inf"], histogram.counts, strict=True):
        total += count
        buckets.append((bound, total))
    return buckets


def _sanitize_name(name: str) -> str:
    return "".join(c if c.isalnum() else "_" for c in name)


def make_server(port: MetricsPort) -> web.Server:
    """Make the HTTP server of the metrics port."""
    return web.Server(port.serve, access_log=None)
