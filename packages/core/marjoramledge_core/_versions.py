"""How a node learns of and fetches the configuration version in force.

Membership messages carry the sender's version, so a new version reaches all
nodes within a few gossip rounds.  The version row in the store is read
rarely, at most about ten times per second by a fleet of any size.  Where the
store lets a read wait for a change, a few nodes of each zone (followers) read
it all the time for the others.  A node never adopts a version lower than its
own.

A version is named together with the time since the fleet first knew it, so a
node that learns of it late knows how late it is.  The node is outdated when
other nodes have had a newer version for longer than a limit; it must then not
decide on calls until it has the newer version too.

Where the store names the era of its versions (see ``_version_numbers``), a
content is not adopted as it was fetched: it is merged with the one in force,
so that nothing is lost that the store lacks after it has been restored.  Two
nodes may then hold different contents under one version for a moment; each
fetches the other's until they are the same.
"""

import collections
import dataclasses
import random
import typing

from marjoramledge_core import _commands
from marjoramledge_core import _ids
from marjoramledge_core import _manifest
from marjoramledge_core import _members
from marjoramledge_core import _records
from marjoramledge_core import _settings
from marjoramledge_core import _timers
from marjoramledge_core import _version_numbers

MIN_READ_PERIOD_S: typing.Final = 2.0
# Reads of the version row per second by the whole fleet.
FLEET_READS_PER_S: typing.Final = 10.0
# At least three retries follow within a second after a fetch whose source did
# not answer.
FIRST_FETCH_RETRY_S: typing.Final = 0.1
FETCH_RETRY_GROWTH: typing.Final = 1.5
MAX_FETCH_RETRY_S: typing.Final = 5.0
# Every third retry of a fetch goes to the store, which may be unreachable from
# this node only; the others go to peers, most of which have the manifest.
STORE_RETRY_INTERVAL: typing.Final = 3
# How long a read waits at the store for a change.  An outage may leave such a
# read without an answer, and a store that has been restored may let it wait
# for a number of the lost history.  A few followers read often: they notice
# both before the next change must be in force, and inform the others.
WAIT_S: typing.Final = 4.0
OFTEN_WAIT_S: typing.Final = 0.8
# How often a node checks whether it has become a follower of the store.
FOLLOWER_CHECK_S: typing.Final = 0.5
# How often a node that is not a follower reads the version row, in case that
# gossip fails, and how many such reads the whole fleet makes per second.
MIN_SAFETY_READ_PERIOD_S: typing.Final = 30.0
FLEET_SAFETY_READS_PER_S: typing.Final = 2.0
# Newer versions that a node keeps track of until one is in force.
MAX_NEWER_VERSIONS: typing.Final = 16
# Shortest interval of reads after what nodes of older builds name.
MIN_CHECK_INTERVAL_S: typing.Final = 1.0
# Contents with the number of the one in force that a node remembers to have
# fetched, and the peers that it fetches each from: their histories may differ.
MAX_VARIANTS: typing.Final = 32
MAX_VARIANT_SOURCES: typing.Final = 3
# Delays after failed reads: a change made after an outage must be read within
# seconds.
READ_RETRY_S: typing.Final = 0.5
MAX_READ_RETRY_S: typing.Final = 2.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _NewerVersion:
    """A version newer than the one in force.

    ``is_at_peers`` is true if another node has it in force, so that its
    content can be fetched, and ``is_unreadable`` if this node has fetched it
    and cannot read it.
    """

    ref: _manifest.VersionRef
    known_at: float
    is_at_peers: bool
    is_unreadable: bool = False


