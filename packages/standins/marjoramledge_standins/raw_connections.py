"""A caller's HTTP/1.1 connection that reports every answer received.

A client library hides answers that no call is waiting for; this connection
reports them, and matches answers to pending calls in the order of sending.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import enum
import typing

MAX_HEAD_BYTES: typing.Final = 65536


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An HTTP answer; header names are in title case."""

    status: int
    headers: collections.abc.Mapping[str, str]
    content: bytes

    @property
    def closes(self) -> bool:
        """Return whether the answer announces the connection's end."""
        return self.headers.get("Connection", "").lower() == "close"


class FailureKind(enum.Enum):
    """How a call without an answer failed.

    ``NEW`` and ``USED`` mean that the other side closed the connection
    before any byte of the answer; a used connection has delivered an answer
    before.  ``CUT`` covers incomplete answers and calls given up by the
    caller.
    """

    CUT = "cut"
    NEW = "new"
    USED = "used"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoAnswer:
    """The failure of a call that got no complete answer."""

    reason: str
    failure: FailureKind


Outcome = Answer | NoAnswer


class Connection:
    """A connection to the callers' port of a node.

    Parameters
    ----------
    reader, writer
        Streams of the connection.
    note_answer
        Called with each answer and whether a call was waiting for it.
    """

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_answer: collections.abc.Callable[[Answer, bool], None],
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._on_answer = on_answer
        self._pending: collections.deque[asyncio.Future[Outcome]] = (
            collections.deque()
        )
        self._failure_at_end = FailureKind.NEW
        self._closes = False
        self._reading = asyncio.create_task(self._read())

    @property
    def takes_calls(self) -> bool:
        """Return whether another call may be sent."""
        return not self._reading.done() and not self._closes

    def send(
        self, requests: collections.abc.Sequence[bytes]
    ) -> list[asyncio.Future[Outcome]]:
        """Send pipelined requests; return futures of their outcomes.

        All are sent in a single write: if a second write failed because the
        connection has just ended, an answer received already would be lost.
        """
        loop = asyncio.get_running_loop()
        futures = [loop.create_future() for _ in requests]
        self._pending.extend(futures)
        self._writer.write(b"".join(requests))
        if self._reading.done():
            self._fail_pending("the connection had ended", is_begun=False)
        return futures

    async def wait_for_end(self) -> None:
        """Wait until the other side ends the connection."""
        await asyncio.wait([self._reading])

    async def close(self) -> None:
        """Close the connection without waiting for answers."""
        self._writer.close()
        self._reading.cancel()
        await asyncio.wait([self._reading])

    async def _read(self) -> None:
        reason, is_begun = "ended by the other side", False
        try:
            while (head := await _read_head(self._reader)) is not None:
                is_begun = True
                answer = await _read_answer(self._reader, head)
                is_begun = False
                self._handle_answer(answer)
        except OSError as error:
            reason = repr(error)
        except (EOFError, ValueError) as error:
            # The answer received is incomplete or malformed.
            reason, is_begun = repr(error), True
        except asyncio.CancelledError:
            self._failure_at_end = FailureKind.CUT
            reason = "given up by the caller"
            raise
        finally:
            self._fail_pending(reason, is_begun=is_begun)
            self._writer.close()

    def _handle_answer(self, answer: Answer) -> None:
        self._closes = self._closes or answer.closes
        self._on_answer(answer, bool(self._pending))
        if self._pending:
            self._failure_at_end = FailureKind.USED
            future = self._pending.popleft()
            if not future.done():
                future.set_result(answer)

    def _fail_pending(self, reason: str, *, is_begun: bool) -> None:
        while self._pending:
            future = self._pending.popleft()
            failure = FailureKind.CUT if is_begun else self._failure_at_end
            is_begun = False
            if not future.done():
                future.set_result(NoAnswer(reason=reason, failure=failure))


async def open_connection(
    *,
    host: str,
    port: int,
    on_answer: collections.abc.Callable[[Answer, bool], None],
) -> Connection:
    """Open a connection.

    Raises
    ------
    OSError
        The connection was not accepted.
    """
    reader, writer = await asyncio.open_connection(
        host, port, limit=MAX_HEAD_BYTES
    )
    return Connection(reader=reader, writer=writer, on_answer=on_answer)


def format_request(
    *, method: str, path: str, host: str, call: str, body: bytes
) -> bytes:
    """Format the HTTP request of a call."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Call-Id: {call}",
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def _read_head(reader: asyncio.StreamReader) -> bytes | None:
    """Read the head of an answer; return None at the end of input."""
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    except asyncio.LimitOverrunError as error:
        raise ValueError("the head of the answer is too long") from error


async def _read_answer(reader: asyncio.StreamReader, head: bytes) -> Answer:
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    protocol, status, *_ = first.split(" ")
    if protocol != "HTTP/1.1":
        raise ValueError(f"invalid status line {first[:40]!r}")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.title()] = value.strip()
    if headers.get("Transfer-Encoding") == "chunked":
        content = await _read_chunks(reader)
    else:
        content = await reader.readexactly(
            int(headers.get("Content-Length", "0"))
        )
    return Answer(status=int(status), headers=headers, content=content)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    chunks = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        chunks.append(await reader.readexactly(size))
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return b"".join(chunks)
