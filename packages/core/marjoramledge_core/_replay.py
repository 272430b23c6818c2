"""Recognises messages that are sent a second time by somebody else.

Each run of a sender numbers what it sends.  A receiver keeps, for each run,
the greatest number seen and a window of those just below it, since messages
may overtake one another; whatever is older, or was seen, is dropped (the
anti-replay window of RFC 4303, appendix A).  State is bounded: the run that
has been silent longest is forgotten first.
"""

import typing

WINDOW: typing.Final = 1024
MAX_RUNS: typing.Final = 4096


class ReplayGuard:
    """Numbers seen of each run of each sender."""

    def __init__(self) -> None:
        # The greatest number, and a bit for each of those below it.
        self._runs: dict[str, tuple[int, int]] = {}
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Messages that were refused."""
        return self._dropped

    def accept(self, run: str, number: int) -> bool:
        """Tell whether a message is new, and remember it."""
        greatest, seen = self._runs.pop(run, (number - 1, 0))
        offset = greatest - number
        if offset >= WINDOW or (offset >= 0 and seen >> offset & 1):
            self._runs[run] = (greatest, seen)
            self._dropped += 1
            return False
        if offset < 0:
            seen = (seen << -offset if -offset < WINDOW else 0) | 1
            seen &= (1 << WINDOW) - 1
            greatest = number
        else:
            seen |= 1 << offset
        self._runs[run] = (greatest, seen)
        if len(self._runs) > MAX_RUNS:
            del self._runs[next(iter(self._runs))]
        return True
