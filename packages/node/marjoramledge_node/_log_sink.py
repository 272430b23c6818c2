"""Non-blocking output of log lines, so that logging can't block the node.

The reader of a pipe may stall.  Lines are then buffered up to a bound.  Lines
beyond it are dropped, and their number is logged once there is room again.
"""

import collections
import json
import os
import typing

MAX_BUFFERED_BYTES: typing.Final = 256 * 1024


class LogSink:
    """Writes whole lines to a descriptor without blocking.

    Parameters
    ----------
    descriptor
        The file descriptor, which is set to non-blocking mode.
    """

    def __init__(self, *, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._unreported = 0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of lines dropped so far."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write or buffer a line; drop it if the buffer is full."""
        content = line.encode("utf-8", "replace")
        self.flush()
        if self._buffered_bytes + len(content) > MAX_BUFFERED_BYTES:
            self._dropped += 1
            self._unreported += 1
            return
        if self._unreported:
            drop_report = {"event": "log-dropped", "lines": self._unreported}
            self._unreported = 0
            self._append_line(json.dumps(drop_report).encode() + b"\n")
        self._append_line(content)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            first = self._buffer[0]
            try:
                written = os.write(self._descriptor, first)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; this can't be logged.
                self._dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written == len(first):
                self._buffer.popleft()
            else:
                self._buffer[0] = first[written:]
                return

    def _append_line(self, content: bytes) -> None:
        self._buffer.append(content)
        self._buffered_bytes += len(content)
