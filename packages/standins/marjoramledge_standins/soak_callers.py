"""Callers of the soak that open connections of their own.

Visitors open a connection, make some calls and close it.  Stayers use theirs
until the node closes it.  A burst sends more visitors to one VM, and a share
of them disconnects soon after sending.
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

# At each VM.
VISITS_PER_S: typing.Final = 3.0
# In a burst, visitors arrive in groups of 1 to MAX_GROUP.
BURST_GROUPS_PER_S: typing.Final = 16.0
MAX_GROUP: typing.Final = 10
STAYERS: typing.Final = 2
MAX_CALLS: typing.Final = 7
PIPELINE_SHARE: typing.Final = 0.3
MAX_PIPELINED: typing.Final = 3
MAX_PAUSE_S: typing.Final = 0.3
LEAVES_WITHIN_S: typing.Final = 0.004
ORDER_SHARE: typing.Final = 0.5
# Share of calls that run once among the callers that disconnect early; the
# node opens a connection for each of these calls.
LEAVING_ORDER_SHARE: typing.Final = 0.8
REOPEN_S: typing.Final = 0.2
_ENDINGS: typing.Final = {
    raw_connections.FailureKind.CUT: traffic.Ending.LOST,
    raw_connections.FailureKind.NEW: traffic.Ending.CUT_NEW,
    raw_connections.FailureKind.USED: traffic.Ending.NOT_TAKEN,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """The address of a VM's port for callers."""

    host: str
    port: int

    @property
    def url(self) -> str:
        """Return the URL of the port."""
        return f"http://{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Call:
    """A call whose path or body differs from that of any other call."""

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
    """Runs visitors and stayers against the nodes of a deployment.

    Parameters
    ----------
    entries
        The callers' ports, by the number of the VM.
    kinds
        The kinds of calls; half of the calls must run only once, and more
        of those whose callers disconnect early.
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
        # Shares of leaving callers in the current bursts, by VM number.
        self._shares: dict[int, list[float]] = {}
        self._results: list[traffic.CallResult] = []
        self._echoes: list[str] = []
        self._strays: list[str] = []
        self._arrivals: list[asyncio.Task[None]] = []
        self._stayers: list[asyncio.Task[None]] = []
        self._visits: set[asyncio.Task[None]] = set()
        self._keeps_staying = True

    @property
    def results(self) -> collections.abc.Sequence[traffic.CallResult]:
        """Return the calls that have ended so far."""
        return self._results

    @property
    def echoes(self) -> collections.abc.Sequence[str]:
        """Return the call ID of each answer received."""
        return self._echoes

    @property
    def strays(self) -> collections.abc.Sequence[str]:
        """Return the answers on connections without a pending call."""
        return self._strays

    def start(self) -> None:
        """Start making calls."""
        for number in range(len(self._entries)):
            self._arrivals.append(asyncio.create_task(self._arrive(number)))
            self._stayers.extend(
                asyncio.create_task(self._stay(number)) for _ in range(STAYERS)
            )

    @contextlib.contextmanager
    def leaving(
        self, number: int, share: float
    ) -> collections.abc.Iterator[None]:
        """Send a VM more visitors, a share of which disconnects early."""
        self._shares.setdefault(number, []).append(share)
        try:
            yield
        finally:
            self._shares[number].remove(share)

    async def stop_visits(self) -> None:
        """Stop new visits and wait for the current ones."""
        for task in self._arrivals:
            task.cancel()
        await asyncio.gather(*self._arrivals, return_exceptions=True)
        await asyncio.gather(*self._visits)

    async def stop(self) -> None:
        """Stop making calls and wait for those in flight."""
        await self.stop_visits()
        self._keeps_staying = False
        await asyncio.gather(*self._stayers)

    async def close(self) -> None:
        """Abort all visits and calls in flight."""
        tasks = [*self._arrivals, *self._stayers, *self._visits]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _arrive(self, number: int) -> None:
        next_at = time.monotonic()
        while True:
            share = max(self._shares.get(number, ()), default=0.0)
            rate = BURST_GROUPS_PER_S if share else VISITS_PER_S
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
                host=entry.host, port=entry.port, on_answer=self._on_answer
            )
        except OSError:
            # The node is down; ``soak_watch`` checks that running nodes
            # accept connections.
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
        while self._keeps_staying:
            connection = await self._open(number)
            if connection is None:
                await asyncio.sleep(REOPEN_S)
                continue
            while self._keeps_staying and connection.takes_calls:
                await self._call(number, connection, self._choose_count())
                await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))
            if self._keeps_staying:
                # Stray answers may follow the last expected answer.
                async with _limit_time(traffic.CALLER_TIMEOUT_S):
                    await connection.wait_for_end()
            await connection.close()

    async def _leave(self, number: int) -> None:
        connection = await self._open(number)
        if connection is None:
            return
        call = self._draw_call(number, LEAVING_ORDER_SHARE)
        started_at = time.monotonic()
        (future,) = connection.send([call.format_request()])
        await _wait_precisely(self._rng.uniform(0.0, LEAVES_WITHIN_S))
        is_answered = future.done()
        await connection.close()
        if is_answered:
            self._record_result(number, call, started_at, future.result())
        else:
            ending = traffic.Ending.LEFT
            self._add_result(
                number,
                call,
                started_at,
                ending,
                "disconnected before the answer",
            )

    async def _call(
        self, number: int, connection: raw_connections.Connection, count: int
    ) -> None:
        """Send pipelined calls and wait for their answers."""
        calls = [self._draw_call(number) for _ in range(count)]
        started_at = time.monotonic()
        futures = connection.send([call.format_request() for call in calls])
        await asyncio.wait(futures, timeout=traffic.CALLER_TIMEOUT_S)
        if not all(future.done() for future in futures):
            await connection.close()
        for call, future in zip(calls, futures, strict=True):
            self._record_result(number, call, started_at, await future)

    def _choose_count(self) -> int:
        if self._rng.random() < PIPELINE_SHARE:
            return self._rng.randint(2, MAX_PIPELINED)
        return 1

    def _draw_call(
        self, number: int, order_share: float = ORDER_SHARE
    ) -> _Call:
        """Draw a call with a unique path or body.

        The outcome of a call could otherwise affect identical ones.
        """
        self._calls += 1
        name = f"{self._seed}-{number}-{self._calls}"
        if self._rng.random() < order_share:
            kind = self._rng.choice(self._orders)
            body = kind.body.replace(b"}", b', "for": "%a"}' % name)
            return _Call(name=name, kind=dataclasses.replace(kind, body=body))
        kind = self._rng.choice(self._reads)
        path = f"{kind.path}?for={name}"
        return _Call(name=name, kind=dataclasses.replace(kind, path=path))

    def _on_answer(
        self, answer: raw_connections.Answer, is_expected: bool
    ) -> None:
        echo = answer.headers.get(traffic.CALL_HEADER)
        if echo is not None:
            self._echoes.append(echo)
        if not is_expected:
            self._strays.append(
                f"answer with status {answer.status} and call ID {echo} "
                "without a pending call"
            )

    def _record_result(
        self,
        number: int,
        call: _Call,
        started_at: float,
        outcome: raw_connections.Outcome,
    ) -> None:
        if isinstance(outcome, raw_connections.Answer):
            ending, reason = traffic.classify_answer(
                call.name,
                call.kind,
                outcome.status,
                outcome.headers,
                outcome.content,
            )
        else:
            ending, reason = _ENDINGS[outcome.failure], outcome.reason
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
async def _limit_time(seconds: float) -> collections.abc.AsyncIterator[None]:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            yield


async def _wait_precisely(seconds: float) -> None:
    """Wait more precisely than with the event loop's timers."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:  # noqa: ASYNC110
        await asyncio.sleep(0)
