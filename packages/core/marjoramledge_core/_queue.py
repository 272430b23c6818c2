"""Bounded priority queue of calls that wait at a gate.

Calls are ordered by priority, then by arrival.  The queue is short, and the
gate bounds the waiting time, because a queued call could be served by another
backend server instead.  Every ``OLDEST_FIRST_INTERVAL``-th call removed is
the one that has waited longest, whatever its priority, so that low priorities
do not starve.
"""

import collections
import collections.abc
import dataclasses
import math
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _settings

# Longest time that any call may be queued.
MAX_QUEUE_WAIT_S: typing.Final = 0.25
OLDEST_FIRST_INTERVAL: typing.Final = 20


@dataclasses.dataclass(slots=True, kw_only=True)
class Work:
    """A call at a gate, from its offer to its end.

    Attributes
    ----------
    call
        Set if the call entered at this node, None if a peer offered it.
    prefers_queueing
        Whether to queue the call rather than refuse it early, because its
        entry node cannot send it to another server.
    target_at
        Time by which the answer keeps its full value (the latency target).
    running
        Calls that ran when this one started, itself included.
    slowdown
        Slowdown factor of the VM when this call started.
    is_suspect
        Whether the request is suspected of crashing backend servers.
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
    """Bounded queue ordered by priority.

    Parameters
    ----------
    capacity
        Number of calls that the queue holds at most.
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
        """Change the capacity; calls already queued stay."""
        self._capacity = capacity

    def push(self, work: Work) -> Work | None:
        """Add a call; return the call that is displaced, if any.

        If the queue is full, the newest call of the lowest priority present
        is removed, which may be the one just added.
        """
        self._lanes[work.kind.priority].append(work)
        self._length += 1
        if self._length <= self._capacity:
            return None
        for priority in reversed(_settings.Priority):
            if self._lanes[priority]:
                self._length -= 1
                return self._lanes[priority].pop()
        raise AssertionError("queue over capacity has no call to displace")

    def pop_next(
        self, is_ready: collections.abc.Callable[[Work], bool] | None = None
    ) -> Work | None:
        """Remove and return the next call for which ``is_ready`` holds."""
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
        """Remove a call; return whether it was queued."""
        try:
            self._lanes[work.kind.priority].remove(work)
        except ValueError:
            return False
        self._length -= 1
        return True

    def drain(self) -> list[Work]:
        """Remove and return all queued calls."""
        waiting = [work for lane in self._lanes.values() for work in lane]
        for lane in self._lanes.values():
            lane.clear()
        self._length = 0
        return waiting
