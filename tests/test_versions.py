"""Which content is fetched when, as version numbers go on."""

import random

import hypothesis
from hypothesis import strategies
from marjoramledge_core import _timers
from marjoramledge_core import _versions
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders

CONTENTS = "xyz"
DECLARED = builders.build_configuration()


class _Reader:
    """A node's versions, and the fetches that it has under way."""

    def __init__(self) -> None:
        self.timers = _timers.TimerQueue()
        self.versions = _versions.VersionTracker(timers=self.timers)
        self.rng = random.Random(1)
        self.now = 0.0
        self.open: list[configuration.VersionRef] = []
        self.newest = configuration.NO_VERSION

    def hear(self, content: str) -> None:
        """Hear of a newer number with a content."""
        self.newest = configuration.VersionRef(
            version=ids.ConfigVersion(self.newest.version + 1),
            digest=ids.Digest(content),
        )
        out: list[node.Command] = []
        self.versions.observe_version(self.newest, None, out)
        self._take(out)

    def end(self, is_success: bool) -> None:
        """End the oldest fetch."""
        if not self.open:
            return
        ref = self.open.pop(0)
        if is_success:
            self.versions.adopt(ref, DECLARED)
        else:
            self.versions.fetch_failed(ref, self.now, self.rng)

    def put(self, content: str) -> None:
        """Take in a newer version with its content, as from an operator."""
        self.newest = configuration.VersionRef(
            version=ids.ConfigVersion(self.newest.version + 1),
            digest=ids.Digest(content),
        )
        self.versions.adopt(self.newest, DECLARED)
        # What a fetch brings of it later changes nothing.
        self.open = [ref for ref in self.open if ref.digest != content]

    def wait(self) -> None:
        """Let all timers come due."""
        self.now += 2 * _versions.MAX_FETCH_RETRY_S
        while (timer := self.timers.pop_due(self.now)) is not None:
            out: list[node.Command] = []
            self.versions.retry_fetch(timer.number, [], self.rng, out)
            self._take(out)

    def _take(self, out: list[node.Command]) -> None:
        fetches = [c.ref for c in out if isinstance(c, node.FetchManifest)]
        digests = [ref.digest for ref in self.open]
        assert all(ref.digest not in digests for ref in fetches)
        self.open.extend(fetches)


STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.sampled_from(["hear", "put"]),
            strategies.sampled_from(CONTENTS),
        ),
        strategies.tuples(strategies.just("end"), strategies.booleans()),
        strategies.tuples(strategies.just("wait")),
    ),
    max_size=40,
)


# Guards against a version that is never fetched because its content was
# wanted before, and against a content that is fetched twice at once.
@hypothesis.given(STEPS)
def test_the_newest_version_is_in_force_once_all_fetches_succeed(
    steps: list[tuple[str, ...]],
) -> None:
    reader = _Reader()
    for name, *arguments in steps:
        before = reader.versions.ref.version
        getattr(reader, name)(*arguments)
        assert reader.versions.ref.version >= before
    for _ in range(len(CONTENTS) + 1):
        while reader.open:
            reader.end(True)
        reader.wait()
    assert reader.versions.ref == reader.newest
