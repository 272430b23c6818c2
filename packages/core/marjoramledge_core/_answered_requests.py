"""Requests that were answered recently.

A request that crashes each server which runs it is never answered.  One that
was answered is therefore not what ended a server, and is not to be blamed
when servers die for another reason while they run it.
"""

import typing

from marjoramledge_core import _ids

# An older answer may be that of other software.
ANSWERED_S: typing.Final = 60.0
# Bounds the memory; the requests that matter are frequent, so they stay.
MAX_REQUESTS: typing.Final = 512


class AnsweredRequests:
    """Bounded record of when requests were last answered."""

    def __init__(self) -> None:
        self._answered_at: dict[_ids.Fingerprint, float] = {}

    def note(self, fingerprint: _ids.Fingerprint, now: float) -> None:
        """Record the answer to a request."""
        self._answered_at.pop(fingerprint, None)
        self._answered_at[fingerprint] = now
        if len(self._answered_at) > MAX_REQUESTS:
            del self._answered_at[next(iter(self._answered_at))]

    def has(self, fingerprint: _ids.Fingerprint, now: float) -> bool:
        """Return whether a request was answered recently."""
        at = self._answered_at.get(fingerprint)
        return at is not None and now - at <= ANSWERED_S

    def forget(self) -> None:
        """Forget all requests."""
        self._answered_at.clear()
