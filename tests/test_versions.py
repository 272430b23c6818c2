"""Fetches of configuration contents as version numbers rise."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from marjoramledge_core import _timers
from marjoramledge_core import _versions
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders
import pytest

CONTENTS = "xyz"
DECLARED = builders.build_configuration()


class _Fetcher:
    """A version tracker and its unfinished fetches."""

    def __init__(self) -> None:
        self.timers = _timers.TimerQueue()
        self.versions = _versions.VersionTracker(timers=self.timers)
        self.rng = random.Random(1)
        self.now = 0.0
        self.open_fetches: list[configuration.VersionRef] = []
        self.newest = configuration.NO_VERSION
        self.named: list[configuration.VersionRef] = []

    def observe(self, content: str) -> None:
        """Observe the next version number, with some content."""
        self.newest = configuration.VersionRef(
            version=ids.ConfigVersion(self.newest.version + 1),
            digest=ids.Digest(content),
        )
        self.named.append(self.newest)
        self._observe(self.newest)

    def observe_again(self, age: int) -> None:
        """Observe a version that was named before."""
        if age < len(self.named):
            self._observe(self.named[-1 - age])

    def _observe(self, ref: configuration.VersionRef) -> None:
        out: list[node.Command] = []
        known = configuration.KnownVersion(ref=ref, known_at=self.now)
        self.versions.observe_version(known, None, self.now, out)
        self._start_fetches(out)

    def end(self, is_success: bool) -> None:
        """End the oldest fetch, successfully or not."""
        if not self.open_fetches:
            return
        ref = self.open_fetches.pop(0)
        if is_success:
            self.versions.adopt(ref, DECLARED, self.now)
        else:
            self.versions.fetch_failed(ref, self.now, self.rng)

    def put(self, content: str) -> None:
        """Adopt the next version with its content, as from an operator."""
        self.newest = configuration.VersionRef(
            version=ids.ConfigVersion(self.newest.version + 1),
            digest=ids.Digest(content),
        )
        self.versions.adopt(self.newest, DECLARED, self.now)
        # A fetch of this content that ends later has no effect.
        self.open_fetches = [
            ref for ref in self.open_fetches if ref.digest != content
        ]

    def wait(self) -> None:
        """Advance the time until all retries are due."""
        self.now += 2 * _versions.MAX_FETCH_RETRY_S
        while (timer := self.timers.pop_due(self.now)) is not None:
            out: list[node.Command] = []
            self.versions.retry_fetch(
                timer.number, [], self.now, self.rng, out
            )
            self._start_fetches(out)

    def _start_fetches(self, out: list[node.Command]) -> None:
        fetches = [c.ref for c in out if isinstance(c, node.FetchManifest)]
        digests = [ref.digest for ref in self.open_fetches]
        assert all(ref.digest not in digests for ref in fetches)
        self.open_fetches.extend(fetches)


STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.sampled_from(["observe", "put"]),
            strategies.sampled_from(CONTENTS),
        ),
        strategies.tuples(strategies.just("end"), strategies.booleans()),
        strategies.tuples(strategies.just("wait")),
    ),
    max_size=40,
)


# Guards against a version that is never fetched because its content was
# requested before, and against two fetches of one content at the same time.
@hypothesis.given(STEPS)
def test_the_newest_version_is_in_force_once_all_fetches_succeed(
    steps: list[tuple[str, ...]],
) -> None:
    fetcher = _Fetcher()
    for name, *arguments in steps:
        before = fetcher.versions.ref.version
        getattr(fetcher, name)(*arguments)
        assert fetcher.versions.ref.version >= before
    _end_all_fetches(fetcher)
    assert fetcher.versions.ref == fetcher.newest


def _end_all_fetches(fetcher: _Fetcher) -> None:
    for _ in range(len(CONTENTS) + 1):
        while fetcher.open_fetches:
            fetcher.end(True)
        fetcher.wait()


# Guards against a node that refuses all calls until the next change: its zone
# was emptied, taken back and emptied again, and the content that it fetched
# under the first number was dropped (review, frozen_node).
@pytest.mark.parametrize("repetitions", [1, 2, 5])
def test_a_content_that_is_in_force_again_is_adopted(
    repetitions: int,
) -> None:
    fetcher = _Fetcher()
    fetcher.put("x")
    for _ in range(repetitions):
        fetcher.observe("y")
        fetcher.observe("x")
    fetcher.observe("y")
    _end_all_fetches(fetcher)
    assert fetcher.versions.ref == fetcher.newest


class VersionMachine(stateful.RuleBasedStateMachine):
    """Names versions, ends fetches and lets time pass, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.fetcher = _Fetcher()

    @stateful.rule(content=strategies.sampled_from(CONTENTS))
    def observe(self, content: str) -> None:
        """Name the next version."""
        self.fetcher.observe(content)

    @stateful.rule(content=strategies.sampled_from(CONTENTS))
    def put(self, content: str) -> None:
        """Adopt the next version from an operator."""
        self.fetcher.put(content)

    @stateful.rule(age=strategies.integers(0, 5))
    def observe_again(self, age: int) -> None:
        """Name an earlier version again, as a peer that is behind does."""
        self.fetcher.observe_again(age)

    @stateful.rule(is_success=strategies.booleans())
    def end(self, is_success: bool) -> None:
        """End the oldest fetch."""
        self.fetcher.end(is_success)

    @stateful.rule()
    def wait(self) -> None:
        """Let the retries become due, as after a pause of the process."""
        self.fetcher.wait()

    @stateful.invariant()
    def a_fetch_or_a_timer_leads_on(self) -> None:
        """Check that a version that isn't in force will be fetched."""
        versions = self.fetcher.versions
        if versions.wanted.version <= versions.ref.version:
            return
        digests = [ref.digest for ref in self.fetcher.open_fetches]
        has_timer = self.fetcher.timers.next_at is not None
        assert versions.wanted.digest in digests or has_timer

    def teardown(self) -> None:
        """Check that the newest version gets in force."""
        _end_all_fetches(self.fetcher)
        assert self.fetcher.versions.ref == self.fetcher.newest


