"""Pending wake-ups of a node, ordered by time.

The core asks for none from its surroundings: the shell looks at ``next_at``
after each step and sends ``TimePassed`` when that moment has come.
"""

import dataclasses
import enum
import heapq


class TimerKind(enum.Enum):
    """What to do when a timer is due."""

    CALL_DEADLINE = enum.auto()
    CALL_HEDGE = enum.auto()
    QUEUE_WAIT = enum.auto()
    COLD_START = enum.auto()
    SERVER_PROBE = enum.auto()
    MEMBER_PROBE = enum.auto()
    PROBE_TIMEOUT = enum.auto()
    SUSPICION = enum.auto()
    NEWS = enum.auto()
    MEMBER_SYNC = enum.auto()
    MEMBER_REGISTER = enum.auto()
    CONFIG_READ = enum.auto()
    CONFIG_FETCH = enum.auto()
    STOP_STEP = enum.auto()


@dataclasses.dataclass(slots=True, kw_only=True)
class Timer:
    """One wake-up; ``subject`` names the call, attempt or member meant."""

    kind: TimerKind
    subject: str
    number: int
    is_cancelled: bool = False


class TimerQueue:
    """Heap of timers, some of which may have been cancelled.

    Nearly every call ends long before its deadline; a cancelled timer stays
    in the heap but never wakes the node.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._push_count = 0

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def next_at(self) -> float | None:
        """Time of the earliest timer, or None."""
        heap = self._heap
        while heap:
            at, _, timer = heap[0]
            if not timer.is_cancelled:
                return at
            heapq.heappop(heap)
        return None

    def set(
        self, at: float, kind: TimerKind, subject: str = "", number: int = 0
    ) -> Timer:
        """Add a timer; return it, so that it can be cancelled."""
        self._push_count += 1
        timer = Timer(kind=kind, subject=subject, number=number)
        heapq.heappush(self._heap, (at, self._push_count, timer))
        return timer

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the earliest timer that is due."""
        next_at = self.next_at
        if next_at is not None and next_at <= now:
            return heapq.heappop(self._heap)[2]
        return None
