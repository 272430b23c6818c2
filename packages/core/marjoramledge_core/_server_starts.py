"""The starts of the backend server that a gate guards, and their departures.

A server may start again under its id while its clock is set back, and its
announcements may arrive late or never.  A start time that is higher than all
known ones shows a new start at once.  Any other start that differs from the
current one must announce itself again after a while: a late announcement is
rarely followed by another.  A departure applies to the current start whenever
it names the same server, since the gate may not have heard of the start that
leaves.
"""

import dataclasses
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _server_status

# Departures that are remembered in order to ignore announcements that arrive
# after them; such announcements are few.
MAX_DEPARTED: typing.Final = 256
# Shortest time between two announcements that confirm a start.  Announcements
# that were held up together arrive within less.
MIN_CONFIRMATION_S: typing.Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Candidate:
    """A start that has announced itself once, to be confirmed."""

    start: _server_status.ServerStart
    sequence: int
    announced_at: float


class ServerStarts:
    """Decides which start of the backend server is the current one."""

    def __init__(self) -> None:
        self._current: _server_status.ServerStart | None = None
        self._sequence = 0
        self._latest: _server_status.ServerStart | None = None
        self._candidate: _Candidate | None = None
        self._departed: dict[_ids.ServerId, int] = {}
        self._last_departed: _server_status.ServerStart | None = None

    @property
    def last_departed(self) -> _server_status.ServerStart | None:
        """The start that left last, with the start time that it covers."""
        return self._last_departed

    @property
    def current(self) -> _server_status.ServerStart | None:
        """The current start; None if no server with an id is known."""
        return self._current

    @property
    def unconfirmed(self) -> _server_status.ServerStart | None:
        """The start that is ignored until it announces itself again."""
        return None if self._candidate is None else self._candidate.start

    @property
    def is_departed(self) -> bool:
        """Whether a departure covers the current start."""
        return self._current is not None and self._covers(self._current)

    def matches(self, start: _server_status.ServerStart) -> bool:
        """Return whether ``start`` identifies the current start."""
        if start == _server_status.ANY_START:
            return True
        if self._current is None or self._current.server != start.server:
            return False
        known = self._current.born
        # 0 means that whoever named the start did not know its start time.
        return start.born == known or 0 in (start.born, known)

    def is_same_server(self, start: _server_status.ServerStart) -> bool:
        """Return whether ``start`` may be a start of the current server."""
        if start == _server_status.ANY_START:
            return True
        current = self._current
        return current is not None and current.server == start.server

    def accept(
        self,
        start: _server_status.ServerStart,
        sequence: int,
        now: float,
        *,
        is_doubted: bool = False,
    ) -> bool:
        """Make an announced start the current one, unless it is outdated.

        A start that ``is_doubted`` must announce itself again first.

        Returns
        -------
        bool
            False if the announcement is to be ignored.
        """
        if not self._accepts(start, sequence, now, is_doubted):
            return False
        self._candidate = None
        self._take(start, sequence)
        return True

    def depart(
        self, start: _server_status.ServerStart, said_at_ms: int = 0
    ) -> None:
        """Record that a backend server, identified by its start, leaves.

        Later announcements of that start are ignored.  If nobody knows its
        start time, those of all starts before ``said_at_ms`` are.
        """
        if start == _server_status.ANY_START:
            return
        born = start.born
        current = self._current
        if current is not None and self.matches(start):
            born = max(born, current.born)
        self._remember_departure(start, born or said_at_ms)
        self._last_departed = self.resolve(start)
        if current is None or current.server != start.server:
            return
        self._candidate = None
        if not self.matches(start):
            self._take(start, 0)

    def restore_departure(self, start: _server_status.ServerStart) -> None:
        """Record a departure that was acknowledged earlier or elsewhere."""
        if start != _server_status.ANY_START:
            self._remember_departure(start, start.born)

    def resolve(
        self, start: _server_status.ServerStart
    ) -> _server_status.ServerStart:
        """Return a departed start with the start time that it covers."""
        born = self._departed.get(start.server, start.born)
        return dataclasses.replace(start, born=max(born, start.born))

    def remove(self) -> None:
        """Forget the current start: no server is known any more."""
        self._current = None

    def _take(self, start: _server_status.ServerStart, sequence: int) -> None:
        self._current = start
        self._sequence = sequence
        if self._latest is None or start.born >= self._latest.born:
            self._latest = start

    def _accepts(
        self,
        start: _server_status.ServerStart,
        sequence: int,
        now: float,
        is_doubted: bool,
    ) -> bool:
        if self._covers(start):
            return False
        current = self._current
        if current == start:
            is_newer = sequence > self._sequence
            if is_newer:
                self._candidate = None
            return is_newer
        is_unnamed = not start.born and current is not None
        if is_unnamed and self.is_same_server(start):
            return False
        if self._is_latest(start) and not is_doubted:
            return True
        return self._confirm(start, sequence, now)

    def _is_latest(self, start: _server_status.ServerStart) -> bool:
        latest = self._latest
        if latest is None or start.born > latest.born:
            return True
        return start.born == latest.born and start.server != latest.server

    def _confirm(
        self, start: _server_status.ServerStart, sequence: int, now: float
    ) -> bool:
        candidate = self._candidate
        if candidate is None or candidate.start != start:
            self._candidate = _Candidate(
                start=start, sequence=sequence, announced_at=now
            )
            return False
        return (
            sequence > candidate.sequence
            and now - candidate.announced_at >= MIN_CONFIRMATION_S
        )

    def _covers(self, start: _server_status.ServerStart) -> bool:
        return self._departed.get(start.server, -1) >= start.born

    def _remember_departure(
        self, start: _server_status.ServerStart, born: int
    ) -> None:
        known = self._departed.pop(start.server, -1)
        self._departed[start.server] = max(known, born)
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
