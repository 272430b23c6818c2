"""Which configuration is in force at this node, and the way to a newer one.

Every message between nodes names the sender's version, so a new one reaches
all within a few rounds of gossip; the table is read only now and then, by
some node of the fleet each tenth of a second at any size.  A node never
adopts a version lower than the one it has.
"""

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

MIN_READ_PERIOD_S: typing.Final = 2.0
# Reads of the version row that the whole fleet makes in a second.
FLEET_READS_PER_S: typing.Final = 10.0
# Three tries and more within the second after one that found nobody.
FIRST_FETCH_RETRY_S: typing.Final = 0.1
FETCH_RETRY_GROWTH: typing.Final = 1.5
MAX_FETCH_RETRY_S: typing.Final = 5.0
# Of so many tries for a content one goes to the store, which may be away from
# this node alone; the others go to peers, most of which have it.
STORE_TRY: typing.Final = 3
# Bounds of a read that waits for a change.  The lower one lets a node notice
# a wait that an outage has left without an answer before the change that
# follows must be in force; a large fleet notices through its first member.
MIN_WAIT_S: typing.Final = 4.0
MAX_WAIT_S: typing.Final = 20.0
WAIT_PER_MEMBER_S: typing.Final = 0.4
# How often a node looks whether it is to follow the store.
FOLLOWER_CHECK_S: typing.Final = 0.5
# How often a node that leaves the following to others reads all the same.
IDLE_READ_PERIOD_S: typing.Final = 30.0
# Pauses after reads that fail; a change that follows an outage must be read
# within seconds.
READ_RETRY_S: typing.Final = 0.5
MAX_READ_RETRY_S: typing.Final = 2.0


class VersionTracker:
    """State of the configuration at one node."""

    def __init__(
        self, *, timers: _timers.TimerQueue, waits_for_change: bool = False
    ) -> None:
        self._timers = timers
        self._waits_for_change = waits_for_change
        self._configuration: _settings.Configuration | None = None
        self._ref = _manifest.NO_VERSION
        self._wanted = _manifest.NO_VERSION
        self._retry_s = FIRST_FETCH_RETRY_S
        self._tries = 0
        self._content_number = 0
        self._fetching: set[_ids.Digest] = set()
        self._read_at = 0.0
        self._read_retry_s = READ_RETRY_S

    @property
    def configuration(self) -> _settings.Configuration | None:
        """The configuration in force, or None before the first."""
        return self._configuration

    @property
    def ref(self) -> _manifest.VersionRef:
        """The version in force."""
        return self._ref

    @property
    def read_at(self) -> float:
        """When this node last asked the table."""
        return self._read_at

    def start(self, now: float) -> None:
        """Set the first timer of a node that starts."""
        self._timers.set(now, _timers.TimerKind.CONFIG_READ)

    def read_version(
        self,
        member_count: int,
        is_follower: bool,
        now: float,
        rng: random.Random,
        out: list[_commands.Command],
    ) -> None:
        """Ask the table for the version in force.

        Where reads wait for a change, a node that is no follower leaves them
        to others, but for one now and then.
        """
        if self._waits_for_change:
            is_due = now - self._read_at >= IDLE_READ_PERIOD_S
            if not is_follower and self._configuration and not is_due:
                self._timers.set(
                    now + FOLLOWER_CHECK_S, _timers.TimerKind.CONFIG_READ
                )
                return
        self._read_at = now
        wait_s = min(
            MAX_WAIT_S, max(MIN_WAIT_S, WAIT_PER_MEMBER_S * member_count)
        )
        out.append(_commands.ReadVersion(wait_s=wait_s))
        if self._waits_for_change:
            return
        period = max(MIN_READ_PERIOD_S, member_count / FLEET_READS_PER_S)
        self._timers.set(
            now + period * rng.uniform(0.5, 1.5),
            _timers.TimerKind.CONFIG_READ,
        )

    def read_ended(
        self, is_success: bool, now: float, rng: random.Random
    ) -> None:
        """Plan the next read of a store that waits for a change."""
        if not self._waits_for_change:
            return
        pause_s = 0.0
        if is_success:
            self._read_retry_s = READ_RETRY_S
        else:
            pause_s = self._read_retry_s * rng.uniform(0.5, 1.0)
            self._read_retry_s = min(MAX_READ_RETRY_S, 2 * self._read_retry_s)
        self._timers.set(now + pause_s, _timers.TimerKind.CONFIG_READ)

    def observe_version(
        self,
        ref: _manifest.VersionRef,
        source: _members.Address | None,
        out: list[_commands.Command],
    ) -> None:
        """Take in that a version exists; fetch it when it is newer."""
        if ref.digest == self._ref.digest:
            # The same content, as of a later moment.
            newest = max(ref.version, self._ref.version)
            self._ref = dataclasses.replace(ref, version=newest)
            return
        if ref.version <= max(self._ref.version, self._wanted.version):
            return
        self._wanted = ref
        if ref.digest in self._fetching:
            # The store's versions go on while the content stays the same.
            return
        self._content_number += 1
        self._tries = 0
        self._retry_s = FIRST_FETCH_RETRY_S
        teller = "the store" if source is None else str(source)
        record = _records.Record(
            kind=_records.RecordKind.CONFIG_HEARD,
            detail=f"version {ref.version} from {teller}",
        )
        out.append(_commands.WriteRecord(record=record))
        self._fetch(source, out)

    def adopt(
        self,
        ref: _manifest.VersionRef,
        configuration: _settings.Configuration,
    ) -> bool:
        """Put a version in force; false when it is not newer."""
        self._fetching.discard(ref.digest)
        if ref.version <= self._ref.version:
            return False
        if ref.digest == self._wanted.digest:
            newest = max(ref.version, self._wanted.version)
            ref = dataclasses.replace(ref, version=newest)
        self._ref = ref
        self._configuration = configuration
        return True

    def fetch_failed(
        self, ref: _manifest.VersionRef, now: float, rng: random.Random
    ) -> None:
        """Plan another try for a version that is still wanted."""
        self._fetching.discard(ref.digest)
        if ref.digest != self._wanted.digest or self._is_in_force():
            return
        self._timers.set(
            now + self._retry_s * rng.uniform(0.5, 1.5),
            _timers.TimerKind.CONFIG_FETCH,
            number=self._content_number,
        )
        self._retry_s = min(
            MAX_FETCH_RETRY_S, FETCH_RETRY_GROWTH * self._retry_s
        )

    def retry_fetch(
        self,
        content_number: int,
        peers: list[_members.Address],
        rng: random.Random,
        out: list[_commands.Command],
    ) -> None:
        """Try once more to fetch a content, from a peer or from the store."""
        is_current = content_number == self._content_number
        if not is_current or self._is_in_force():
            return
        if self._wanted.digest in self._fetching:
            return
        self._tries += 1
        source = None
        if peers and self._tries % STORE_TRY:
            source = peers[int(rng.random() * len(peers))]
        self._fetch(source, out)

    def _fetch(
        self,
        source: _members.Address | None,
        out: list[_commands.Command],
    ) -> None:
        self._fetching.add(self._wanted.digest)
        out.append(_commands.FetchManifest(ref=self._wanted, source=source))

    def _is_in_force(self) -> bool:
        """Tell whether what is wanted, or something newer, is in force."""
        return self._wanted.version <= self._ref.version
