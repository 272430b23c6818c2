"""The log sink with a reader that stalls or has closed its end."""

import json
import os

from marjoramledge_node import _log_sink


def _read_all(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    content = b""
    while True:
        try:
            chunk = os.read(descriptor, 65536)
        except BlockingIOError:
            return content
        if not chunk:
            return content
        content += chunk


def test_a_stalled_reader_does_not_block_the_writer() -> None:
    reader, writer = os.pipe()
    try:
        sink = _log_sink.LogSink(descriptor=writer)
        line = json.dumps({"event": "x", "pad": 1000 * "p"}) + "\n"
        for _ in range(1000):
            sink.write(line)
        assert sink.dropped > 0
        read = b""
        for _ in range(100):
            read += _read_all(reader)
            sink.flush()
        sink.write(line)
        read += _read_all(reader)
        lines = [json.loads(text) for text in read.splitlines()]
        reported = [
            record["lines"]
            for record in lines
            if record["event"] == "log-dropped"
        ]
        assert reported == [sink.dropped]
        assert len(lines) == 1000 - sink.dropped + 2
    finally:
        os.close(reader)
        os.close(writer)


def test_lines_are_dropped_after_the_reader_has_closed() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    try:
        sink = _log_sink.LogSink(descriptor=writer)
        sink.write("line\n")
        assert sink.dropped == 1
    finally:
        os.close(writer)