class VersionTracker:
    """Configuration in force at this node, and the fetch of a newer one.

    Parameters
    ----------
    timers
        The node's timers.
    waits_for_change
        Whether the store lets a read wait until the version changes.
    """

    def __init__(
        self, *, timers: _timers.TimerQueue, waits_for_change: bool = False
    ) -> None:
        self._timers = timers
        self._waits_for_change = waits_for_change
        self._configuration: _settings.Configuration | None = None
        self._ref = _manifest.NO_VERSION
        self._wanted = _manifest.NO_VERSION
        self._retry_s = FIRST_FETCH_RETRY_S
        self._retry_count = 0
        self._fetch_generation = 0
        self._fetching: set[_ids.Digest] = set()
        self._known_at = 0.0
        self._newer: list[_NewerVersion] = []
        self._variants: collections.OrderedDict[
            _manifest.VersionRef, set[_members.Address | None]
        ] = collections.OrderedDict()
        self._read_at = 0.0
        self._read_retry_s = READ_RETRY_S
        self._has_read_failed = False
        self._is_reading = False
        self._is_check_due = False

    @property
    def configuration(self) -> _settings.Configuration | None:
        """Configuration in force, or None before the first is adopted."""
        return self._configuration

    @property
    def ref(self) -> _manifest.VersionRef:
        """Version in force."""
        return self._ref

    @property
    def wanted(self) -> _manifest.VersionRef:
        """Newest version that this node knows of and tries to get."""
        return self._wanted

    @property
    def read_at(self) -> float:
        """Time at which this node last started to read the version row."""
        return self._read_at

    @property
    def in_force(self) -> _manifest.KnownVersion:
        """Version in force, and when the fleet first knew it."""
        return _manifest.KnownVersion(ref=self._ref, known_at=self._known_at)

    @property
    def era(self) -> int:
        """Era of the version in force."""
        return _version_numbers.era_of(self._ref.version)

    def describe(self) -> str:
        """Describe the version in force, for operators."""
        return _version_numbers.format_version(self._ref.version)

    def behind_s(self, now: float) -> float:
        """Seconds since the fleet knows a newer version than this node's.

        Zero while this node knows of no newer version.
        """
        return now - min(
            (newer.known_at for newer in self._newer), default=now
        )

    def is_outdated(self, limit_s: float, now: float) -> bool:
        """Return whether peers have had a newer version for ``limit_s``.

        A version that only the store has named does not count: while no node
        has its content, refusing calls would serve nobody.
        """
        return any(
            newer.is_at_peers
            and not newer.is_unreadable
            and now - newer.known_at >= limit_s
            for newer in self._newer
        )

    def supersedes(
        self, ref: _manifest.VersionRef, limit_s: float, now: float
    ) -> bool:
        """Return whether a peer that decides by ``ref`` is outdated."""
        return self.is_newer_than(ref) and now - self._known_at >= limit_s

    def is_newer_than(self, ref: _manifest.VersionRef) -> bool:
        """Return whether the version in force is newer than ``ref``."""
        version = _version_numbers.assume_era(ref.version, self._ref.version)
        return version < self._ref.version and ref.digest != self._ref.digest

    def start(self, now: float) -> None:
        """Schedule the first read of the version row."""
        self._timers.set(now, _timers.TimerKind.CONFIG_READ)

    def read_version(
        self,
        member_count: int,
        is_follower: bool,
        now: float,
        rng: random.Random,
        out: list[_commands.Command],
        *,
        reads_often: bool = False,
    ) -> None:
        """Read the version in force from the store.

        Where reads wait for a change, a node that is not a follower makes
        only safety reads, and one that ``reads_often`` waits for a short time.
        """
        if self._waits_for_change:
            period_s = max(
                MIN_SAFETY_READ_PERIOD_S,
                member_count / FLEET_SAFETY_READS_PER_S,
            )
            is_due = self._is_check_due or now - self._read_at >= period_s
            if not is_follower and self._configuration and not is_due:
                self._timers.set(
                    now + FOLLOWER_CHECK_S, _timers.TimerKind.CONFIG_READ
                )
                return
        self._read_at = now
        self._is_reading = True
        self._is_check_due = False
        wait_s = OFTEN_WAIT_S if reads_often else WAIT_S
        if self._has_read_failed:
            # The store may lose this read too; it must not take long to
            # notice that, and the store's return.
            wait_s = 0.0
        out.append(_commands.ReadVersion(wait_s=wait_s))
        if self._waits_for_change:
            return
        period_s = max(MIN_READ_PERIOD_S, member_count / FLEET_READS_PER_S)
        self._timers.set(
            now + period_s * rng.uniform(0.5, 1.5),
            _timers.TimerKind.CONFIG_READ,
        )

    def read_ended(
        self, is_success: bool, now: float, rng: random.Random
    ) -> None:
        """Schedule the next read of the version if reads wait for changes."""
        if not self._waits_for_change:
            return
        delay_s = 0.0
        self._is_reading = False
        self._has_read_failed = not is_success
        if is_success:
            self._read_retry_s = READ_RETRY_S
        else:
            delay_s = self._read_retry_s * rng.uniform(0.5, 1.0)
            self._read_retry_s = min(MAX_READ_RETRY_S, 2 * self._read_retry_s)
        self._timers.set(now + delay_s, _timers.TimerKind.CONFIG_READ)

    def observe_version(
        self,
        known: _manifest.KnownVersion,
        source: _members.Address | None,
        now: float,
        out: list[_commands.Command],
    ) -> None:
        """Handle a version named by a peer or the store; fetch it if newer.

        ``source`` is the peer, or None for the store.
        """
        ref = known.ref
        if self.era != _version_numbers.UNKNOWN_ERA and not _has_era(ref):
            self._check_store(ref, now)
            return
        if ref.digest == self._ref.digest:
            # Same content, possibly under a higher version number.
            if ref.version > self._ref.version:
                self._ref = ref
                self._known_at = known.known_at
            self._forget_older()
            return
        if ref.version == self._ref.version:
            self._fetch_variant(ref, source, now, out)
        if ref.version <= self._ref.version:
            return
        self._note_newer(known, is_at_peers=source is not None)
        if not self._is_preferred(ref):
            return
        self._wanted = ref
        if ref.digest in self._fetching:
            # A fetch of the same content, under a lower number, is running.
            return
        self._fetch_generation += 1
        self._retry_count = 0
        self._retry_s = FIRST_FETCH_RETRY_S
        source_name = "the store" if source is None else str(source)
        record = _records.Record(
            kind=_records.RecordKind.CONFIG_HEARD,
            detail=(
                f"version {_version_numbers.format_version(ref.version)} "
                f"from {source_name}, "
                f"known for {now - known.known_at:.3f} s"
            ),
        )
        out.append(_commands.WriteRecord(record=record))
        self._fetch(source, now, out)

    def adopt(
        self,
        ref: _manifest.VersionRef,
        configuration: _settings.Configuration,
        now: float,
        *,
        requested: _manifest.VersionRef | None = None,
    ) -> bool:
        """Put a version in force; return False if it is not newer.

        ``requested`` is the version that was fetched if ``ref`` is the result
        of merging it with the one in force.
        """
        requested = requested or ref
        self._fetching.discard(requested.digest)
        if requested.digest == self._wanted.digest:
            # The content was fetched under a number that may be outdated by
            # now, but no other fetch of it is running.
            newest = max(ref.version, self._wanted.version)
            ref = dataclasses.replace(ref, version=newest)
        is_variant = ref.version == self._ref.version and (
            _has_era(ref) and ref.digest != self._ref.digest
        )
        if ref.version <= self._ref.version and not is_variant:
            return False
        self._known_at = min(
            (
                newer.known_at
                for newer in self._newer
                if newer.ref.digest == requested.digest
            ),
            default=now,
        )
        self._ref = ref
        self._configuration = configuration
        self._forget_older()
        return True

    def reject(self, ref: _manifest.VersionRef) -> None:
        """Note that this node cannot read the content of a version.

        The node must go on serving by the version in force, since no retry
        will help.
        """
        for newer in self._newer:
            if newer.ref.digest == ref.digest:
                newer.is_unreadable = True

    def fetch_failed(
        self, ref: _manifest.VersionRef, now: float, rng: random.Random
    ) -> None:
        """Schedule a retry if the version is still wanted."""
        self._fetching.discard(ref.digest)
        self._variants.pop(ref, None)
        if ref.digest != self._wanted.digest or self._is_in_force():
            return
        self._timers.set(
            now + self._retry_s * rng.uniform(0.5, 1.5),
            _timers.TimerKind.CONFIG_FETCH,
            number=self._fetch_generation,
        )
        self._retry_s = min(
            MAX_FETCH_RETRY_S, FETCH_RETRY_GROWTH * self._retry_s
        )

    def retry_fetch(
        self,
        generation: int,
        peers: list[_members.Address],
        now: float,
        rng: random.Random,
        out: list[_commands.Command],
    ) -> None:
        """Retry the fetch of the wanted version, from a peer or the store.

        Does nothing if ``generation`` is that of an outdated retry timer.
        """
        is_current = generation == self._fetch_generation
        if not is_current or self._is_in_force():
            return
        if self._wanted.digest in self._fetching:
            return
        self._retry_count += 1
        source = None
        if peers and self._retry_count % STORE_RETRY_INTERVAL:
            source = peers[int(rng.random() * len(peers))]
        self._fetch(source, now, out)

    def _fetch(
        self,
        source: _members.Address | None,
        now: float,
        out: list[_commands.Command],
    ) -> None:
        self._fetching.add(self._wanted.digest)
        out.append(
            _commands.FetchManifest(
                ref=self._wanted, source=source, ordered_at=now
            )
        )

    def _fetch_variant(
        self,
        ref: _manifest.VersionRef,
        source: _members.Address | None,
        now: float,
        out: list[_commands.Command],
    ) -> None:
        """Fetch another content that has the number of the one in force."""
        if ref.digest in self._fetching or not _has_era(ref):
            return
        sources = self._variants.setdefault(ref, set())
        if source in sources or len(sources) >= MAX_VARIANT_SOURCES:
            return
        sources.add(source)
        while len(self._variants) > MAX_VARIANTS:
            self._variants.popitem(last=False)
        self._fetching.add(ref.digest)
        out.append(
            _commands.FetchManifest(ref=ref, source=source, ordered_at=now)
        )

    def _is_preferred(self, ref: _manifest.VersionRef) -> bool:
        """Return whether a version is to be fetched in place of the wanted.

        Of two contents with the same number, the one that was named last is
        more likely to be available.
        """
        if ref.version != self._wanted.version:
            return ref.version > self._wanted.version
        is_other = ref.digest != self._wanted.digest
        return (
            is_other
            and _has_era(ref)
            and self._wanted.digest not in self._fetching
        )

    def _check_store(self, ref: _manifest.VersionRef, now: float) -> None:
        """Read the store if a node of an older build may know more.

        Its number, without an era, may be one of a lost history.
        """
        is_known = ref.digest == self._ref.digest or self._is_reading
        number = _version_numbers.number_of(self._ref.version)
        is_due = now - self._read_at >= MIN_CHECK_INTERVAL_S
        if is_known or ref.version <= number or not is_due:
            return
        self._is_check_due = True
        self._timers.set(now, _timers.TimerKind.CONFIG_READ)

    def _note_newer(
        self, known: _manifest.KnownVersion, *, is_at_peers: bool
    ) -> None:
        for newer in self._newer:
            if newer.ref.digest == known.ref.digest:
                newer.known_at = min(newer.known_at, known.known_at)
                newer.is_at_peers = newer.is_at_peers or is_at_peers
                if known.ref.version > newer.ref.version:
                    newer.ref = known.ref
                return
        if len(self._newer) >= MAX_NEWER_VERSIONS:
            # The oldest determines how long this node has been behind.
            del self._newer[1]
        self._newer.append(
            _NewerVersion(
                ref=known.ref,
                known_at=known.known_at,
                is_at_peers=is_at_peers,
            )
        )

    def _forget_older(self) -> None:
        """Forget the versions that the one in force supersedes."""
        self._newer = [
            newer
            for newer in self._newer
            if newer.ref.version > self._ref.version
        ]

    def _is_in_force(self) -> bool:
        """Return whether the wanted version or a newer one is in force."""
        return self._wanted.version <= self._ref.version


def _has_era(ref: _manifest.VersionRef) -> bool:
    return _version_numbers.era_of(ref.version) != _version_numbers.UNKNOWN_ERA
