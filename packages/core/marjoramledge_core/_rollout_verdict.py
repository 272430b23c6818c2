"""Decision on a roll-out from the evidence: a sequential test.

Each kind of request has two scores, for failures and for slow responses; one
more pair covers all kinds together.  A score is a cumulative sum of
log-likelihood ratios with a floor of zero (Page, "Continuous Inspection
Schemes", 1954), so good responses at first do not hide later faults.  The
share of bad responses of the new version is compared with that of the old one
over the same seconds, since faults of other services and of the machines
affect both.

Responses are evaluated in blocks of time, and the weight of a block is
bounded: bad responses come in clusters, as when one server of the new version
is slowed by a neighbour for half a second, or dies.
"""

import dataclasses
import enum
import math
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _rollout_orders

BLOCK_S: typing.Final = 0.5
# Weight of the old version's responses halves in this time.
BASELINE_HALF_LIFE_S: typing.Final = 1.0
# With a larger share of bad responses of the old version, nothing can be
# concluded from those of the new one, and what was concluded at the beginning
# of that time, before the old version's share had risen, loses this weight
# with each block.
MAX_EXPECTED: typing.Final = 0.75
INCONCLUSIVE_SCORE: typing.Final = -0.5
# Good responses that are assumed of the old version, so that its share of bad
# ones is defined without traffic.
BASELINE_PRIOR: typing.Final = 10.0
# All kinds together, beside the single kinds.
ALL_KINDS: typing.Final = _ids.KindName("")
# A completion is decided this long before the deadline: one second of
# promotion, and time for two writes to a slow store.
DECISION_MARGIN_S: typing.Final = 3.5
# A roll-out without sufficient evidence is decided this long before it.
LAST_DECISION_MARGIN_S: typing.Final = 2.8
# Largest share of a short order's duration that the margin takes.
MAX_MARGIN_SHARE: typing.Final = 0.35
# Good responses of the new version without which nothing is completed.
MIN_GOOD_RESPONSES: typing.Final = 10
# A kind with this many responses of the old version needs some of the new one.
MIN_OLD_RESPONSES: typing.Final = 50
MIN_GOOD_RESPONSES_OF_KIND: typing.Final = 4
# No completion while a score is above this share of its limit.
SUSPICION_SHARE: typing.Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TestSettings:
    """Settings of one sequential test.

    The new version is expected to have bad responses with the share of the
    old one, times ``baseline_times``, plus ``baseline_margin``; a bad version
    has them with at least ``least_excess`` of the rest.  A block counts up to
    ``block_limit``, and the score that ends the roll-out is ``limit``.
    """

    baseline_times: float
    baseline_margin: float
    least_excess: float
    block_limit: float
    limit: float

    def score(self, bad: int, good: int, baseline: float) -> float:
        """Return the log-likelihood ratio of one block."""
        expected = self.baseline_times * baseline + self.baseline_margin
        if expected > MAX_EXPECTED:
            return INCONCLUSIVE_SCORE
        faulty = expected + self.least_excess * (1.0 - expected)
        ratio = bad * math.log(faulty / expected) + good * math.log(
            (1.0 - faulty) / (1.0 - expected)
        )
        return max(-self.block_limit, min(self.block_limit, ratio))


# Two blocks are needed, which takes about four bad responses.
FAILURES: typing.Final = TestSettings(
    baseline_times=1.5,
    baseline_margin=0.03,
    least_excess=0.28,
    block_limit=5.0,
    limit=7.0,
)
# Slow responses are common, and come in clusters of half a second: four blocks
# are needed.
SLOWNESS: typing.Final = TestSettings(
    baseline_times=1.0,
    baseline_margin=0.15,
    least_excess=0.7,
    block_limit=3.0,
    limit=12.0,
)


class Decision(enum.Enum):
    """What to do with a running roll-out."""

    WAIT = "wait"
    PROMOTE = "promote"
    REVERT = "revert"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """A decision with its reason.

    ``is_proven`` is true for a reversal that the evidence itself demands, and
    false for a decision that is due because the deadline is near.
    """

    decision: Decision
    reason: str = ""
    is_proven: bool = False


WAIT: typing.Final = Verdict(decision=Decision.WAIT)


