"""Checks the product's guarantees after a soak.

Each check reads the evidence of a soak, as recorded by callers and backend
servers, and returns the violations of one guarantee.  A check tolerates a
failed call only where an injected fault explains it; orders of operators
explain nothing.
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

# A fault explains failures until this long after its end: a node has
# rejoined the others once it has been reachable for this time.
REJOIN_S: typing.Final = 3.0
# An accepted order takes effect within this time.
IN_FORCE_S: typing.Final = 4.0
# After the last fault, callers are served normally again within this time.
RECOVER_S: typing.Final = 8.0
RECOVERED_SHARE: typing.Final = 0.98
# Budget of repeated runs: a tenth of the calls, plus ten at each entry.
REPEAT_RATIO: typing.Final = 0.1
REPEATS_AN_ENTRY: typing.Final = 10
MAX_RSS_MB: typing.Final = 128.0
# A server's limit and departure are known to its gate within this time: an
# answer or a probe shows them.
SIGNAL_KNOWN_S: typing.Final = 2.0
# A server may get this many times the limit that it named, and some more.
LIMIT_RATIO: typing.Final = 1.5
LIMIT_SLACK: typing.Final = 5
_NO_ANSWER: typing.Final = frozenset(
    {
        traffic.Ending.LOST,
        traffic.Ending.NOT_TAKEN,
        traffic.Ending.CUT_NEW,
    }
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExecutedFault:
    """A fault or order that was carried out; times in monotonic seconds."""

    fault: soak_plan.Fault
    began_at: float
    ended_at: float

    def covers(self, start: float, end: float) -> bool:
        """Return whether it may explain failures in a time range."""
        return self.began_at <= end and start <= self.ended_at + REJOIN_S


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adoption:
    """A configuration version that a node adopted.

    ``run`` counts the starts of the node.
    """

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
    """Everything that a soak recorded.

    ``failed_orders`` are operator commands that failed, as they may while
    the store is unavailable; they violate no guarantee.  ``signals`` are the
    periods in which servers named a limit or said that they leave.
    """

    vms: collections.abc.Sequence[deployment.Vm]
    results: collections.abc.Sequence[traffic.CallResult]
    records: collections.abc.Sequence[deployment.RunRecord]
    done: collections.abc.Sequence[ExecutedFault]
    adoptions: collections.abc.Sequence[Adoption]
    zones_out: collections.abc.Sequence[ZoneOut]
    cut_by_stops: collections.abc.Sequence[str]
    rss_mb: collections.abc.Mapping[str, float]
    quiet_from: float
    ended_at: float
    failed_orders: collections.abc.Sequence[str] = ()
    signals: collections.abc.Sequence[ExecutedFault] = ()
    seen: soak_watch.Observations = dataclasses.field(
        default_factory=soak_watch.Observations
    )

    def is_stopped(self, vm: int, start: float, end: float) -> bool:
        """Return whether a VM's node was stopping in a time range."""
        return any(
            stop.vm == vm and stop.began_at <= end and start <= stop.ended_at
            for stop in self.seen.ends
            if stop.was_signalled
        )

    def is_disturbed(self, vm: int, start: float, end: float) -> bool:
        """Return whether an unplanned fault hit a VM in a time range."""
        return any(
            done.fault.vm == vm and done.covers(start, end)
            for done in self.done
            if done.fault.kind not in soak_plan.NON_FAULTS
            and done.fault.kind not in soak_plan.STORE_FAULTS
        )


Check = collections.abc.Callable[[Evidence], list[str]]


def check_run_once(evidence: Evidence) -> list[str]:
    """Find non-idempotent calls that ran more than once."""
    runs = _count_runs(evidence)
    return [
        f"{result.call} ran {runs[result.call]} times"
        for result in evidence.results
        if result.kind.runs_once and runs[result.call] > 1
    ]


def check_refusals(evidence: Evidence) -> list[str]:
    """Find calls that were refused as not run although they ran."""
    runs = _count_runs(evidence)
    return [
        f"{result.call} was refused as not run although it ran"
        for result in evidence.results
        if result.ending is traffic.Ending.REFUSED_NOT_RUN
        and runs[result.call]
    ]


def check_answers(evidence: Evidence) -> list[str]:
    """Find answers that are incomplete, of another call, or without a run."""
    runs = _count_runs(evidence)
    return [
        f"{result.call}: {result.ending.value} {result.reason[:80]}"
        for result in evidence.results
        if result.ending is traffic.Ending.WRONG_ANSWER
        or (result.ending is traffic.Ending.ANSWERED and not runs[result.call])
    ]


def check_nothing_cut(evidence: Evidence) -> list[str]:
    """Find calls without an answer that no unplanned fault explains.

    A stopping node may close an idle connection while a call is being sent
    on it, provided that the call does not run.  ``check_new_connections``
    covers new connections.
    """
    runs = _count_runs(evidence)
    found = [
        _describe_failed_call(result)
        for result in _find_unexplained(evidence)
        if result.ending is traffic.Ending.LOST
        or runs[result.call]
        or not _is_stopped(evidence, result)
    ]
    return [*found, *evidence.cut_by_stops]


def check_new_connections(evidence: Evidence) -> list[str]:
    """Find calls that failed because a stop closed a new connection.

    Calls that ran are left to ``check_nothing_cut``.
    """
    runs = _count_runs(evidence)
    return [
        _describe_failed_call(result)
        for result in _find_unexplained(evidence)
        if result.ending is traffic.Ending.CUT_NEW
        and not runs[result.call]
        and _is_stopped(evidence, result)
    ]


