"""Runs the core's state machine and dispatches its commands.

The engine owns the state, the clock, the random number generator and one
event loop timer for the core's next wake-up.  Commands for a call go to the
mailbox of the task that serves it, all others to the registered consumer.
"""

import asyncio
import collections.abc
import functools
import random
import typing

from marjoramledge_core import node

from marjoramledge_node import _faults
from marjoramledge_node import _mailbox

# A wake-up this late means that the event loop was blocked: one iteration of
# the loop normally takes a few milliseconds.
STALL_THRESHOLD_S: typing.Final = 0.05

Consumer = collections.abc.Callable[[typing.Any], None]


class Engine:
    """Owns a node's state, applies events to it and dispatches commands.

    Parameters
    ----------
    state
        State of a starting node.
    rng
        Random number generator for the node's decisions.
    clock
        Monotonic time in seconds; the clock that ``state`` was created with.
    """

    def __init__(
        self,
        *,
        state: node.NodeState,
        rng: random.Random,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self._state = state
        self._rng = rng
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._mailboxes: dict[str, _mailbox.Mailbox] = {}
        self._cancellers: dict[str, collections.abc.Callable[[], object]] = {}
        self._cancelled_early: set[str] = set()
        self._consumers: dict[type, Consumer] = {
            node.CancelAttempt: self._cancel_attempt
        }
        for command_type in (
            node.RunOnServer,
            node.SendToPeer,
            node.DeliverAnswer,
            node.RefuseCall,
        ):
            self._consumers[command_type] = self._post_to_call
        for attempt_command_type in (node.StartWork, node.RefuseWork):
            self._consumers[attempt_command_type] = self._post_to_attempt
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    @property
    def state(self) -> node.NodeState:
        """The node's state, which callers must not modify."""
        return self._state

    def now(self) -> float:
        """Return the current time of the clock, in seconds."""
        return self._clock()

    def connect(self, command: type, consumer: Consumer) -> None:
        """Register the consumer of one type of command."""
        self._consumers[command] = consumer

    def open_mailbox(self, owner: str) -> _mailbox.Mailbox:
        """Create the mailbox of a task that serves a call or an attempt."""
        mailbox = _mailbox.Mailbox()
        self._mailboxes[owner] = mailbox
        return mailbox

    def close_mailbox(self, owner: str) -> None:
        """Remove a task's mailbox and the cancellers of its attempts."""
        mailbox = self._mailboxes.pop(owner, None)
        if mailbox is not None:
            for attempt in mailbox.attempts:
                self.remove_canceller(attempt)

    def register_canceller(
        self, attempt: str, cancel: collections.abc.Callable[[], object]
    ) -> None:
        """Register the function that cancels a running attempt."""
        self._cancellers[attempt] = cancel

    def remove_canceller(self, attempt: str) -> None:
        """Remove the function that cancels an attempt."""
        self._cancellers.pop(attempt, None)
        self._cancelled_early.discard(attempt)

    def is_cancelled_early(self, attempt: str) -> bool:
        """Return whether an attempt was cancelled before it started."""
        return attempt in self._cancelled_early

    def submit(self, event: node.Event) -> None:
        """Apply an event to the state and dispatch the resulting commands."""
        now = self._clock()
        for command in node.handle(self._state, event, now, self._rng):
            self._consumers[type(command)](command)
        self._set_timer(now)

    def start(self) -> None:
        """Start the timed wake-ups of the state machine."""
        self.submit(node.TimePassed())

    def stop(self) -> None:
        """Stop the timed wake-ups."""
        if self._timer is not None:
            self._timer.cancel()

    def _set_timer(self, now: float) -> None:
        wakeup_at = node.next_wakeup(self._state)
        if wakeup_at is None:
            return
        if self._timer is not None:
            if self._timer_at <= wakeup_at:
                return
            self._timer.cancel()
        self._timer_at = wakeup_at
        self._timer = self._loop.call_later(
            max(0.0, wakeup_at - now), self._wake
        )

    def _wake(self) -> None:
        self._timer = None
        self._record_stall(self._clock() - self._timer_at)
        self.submit(node.TimePassed())

    def _record_stall(self, late_s: float) -> None:
        """Record that the event loop was blocked and a wake-up came late."""
        if late_s < STALL_THRESHOLD_S:
            return
        record = node.Record(
            kind=node.RecordKind.LOOP_STALLED,
            detail=f"a wake-up came {late_s:.3f} s late",
        )
        self._consumers[node.WriteRecord](node.WriteRecord(record=record))

    def _post_to_call(
        self,
        command: (
            node.RunOnServer
            | node.SendToPeer
            | node.DeliverAnswer
            | node.RefuseCall
        ),
    ) -> None:
        mailbox = self._mailboxes.get(command.call)
        if mailbox is None:
            return
        if isinstance(command, node.RunOnServer | node.SendToPeer):
            attempt = command.attempt
            mailbox.attempts.append(attempt)
            self.register_canceller(
                attempt, functools.partial(self._cancelled_early.add, attempt)
            )
        mailbox.put(command)

    def _post_to_attempt(
        self, command: node.StartWork | node.RefuseWork
    ) -> None:
        mailbox = self._mailboxes.get(command.attempt)
        if mailbox is not None:
            mailbox.put(command)

    def _cancel_attempt(self, command: node.CancelAttempt) -> None:
        cancel = self._cancellers.pop(command.attempt, None)
        if cancel is None:
            return
        try:
            cancel()
        except Exception as error:  # Dispatch of later commands must go on.
            _faults.report("cancelling an attempt failed", error)
