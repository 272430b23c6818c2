"""Generates open-loop traffic and records the outcome of each call.

Arrivals don't wait for answers, so a slow system doesn't lower the load.  A
caller whose connection is refused tries another node, as a client with
several addresses does; nothing else is retried.
"""

import asyncio
import collections.abc
import dataclasses
import enum
import hashlib
import json
import random
import time
import types
import typing

import aiohttp

from marjoramledge_standins import backend_server

CALLER_TIMEOUT_S: typing.Final = 20.0
MAX_ENTRY_TRIES: typing.Final = 4
# Carries the call ID; backend servers echo it in their answers.
CALL_HEADER: typing.Final = backend_server.CALL_HEADER
# When callers that leave early disconnect: some before and some while their
# call runs.
LEAVES_AFTER_S: typing.Final = (0.001, 0.05)


class Ending(enum.Enum):
    """The outcome of a call as its caller sees it."""

    ANSWERED = "answered"
    REFUSED_NOT_RUN = "refused-not-run"
    MAY_HAVE_RUN = "may-have-run"
    SERVER_ERROR = "server-error"
    WRONG_ANSWER = "wrong-answer"
    LOST = "lost"
    LEFT = "left"
    # The connection ended before any byte of the answer: NOT_TAKEN for a
    # reused connection, CUT_NEW for a new one.
    NOT_TAKEN = "not-taken"
    CUT_NEW = "cut-new"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallKind:
    """A kind of request that callers send."""

    name: str
    host: str
    method: str
    path: str
    weight: float
    body: bytes = b""
    runs_once: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallResult:
    """A finished call; times are monotonic seconds of this machine.

    ``entry`` is the URL of the node that it was last sent to.
    """

    call: str
    kind: CallKind
    entry: str
    started_at: float
    elapsed_s: float
    ending: Ending
    reason: str


@dataclasses.dataclass(slots=True)
class _ConnectionUse:
    """Properties of the connection that a call was sent on."""

    is_reused: bool = False


def _trace_reuse() -> aiohttp.TraceConfig:
    """Return a trace that records whether a request reuses a connection."""

    async def record_reuse(
        _session: aiohttp.ClientSession,
        context: types.SimpleNamespace,
        _params: aiohttp.TraceConnectionReuseconnParams,
    ) -> None:
        context.trace_request_ctx.is_reused = True

    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(record_reuse)
    return trace


