"""Endless answers of a faulty backend server.

They are written to the connection as raw bytes, since an HTTP library would
refuse to send them.  They end when the caller closes the connection or, so
that a run ends in any case, after ``MAX_PIECES``; the server's records
distinguish the two.
"""

import asyncio
import enum
import typing

from aiohttp import web

PIECE_BYTES: typing.Final = 65536
# Limits the rate to about 30 MB a second on any machine.
PIECE_PERIOD_S: typing.Final = 0.002
MAX_PIECES: typing.Final = 8192
# The writer pauses while more than this waits to be sent.
MAX_WAITING_BYTES: typing.Final = 4 * PIECE_BYTES

_HEADER_FIELD: typing.Final = b"X-Noise: 0123456789abcdef\r\n"
_FRAMED_HEAD: typing.Final = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class EndlessForm(enum.Enum):
    """The part of the answer that is endless."""

    NOISE = "noise"
    EMPTY_LINES = "empty-lines"
    CONTINUES = "continues"
    EARLY_HINTS = "early-hints"
    WHOLE_ANSWERS = "whole-answers"
    HEAD_LINE = "head-line"
    HEAD_FIELDS = "head-fields"
    CHUNKED_BODY = "chunked-body"
    CHUNK_SIZE = "chunk-size"
    TRAILERS = "trailers"
    UNFRAMED_BODY = "unframed-body"


_CONTINUE: typing.Final = b"HTTP/1.1 100 Continue\r\n\r\n"
_EARLY_HINT: typing.Final = (
    b"HTTP/1.1 103 Early Hints\r\nX-Noise: 0123456789abcdef\r\n\r\n"
)
_WHOLE_ANSWER: typing.Final = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

_PIECES: typing.Final = {
    EndlessForm.NOISE: (b"", bytes(PIECE_BYTES)),
    EndlessForm.EMPTY_LINES: (b"", b"\r\n" * (PIECE_BYTES // 2)),
    EndlessForm.CONTINUES: (
        b"",
        _CONTINUE * (PIECE_BYTES // len(_CONTINUE)),
    ),
    EndlessForm.EARLY_HINTS: (
        b"",
        _EARLY_HINT * (PIECE_BYTES // len(_EARLY_HINT)),
    ),
    EndlessForm.WHOLE_ANSWERS: (
        b"",
        _WHOLE_ANSWER * (PIECE_BYTES // len(_WHOLE_ANSWER)),
    ),
    EndlessForm.HEAD_LINE: (
        b"HTTP/1.1 200 OK\r\nX-Noise: ",
        b"a" * PIECE_BYTES,
    ),
    EndlessForm.HEAD_FIELDS: (
        b"HTTP/1.1 200 OK\r\n",
        _HEADER_FIELD * (PIECE_BYTES // len(_HEADER_FIELD)),
    ),
    EndlessForm.CHUNKED_BODY: (
        _FRAMED_HEAD,
        b"%x\r\n%b\r\n" % (PIECE_BYTES, bytes(PIECE_BYTES)),
    ),
    EndlessForm.CHUNK_SIZE: (_FRAMED_HEAD + b"10;", b"a" * PIECE_BYTES),
    EndlessForm.TRAILERS: (
        _FRAMED_HEAD + b"0\r\n",
        _HEADER_FIELD * (PIECE_BYTES // len(_HEADER_FIELD)),
    ),
    EndlessForm.UNFRAMED_BODY: (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
        bytes(PIECE_BYTES),
    ),
}


def pieces(form: EndlessForm) -> tuple[bytes, bytes]:
    """Return the beginning of an answer and the piece that is repeated."""
    return _PIECES[form]


async def send_endless(request: web.BaseRequest, form: EndlessForm) -> bool:
    """Send bytes until the caller closes; return whether it did."""
    transport = request.transport
    if transport is None:
        return True
    first, piece = _PIECES[form]
    transport.write(first)
    sent = 0
    while sent < MAX_PIECES:
        if transport.is_closing():
            return True
        if transport.get_write_buffer_size() < MAX_WAITING_BYTES:
            transport.write(piece)
            sent += 1
        await asyncio.sleep(PIECE_PERIOD_S)
    transport.abort()
    return False
