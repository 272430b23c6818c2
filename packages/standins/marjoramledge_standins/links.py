"""Loopback proxies that simulate network faults between two processes.

A link listens on a port and forwards TCP streams and UDP datagrams to a
target.  The experiment that owns the link sets its mode.  Connections that
a link has reset stay closed.
"""

import asyncio
import enum
import typing

from marjoramledge_standins import deployment

CHUNK_BYTES: typing.Final = 65536


class LinkMode(enum.Enum):
    """How a link handles traffic.

    A silent link accepts connections and bytes but forwards nothing; a
    one-way link forwards requests and holds back the answers.
    """

    PASSING = "passing"
    SLOW = "slow"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one-way"


class Link:
    """Forwards traffic from a free local port to a target.

    Parameters
    ----------
    host
        Address to listen on.
    target_host, target_port
        Address to forward to.
    """

    def __init__(
        self, *, host: str, target_host: str, target_port: int
    ) -> None:
        self._host = host
        self._port = deployment.find_free_port(host)
        self._target = (target_host, target_port)
        self._mode = LinkMode.PASSING
        self._delay_s = 0.0
        self._passing = asyncio.Event()
        self._passing.set()
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Return the port that the link listens on."""
        return self._port

    @property
    def address(self) -> str:
        """Return the address that the link listens on, as ``IP:PORT``."""
        return f"{self._host}:{self._port}"

    def set_mode(self, mode: LinkMode, delay_s: float = 0.0) -> None:
        """Set the mode of the link and, for SLOW, its delay."""
        self._mode = mode
        self._delay_s = delay_s if mode is LinkMode.SLOW else 0.0
        if mode in (LinkMode.SILENT, LinkMode.ONE_WAY):
            self._passing.clear()
        else:
            self._passing.set()
        if mode is LinkMode.RESET:
            for writer in self._writers:
                writer.transport.abort()

    async def open(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port
        )
        loop = asyncio.get_running_loop()
        self._datagrams, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._pass_datagram),
            local_addr=(self._host, self._port),
        )

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        if self._datagrams is not None:
            self._datagrams.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _pass_datagram(self, data: bytes) -> None:
        if self._mode in (LinkMode.PASSING, LinkMode.SLOW) and (
            self._datagrams is not None
        ):
            self._datagrams.sendto(data, self._target)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._mode is LinkMode.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pass_on(reader, far_writer, is_answer=False),
                self._pass_on(far_reader, writer, is_answer=True),
            )
        except OSError:
            # One side aborted its connection; the other is aborted below.
            pass
        finally:
            for either in (writer, far_writer):
                self._writers.discard(either)
                either.transport.abort()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self._delay_s:
                await asyncio.sleep(self._delay_s)
            if self._mode is not LinkMode.ONE_WAY or is_answer:
                await self._passing.wait()
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof() and not writer.is_closing():
            writer.write_eof()


class _Datagrams(asyncio.DatagramProtocol):
    """Passes each received datagram to a callback."""

    def __init__(self, callback: typing.Callable[[bytes], None]) -> None:
        self._callback = callback

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Pass a datagram to the callback."""
        self._callback(data)
