"""Quarantine of requests that crash the backend servers that run them.

A request is identified by its fingerprint: service, method, target and body.
When a backend server dies, every request that ran on it is suspected.  A
second death of a server that ran a suspect quarantines the suspect: every node
refuses it for a time, before it reaches a third server.  If it is run again
after that time and a server dies once more, the next quarantine is longer.

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
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _suspicions

# Time after which a suspicion without a further death expires; it begins at
# the end of the quarantine, if there was one.
SUSPICION_S: typing.Final = 600.0
MAX_SUSPECTS: typing.Final = 512
MAX_SUSPICIONS_PER_MESSAGE: typing.Final = 8

Suspicion = _suspicions.Suspicion


class Quarantine:
    """Suspected and quarantined requests, as this node knows them."""

    def __init__(self) -> None:
        self._records: dict[_ids.Fingerprint, _suspicions.RequestRecord] = {}
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
        left_s = record.remaining_s(now)
        return left_s if left_s > 0.0 else None

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
            record = self._find(fingerprint, now) or _suspicions.RequestRecord(
                updated_at=changed_at
            )
            change = record.merge(suspicion, changed_at)
            if change is not None:
                self._put(fingerprint, record)
                changes.append(change)
        return tuple(changes)

    def _find(
        self, fingerprint: _ids.Fingerprint, now: float
    ) -> _suspicions.RequestRecord | None:
        record = self._records.get(fingerprint)
        if record is None:
            return None
        if record.remaining_s(now) < -SUSPICION_S:
            del self._records[fingerprint]
            return None
        return record

    def _put(
        self, fingerprint: _ids.Fingerprint, record: _suspicions.RequestRecord
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