def check_zones_out(evidence: Evidence) -> list[str]:
    """Find calls that ran in a zone that an order took out of service."""
    vm_of = {vm.plan.name: n for n, vm in enumerate(evidence.vms)}
    return [
        f"{record.call} ran in {record.zone} "
        f"{record.at - out.accepted_at:.1f} s after it was taken out of "
        "service"
        for out in evidence.zones_out
        for record in evidence.records
        if record.event == "run"
        and record.zone == out.zone
        and out.accepted_at + IN_FORCE_S < record.at < out.until
        and not evidence.is_disturbed(
            vm_of[record.server], out.accepted_at, record.at
        )
    ]


def check_named_limits(evidence: Evidence) -> list[str]:
    """Find servers that got more calls than the limit that they named.

    Calls of an entry that a fault has hit meanwhile do not count.
    """
    found = []
    for signal in evidence.signals:
        if signal.fault.kind is not soak_plan.FaultKind.SERVER_LIMIT:
            continue
        from_s = signal.began_at + SIGNAL_KNOWN_S
        runs = _find_runs(evidence, signal, from_s)
        window_s = max(0.0, signal.ended_at - from_s)
        allowed = LIMIT_RATIO * signal.fault.rate_per_s * window_s
        if len(runs) > allowed + LIMIT_SLACK:
            found.append(
                f"VM {signal.fault.vm} ran {len(runs)} calls in "
                f"{window_s:.1f} s, named {signal.fault.rate_per_s:g} a second"
            )
    return found


def check_leaving_servers(evidence: Evidence) -> list[str]:
    """Find calls that a server got although it said that it leaves.

    Nothing counts while a fault hits the VM: a gate that restarts learns of
    it from the next answer only.
    """
    return [
        f"{record.call} ran at {record.server} "
        f"{record.at - signal.began_at:.1f} s after it said that it leaves"
        for signal in evidence.signals
        if signal.fault.kind is soak_plan.FaultKind.SERVER_LEAVES
        and not evidence.is_disturbed(
            signal.fault.vm, signal.began_at, signal.ended_at
        )
        for record in _find_runs(
            evidence, signal, signal.began_at + SIGNAL_KNOWN_S
        )
    ]


def _find_runs(
    evidence: Evidence, signal: ExecutedFault, from_s: float
) -> list[deployment.RunRecord]:
    """Find the runs at a server during a signal, from undisturbed entries."""
    vm_of = {vm.caller_url: n for n, vm in enumerate(evidence.vms)}
    entry_of = {
        result.call: vm_of[result.entry] for result in evidence.results
    }
    server = evidence.vms[signal.fault.vm].plan.name
    return [
        record
        for record in evidence.records
        if record.event == "run"
        and record.server == server
        and from_s <= record.at < signal.ended_at
        and record.call in entry_of
        and not evidence.is_disturbed(
            entry_of[record.call], signal.began_at, record.at
        )
    ]


def check_versions(evidence: Evidence) -> list[str]:
    """Find nodes that reverted to an older version or ended outdated."""
    found = []
    newest: dict[int, Adoption] = {}
    for adoption in sorted(evidence.adoptions, key=lambda a: a.at):
        known = newest.get(adoption.vm)
        # A restarted node begins with the version in force.
        if known is not None and adoption.version < known.version:
            found.append(
                f"VM {adoption.vm} reverted from version {known.version} "
                f"to {adoption.version}"
            )
        newest[adoption.vm] = adoption
    latest = max((a.version for a in evidence.adoptions), default=0)
    found.extend(
        f"VM {vm} ended with version {adoption.version}, latest is {latest}"
        for vm, adoption in newest.items()
        if adoption.version != latest
    )
    return found


def check_cold_servers(evidence: Evidence) -> list[str]:
    """Find backend servers that were overloaded while cold."""
    return [
        f"{record.server} was overloaded while cold"
        for record in evidence.records
        if record.event == "fell"
    ]


def check_repeats(evidence: Evidence) -> list[str]:
    """Find repeated runs beyond the budgets of the entries."""
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
    """Find too low a share of served calls after the recovery time."""
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
    """Find nodes that use too much memory."""
    return [
        f"{name} uses {rss_mb:.0f} MB"
        for name, rss_mb in evidence.rss_mb.items()
        if rss_mb > MAX_RSS_MB
    ]


def _check_seen(find: soak_process_checks.Find) -> Check:
    return lambda evidence: find(evidence.seen)


CHECKS: typing.Final[collections.abc.Mapping[str, Check]] = {
    "run at most once": check_run_once,
    "refusals are true": check_refusals,
    "answers are whole and own": check_answers,
    "planned work cuts nothing": check_nothing_cut,
    "a stop cuts no new connection": check_new_connections,
    "a zone that is out gets no work": check_zones_out,
    "a named limit is kept": check_named_limits,
    "a leaving server gets no work": check_leaving_servers,
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


# Checks that must pass on a slow or busy machine too.
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
    """Run all checks and return the violations that each found."""
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
    """Return whether the entry of a call was stopping during the call."""
    vm_of = {vm.caller_url: n for n, vm in enumerate(evidence.vms)}
    return evidence.is_stopped(
        vm_of[result.entry],
        result.started_at,
        result.started_at + result.elapsed_s,
    )


def _describe_failed_call(result: traffic.CallResult) -> str:
    return (
        f"{result.call} at {result.entry} was {result.ending.value}: "
        f"{result.reason[:80]}"
    )


def _count_runs(evidence: Evidence) -> collections.Counter[str]:
    return collections.Counter(
        record.call for record in evidence.records if record.event == "run"
    )
