"""Protection against replayed membership messages.

Each run (process lifetime) of a sender numbers its messages.  For each run, a
receiver stores the greatest number received and a window of the numbers just
below it, since messages may arrive out of order.  Messages that are older than
the window, or were received before, are rejected (the anti-replay window of
RFC 4303, appendix A).  State is bounded: the run that has been silent for
longest is removed first.
"""

import typing

WINDOW: typing.Final = 1024
MAX_RUNS: typing.Final = 4096


class ReplayGuard:
    """Message numbers received from each run of each sender."""

    def __init__(self) -> None:
        # By run: the greatest number, and a bit mask in which bit ``i`` is set
        # if the number ``greatest - i`` was received.
        self._runs: dict[str, tuple[int, int]] = {}
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of messages that were rejected."""
        return self._dropped

    def accept(self, run: str, number: int) -> bool:
        """Return whether a message is new, and record its number."""
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
