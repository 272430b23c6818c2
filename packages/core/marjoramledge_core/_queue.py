"""Short queue of calls that wait for a slot of a backend server.

The gate owns one.  Order is by priority, then by arrival.  It is bounded in
length and in time, because a call that waits here could be served elsewhere.
Every ``OLDEST_FIRST_INTERVAL``-th call taken is the one that has waited longest whatever
its priority, so that no class starves for ever.
"""

import collections
import collections.abc
import dataclasses
import math
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _settings

OLDEST_FIRST_INTERVAL: typing.Final = 20


@dataclasses.dataclass(slots=True, kw_only=True)
class Work:
    """A call at a gate, from its offer to its end.

    ``call`` is set when the call entered at this same node.  ``target_at`` is
    when its answer must be there to be worth its full value.  ``prefers_queueing``
    tells that the call has nowhere else to go and rather waits than comes
    back.  ``running`` and ``slowdown`` are the calls that ran when it
    started, itself included, and how many times slower the VM was then.
    """

    attempt: _ids.AttemptId
    call: _ids.CallId | None
    kind: _settings.RequestKind
    prefers_queueing: bool
    fingerprint: _ids.Fingerprint
    deadline_at: float
    offered_at: float
    target_at: float = math.inf
    started_at: float = 0.0
    running: int = 0
    slowdown: float = 1.0
    is_suspect: bool = False


class WorkQueue:
    """Bounded queue by priority.

    Parameters
    ----------
    capacity
        Calls that may wait at once.
    """

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._lanes: dict[_settings.Priority, collections.deque[Work]] = {
            priority: collections.deque() for priority in _settings.Priority
        }
        self._length = 0
        self._popped = 0

    def __len__(self) -> int:
        return self._length

    def resize(self, capacity: int) -> None:
        """Change the capacity; calls that wait already stay."""
        self._capacity = capacity

    def push(self, work: Work) -> Work | None:
        """Add a call; return the one that has to give way, if any.

        When the queue is full, the youngest call of the lowest class gives
        way, which may be the new one.
        """
        self._lanes[work.kind.priority].append(work)
        self._length += 1
        if self._length <= self._capacity:
            return None
        for priority in reversed(_settings.Priority):
            if self._lanes[priority]:
                self._length -= 1
                return self._lanes[priority].pop()
        raise AssertionError("a full queue holds no work")

    def pop_next(
        self, is_ready: collections.abc.Callable[[Work], bool] | None = None
    ) -> Work | None:
        """Remove the call to run next, among those that are ready."""
        ready = [
            next(filter(is_ready, lane), None) for lane in self._lanes.values()
        ]
        heads = [work for work in ready if work is not None]
        if not heads:
            return None
        self._popped += 1
        work = heads[0]
        if self._popped % OLDEST_FIRST_INTERVAL == 0:
            work = min(heads, key=lambda waiting: waiting.offered_at)
        self._lanes[work.kind.priority].remove(work)
        self._length -= 1
        return work

    def remove(self, work: Work) -> bool:
        """Remove one call that waits; false when it does not."""
        try:
            self._lanes[work.kind.priority].remove(work)
        except ValueError:
            return False
        self._length -= 1
        return True

    def drain(self) -> list[Work]:
        """Remove and return all calls that wait."""
        waiting = [work for lane in self._lanes.values() for work in lane]
        for lane in self._lanes.values():
            lane.clear()
        self._length = 0
        return waiting
