"""Messages to one task.

A task that serves a call owns its sockets; the engine tells it what to do by
putting commands into its mailbox.  Taking a command that is already there
costs no turn of the event loop.
"""

import asyncio
import collections
import collections.abc

from marjoramledge_core import node


class Mailbox:
    """Commands that wait for one task.

    ``attempts`` lists the attempts that the task was given so far.
    """

    def __init__(self) -> None:
        self._commands: collections.deque[node.Command] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None
        self.attempts: list[str] = []
        self.on_hedge: (
            collections.abc.Callable[[node.SendToPeer], None] | None
        ) = None

    def put(self, command: node.Command) -> None:
        """Add a command and wake the task.

        A hedge can't wait for the task, which awaits the first attempt; it
        goes to ``on_hedge``, which starts a task of its own for it.
        """
        if isinstance(command, node.SendToPeer) and command.is_hedge:
            if self.on_hedge is not None:
                self.on_hedge(command)
            return
        self._commands.append(command)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def get(self) -> node.Command:
        """Take the next command, waiting for it."""
        while not self._commands:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self._commands.popleft()

    def pop_all(self) -> list[node.Command]:
        """Take every command that waits."""
        commands = list(self._commands)
        self._commands.clear()
        return commands
