"""Checks the callers' results against the backend servers' records."""

import collections
import collections.abc
import dataclasses

from marjoramledge_standins import deployment
from marjoramledge_standins import traffic

# A zone or server taken out of service may receive work for this many seconds.
LEAVING_LIMIT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Counts of calls and violations; the first three are no violations."""

    calls: int
    refused_not_run: int
    may_have_run: int
    run_twice: int
    false_not_run: int
    wrong_answers: int
    lost: int
    answered_unrun: int
    cold_overruns: int

    @property
    def has_passed(self) -> bool:
        """Return whether no violation occurred."""
        return not (
            self.run_twice
            or self.false_not_run
            or self.wrong_answers
            or self.lost
            or self.answered_unrun
            or self.cold_overruns
        )


def judge(
    results: collections.abc.Sequence[traffic.CallResult],
    records: collections.abc.Iterable[deployment.RunRecord],
) -> Verdict:
    """Compare the answers to callers with the runs of backend servers."""
    runs: collections.Counter[str] = collections.Counter()
    overloads = 0
    for record in records:
        if record.event == "run":
            runs[record.call] += 1
        elif record.event == "fell":
            overloads += 1
    endings = collections.Counter(result.ending for result in results)
    return Verdict(
        calls=len(results),
        refused_not_run=endings[traffic.Ending.REFUSED_NOT_RUN],
        may_have_run=endings[traffic.Ending.MAY_HAVE_RUN],
        run_twice=sum(
            result.kind.runs_once and runs[result.call] > 1
            for result in results
        ),
        false_not_run=sum(
            result.ending is traffic.Ending.REFUSED_NOT_RUN
            and runs[result.call] > 0
            for result in results
        ),
        wrong_answers=endings[traffic.Ending.WRONG_ANSWER],
        lost=endings[traffic.Ending.LOST],
        answered_unrun=sum(
            result.ending is traffic.Ending.ANSWERED and runs[result.call] == 0
            for result in results
        ),
        cold_overruns=overloads,
    )


def last_run_after(
    records: collections.abc.Iterable[deployment.RunRecord],
    zone: str,
    start: float,
    end: float,
) -> float:
    """Return the seconds from ``start`` to the last call run in a zone."""
    times = [
        record.at
        for record in records
        if record.zone == zone
        and record.event == "run"
        and start <= record.at < end
    ]
    return max(times, default=start) - start
