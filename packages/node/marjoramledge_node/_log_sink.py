"""Where log lines go: a descriptor that never holds the event loop up.

The reader of a pipe may stall.  Lines then wait in a bounded buffer; what
does not fit is dropped, counted, and the count written once there is room.
"""

import collections
import json
import os
import typing

MAX_BUFFERED_BYTES: typing.Final = 256 * 1024


class LogSink:
    """Writes whole lines without blocking.

    Parameters
    ----------
    descriptor
        File descriptor; put into non-blocking mode.
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
        """Lines that were dropped so far."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write a line, now or when there is room for it."""
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
        """Write what waits, as far as the reader takes it."""
        while self._buffer:
            first = self._buffer[0]
            try:
                written = os.write(self._descriptor, first)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is nowhere to say so.
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
