"""Command queue of one task.

A task that serves a call owns its sockets, and the engine controls the task
by putting commands into its mailbox.  Getting a command that is already
queued does not yield to the event loop.
"""

import asyncio
import collections
import collections.abc

from marjoramledge_core import node


class Mailbox:
    """Queue of commands for one task.

    ``attempts`` lists all attempts that the task has received so far.
    ``on_hedge`` is called with each command to send a hedge.
    """

    def __init__(self) -> None:
        self._commands: collections.deque[node.Command] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None
        self.attempts: list[str] = []
        self.on_hedge: (
            collections.abc.Callable[[node.SendToPeer], None] | None
        ) = None

    def put(self, command: node.Command) -> None:
        """Queue a command and wake the task.

        A hedge is not queued, since the task is busy waiting for the first
        attempt.  It goes to ``on_hedge``, which starts a separate task.
        """
        if isinstance(command, node.SendToPeer) and command.is_hedge:
            if self.on_hedge is not None:
                self.on_hedge(command)
            return
        self._commands.append(command)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def get(self) -> node.Command:
        """Wait for the next command and remove it."""
        while not self._commands:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self._commands.popleft()

    def pop_all(self) -> list[node.Command]:
        """Remove and return all queued commands."""
        commands = list(self._commands)
        self._commands.clear()
        return commands
