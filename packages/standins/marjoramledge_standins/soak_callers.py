"""Callers of the soak on connections of their own.

Visitors open a connection, make some calls and go.  Stayers use theirs until
the other side ends it.  In a spell there are more visitors at one VM, and a
share of them leaves soon after sending.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random
import time
import typing

from marjoramledge_standins import raw_connections
from marjoramledge_standins import traffic

# Of each VM.
VISITS_PER_S: typing.Final = 3.0
# In a spell they come in groups, of a size between 1 and this.
SPELL_GROUPS_PER_S: typing.Final = 16.0
MAX_GROUP: typing.Final = 10
STAYERS: typing.Final = 2
MAX_CALLS: typing.Final = 7
PIPELINE_SHARE: typing.Final = 0.3
MAX_PIPELINED: typing.Final = 3
MAX_PAUSE_S: typing.Final = 0.3
LEAVES_WITHIN_S: typing.Final = 0.004
ORDER_SHARE: typing.Final = 0.5
# A node opens a connection for each order.
LEAVING_ORDER_SHARE: typing.Final = 0.8
REOPEN_S: typing.Final = 0.2
_ENDINGS: typing.Final = {
    raw_connections.Fate.CUT: traffic.Ending.LOST,
    raw_connections.Fate.NEW: traffic.Ending.CUT_NEW,
    raw_connections.Fate.USED: traffic.Ending.NOT_TAKEN,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """The callers' port of a VM."""

    host: str
    port: int

    @property
    def url(self) -> str:
        """URL of the port."""
        return f"http://{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Call:
    """One call, unlike any other in its path or its body."""

    name: str
    kind: traffic.CallKind

    def format_request(self) -> bytes:
        return raw_connections.format_request(
            method=self.kind.method,
            path=self.kind.path,
            host=self.kind.host,
            call=self.name,
            body=self.kind.body,
        )