class Callers:
    """Sends calls to the nodes of a deployment.

    Parameters
    ----------
    urls
        URLs of the nodes; may be changed while callers run.
    kinds
        Kinds of requests to send.
    calls_per_s
        Mean rate of the Poisson arrivals.
    seed
        Seed of arrivals and choices.
    takes_turns
        Whether calls go to the URLs in turn instead of at random.
    leave_share
        Share of the calls whose callers disconnect before the answer.
    """

    def __init__(
        self,
        *,
        urls: collections.abc.Sequence[str],
        kinds: collections.abc.Sequence[CallKind],
        calls_per_s: float,
        seed: int,
        takes_turns: bool = False,
        leave_share: float = 0.0,
    ) -> None:
        self._leave_share = leave_share
        self.urls = list(urls)
        self._kinds = kinds
        self._weights = [kind.weight for kind in kinds]
        self._calls_per_s = calls_per_s
        self._rng = random.Random(seed)
        self._seed = seed
        self._takes_turns = takes_turns
        self._turn = 0
        self._results: list[CallResult] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S),
            trace_configs=[_trace_reuse()],
        )
        # Otherwise aiohttp resends a read itself, and a refusal of the second
        # attempt says nothing about the first.
        self._session._retry_connection = False
        self._arrivals: asyncio.Task[None] | None = None

    @property
    def results(self) -> collections.abc.Sequence[CallResult]:
        """Return the calls that have ended so far."""
        return self._results

    def start(self) -> None:
        """Start making calls."""
        self._arrivals = asyncio.create_task(self._arrive())

    async def stop(self) -> None:
        """Stop making calls and wait for those in flight."""
        if self._arrivals is not None:
            self._arrivals.cancel()
        await asyncio.gather(*self._tasks)
        await self._session.close()

    async def close(self) -> None:
        """Abort all calls in flight."""
        if self._arrivals is not None:
            self._arrivals.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()

    async def _arrive(self) -> None:
        number = 0
        next_at = time.monotonic()
        while True:
            next_at += self._rng.expovariate(self._calls_per_s)
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            (kind,) = self._rng.choices(self._kinds, self._weights)
            task = asyncio.create_task(
                self._call(f"{self._seed}-{number}", kind)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            number += 1

    async def _call(self, call: str, kind: CallKind) -> None:
        started_at = time.monotonic()
        ending, reason = Ending.LOST, "no node accepted the connection"
        timeout_s = CALLER_TIMEOUT_S
        if self._rng.random() < self._leave_share:
            timeout_s = self._rng.uniform(*LEAVES_AFTER_S)
        entry = ""
        for entry in self._choose_urls():
            try:
                async with asyncio.timeout(timeout_s):
                    ending, reason = await self._send(entry, call, kind)
                break
            except TimeoutError:
                if timeout_s < CALLER_TIMEOUT_S:
                    ending, reason = Ending.LEFT, "caller disconnected early"
                else:
                    ending, reason = (
                        Ending.LOST,
                        "no answer within the timeout",
                    )
                break
            except aiohttp.ClientConnectorError:
                continue
            except (aiohttp.ClientError, OSError) as error:
                ending, reason = Ending.LOST, repr(error)
                break
        self._results.append(
            CallResult(
                call=call,
                kind=kind,
                entry=entry,
                started_at=started_at,
                elapsed_s=time.monotonic() - started_at,
                ending=ending,
                reason=reason,
            )
        )

    def _choose_urls(self) -> list[str]:
        """Choose the entries that a caller tries in order, each once."""
        count = min(MAX_ENTRY_TRIES, len(self.urls))
        if not self._takes_turns:
            return self._rng.sample(self.urls, count)
        self._turn += 1
        return [
            self.urls[(self._turn + number) % len(self.urls)]
            for number in range(count)
        ]

    async def _send(
        self, entry: str, call: str, kind: CallKind
    ) -> tuple[Ending, str]:
        connection_use = _ConnectionUse()
        try:
            response = await self._session.request(
                kind.method,
                entry + kind.path,
                data=kind.body or None,
                headers={"Host": kind.host, CALL_HEADER: call},
                trace_request_ctx=connection_use,
            )
        except aiohttp.ClientConnectorError:
            raise
        except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError) as e:
            # No byte of an answer was received.
            ending = (
                Ending.NOT_TAKEN
                if connection_use.is_reused
                else Ending.CUT_NEW
            )
            return ending, repr(e)
        async with response:
            content = await response.read()
            return classify_answer(
                call, kind, response.status, response.headers, content
            )


def classify_answer(
    call: str,
    kind: CallKind,
    status: int,
    headers: collections.abc.Mapping[str, str],
    content: bytes,
) -> tuple[Ending, str]:
    """Return the outcome of a call and its reason from the answer."""
    echo = headers.get(CALL_HEADER)
    if echo not in (None, call):
        return Ending.WRONG_ANSWER, f"its header has call ID {echo}"
    reason = headers.get("Marjoramledge-Reason", "")
    run = headers.get("Marjoramledge-Run")
    if run == "not-run":
        return Ending.REFUSED_NOT_RUN, reason
    if run == "may-have-run":
        return Ending.MAY_HAVE_RUN, reason
    if status != 200:
        return Ending.SERVER_ERROR, f"status {status}"
    try:
        answer = json.loads(content)
        echoed = (echo, answer["call"], answer["body"])
    except (ValueError, KeyError, TypeError):
        return Ending.WRONG_ANSWER, repr(content[:80])
    if echoed != (call, call, hashlib.sha256(kind.body).hexdigest()):
        return Ending.WRONG_ANSWER, content.decode()
    return Ending.ANSWERED, ""


def percentile_ms(
    results: collections.abc.Iterable[CallResult], share: float
) -> float:
    """Compute a percentile of answered calls' latency in milliseconds."""
    times = sorted(
        result.elapsed_s
        for result in results
        if result.ending is Ending.ANSWERED
    )
    if not times:
        return float("nan")
    return 1000 * times[min(len(times) - 1, int(share * len(times)))]
