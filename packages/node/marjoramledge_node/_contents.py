"""Contents of configurations: packed for the way, read beside the loop.

A configuration of some thousand routes is hundreds of kilobytes of text, most
of which repeats itself, and takes tens of milliseconds to read.  Nodes send
it to one another compressed, since their links carry calls too, and read it
in a thread, since calls must not wait for it.
"""

import asyncio
import collections.abc
import concurrent.futures
import typing
import zlib

from returns import result

T = typing.TypeVar("T")

# Greater levels take longer and save a twentieth at most.
COMPRESSION_LEVEL: typing.Final = 6


def pack(content: bytes) -> bytes:
    """Compress a content."""
    return zlib.compress(content, COMPRESSION_LEVEL)


def unpack(packed: bytes, max_bytes: int) -> result.Result[bytes, str]:
    """Restore a content, unless it is broken or over ``max_bytes``."""
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(packed, max_bytes)
    except zlib.error as error:
        return result.Failure(f"not a packed content: {error}")
    if not unpacker.eof:
        return result.Failure(f"cut short, or over {max_bytes} bytes")
    return result.Success(content)


class Reader:
    """Does long work in one thread, while the event loop goes on."""

    def __init__(self) -> None:
        self._thread = concurrent.futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="reader"
        )

    async def run(self, work: collections.abc.Callable[[], T]) -> T:
        """Do work that touches nothing of the loop; await what it returns."""
        return await asyncio.get_running_loop().run_in_executor(
            self._thread, work
        )

    def close(self) -> None:
        """Begin no further work."""
        self._thread.shutdown(wait=False, cancel_futures=True)