VersionMachine.TestCase.settings = hypothesis.settings(
    hypothesis.settings.get_profile("ci"),
    max_examples=300,
    stateful_step_count=30,
)
TestVersionMachine = VersionMachine.TestCase


# Guards against a node that refuses all callers and says that it is ready.
def test_an_outdated_node_is_not_ready_and_says_why() -> None:
    driver = builders.CoreDriver()
    driver.configure(version=1)
    assert not driver.state.describe_unreadiness(driver.now)
    driver.hear_version(2, "n1", age_s=60.0)
    assert "version 2" in driver.state.describe_unreadiness(driver.now)
    driver.configure(version=2)
    assert not driver.state.describe_unreadiness(driver.now)


# Guards against a load on the store that grows with the fleet: each node reads
# the version from time to time in case that gossip fails.
@pytest.mark.parametrize("member_count", [9, 195, 1400])
def test_safety_reads_of_a_fleet_are_bounded(member_count: int) -> None:
    timers = _timers.TimerQueue()
    tracker = _versions.VersionTracker(timers=timers, waits_for_change=True)
    tracker.adopt(builders.build_ref(1), builders.build_configuration(), 0.0)
    rng = random.Random(1)
    hour_s = 3600.0
    reads: list[node.Command] = []
    tracker.start(0.0)
    while (at := timers.next_at) is not None and at < hour_s:
        timers.pop_due(at)
        out: list[node.Command] = []
        tracker.read_version(member_count, False, at, rng, out)
        if out:
            tracker.read_ended(True, at, rng)
        reads += out
    assert member_count * len(reads) / hour_s <= 2.1
    # A node whose gossip fails must not stay outdated for long.
    assert len(reads) >= hour_s / max(31.0, member_count)
