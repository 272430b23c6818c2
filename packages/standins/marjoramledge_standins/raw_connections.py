"""A caller's connection that sees every byte of its answers.

A client library hides an answer that comes when none is waited for; this
one keeps each, with the calls that wait in the order of their sending.
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
    """An answer; names of headers are in title case."""

    status: int
    headers: collections.abc.Mapping[str, str]
    content: bytes

    @property
    def closes(self) -> bool:
        """Whether it says that its connection ends."""
        return self.headers.get("Connection", "").lower() == "close"


class Fate(enum.Enum):
    """What became of a call without an answer.

    Nothing of the answer came where the other side ended a connection that
    was new or used, that is, had brought an answer before.
    """

    CUT = "cut"
    NEW = "new"
    USED = "used"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoAnswer:
    """Why a call got none."""

    reason: str
    fate: Fate


Outcome = Answer | NoAnswer


class Connection:
    """One connection to the callers' port of a node.

    Parameters
    ----------
    reader, writer
        Its two halves.
    note_answer
        Told of each answer that comes, and whether a call waited for it.
    """

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        note_answer: collections.abc.Callable[[Answer, bool], None],
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._note_answer = note_answer
        self._waiting: collections.deque[asyncio.Future[Outcome]] = (
            collections.deque()
        )
        self._end_fate = Fate.NEW
        self._closes = False
        self._reading = asyncio.create_task(self._read())

    @property
    def takes_calls(self) -> bool:
        """Whether another call may be sent."""
        return not self._reading.done() and not self._closes

    def send(
        self, requests: collections.abc.Sequence[bytes]
    ) -> list[asyncio.Future[Outcome]]:
        """Send requests one behind the other; answers may be awaited.

        They go in one piece: a write that fails for a connection that has
        just ended would take an answer along that is there already.
        """
        loop = asyncio.get_running_loop()
        futures = [loop.create_future() for _ in requests]
        self._waiting.extend(futures)
        self._writer.write(b"".join(requests))
        if self._reading.done():
            self._give_up("the connection had ended", is_begun=False)
        return futures

    async def wait_for_end(self) -> None:
        """Wait until the other side ends the connection."""
        await asyncio.wait([self._reading])

    async def close(self) -> None:
        """End the connection, without waiting for any answer."""
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
                self._take(answer)
        except OSError as error:
            reason = repr(error)
        except (EOFError, ValueError) as error:
            # Something came, and it was no whole answer.
            reason, is_begun = repr(error), True
        except asyncio.CancelledError:
            self._end_fate = Fate.CUT
            reason = "given up by the caller"
            raise
        finally:
            self._give_up(reason, is_begun=is_begun)
            self._writer.close()

    def _take(self, answer: Answer) -> None:
        self._closes = self._closes or answer.closes
        self._note_answer(answer, bool(self._waiting))
        if self._waiting:
            self._end_fate = Fate.USED
            future = self._waiting.popleft()
            if not future.done():
                future.set_result(answer)

    def _give_up(self, reason: str, *, is_begun: bool) -> None:
        while self._waiting:
            future = self._waiting.popleft()
            fate = Fate.CUT if is_begun else self._end_fate
            is_begun = False
            if not future.done():
                future.set_result(NoAnswer(reason=reason, fate=fate))


async def open_connection(
    *,
    host: str,
    port: int,
    note_answer: collections.abc.Callable[[Answer, bool], None],
) -> Connection:
    """Open a connection.

    Raises
    ------
    OSError
        Nobody takes it.
    """
    reader, writer = await asyncio.open_connection(
        host, port, limit=MAX_HEAD_BYTES
    )
    return Connection(reader=reader, writer=writer, note_answer=note_answer)


def format_request(
    *, method: str, path: str, host: str, call: str, body: bytes
) -> bytes:
    """Render a request of a call."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Call-Id: {call}",
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def _read_head(reader: asyncio.StreamReader) -> bytes | None:
    """Read up to the end of a head; return None at the end of input."""
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    except asyncio.LimitOverrunError as error:
        raise ValueError("no head of an answer") from error


async def _read_answer(reader: asyncio.StreamReader, head: bytes) -> Answer:
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    protocol, status, *_ = first.split(" ")
    if protocol != "HTTP/1.1":
        raise ValueError(f"no answer begins with {first[:40]!r}")
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
