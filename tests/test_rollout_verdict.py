"""The decision on a roll-out, without nodes: seeded simulations.

Guards against verdicts on chance: a good version must be completed although
all servers are slow at times, and a bad one reverted within few responses.
"""

import dataclasses
import random
import typing

from marjoramledge_core import _rollout_orders
from marjoramledge_core import _rollout_verdict
from marjoramledge_core import ids
import pytest

SEEDS: typing.Final = range(200)
DURATION_S: typing.Final = 14.0
# Interval of the entries' reports, and their largest delay.
REPORT_S: typing.Final = 0.25
MAX_DELAY_S: typing.Final = 0.5
OLD_SERVERS: typing.Final = 12
NEW_SERVERS: typing.Final = 3
# Servers beside a noisy neighbour: times slower, for a quarter of the time.
NOISE_TIMES: typing.Final = 7.0
NOISE_SHARE: typing.Final = 0.25
NOISE_S: typing.Final = 0.5
# Requests a second to the new version, by kind, of 260 to the service.
RATES: typing.Final = {"browse": 10.0, "search": 5.0, "order": 5.0}
OLD_TIMES_NEW: typing.Final = 12.0
SLOW_TIMES_TYPICAL: typing.Final = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """What is bad about a version."""

    error_share: float = 0.0
    times_slower: float = 1.0
    kind: str = ""
    begins_s: float = 0.0
    # A fault of all servers, whatever their version.
    is_common: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class End:
    """How a simulated roll-out ended, and how many bad responses it took."""

    decision: _rollout_verdict.Decision
    at_s: float
    bad_responses: int
    reason: str


class _Servers:
    """Servers of one version, each slowed at random times."""

    def __init__(self, count: int, rng: random.Random) -> None:
        self._rng = rng
        self._noisy = [
            [
                rng.random() < NOISE_SHARE
                for _ in range(int(DURATION_S / NOISE_S) + 2)
            ]
            for _ in range(count)
        ]
        self._offsets = [rng.uniform(0.0, NOISE_S) for _ in range(count)]

    def draw_response_s(self, at: float) -> float:
        """Draw the response time of one request, relative to the median."""
        server = self._rng.randrange(len(self._noisy))
        period = int((at + self._offsets[server]) / NOISE_S)
        elapsed_s = self._rng.lognormvariate(0.0, 0.5)
        if self._noisy[server][period]:
            elapsed_s *= NOISE_TIMES
        return elapsed_s


def _simulate(
    seed: int, fault: Fault, *, new_servers: int = NEW_SERVERS
) -> End:
    """Run the test on random responses, reported with random delays."""
    rng = random.Random(seed)
    groups = {
        False: _Servers(OLD_SERVERS, rng),
        True: _Servers(new_servers, rng),
    }
    reports: list[tuple[float, _rollout_orders.KindEvidence]] = []
    bad_at: list[float] = []
    at = 0.0
    while at < DURATION_S:
        for kind, rate in RATES.items():
            counts = {}
            for is_new, servers in groups.items():
                times = 1.0 if is_new else OLD_TIMES_NEW
                responses = failures = slow = 0
                expected = rate * times * REPORT_S
                for _ in range(int(expected + rng.random())):
                    responses += 1
                    is_hit = (
                        (is_new or fault.is_common)
                        and at >= fault.begins_s
                        and fault.kind in ("", kind)
                    )
                    elapsed = servers.draw_response_s(at)
                    if is_hit:
                        elapsed *= fault.times_slower
                    is_failed = is_hit and rng.random() < fault.error_share
                    is_slow = not is_failed and elapsed > SLOW_TIMES_TYPICAL
                    failures += is_failed
                    slow += is_slow
                    if is_new and is_hit and (is_failed or is_slow):
                        bad_at.append(at)
                counts[is_new] = _rollout_orders.ResponseCounts(
                    responses=responses, failures=failures, slow=slow
                )
            evidence = _rollout_orders.KindEvidence(
                kind=ids.KindName(kind), old=counts[False], new=counts[True]
            )
            arrives = at + REPORT_S + rng.uniform(0.0, MAX_DELAY_S)
            reports.append((arrives, evidence))
        at += REPORT_S
    return _decide(reports, bad_at)


def _decide(
    reports: list[tuple[float, _rollout_orders.KindEvidence]],
    bad_at: list[float],
) -> End:
    reports.sort(key=lambda report: report[0])
    test = _rollout_verdict.RolloutTest()
    now = 0.0
    while now < DURATION_S:
        while reports and reports[0][0] <= now:
            arrived, evidence = reports.pop(0)
            test.note((evidence,), arrived)
        verdict = test.decide(now, DURATION_S, now)
        if verdict.decision is not _rollout_verdict.Decision.WAIT:
            return End(
                decision=verdict.decision,
                at_s=now,
                bad_responses=sum(at <= now for at in bad_at),
                reason=verdict.reason,
            )
        now += 0.25
    raise AssertionError("no decision before the deadline")


def _count(
    fault: Fault,
    decision: _rollout_verdict.Decision,
    *,
    new_servers: int = NEW_SERVERS,
) -> tuple[int, list[End]]:
    ends = [_simulate(seed, fault, new_servers=new_servers) for seed in SEEDS]
    return sum(end.decision is decision for end in ends), ends


# Of 200 seeds each; with one server of the new version, its slow times can't
# be told from a slow version as well.
@pytest.mark.parametrize(
    ("new_servers", "most_reverted"), [(NEW_SERVERS, 0), (1, 4)]
)
def test_a_good_version_is_completed(
    new_servers: int, most_reverted: int
) -> None:
    reverted, ends = _count(
        Fault(),
        _rollout_verdict.Decision.REVERT,
        new_servers=new_servers,
    )
    assert reverted <= most_reverted
    assert all(end.at_s <= DURATION_S - 2.5 for end in ends)


@pytest.mark.parametrize(
    "fault",
    [
        Fault(error_share=0.5, begins_s=3.0, is_common=True),
        Fault(times_slower=8.0, begins_s=3.0, is_common=True),
    ],
)
def test_a_fault_of_both_versions_reverts_nothing(fault: Fault) -> None:
    reverted, _ = _count(fault, _rollout_verdict.Decision.REVERT)
    assert reverted <= 2


# The bound on the time also bounds the requests after the 50th bad response.
@pytest.mark.parametrize(
    ("fault", "most_s"),
    [
        (Fault(error_share=0.42), 3.0),
        (Fault(error_share=0.4, kind="order"), 8.0),
        (Fault(error_share=0.4, kind="order", begins_s=3.0), 8.0),
        (Fault(times_slower=8.0), 4.0),
        (Fault(times_slower=8.0, begins_s=3.0), 4.0),
        (Fault(times_slower=8.0, kind="order"), 8.0),
        (Fault(times_slower=8.0, kind="order", begins_s=3.0), 8.5),
    ],
)
def test_a_bad_version_is_reverted(fault: Fault, most_s: float) -> None:
    reverted, ends = _count(fault, _rollout_verdict.Decision.REVERT)
    assert reverted == len(SEEDS)
    assert max(end.at_s for end in ends) - fault.begins_s <= most_s
    if fault.error_share:
        assert max(end.bad_responses for end in ends) < 50


def test_without_evidence_nothing_is_completed() -> None:
    test = _rollout_verdict.RolloutTest()
    assert test.decide(5.0, DURATION_S, 5.0) == _rollout_verdict.WAIT
    verdict = test.decide(DURATION_S - 2.5, DURATION_S, DURATION_S - 2.5)
    assert verdict.decision is _rollout_verdict.Decision.REVERT
    assert not verdict.is_proven
