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
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._untold = 0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines that were dropped so far."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write a line, now or when there is room for it."""
        content = line.encode("utf-8", "replace")
        self.flush()
        if self._waiting_bytes + len(content) > MAX_BUFFERED_BYTES:
            self._dropped += 1
            self._untold += 1
            return
        if self._untold:
            told = {"event": "log-dropped", "lines": self._untold}
            self._untold = 0
            self._append(json.dumps(told).encode() + b"\n")
        self._append(content)
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self._waiting:
            first = self._waiting[0]
            try:
                written = os.write(self._descriptor, first)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is nowhere to say so.
                self._dropped += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written == len(first):
                self._waiting.popleft()
            else:
                self._waiting[0] = first[written:]
                return

    def _append(self, content: bytes) -> None:
        self._waiting.append(content)
        self._waiting_bytes += len(content)
