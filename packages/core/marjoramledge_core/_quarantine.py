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
# Deaths that are remembered of one request.  Two that speak against it decide;
# excused ones are kept for as long as old news of them may still come.
MAX_DEATHS: typing.Final = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Suspicion:
    """What nodes tell one another of a suspected request: what is new of it.

    ``cleared`` are the deaths after which a backend server has answered it,
    or that were none.  What is told is joined by union, in any order and any
    number of times.
    """

    fingerprint: _ids.Fingerprint
    deaths: frozenset[_ids.DeathId]
    cleared: frozenset[_ids.DeathId]

    def join(self, later: "Suspicion") -> "Suspicion":
        """Join what is still to be told with what came later."""
        return Suspicion(
            fingerprint=self.fingerprint,
            deaths=self.deaths | later.deaths,
            cleared=self.cleared | later.cleared,
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class _Record:
    """What one node knows of a request; oldest death first.

    ``deaths`` tells of each whether an answer has excused the request.
    """

    noted_at: float
    deaths: dict[_ids.DeathId, bool] = dataclasses.field(default_factory=dict)

    @property
    def blamed(self) -> frozenset[_ids.DeathId]:
        """Deaths that still speak against the request."""
        return frozenset(
            death
            for death, is_excused in self.deaths.items()
            if not is_excused
        )

    def merge(self, told: Suspicion) -> Suspicion | None:
        """Take in what is told; return what of it is new, if any."""
        deaths = frozenset(told.deaths - self.deaths.keys())
        cleared = frozenset(
            death
            for death in told.cleared
            if not self.deaths.get(death, False)
        )
        if not deaths and not cleared:
            return None
        self.deaths.update(dict.fromkeys(sorted(deaths), False))
        self.deaths.update(dict.fromkeys(sorted(cleared), True))
        while len(self.deaths) > MAX_DEATHS:
            self._forget_death()
        return Suspicion(
            fingerprint=told.fingerprint, deaths=deaths, cleared=cleared
        )

    def _forget_death(self) -> None:
        """Forget the oldest death, of those that are excused if any is."""
        oldest = next(iter(self.deaths))
        for death, is_excused in self.deaths.items():
            if is_excused:
                oldest = death
                break
        del self.deaths[oldest]


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
        return record is not None and bool(record.blamed)

    def remaining_s(
        self, fingerprint: _ids.Fingerprint, now: float
    ) -> float | None:
        """Seconds for which a request is refused; None when it is not."""
        record = self._find(fingerprint, now)
        if record is None:
            return None
        if len(record.blamed) < DEATHS_TO_QUARANTINE:
            return None
        return record.noted_at + QUARANTINE_S - now

    def record_death(
        self,
        death: _ids.DeathId,
        ran: collections.abc.Collection[_ids.Fingerprint],
        now: float,
    ) -> tuple[Suspicion, ...]:
        """Take in a death and what ran; return the suspicions to tell."""
        known = [f for f in ran if self.is_suspect(f, now)]
        blamed = known or list(ran)
        return self.record_suspicions(
            (
                Suspicion(
                    fingerprint=fingerprint,
                    deaths=frozenset((death,)),
                    cleared=frozenset(),
                )
                for fingerprint in sorted(set(blamed))[:MAX_TOLD]
            ),
            now,
        )

    def withdraw(
        self, death: _ids.DeathId, now: float
    ) -> tuple[Suspicion, ...]:
        """Take back a death that was none; return what is to be told."""
        return self.record_suspicions(
            [
                _excuse(fingerprint, frozenset((death,)))
                for fingerprint, record in self._records.items()
                if death in record.blamed
            ],
            now,
        )

    def clear_answered(
        self, fingerprint: _ids.Fingerprint, now: float
    ) -> tuple[Suspicion, ...]:
        """Take in that a server answered; return the clearance to tell."""
        record = self._find(fingerprint, now)
        if record is None or not record.blamed:
            return ()
        return self.record_suspicions(
            [_excuse(fingerprint, record.blamed)], now
        )

    def record_suspicions(
        self, told: collections.abc.Iterable[Suspicion], now: float
    ) -> tuple[Suspicion, ...]:
        """Take in what is told; return what of it was news."""
        news = []
        for suspicion in told:
            fingerprint = suspicion.fingerprint
            record = self._find(fingerprint, now) or _Record(noted_at=now)
            new = record.merge(suspicion)
            if new is not None:
                record.noted_at = now
                self._put(fingerprint, record)
                news.append(new)
        return tuple(news)

    def _find(
        self, fingerprint: _ids.Fingerprint, now: float
    ) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is None:
            return None
        is_old = now - record.noted_at > SUSPICION_S
        has_served = now - record.noted_at > QUARANTINE_S and (
            len(record.blamed) >= DEATHS_TO_QUARANTINE
        )
        if is_old or has_served:
            del self._records[fingerprint]
            return None
        return record

    def _put(self, fingerprint: _ids.Fingerprint, record: _Record) -> None:
        self._records.pop(fingerprint, None)
        self._records[fingerprint] = record
        if len(self._records) > MAX_SUSPECTS:
            del self._records[next(iter(self._records))]
            self._dropped += 1


def _excuse(
    fingerprint: _ids.Fingerprint, deaths: frozenset[_ids.DeathId]
) -> Suspicion:
    return Suspicion(
        fingerprint=fingerprint, deaths=frozenset(), cleared=deaths
    )
