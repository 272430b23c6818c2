"""Timer queue of a node.

The core itself sets no event loop timers: the environment adapters call
``next_wakeup`` after each step and submit ``TimePassed`` when that time is
reached.
"""

import dataclasses
import enum
import heapq


class TimerKind(enum.Enum):
    """What a timer triggers when it expires."""

    CALL_DEADLINE = enum.auto()
    CALL_HEDGE = enum.auto()
    QUEUE_WAIT = enum.auto()
    RATE_START = enum.auto()
    SERVER_PROBE = enum.auto()
    MEMBER_PROBE = enum.auto()
    PROBE_TIMEOUT = enum.auto()
    SUSPICION = enum.auto()
    SEND_UPDATES = enum.auto()
    MEMBER_SYNC = enum.auto()
    MEMBER_REGISTER = enum.auto()
    CONFIG_READ = enum.auto()
    CONFIG_FETCH = enum.auto()
    CONFIRMATION = enum.auto()
    ROLLOUT_TICK = enum.auto()
    STOP_STEP = enum.auto()
    QUOTA_ASK = enum.auto()
    QUOTA_POLL = enum.auto()


@dataclasses.dataclass(slots=True, kw_only=True)
class Timer:
    """A pending timer.

    ``subject`` is the identifier of the call, attempt or member that the
    timer concerns, and ``number`` an argument for the timer's handler.
    """

    kind: TimerKind
    subject: str
    number: int
    is_cancelled: bool = False


class TimerQueue:
    """Heap of timers with lazy deletion of cancelled ones.

    Nearly every call ends long before its deadline, so most timers are
    cancelled.  A cancelled timer stays in the heap until it reaches the top,
    but never wakes the node.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._push_count = 0

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def next_at(self) -> float | None:
        """Expiry time of the earliest active timer, or None."""
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
        """Add a timer that expires at ``at``; return it for cancellation."""
        self._push_count += 1
        timer = Timer(kind=kind, subject=subject, number=number)
        heapq.heappush(self._heap, (at, self._push_count, timer))
        return timer

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the earliest expired timer, or None."""
        next_at = self.next_at
        if next_at is not None and next_at <= now:
            return heapq.heappop(self._heap)[2]
        return None
