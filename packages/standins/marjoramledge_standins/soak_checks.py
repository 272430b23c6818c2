"""The promises, checked from what callers and backend servers saw.

Each check takes the evidence of a soak and returns what speaks against one
promise.  A check lets something pass only where a fault that nobody planned
explains it; what operators order explains nothing.
"""

import collections
import collections.abc
import dataclasses
import typing

from marjoramledge_standins import deployment
from marjoramledge_standins import soak_plan
from marjoramledge_standins import soak_process_checks
from marjoramledge_standins import soak_watch
from marjoramledge_standins import traffic

# A fault explains what happens until so long after its end: a node is in
# touch again when it has been reachable for this time.
CONTACT_S: typing.Final = 3.0
# An order is in force within this time of its acceptance.
IN_FORCE_S: typing.Final = 4.0
# After the last fault, callers are served as before within this time.
RECOVER_S: typing.Final = 8.0
RECOVERED_SHARE: typing.Final = 0.98
# Further runs of a call: a tenth of the calls, and ten at each entry.
REPEAT_RATIO: typing.Final = 0.1
REPEATS_AN_ENTRY: typing.Final = 10
MAX_RSS_MB: typing.Final = 128.0
_NO_ANSWER: typing.Final = frozenset(
    {
        traffic.Ending.LOST,
        traffic.Ending.NOT_TAKEN,
        traffic.Ending.CUT_NEW,
    }
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Done:
    """A fault or order as it was carried out; monotonic seconds."""

    fault: soak_plan.Fault
    began_at: float
    ended_at: float

    def covers(self, start: float, end: float) -> bool:
        """Tell whether it may explain what happened in a span of time."""
        return self.began_at <= end and start <= self.ended_at + CONTACT_S


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adoption:
    """A version that a node put in force; ``run`` counts its starts."""

    vm: int
    run: int
    version: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneOut:
    """A zone that an accepted configuration took out of service."""

    zone: str
    accepted_at: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """All that a soak has seen.

    ``failed_orders`` are commands of the operator that failed, as they may
    while the store is away; they speak against nothing.
    """

    vms: collections.abc.Sequence[deployment.Vm]
    results: collections.abc.Sequence[traffic.CallResult]
    records: collections.abc.Sequence[deployment.RunRecord]
    done: collections.abc.Sequence[Done]
    adoptions: collections.abc.Sequence[Adoption]
    zones_out: collections.abc.Sequence[ZoneOut]
    cut_by_stops: collections.abc.Sequence[str]
    rss_mb: collections.abc.Mapping[str, float]
    quiet_from: float
    ended_at: float
    failed_orders: collections.abc.Sequence[str] = ()
    seen: soak_watch.Seen = dataclasses.field(default_factory=soak_watch.Seen)

    def is_stopped(self, vm: int, start: float, end: float) -> bool:
        """Tell whether a VM's node was stopping in a span of time."""
        return any(
            stop.vm == vm and stop.began_at <= end and start <= stop.ended_at
            for stop in self.seen.ends
            if stop.was_told
        )

    def is_disturbed(self, vm: int, start: float, end: float) -> bool:
        """Tell whether an unplanned fault hit a VM in a span of time."""
        return any(
            done.fault.vm == vm and done.covers(start, end)
            for done in self.done
            if done.fault.kind not in soak_plan.EXPLAINS_NOTHING
            and done.fault.kind not in soak_plan.OF_THE_STORE
        )


Check = collections.abc.Callable[[Evidence], list[str]]


def check_run_once(evidence: Evidence) -> list[str]:
    """Find calls that must not run twice and did."""
    runs = _count_runs(evidence)
    return [
        f"{result.call} ran {runs[result.call]} times"
        for result in evidence.results
        if result.kind.runs_once and runs[result.call] > 1
    ]


def check_true_refusals(evidence: Evidence) -> list[str]:
    """Find refusals that said not run, of calls that ran."""
    runs = _count_runs(evidence)
    return [
        f"{result.call} was refused as not run and ran"
        for result in evidence.results
        if result.ending is traffic.Ending.REFUSED_NOT_RUN
        and runs[result.call]
    ]


def check_own_answers(evidence: Evidence) -> list[str]:
    """Find answers that are not whole, not own or of no run."""
    runs = _count_runs(evidence)
    return [
        f"{result.call}: {result.ending.value} {result.reason[:80]}"
        for result in evidence.results
        if result.ending is traffic.Ending.WRONG_ANSWER
        or (result.ending is traffic.Ending.ANSWERED and not runs[result.call])
    ]


def check_nothing_cut(evidence: Evidence) -> list[str]:
    """Find calls without an answer that no unplanned fault explains.

    A stop may end a connection that serves nothing while a call is on its
    way there; it then may not run.  New connections have a check of theirs.
    """
    runs = _count_runs(evidence)
    found = [
        _tell_lost(result)
        for result in _find_unexplained(evidence)
        if result.ending is traffic.Ending.LOST
        or runs[result.call]
        or not _is_stopped(evidence, result)
    ]
    return [*found, *evidence.cut_by_stops]


def check_new_connections(evidence: Evidence) -> list[str]:
    """Find calls that did not run, on new connections that a stop cut."""
    runs = _count_runs(evidence)
    return [
        _tell_lost(result)
        for result in _find_unexplained(evidence)
        if result.ending is traffic.Ending.CUT_NEW
        and not runs[result.call]
        and _is_stopped(evidence, result)
    ]


def check_zones_out(evidence: Evidence) -> list[str]:
    """Find work given to a zone that an order in force has taken out."""
    vm_of = {vm.plan.name: n for n, vm in enumerate(evidence.vms)}
    return [
        f"{record.call} ran in {record.zone} "
        f"{record.at - out.accepted_at:.1f} s after it was taken out"
        for out in evidence.zones_out
        for record in evidence.records
        if record.event == "run"
        and record.zone == out.zone
        and out.accepted_at + IN_FORCE_S < record.at < out.until
        and not evidence.is_disturbed(
            vm_of[record.server], out.accepted_at, record.at
        )
    ]


def check_versions(evidence: Evidence) -> list[str]:
    """Find nodes that went back to an older version or ended behind."""
    found = []
    newest: dict[int, Adoption] = {}
    for adoption in sorted(evidence.adoptions, key=lambda a: a.at):
        known = newest.get(adoption.vm)
        # A node that has restarted begins with what is in force.
        if known is not None and adoption.version < known.version:
            found.append(
                f"VM {adoption.vm} went from version {known.version} "
                f"to {adoption.version}"
            )
        newest[adoption.vm] = adoption
    latest = max((a.version for a in evidence.adoptions), default=0)
    found.extend(
        f"VM {vm} ended with version {adoption.version} of {latest}"
        for vm, adoption in newest.items()
        if adoption.version != latest
    )
    return found


def check_cold_servers(evidence: Evidence) -> list[str]:
    """Find cold backend servers that were given more than they bear."""
    return [
        f"{record.server} fell over while cold"
        for record in evidence.records
        if record.event == "fell"
    ]


def check_repeats(evidence: Evidence) -> list[str]:
    """Find repeats beyond the budget of the entries."""
    runs = _count_runs(evidence)
    calls = {result.call for result in evidence.results}
    repeats = sum(max(0, count - 1) for count in runs.values())
    starts = 1 + max((a.run for a in evidence.adoptions), default=0)
    allowed = REPEAT_RATIO * len(calls) + (
        REPEATS_AN_ENTRY * len(evidence.vms) * starts
    )
    if repeats <= allowed:
        return []
    return [f"{repeats} repeats of {len(calls)} calls, allowed {allowed:.0f}"]


def check_recovery(evidence: Evidence) -> list[str]:
    """Find that callers were not served as before soon after a fault."""
    after = evidence.quiet_from + RECOVER_S
    late = [
        result
        for result in evidence.results
        if after <= result.started_at <= evidence.ended_at
        and result.ending is not traffic.Ending.LEFT
    ]
    served = sum(r.ending is traffic.Ending.ANSWERED for r in late)
    if late and served >= RECOVERED_SHARE * len(late):
        return []
    return [f"{served} of {len(late)} calls served after the recovery time"]


def check_memory(evidence: Evidence) -> list[str]:
    """Find nodes that hold too much memory."""
    return [
        f"{name} holds {rss_mb:.0f} MB"
        for name, rss_mb in evidence.rss_mb.items()
        if rss_mb > MAX_RSS_MB
    ]


def _check_seen(find: soak_process_checks.Find) -> Check:
    return lambda evidence: find(evidence.seen)


CHECKS: typing.Final[collections.abc.Mapping[str, Check]] = {
    "run at most once": check_run_once,
    "refusals are true": check_true_refusals,
    "answers are whole and own": check_own_answers,
    "planned work cuts nothing": check_nothing_cut,
    "a stop cuts no new connection": check_new_connections,
    "a zone that is out gets no work": check_zones_out,
    "versions never go back": check_versions,
    "cold servers are spared": check_cold_servers,
    "repeats keep to the budget": check_repeats,
    "recovery within its time": check_recovery,
    "memory is bounded": check_memory,
    **{
        name: _check_seen(find)
        for name, find in soak_process_checks.FINDERS.items()
    },
}


# What even a machine that is slow or busy can't excuse.
UNTIMED: typing.Final = (
    "run at most once",
    "refusals are true",
    "answers are whole and own",
    "cold servers are spared",
    "repeats keep to the budget",
    "memory is bounded",
    *(
        name
        for name in soak_process_checks.FINDERS
        if name not in soak_process_checks.TIMED
    ),
)


def check_all(evidence: Evidence) -> dict[str, list[str]]:
    """Apply all checks; return what each has found."""
    return {name: check(evidence) for name, check in CHECKS.items()}


def _find_unexplained(
    evidence: Evidence,
) -> list[traffic.CallResult]:
    """Find calls without an answer that no unplanned fault explains."""
    vm_of = {vm.caller_url: n for n, vm in enumerate(evidence.vms)}
    return [
        result
        for result in evidence.results
        if result.ending in _NO_ANSWER
        and not evidence.is_disturbed(
            vm_of[result.entry],
            result.started_at,
            result.started_at + result.elapsed_s,
        )
    ]


def _is_stopped(evidence: Evidence, result: traffic.CallResult) -> bool:
    """Tell whether its entry was stopping during a call."""
    vm_of = {vm.caller_url: n for n, vm in enumerate(evidence.vms)}
    return evidence.is_stopped(
        vm_of[result.entry],
        result.started_at,
        result.started_at + result.elapsed_s,
    )


def _tell_lost(result: traffic.CallResult) -> str:
    return (
        f"{result.call} at {result.entry} was {result.ending.value}: "
        f"{result.reason[:80]}"
    )


def _count_runs(evidence: Evidence) -> collections.Counter[str]:
    return collections.Counter(
        record.call for record in evidence.records if record.event == "run"
    )
