"""Keeps a departure of the backend server where it outlives this process.

A departure that has been acknowledged must hold after a restart of this node,
also while the store is unavailable.  It is therefore acknowledged once the
store has it, or once some peers hold this node's record, which names it: a
process that takes this one's place gets the record back from any node.  A
store that comes back from an older copy may have lost it; it is then written
again.
"""

import asyncio
import collections
import collections.abc
import contextlib
import random
import typing

import loguru
from marjoramledge_core import ids
from marjoramledge_core import node

from marjoramledge_node import _engine

# How long peers are not asked, since the store usually answers within this
# time.  Backend servers wait 1 s for an acknowledgement.
STORE_HEAD_START_S: typing.Final = 0.25
HOLD_TIMEOUT_S: typing.Final = 0.5
# Peers that are asked to hold a departure, and those that must confirm it.
MAX_HOLDERS: typing.Final = 8
MIN_HOLDERS: typing.Final = 2
# A departure is written until the store accepts it, or for longer than a
# leaving server runs.
MAX_WRITES: typing.Final = 40
FIRST_WRITE_PAUSE_S: typing.Final = 1.0
MAX_WRITE_PAUSE_S: typing.Final = 4.0
# Interval at which departures are written again to a restored store.
REWRITE_INTERVAL_S: typing.Final = 0.1
# Departures that are written concurrently; each server has one.
MAX_WRITERS: typing.Final = 16

DepartureWriter = collections.abc.Callable[
    [node.ServerStart], collections.abc.Awaitable[bool]
]
RecordSender = collections.abc.Callable[
    [node.Address], collections.abc.Coroutine[None, None, bool]
]
T = typing.TypeVar("T")


class DepartureKeeper:
    """Writes departures to the store, or has peers hold them.

    Parameters
    ----------
    engine
        The node's engine.
    write_departure
        Writes a departure to the store; returns whether it succeeded.  None
        if there is no store.
    send_record
        Sends this node's member record to a peer; returns whether the peer
        confirmed it.
    """

    def __init__(
        self,
        *,
        engine: _engine.Engine,
        write_departure: DepartureWriter | None,
        send_record: RecordSender,
    ) -> None:
        self._engine = engine
        self._write_departure = write_departure
        self._send_record = send_record
        self._kept: node.ServerStart | None = None
        self._stored: node.ServerStart | None = None
        # The latest that the store has confirmed of each server, in case
        # that it loses some.
        self._confirmed: dict[ids.ServerId, node.ServerStart] = {}
        self._writers: dict[node.ServerStart, asyncio.Future[bool]] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    async def keep(self, server: node.ServerStart) -> bool:
        """Keep a departure; return False if nobody else has it yet."""
        if not server.server or server in (self._kept, self._stored):
            # A leaving server repeats its announcement.
            return True
        is_written = await self._is_written_soon(server)
        if is_written or await self._is_held(server):
            self._kept = server
            return True
        return server == self._stored

    def write(self, server: node.ServerStart) -> None:
        """Write a departure to the store, again after each failure."""
        is_known = server == self._stored or server in self._writers
        if self._write_departure is None or is_known:
            return
        if len(self._writers) >= MAX_WRITERS:
            loguru.logger.bind(event="departure-not-stored").warning(
                "too many departures are being written; {} is left out", server
            )
            return
        self._writers[server] = asyncio.get_running_loop().create_future()
        self._start(self._write_until_stored(server, self._write_departure))

    async def rewrite(self, recalled: node.ServerStart | None = None) -> None:
        """Write the confirmed departures again: the store has lost some.

        ``recalled`` is one that a process before this one has confirmed.
        """
        self._stored = None
        if recalled is not None and recalled.server:
            self._confirmed.setdefault(recalled.server, recalled)
        for server in list(self._confirmed.values()):
            self.write(server)
            await asyncio.sleep(REWRITE_INTERVAL_S)

    async def close(self) -> None:
        """Cancel the running tasks and wait for them to end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _is_written_soon(self, server: node.ServerStart) -> bool:
        """Return whether the first write ends with success at once."""
        self.write(server)
        written = self._writers.get(server)
        if written is None:
            return server == self._stored
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STORE_HEAD_START_S):
                return await asyncio.shield(written)
        return False

    def _note_stored(self, server: node.ServerStart) -> None:
        self._stored = server
        self._confirmed.pop(server.server, None)
        self._confirmed[server.server] = server
        while len(self._confirmed) > MAX_WRITERS:
            del self._confirmed[next(iter(self._confirmed))]

    async def _write_until_stored(
        self, server: node.ServerStart, write_departure: DepartureWriter
    ) -> None:
        first = self._writers[server]
        try:
            pause_s = FIRST_WRITE_PAUSE_S
            for _ in range(MAX_WRITES):
                is_stored = await write_departure(server)
                if is_stored:
                    self._note_stored(server)
                if not first.done():
                    first.set_result(is_stored)
                if is_stored:
                    return
                await asyncio.sleep(pause_s)
                pause_s = min(MAX_WRITE_PAUSE_S, 2.0 * pause_s)
            loguru.logger.bind(event="departure-not-stored").warning(
                "the departure of {} could not be stored", server
            )
        finally:
            if not first.done():
                first.set_result(False)
            del self._writers[server]

    async def _is_held(self, server: node.ServerStart) -> bool:
        """Return whether enough peers confirm that they hold a departure."""
        peers = self._pick_holders()
        if not peers:
            # Without a store and peers, no other process could know.
            return self._write_departure is None
        needed = min(MIN_HOLDERS, len(peers))
        confirmed = 0
        tasks = [self._start(self._send_record(peer)) for peer in peers]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HOLD_TIMEOUT_S):
                for finished in asyncio.as_completed(tasks):
                    confirmed += bool(await finished)
                    if confirmed >= needed:
                        break
        loguru.logger.bind(
            event="departure-held",
            server=server.server,
            born=server.born,
            confirmed=confirmed,
            asked=len(peers),
        ).info("asked peers to hold the backend server's departure")
        return confirmed >= needed

    def _pick_holders(self) -> list[node.Address]:
        """Pick peers at random, spread over the availability zones."""
        membership = self._engine.state.membership
        others = [
            member
            for member in membership.members.values()
            if member.node != membership.myself.node
            and member.status is node.MemberStatus.ALIVE
        ]
        random.shuffle(others)
        seen: collections.Counter[ids.ZoneName] = collections.Counter()
        ranked = []
        for member in others:
            ranked.append((seen[member.zone], member.address))
            seen[member.zone] += 1
        ranked.sort(key=lambda entry: entry[0])
        return [address for _, address in ranked[:MAX_HOLDERS]]

    def _start(
        self, operation: collections.abc.Coroutine[None, None, T]
    ) -> asyncio.Task[T]:
        task = asyncio.create_task(operation)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
