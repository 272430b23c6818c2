"""Evidence about the versions of a service, counted by entry and by kind.

An entry counts the responses to its own requests.  A deciding node receives
the cumulative counts of all entries, and takes what is new in each report.
"""

import collections.abc
import dataclasses
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _rollout_orders

# A response is slow beyond this many times the typical time of the old
# version.  Servers beside noisy neighbours are about 7 times slower for a
# quarter of the time, so their share of slow responses is well below one half;
# a version that is 8 times slower exceeds this nearly always.
SLOW_TIMES_TYPICAL: typing.Final = 4.0
# Relative step of the estimate of the median.
MEDIAN_STEP: typing.Final = 0.04
# Kinds in one report, so that it fits into a datagram.
MAX_REPORTED_KINDS: typing.Final = 40
# Unchanged counts are sent this many times, since datagrams may be lost.
REPEATED_REPORTS: typing.Final = 3

NO_RESPONSES: typing.Final = _rollout_orders.ResponseCounts()


@dataclasses.dataclass(slots=True, kw_only=True)
class Sample:
    """An attempt whose outcome will be counted.

    ``is_cold`` is true if its server was cold when the attempt was sent.
    """

    service: _ids.ServiceName
    kind: _ids.KindName
    version: _ids.ServerVersion
    target_s: float | None
    sent_at: float
    is_cold: bool


class TypicalTimes:
    """Running medians of the response times of each kind."""

    def __init__(self) -> None:
        self._medians_s: dict[
            tuple[_ids.ServiceName, _ids.KindName], float
        ] = {}

    def note(
        self, service: _ids.ServiceName, kind: _ids.KindName, elapsed_s: float
    ) -> None:
        """Record a response time."""
        key = (service, kind)
        median_s = self._medians_s.get(key)
        if median_s is None:
            self._medians_s[key] = elapsed_s
        elif elapsed_s > median_s:
            self._medians_s[key] = median_s * (1.0 + MEDIAN_STEP)
        else:
            self._medians_s[key] = median_s / (1.0 + MEDIAN_STEP)

    def slow_after_s(self, sample: Sample) -> float | None:
        """Return from which time on a response is slow; None if unknown."""
        median_s = self._medians_s.get((sample.service, sample.kind))
        if median_s is None:
            return sample.target_s
        return SLOW_TIMES_TYPICAL * median_s


class EntryCounts:
    """Counts of one entry for one roll-out.

    Parameters
    ----------
    run
        Identifies these counts; another start of the entry has another.
    """

    def __init__(self, *, run: int) -> None:
        self._run = run
        self._number = 0
        self._unchanged = 0
        self._kinds: dict[_ids.KindName, _rollout_orders.KindEvidence] = {}

    def note(
        self,
        kind: _ids.KindName,
        counts: _rollout_orders.ResponseCounts,
        *,
        is_new: bool,
    ) -> None:
        """Add responses of one version to the counts of a kind."""
        known = self._kinds.get(kind)
        if known is None:
            known = _rollout_orders.KindEvidence(
                kind=kind, old=NO_RESPONSES, new=NO_RESPONSES
            )
        if is_new:
            known = dataclasses.replace(known, new=known.new.plus(counts))
        else:
            known = dataclasses.replace(known, old=known.old.plus(counts))
        self._kinds[kind] = known
        self._unchanged = 0

    def take_report(self) -> _rollout_orders.EvidenceReport | None:
        """Return the report to send now; None if there is no need for one."""
        if not self._kinds or self._unchanged >= REPEATED_REPORTS:
            return None
        self._unchanged += 1
        self._number += 1
        kinds = sorted(
            self._kinds.values(), key=lambda kind: -kind.new.responses
        )
        return _rollout_orders.EvidenceReport(
            run=self._run,
            number=self._number,
            kinds=tuple(kinds[:MAX_REPORTED_KINDS]),
        )


class EvidenceLedger:
    """What a deciding node has received from all entries."""

    def __init__(self) -> None:
        self._numbers: dict[tuple[_ids.NodeId, int], int] = {}
        self._counted: dict[
            tuple[_ids.NodeId, int, _ids.KindName],
            _rollout_orders.KindEvidence,
        ] = {}
        self._totals: dict[_ids.KindName, _rollout_orders.KindEvidence] = {}

    @property
    def totals(
        self,
    ) -> collections.abc.Mapping[_ids.KindName, _rollout_orders.KindEvidence]:
        """Sums over all entries by kind."""
        return self._totals

    def take_new(
        self, entry: _ids.NodeId, report: _rollout_orders.EvidenceReport
    ) -> tuple[_rollout_orders.KindEvidence, ...]:
        """Return what a report adds; nothing if a later one was received."""
        run = (entry, report.run)
        if report.number <= self._numbers.get(run, 0):
            return ()
        self._numbers[run] = report.number
        added = []
        for counts in report.kinds:
            key = (entry, report.run, counts.kind)
            before = self._counted.get(key)
            self._counted[key] = counts
            new, old = counts.new, counts.old
            if before is not None:
                new, old = new.minus(before.new), old.minus(before.old)
            if new == NO_RESPONSES and old == NO_RESPONSES:
                continue
            added.append(
                _rollout_orders.KindEvidence(
                    kind=counts.kind, old=old, new=new
                )
            )
            total = self._totals.get(counts.kind)
            self._totals[counts.kind] = _rollout_orders.KindEvidence(
                kind=counts.kind,
                old=old if total is None else total.old.plus(old),
                new=new if total is None else total.new.plus(new),
            )
        return tuple(added)
