"""HTTP port that serves the metrics in the Prometheus text format."""

import collections.abc
import math
import typing

from aiohttp import web
from marjoramledge_core import configuration
from marjoramledge_core import node

from marjoramledge_node import _bounded_server
from marjoramledge_node import _connection_limits
from marjoramledge_node import _counts
from marjoramledge_node import _engine

if typing.TYPE_CHECKING:
    from prometheus_client import core


class MetricsPort:
    """Handles scrapes of the metrics.

    Parameters
    ----------
    engine
        The node's engine, for the gauges.
    counts
        The node's counters.
    count_suppressed_lines
        Returns how many log lines rate limiting has suppressed.
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
        """Serve one scrape on any path."""
        from prometheus_client import exposition

        return web.Response(
            body=exposition.generate_latest(self),
            headers={"Content-Type": "text/plain; version=0.0.4"},
        )

    def collect(self) -> collections.abc.Iterator["core.Metric"]:
        """Yield all metrics; called by the Prometheus library."""
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
            "Seconds from a request to its answer.",
            labels=("route",),
        )
        for route, histogram in self._counts.latencies.items():
            latencies.add_metric(
                (route,), _cumulate(histogram), histogram.sum_s
            )
        yield latencies
        records = core.CounterMetricFamily(
            "marjoramledge_events",
            "Records of the time line, by kind.",
            labels=("event",),
        )
        for kind, count in self._counts.records.items():
            records.add_metric((kind.value,), count)
        yield records
        store_calls = core.CounterMetricFamily(
            "marjoramledge_store_calls",
            "Store operations.",
            labels=("operation", "outcome"),
        )
        for labels, count in self._counts.store_calls.items():
            store_calls.add_metric(labels, count)
        yield store_calls
        for name, help_text, counter in (
            ("messages", "Datagrams sent to nodes.", self._counts.messages),
            (
                "message_bytes",
                "Bytes of datagrams sent to nodes.",
                self._counts.message_bytes,
            ),
        ):
            family = core.CounterMetricFamily(
                f"marjoramledge_{name}", help_text, labels=("kind",)
            )
            for message_kind, count in counter.items():
                family.add_metric((message_kind.name.lower(),), count)
            yield family
        documents = core.CounterMetricFamily(
            "marjoramledge_document_bytes",
            "Bytes of documents sent to nodes and operators.",
            labels=("kind",),
        )
        for document_kind, size in self._counts.document_bytes.items():
            documents.add_metric((document_kind,), size)
        yield documents
        faults = core.CounterMetricFamily(
            "marjoramledge_faults",
            "Errors reported by the event loop and libraries.",
            labels=("kind",),
        )
        for fault_kind, count in self._counts.faults.items():
            faults.add_metric((fault_kind,), count)
        yield faults
        yield from self._collect_limits()
        shares = core.GaugeMetricFamily(
            "marjoramledge_zone_share",
            "Share of the calls that may use another zone at the cost of the "
            "round trip only.",
            labels=("service", "zone"),
        )
        overflow = self._engine.state.zone_overflow
        for service, zone, share, _ in overflow.list_shares():
            shares.add_metric((service, zone), share)
        yield shares
        for name, help_text, value in self._gauges():
            yield core.GaugeMetricFamily(
                f"marjoramledge_{name}", help_text, value
            )

    def _collect_limits(self) -> collections.abc.Iterator["core.Metric"]:
        """Yield the counts of calls of limited workspaces."""
        from prometheus_client import core

        quota = self._engine.state.quota
        calls = core.CounterMetricFamily(
            "marjoramledge_limited_calls",
            "Calls of workspaces with a limit at this entry.",
            labels=("workspace", "outcome"),
        )
        for outcome, counts in (
            ("admitted", quota.admitted),
            ("refused", quota.refused),
        ):
            for workspace, count in counts.items():
                calls.add_metric((workspace, outcome), count)
        yield calls
        held = core.GaugeMetricFamily(
            "marjoramledge_limit_share_held",
            "Part of the limits that this node decides on as an owner.",
            labels=("group",),
        )
        now = self._engine.now()
        for number, group in enumerate(quota.groups):
            held.add_metric((str(number),), group.owner.held_share(now))
        yield held

    def _gauges(self) -> collections.abc.Iterator[tuple[str, str, float]]:
        state, now = self._engine.state, self._engine.now()
        report = state.gate.report(now)
        yield "gate_running", "Running calls.", state.gate.running
        yield "gate_queued", "Queued calls.", state.gate.queued
        yield "gate_limit", "Limit of running calls.", state.gate.limit
        rate_limit = state.gate.rate_limit_per_s
        if rate_limit is not None:
            yield (
                "gate_rate_limit",
                "Calls per second that the backend server named as its limit.",
                rate_limit,
            )
        yield "gate_call_seconds", "Expected service time.", report.service_s
        yield (
            "calls",
            "Calls from callers that are not yet answered.",
            len(state.calls),
        )
        yield (
            "configuration_version",
            "Number of the configuration in force, within its era.",
            configuration.number_of(state.versions.ref.version),
        )
        yield (
            "configuration_era",
            "Restorations of the store before this version; 0 if unknown.",
            configuration.era_of(state.versions.ref.version),
        )
        yield (
            "configuration_read_age_seconds",
            "Seconds since this node last read the store.",
            now - state.versions.read_at,
        )
        yield (
            "configuration_behind_seconds",
            "Seconds since this node knows of a newer configuration.",
            state.versions.behind_s(now),
        )
        confirmed_s = state.confirmation.age_s(now)
        if confirmed_s < math.inf:
            yield (
                "configuration_confirmed_age_seconds",
                "Seconds since the configuration was known to be the newest.",
                confirmed_s,
            )
        present = state.membership.present_count
        yield "members_present", "Members that are present.", present
        yield (
            "gate_accepting",
            "Whether the gate admits calls to the local server.",
            float(state.gate.accepts_work),
        )
        yield (
            "stopping",
            "Whether a planned stop is in progress.",
            float(state.stop_phase is not node.StopPhase.RUNNING),
        )
        yield (
            "log_lines_left_out",
            "Log lines suppressed by rate limiting.",
            self._count_suppressed_lines(),
        )
        for rollout, exposure in state.rollouts.exposures.items():
            name = _sanitize_name(rollout[0])
            yield (
                f"rollout_calls_{name}",
                "Calls to a service since its roll-out began.",
                exposure.calls,
            )
            yield (
                f"rollout_exposed_{name}",
                "Calls that were sent to the version under test.",
                exposure.spent,
            )
        for service in state.rollouts.services():
            key = state.rollouts.current_key(service)
            known = None if key is None else state.rollouts.states.get(key)
            yield (
                f"rollout_phase_{_sanitize_name(service)}",
                "0 unknown, 1 running, 2 promoting, 3 reverted, 4 completed.",
                0.0 if known is None else float(known.phase),
            )
        for service, budget in state.budgets.items():
            yield (
                f"repeats_left_{_sanitize_name(service)}",
                "Retries that the budget allows now.",
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


def make_server(
    port: MetricsPort,
    table: _connection_limits.ConnectionTable | None = None,
) -> web.Server:
    """Create the HTTP server of the metrics port."""
    return _bounded_server.Server(port.serve, table=table, access_log=None)
