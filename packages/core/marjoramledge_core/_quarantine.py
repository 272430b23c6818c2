"""Requests that crash the backend servers that run them.

A request is known by its fingerprint: service, method, target and body.  When
a backend server dies, whatever ran on it is suspected.  A second death of a
server that ran a suspect puts the suspect into quarantine: it is refused
everywhere for a time, before it reaches a third.

What merely ran beside it must not be blamed.  Three rules see to that: a
suspect that any server answers is cleared at once, so frequent requests never
stay suspected; a gate runs at most one suspect at a time; and when a server
dies that ran a suspect, the suspect alone is blamed.  Suspicions and
clearances travel with the membership messages and count deaths by the name
of the server's node and the number of its death, so the same death told twice
counts once.
"""

import collections.abc
import dataclasses
import typing

from marjoramledge_core import _ids

DEATHS_TO_QUARANTINE: typing.Final = 2
QUARANTINE_S: typing.Final = 300.0
# A suspicion without a second death is dropped after this time.
SUSPICION_S: typing.Final = 600.0
MAX_SUSPECTS: typing.Final = 512
MAX_TOLD: typing.Final = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Suspicion:
    """What nodes tell one another of a suspected request.

    ``excused`` are the deaths after which a backend server has answered it.
    Both sets only grow, so views are joined by union, in any order and any
    number of times.
    """

    fingerprint: _ids.Fingerprint
    deaths: frozenset[_ids.DeathId]
    excused: frozenset[_ids.DeathId]

    @property
    def blamed(self) -> frozenset[_ids.DeathId]:
        """Deaths that still speak against the request."""
        return self.deaths - self.excused


@dataclasses.dataclass(slots=True, kw_only=True)
class _Record:
    suspicion: Suspicion
    noted_at: float


class Quarantine:
    """Suspected requests, as one node knows them."""

    def __init__(self) -> None:
        self._records: dict[_ids.Fingerprint, _Record] = {}
        self._dropped = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def dropped(self) -> int:
        """Suspicions forgotten for want of room."""
        return self._dropped

    def is_suspect(self, fingerprint: _ids.Fingerprint, now: float) -> bool:
        """Tell whether a request has been there at a death, uncleared."""
        record = self._find(fingerprint, now)
        return record is not None and bool(record.suspicion.blamed)

    def refuse_for_s(
        self, fingerprint: _ids.Fingerprint, now: float
    ) -> float | None:
        """Seconds for which a request is refused; None when it is not."""
        record = self._find(fingerprint, now)
        if record is None:
            return None
        if len(record.suspicion.blamed) < DEATHS_TO_QUARANTINE:
            return None
        return record.noted_at + QUARANTINE_S - now

    def note_death(
        self,
        death: _ids.DeathId,
        ran: collections.abc.Collection[_ids.Fingerprint],
        now: float,
    ) -> tuple[Suspicion, ...]:
        """Take in a death and what ran; return the suspicions to tell."""
        known = [f for f in ran if self.is_suspect(f, now)]
        blamed = known or list(ran)
        told = []
        for fingerprint in sorted(set(blamed))[:MAX_TOLD]:
            known_of = self._suspicion_of(fingerprint, now)
            noted = dataclasses.replace(
                known_of, deaths=known_of.deaths | {death}
            )
            told.append(self._put(noted, now))
        return tuple(told)

    def withdraw(
        self, death: _ids.DeathId, now: float
    ) -> tuple[Suspicion, ...]:
        """Take back a death that was none; return what is to be told."""
        told = []
        for record in list(self._records.values()):
            suspicion = record.suspicion
            if death in suspicion.blamed:
                excused = suspicion.excused | {death}
                told.append(
                    self._put(
                        dataclasses.replace(suspicion, excused=excused), now
                    )
                )
        return tuple(told)

    def note_answered(
        self, fingerprint: _ids.Fingerprint, now: float
    ) -> tuple[Suspicion, ...]:
        """Take in that a server answered; return the clearance to tell."""
        if not self.is_suspect(fingerprint, now):
            return ()
        suspicion = self._suspicion_of(fingerprint, now)
        cleared = dataclasses.replace(suspicion, excused=suspicion.deaths)
        return (self._put(cleared, now),)

    def take(
        self, told: collections.abc.Iterable[Suspicion], now: float
    ) -> tuple[Suspicion, ...]:
        """Take in what a peer tells; return what was news."""
        news = []
        for suspicion in told:
            known = self._suspicion_of(suspicion.fingerprint, now)
            merged = Suspicion(
                fingerprint=known.fingerprint,
                deaths=known.deaths | suspicion.deaths,
                excused=known.excused | suspicion.excused,
            )
            if merged != known:
                news.append(self._put(merged, now))
        return tuple(news)

    def _suspicion_of(
        self, fingerprint: _ids.Fingerprint, now: float
    ) -> Suspicion:
        record = self._find(fingerprint, now)
        if record is not None:
            return record.suspicion
        return Suspicion(
            fingerprint=fingerprint, deaths=frozenset(), excused=frozenset()
        )

    def _find(
        self, fingerprint: _ids.Fingerprint, now: float
    ) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is None:
            return None
        is_old = now - record.noted_at > SUSPICION_S
        has_served = now - record.noted_at > QUARANTINE_S and (
            len(record.suspicion.blamed) >= DEATHS_TO_QUARANTINE
        )
        if is_old or has_served:
            del self._records[fingerprint]
            return None
        return record

    def _put(self, suspicion: Suspicion, now: float) -> Suspicion:
        self._records.pop(suspicion.fingerprint, None)
        self._records[suspicion.fingerprint] = _Record(
            suspicion=suspicion, noted_at=now
        )
        if len(self._records) > MAX_SUSPECTS:
            del self._records[next(iter(self._records))]
            self._dropped += 1
        return suspicion
