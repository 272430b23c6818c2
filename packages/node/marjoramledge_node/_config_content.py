"""Compression of configurations, and a thread that parses them.

A configuration of some thousand routes is hundreds of kilobytes of mostly
repetitive text and takes tens of milliseconds to parse.  Nodes compress it to
send it to one another, since the same links carry calls, and parse it in a
thread, so that calls are not delayed.
"""

import asyncio
import collections.abc
import concurrent.futures
import typing
import zlib

from returns import result

T = typing.TypeVar("T")

# Higher levels take longer and save at most a twentieth more.
COMPRESSION_LEVEL: typing.Final = 6


def compress_content(content: bytes) -> bytes:
    """Compress the content of a configuration."""
    return zlib.compress(content, COMPRESSION_LEVEL)


def decompress_content(
    compressed: bytes, max_bytes: int
) -> result.Result[bytes, str]:
    """Decompress content; fail if it is corrupt or over ``max_bytes``."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(compressed, max_bytes)
    except zlib.error as error:
        return result.Failure(f"invalid compressed data: {error}")
    if not decompressor.eof:
        return result.Failure(
            f"compressed data truncated, or content over {max_bytes} bytes"
        )
    return result.Success(content)


class WorkerThread:
    """Runs long computations in one thread, outside the event loop."""

    def __init__(self) -> None:
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="reader"
        )

    async def run(self, work: collections.abc.Callable[[], T]) -> T:
        """Run ``work`` in the thread and return its result.

        ``work`` must not access objects of the event loop.
        """
        return await asyncio.get_running_loop().run_in_executor(
            self._executor, work
        )

    def close(self) -> None:
        """Cancel queued work, without waiting for the work in progress."""
        self._executor.shutdown(wait=False, cancel_futures=True)
