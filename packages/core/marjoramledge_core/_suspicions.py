"""What is known of one request that ran when backend servers died.

It is quarantined from the second death on.  After its quarantine it stays
suspected, so that one more death is enough for the next one, which is longer:
a fatal request that keeps coming reaches ever fewer servers, and one that was
blamed for deaths which it didn't cause is cleared by its next answer.
"""

import dataclasses
import typing

from marjoramledge_core import _ids

DEATHS_TO_QUARANTINE: typing.Final = 2
# Length of the first quarantine; each one that begins after the end of another
# is longer by this factor.
QUARANTINE_S: typing.Final = 300.0
QUARANTINE_GROWTH: typing.Final = 4
MAX_QUARANTINE_S: typing.Final = 86400.0
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
class RequestRecord:
    """Deaths of servers that ran one request, as this node knows them.

    ``deaths`` maps each death, oldest first, to whether the request has been
    cleared of it.  ``quarantine_s`` is the length of the quarantine that began
    at ``updated_at``, 0 if none did.
    """

    updated_at: float
    quarantine_s: float = 0.0
    deaths: dict[_ids.DeathId, bool] = dataclasses.field(default_factory=dict)

    @property
    def uncleared(self) -> frozenset[_ids.DeathId]:
        """Deaths of which the request has not been cleared."""
        return frozenset(
            death
            for death, is_cleared in self.deaths.items()
            if not is_cleared
        )

    def remaining_s(self, now: float) -> float:
        """Return the seconds left in quarantine, 0 or less if it is over."""
        return self.updated_at + self.quarantine_s - now

    def merge(
        self, received: Suspicion, changed_at: float
    ) -> Suspicion | None:
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
        self._set_quarantine(changed_at)
        self.updated_at = max(self.updated_at, changed_at)
        return Suspicion(
            fingerprint=received.fingerprint, deaths=deaths, cleared=cleared
        )

    def _set_quarantine(self, changed_at: float) -> None:
        if len(self.uncleared) < DEATHS_TO_QUARANTINE:
            self.quarantine_s = 0.0
        elif not self.quarantine_s:
            self.quarantine_s = QUARANTINE_S
        elif self.remaining_s(changed_at) <= 0.0:
            self.quarantine_s = min(
                QUARANTINE_GROWTH * self.quarantine_s, MAX_QUARANTINE_S
            )

    def _forget_death(self) -> None:
        """Remove the oldest cleared death or, without one, the oldest."""
        oldest = next(iter(self.deaths))
        for death, is_cleared in self.deaths.items():
            if is_cleared:
                oldest = death
                break
        del self.deaths[oldest]
