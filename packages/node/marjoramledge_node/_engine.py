"""Runs the node's state machine: events in, commands out to their tasks.

The engine owns the state, its clock and its random numbers, and one timer of
the event loop for the next wake-up that the core wants.  Each command goes to
the task that it is meant for: by mailbox to the task of a call, by the
registered consumer otherwise.
"""

import asyncio
import collections.abc
import functools
import random
import typing

from marjoramledge_core import node

from marjoramledge_node import _faults
from marjoramledge_node import _mailbox

# A wake-up that comes this late means that the event loop stood still: other
# work of one turn takes some milliseconds.
STALL_THRESHOLD_S: typing.Final = 0.05

Consumer = collections.abc.Callable[[typing.Any], None]


class Engine:
    """Owner of one node's state.

    Parameters
    ----------
    state
        State of a node that starts.
    rng
        Source of the randomness of its decisions.
    clock
        Monotonic time in seconds, the one that ``state`` was made with.
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
        """The node's state, to be read only."""
        return self._state

    def now(self) -> float:
        """Read the clock, in seconds."""
        return self._clock()

    def connect(self, command: type, consumer: Consumer) -> None:
        """Register the consumer of one kind of command."""
        self._consumers[command] = consumer

    def open_mailbox(self, owner: str) -> _mailbox.Mailbox:
        """Make the mailbox of a task that serves a call or an attempt."""
        mailbox = _mailbox.Mailbox()
        self._mailboxes[owner] = mailbox
        return mailbox

    def close_mailbox(self, owner: str) -> None:
        """Forget a task's mailbox and the attempts that it was given."""
        mailbox = self._mailboxes.pop(owner, None)
        if mailbox is not None:
            for attempt in mailbox.attempts:
                self.remove_canceller(attempt)

    def register_canceller(
        self, attempt: str, cancel: collections.abc.Callable[[], object]
    ) -> None:
        """Register what breaks off an attempt."""
        self._cancellers[attempt] = cancel

    def remove_canceller(self, attempt: str) -> None:
        """Forget what breaks off an attempt."""
        self._cancellers.pop(attempt, None)
        self._cancelled_early.discard(attempt)

    def is_cancelled_early(self, attempt: str) -> bool:
        """Tell whether an attempt was cancelled before its task began it."""
        return attempt in self._cancelled_early

    def submit(self, event: node.Event) -> None:
        """Take a step and pass on the commands that follow."""
        now = self._clock()
        for command in node.handle(self._state, event, now, self._rng):
            self._consumers[type(command)](command)
        self._set_timer(now)

    def start(self) -> None:
        """Begin to wake the state machine at the times that it wants."""
        self.submit(node.TimePassed())

    def stop(self) -> None:
        """End the wake-ups."""
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
        """Record that the event loop came late to a wake-up."""
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
        except Exception as error:  # The other commands must be passed on.
            _faults.report("an attempt could not be cancelled", error)