class ConnectionCallers:
    """Visitors and stayers at the nodes of a deployment.

    Parameters
    ----------
    entries
        The callers' ports, by the number of the VM.
    kinds
        What they ask for; half of the calls are of those that run once,
        and more of the calls of those who leave.
    seed
        Seed of arrivals and choices.
    """

    def __init__(
        self,
        *,
        entries: collections.abc.Sequence[Entry],
        kinds: collections.abc.Sequence[traffic.CallKind],
        seed: int,
    ) -> None:
        self._entries = entries
        self._orders = [kind for kind in kinds if kind.runs_once]
        self._reads = [kind for kind in kinds if not kind.runs_once]
        self._rng = random.Random(seed)
        self._seed = seed
        self._calls = 0
        # Of the spells that last, by the number of the VM.
        self._shares: dict[int, list[float]] = {}
        self._results: list[traffic.CallResult] = []
        self._echoes: list[str] = []
        self._strays: list[str] = []
        self._arrivals: list[asyncio.Task[None]] = []
        self._stayers: list[asyncio.Task[None]] = []
        self._visits: set[asyncio.Task[None]] = set()
        self._are_staying = True

    @property
    def results(self) -> collections.abc.Sequence[traffic.CallResult]:
        """Calls that have ended so far."""
        return self._results

    @property
    def echoes(self) -> collections.abc.Sequence[str]:
        """Names of calls that the answers carried, one for each answer."""
        return self._echoes

    @property
    def strays(self) -> collections.abc.Sequence[str]:
        """Answers on connections where no call waited."""
        return self._strays

    def start(self) -> None:
        """Begin to call."""
        for number in range(len(self._entries)):
            self._arrivals.append(asyncio.create_task(self._arrive(number)))
            self._stayers.extend(
                asyncio.create_task(self._stay(number)) for _ in range(STAYERS)
            )

    @contextlib.contextmanager
    def leaving(
        self, number: int, share: float
    ) -> collections.abc.Iterator[None]:
        """Have more visitors at a VM, of which a share leaves soon."""
        self._shares.setdefault(number, []).append(share)
        try:
            yield
        finally:
            self._shares[number].remove(share)

    async def stop_visits(self) -> None:
        """Have no more visitors and wait for those there are."""
        for task in self._arrivals:
            task.cancel()
        await asyncio.gather(*self._arrivals, return_exceptions=True)
        await asyncio.gather(*self._visits)

    async def stop(self) -> None:
        """Make no more calls and wait for those that run."""
        await self.stop_visits()
        self._are_staying = False
        await asyncio.gather(*self._stayers)

    async def close(self) -> None:
        """Break off whatever still runs."""
        tasks = [*self._arrivals, *self._stayers, *self._visits]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _arrive(self, number: int) -> None:
        next_at = time.monotonic()
        while True:
            share = max(self._shares.get(number, ()), default=0.0)
            rate = SPELL_GROUPS_PER_S if share else VISITS_PER_S
            next_at += self._rng.expovariate(rate)
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            size = self._rng.randint(1, MAX_GROUP) if share else 1
            for _ in range(size):
                leaves = self._rng.random() < share
                visit = self._leave if leaves else self._visit
                task = asyncio.create_task(visit(number))
                self._visits.add(task)
                task.add_done_callback(self._visits.discard)

    async def _open(self, number: int) -> raw_connections.Connection | None:
        entry = self._entries[number]
        try:
            return await raw_connections.open_connection(
                host=entry.host, port=entry.port, note_answer=self._note_answer
            )
        except OSError:
            # While a node is down; the watch tells when it ought to listen.
            return None

    async def _visit(self, number: int) -> None:
        connection = await self._open(number)
        if connection is None:
            return
        left = self._rng.randint(1, MAX_CALLS)
        while left > 0 and connection.takes_calls:
            count = min(left, self._choose_count())
            await self._call(number, connection, count)
            left -= count
        await connection.close()

    async def _stay(self, number: int) -> None:
        while self._are_staying:
            connection = await self._open(number)
            if connection is None:
                await asyncio.sleep(REOPEN_S)
                continue
            while self._are_staying and connection.takes_calls:
                await self._call(number, connection, self._choose_count())
                await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))
            if self._are_staying:
                # What comes after the last answer is seen as well.
                async with _at_most(traffic.CALLER_TIMEOUT_S):
                    await connection.wait_for_end()
            await connection.close()

    async def _leave(self, number: int) -> None:
        connection = await self._open(number)
        if connection is None:
            return
        call = self._draw_call(number, LEAVING_ORDER_SHARE)
        started_at = time.monotonic()
        (future,) = connection.send([call.format_request()])
        await _wait_closely(self._rng.uniform(0.0, LEAVES_WITHIN_S))
        is_answered = future.done()
        await connection.close()
        if is_answered:
            self._note_result(number, call, started_at, future.result())
        else:
            ending = traffic.Ending.LEFT
            self._add_result(number, call, started_at, ending, "left soon")

    async def _call(
        self, number: int, connection: raw_connections.Connection, count: int
    ) -> None:
        """Send calls one behind the other and await their answers."""
        calls = [self._draw_call(number) for _ in range(count)]
        started_at = time.monotonic()
        futures = connection.send([call.format_request() for call in calls])
        await asyncio.wait(futures, timeout=traffic.CALLER_TIMEOUT_S)
        if not all(future.done() for future in futures):
            await connection.close()
        for call, future in zip(calls, futures, strict=True):
            self._note_result(number, call, started_at, await future)

    def _choose_count(self) -> int:
        if self._rng.random() < PIPELINE_SHARE:
            return self._rng.randint(2, MAX_PIPELINED)
        return 1

    def _draw_call(
        self, number: int, order_share: float = ORDER_SHARE
    ) -> _Call:
        """Draw a call; no other shares its fate for being the same."""
        self._calls += 1
        name = f"{self._seed}-{number}-{self._calls}"
        if self._rng.random() < order_share:
            kind = self._rng.choice(self._orders)
            body = kind.body.replace(b"}", b', "for": "%a"}' % name)
            return _Call(name=name, kind=dataclasses.replace(kind, body=body))
        kind = self._rng.choice(self._reads)
        path = f"{kind.path}?for={name}"
        return _Call(name=name, kind=dataclasses.replace(kind, path=path))

    def _note_answer(
        self, answer: raw_connections.Answer, is_waited_for: bool
    ) -> None:
        echo = answer.headers.get(traffic.CALL_HEADER)
        if echo is not None:
            self._echoes.append(echo)
        if not is_waited_for:
            self._strays.append(
                f"status {answer.status} with the name {echo} came "
                "where no call waited"
            )

    def _note_result(
        self,
        number: int,
        call: _Call,
        started_at: float,
        outcome: raw_connections.Outcome,
    ) -> None:
        if isinstance(outcome, raw_connections.Answer):
            ending, reason = traffic.judge_answer(
                call.name,
                call.kind,
                outcome.status,
                outcome.headers,
                outcome.content,
            )
        else:
            ending, reason = _ENDINGS[outcome.fate], outcome.reason
        self._add_result(number, call, started_at, ending, reason)

    def _add_result(
        self,
        number: int,
        call: _Call,
        started_at: float,
        ending: traffic.Ending,
        reason: str,
    ) -> None:
        self._results.append(
            traffic.CallResult(
                call=call.name,
                kind=call.kind,
                entry=self._entries[number].url,
                started_at=started_at,
                elapsed_s=time.monotonic() - started_at,
                ending=ending,
                reason=reason,
            )
        )


@contextlib.asynccontextmanager
async def _at_most(seconds: float) -> collections.abc.AsyncIterator[None]:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            yield


async def _wait_closely(seconds: float) -> None:
    """Wait more exactly than the event loop's timers do."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:  # noqa: ASYNC110
        await asyncio.sleep(0)