class _KindTest:
    """Scores and recent responses of one kind."""

    def __init__(self) -> None:
        self.failure_score = 0.0
        self.slow_score = 0.0
        self.new = _rollout_orders.ResponseCounts()
        self.old = _rollout_orders.ResponseCounts()
        self._block = _rollout_orders.ResponseCounts()
        self._recent = [0.0, 0.0, 0.0]

    def note(self, evidence: _rollout_orders.KindEvidence) -> None:
        """Add responses to the current block."""
        self.new = self.new.plus(evidence.new)
        self.old = self.old.plus(evidence.old)
        self._block = self._block.plus(evidence.new)
        old = evidence.old
        self._recent[0] += old.responses
        self._recent[1] += old.failures
        self._recent[2] += old.slow

    def end_block(self) -> None:
        """Evaluate the current block and begin another."""
        block, (responses, failures, slow) = self._block, self._recent
        if block.responses:
            prior = responses + BASELINE_PRIOR
            self.failure_score = max(
                0.0,
                self.failure_score
                + FAILURES.score(
                    block.failures,
                    block.responses - block.failures,
                    failures / prior,
                ),
            )
            self.slow_score = max(
                0.0,
                self.slow_score
                + SLOWNESS.score(
                    block.slow, block.responses - block.slow, slow / prior
                ),
            )
        self._block = _rollout_orders.ResponseCounts()
        decay = 0.5 ** (BLOCK_S / BASELINE_HALF_LIFE_S)
        self._recent = [decay * count for count in self._recent]

    @property
    def good(self) -> int:
        """Responses of the new version that did not fail."""
        return self.new.responses - self.new.failures

    @property
    def is_suspected(self) -> bool:
        """Whether a score is close to its limit."""
        return (
            self.failure_score > SUSPICION_SHARE * FAILURES.limit
            or self.slow_score > SUSPICION_SHARE * SLOWNESS.limit
        )

    def describe(self, kind: _ids.KindName) -> str:
        """Describe the counts of a kind."""
        name = f"kind {kind}" if kind else "all kinds"
        return (
            f"{name}: new version {self.new.failures} failed and "
            f"{self.new.slow} slow of {self.new.responses}, old version "
            f"{self.old.failures} and {self.old.slow} of {self.old.responses}"
        )


class RolloutTest:
    """The sequential test of one roll-out."""

    def __init__(self) -> None:
        self._kinds: dict[_ids.KindName, _KindTest] = {ALL_KINDS: _KindTest()}
        self._block_ends_at: float | None = None

    def note(
        self, evidence: tuple[_rollout_orders.KindEvidence, ...], now: float
    ) -> None:
        """Add new responses, as of the time ``now``."""
        self._end_blocks(now)
        for counts in evidence:
            self._kinds.setdefault(counts.kind, _KindTest()).note(counts)
            self._kinds[ALL_KINDS].note(counts)

    def decide(
        self, elapsed_s: float, duration_s: float, now: float
    ) -> Verdict:
        """Decide, ``elapsed_s`` after the start of a roll-out.

        Parameters
        ----------
        elapsed_s
            Time since the start of the roll-out.
        duration_s
            Time from its start to its deadline.
        now
            Monotonic time in seconds.
        """
        self._end_blocks(now)
        for kind, test in self._kinds.items():
            if test.failure_score >= FAILURES.limit:
                return _revert(
                    f"more failures; {test.describe(kind)}", is_proven=True
                )
            if test.slow_score >= SLOWNESS.limit:
                return _revert(
                    f"slower responses; {test.describe(kind)}", is_proven=True
                )
        longest_s = MAX_MARGIN_SHARE * duration_s
        decide_s = duration_s - min(DECISION_MARGIN_S, longest_s)
        last_s = duration_s - min(
            LAST_DECISION_MARGIN_S,
            longest_s * LAST_DECISION_MARGIN_S / DECISION_MARGIN_S,
        )
        if elapsed_s < decide_s:
            return WAIT
        return self._decide_late(is_last=elapsed_s >= last_s)

    def _decide_late(self, *, is_last: bool) -> Verdict:
        """Decide shortly before the deadline."""
        total = self._kinds[ALL_KINDS]
        counts = total.describe(ALL_KINDS)
        suspected = [
            kind for kind, test in self._kinds.items() if test.is_suspected
        ]
        untested = [
            kind
            for kind, test in self._kinds.items()
            if test.old.responses >= MIN_OLD_RESPONSES
            and test.good < MIN_GOOD_RESPONSES_OF_KIND
        ]
        if total.good < MIN_GOOD_RESPONSES:
            if not is_last:
                return WAIT
            return _revert(f"too few responses before the deadline; {counts}")
        if suspected:
            if not is_last:
                return WAIT
            return _revert(
                "suspected at the deadline; "
                f"{self._kinds[suspected[0]].describe(suspected[0])}"
            )
        if untested and not is_last:
            return WAIT
        return Verdict(
            decision=Decision.PROMOTE, reason=f"no more faults; {counts}"
        )

    def _end_blocks(self, now: float) -> None:
        if self._block_ends_at is None:
            self._block_ends_at = now + BLOCK_S
        if now < self._block_ends_at:
            return
        for test in self._kinds.values():
            test.end_block()
        # After a pause, the responses of the time before make up one block.
        self._block_ends_at = max(self._block_ends_at + BLOCK_S, now)


def _revert(reason: str, *, is_proven: bool = False) -> Verdict:
    return Verdict(
        decision=Decision.REVERT, reason=reason, is_proven=is_proven
    )
