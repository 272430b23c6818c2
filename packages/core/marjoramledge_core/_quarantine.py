"""Quarantine of requests that crash the backend servers that run them.

A request is identified by its fingerprint: service, method, target and body.
When a backend server dies, every request that ran on it is suspected.  A
second death of a server that ran a suspect quarantines the suspect: every node
refuses it for a time, before it reaches a third server.

Three rules keep other requests that ran at the same time from being blamed:

- a suspect is cleared as soon as any server answers it, so a frequent request
  does not stay suspected;
- a gate runs at most one suspect at a time;
- when a server dies that ran a suspect, only the suspect is blamed.

Suspicions and clearances are gossiped in membership messages when they are
new, and current suspicions are exchanged with the member lists, so that a node
that has restarted learns of them.  Each death is
identified by the node of the server and the number of its death there, so a
death that is reported twice counts once.
"""

import collections.abc
import dataclasses
import typing

from marjoramledge_core import _ids

DEATHS_TO_QUARANTINE: typing.Final = 2
QUARANTINE_S: typing.Final = 300.0
# Time after which a suspicion without a second death expires.
SUSPICION_S: typing.Final = 600.0
MAX_SUSPECTS: typing.Final = 512
MAX_SUSPICIONS_PER_MESSAGE: typing.Final = 8
# Deaths stored per request.  Two that are not cleared put it into quarantine.
# Cleared ones are stored too, since outdated reports of them may still arrive.
MAX_DEATHS: typing.Final = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Suspicion:
    """Change to the suspicion of a request, as nodes exchange it.

    ``deaths`` are the deaths at which the request ran.  ``cleared`` are those
    of which it is cleared: a backend server answered the request afterwards,
    or the death was withdrawn.  Changes are merged by set union, so they may
    arrive in any order and repeatedly.  ``age_s`` is the time in seconds since
    the change, where it is told to a node that may not have heard of it then.
    """

    fingerprint: _ids.Fingerprint
    deaths: frozenset[_ids.DeathId]
    cleared: frozenset[_ids.DeathId]
    age_s: float = 0.0

    def join(self, later: "Suspicion") -> "Suspicion":
        """Return the union of this change and a later one."""
        return Suspicion(
            fingerprint=self.fingerprint,
            deaths=self.deaths | later.deaths,
            cleared=self.cleared | later.cleared,
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class _RequestRecord:
    """Deaths of servers that ran one request, as this node knows them.

    ``deaths`` maps each death, oldest first, to whether the request has been
    cleared of it.
    """

    updated_at: float
    deaths: dict[_ids.DeathId, bool] = dataclasses.field(default_factory=dict)

    @property
    def uncleared(self) -> frozenset[_ids.DeathId]:
        """Deaths of which the request has not been cleared."""
        return frozenset(
            death
            for death, is_cleared in self.deaths.items()
            if not is_cleared
        )

    def merge(self, received: Suspicion) -> Suspicion | None:
        """Merge a received change; return its new part, or None."""
        deaths = frozenset(received.deaths - self.deaths.keys())
        cleared = frozenset(
            death
            for death in received.cleared
            if not self.deaths.get(death, False)
        )
        if not deaths and not cleared:
            return None
        self.deaths.update(dict.fromkeys(sorted(deaths), False))
        self.deaths.update(dict.fromkeys(sorted(cleared), True))
        while len(self.deaths) > MAX_DEATHS:
            self._forget_death()
        return Suspicion(
            fingerprint=received.fingerprint, deaths=deaths, cleared=cleared
        )

    def _forget_death(self) -> None:
        """Remove the oldest cleared death or, without one, the oldest."""
        oldest = next(iter(self.deaths))
        for death, is_cleared in self.deaths.items():
            if is_cleared:
                oldest = death
                break
        del self.deaths[oldest]


class Quarantine:
    """Suspected and quarantined requests, as this node knows them."""

    def __init__(self) -> None:
        self._records: dict[_ids.Fingerprint, _RequestRecord] = {}
        self._dropped = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def dropped(self) -> int:
        """Number of requests dropped because ``MAX_SUSPECTS`` was exceeded."""
        return self._dropped

    def is_suspect(self, fingerprint: _ids.Fingerprint, now: float) -> bool:
        """Return whether a request ran at a death and is not cleared of it."""
        record = self._find(fingerprint, now)
        return record is not None and bool(record.uncleared)

    def remaining_s(
        self, fingerprint: _ids.Fingerprint, now: float
    ) -> float | None:
        """Return the seconds left in quarantine, None if not quarantined."""
        record = self._find(fingerprint, now)
        if record is None:
            return None
        if len(record.uncleared) < DEATHS_TO_QUARANTINE:
            return None
        return record.updated_at + QUARANTINE_S - now

    def list_suspicions(self, now: float) -> tuple[Suspicion, ...]:
        """Return all current suspicions, for a node that may lack them."""
        return tuple(
            Suspicion(
                fingerprint=fingerprint,
                deaths=record.uncleared,
                cleared=frozenset(),
                age_s=now - record.updated_at,
            )
            for fingerprint in list(self._records)
            if (record := self._find(fingerprint, now)) is not None
            and record.uncleared
        )

    def record_death(
        self,
        death: _ids.DeathId,
        fingerprints: collections.abc.Collection[_ids.Fingerprint],
        now: float,
    ) -> tuple[Suspicion, ...]:
        """Record a death and the requests that ran; return what to publish."""
        known = [f for f in fingerprints if self.is_suspect(f, now)]
        suspects = known or list(fingerprints)
        return self.record_suspicions(
            (
                Suspicion(
                    fingerprint=fingerprint,
                    deaths=frozenset((death,)),
                    cleared=frozenset(),
                )
                for fingerprint in sorted(set(suspects))[
                    :MAX_SUSPICIONS_PER_MESSAGE
                ]
            ),
            now,
        )

    def withdraw(
        self, death: _ids.DeathId, now: float
    ) -> tuple[Suspicion, ...]:
        """Clear all requests of a death; return the clearances to publish.

        Called when a presumed death turns out not to have happened.
        """
        return self.record_suspicions(
            [
                _build_clearance(fingerprint, frozenset((death,)))
                for fingerprint, record in self._records.items()
                if death in record.uncleared
            ],
            now,
        )

    def clear_answered(
        self, fingerprint: _ids.Fingerprint, now: float
    ) -> tuple[Suspicion, ...]:
        """Clear an answered request; return the clearance to publish."""
        record = self._find(fingerprint, now)
        if record is None or not record.uncleared:
            return ()
        return self.record_suspicions(
            [_build_clearance(fingerprint, record.uncleared)], now
        )

    def record_suspicions(
        self, received: collections.abc.Iterable[Suspicion], now: float
    ) -> tuple[Suspicion, ...]:
        """Merge suspicions and clearances; return those that are new."""
        changes = []
        for suspicion in received:
            fingerprint = suspicion.fingerprint
            changed_at = now - suspicion.age_s
            record = self._find(fingerprint, now) or _RequestRecord(
                updated_at=changed_at
            )
            change = record.merge(suspicion)
            if change is not None:
                record.updated_at = max(record.updated_at, changed_at)
                self._put(fingerprint, record)
                changes.append(change)
        return tuple(changes)

    def _find(
        self, fingerprint: _ids.Fingerprint, now: float
    ) -> _RequestRecord | None:
        record = self._records.get(fingerprint)
        if record is None:
            return None
        is_suspicion_over = now - record.updated_at > SUSPICION_S
        is_quarantine_over = now - record.updated_at > QUARANTINE_S and (
            len(record.uncleared) >= DEATHS_TO_QUARANTINE
        )
        if is_suspicion_over or is_quarantine_over:
            del self._records[fingerprint]
            return None
        return record

    def _put(
        self, fingerprint: _ids.Fingerprint, record: _RequestRecord
    ) -> None:
        self._records.pop(fingerprint, None)
        self._records[fingerprint] = record
        if len(self._records) > MAX_SUSPECTS:
            del self._records[next(iter(self._records))]
            self._dropped += 1


def _build_clearance(
    fingerprint: _ids.Fingerprint, deaths: frozenset[_ids.DeathId]
) -> Suspicion:
    return Suspicion(
        fingerprint=fingerprint, deaths=frozenset(), cleared=deaths
    )
