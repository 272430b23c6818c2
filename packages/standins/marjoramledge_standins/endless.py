"""Answers of a backend server in trouble that never end.

Written to the connection as raw bytes, since an HTTP library would refuse to
send them.  They stop when the caller closes, which the records tell apart
from the bound that only keeps a run from lasting for ever.
"""

import asyncio
import enum
import typing

from aiohttp import web

PIECE_BYTES: typing.Final = 65536
# About 30 MB a second, whatever the machine.
PIECE_PERIOD_S: typing.Final = 0.002
MAX_PIECES: typing.Final = 8192
# Pieces that may wait to be sent before the writer waits for its reader.
MAX_WAITING_BYTES: typing.Final = 4 * PIECE_BYTES

_FIELD: typing.Final = b"X-Noise: 0123456789abcdef\r\n"
_FRAMED_HEAD: typing.Final = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class EndlessForm(enum.Enum):
    """Where the bytes without end stand."""

    NOISE = "noise"
    HEAD_LINE = "head-line"
    HEAD_FIELDS = "head-fields"
    CHUNKED_BODY = "chunked-body"
    CHUNK_SIZE = "chunk-size"
    TRAILERS = "trailers"
    UNFRAMED_BODY = "unframed-body"


_PIECES: typing.Final = {
    EndlessForm.NOISE: (b"", bytes(PIECE_BYTES)),
    EndlessForm.HEAD_LINE: (
        b"HTTP/1.1 200 OK\r\nX-Noise: ",
        b"a" * PIECE_BYTES,
    ),
    EndlessForm.HEAD_FIELDS: (
        b"HTTP/1.1 200 OK\r\n",
        _FIELD * (PIECE_BYTES // len(_FIELD)),
    ),
    EndlessForm.CHUNKED_BODY: (
        _FRAMED_HEAD,
        b"%x\r\n%b\r\n" % (PIECE_BYTES, bytes(PIECE_BYTES)),
    ),
    EndlessForm.CHUNK_SIZE: (_FRAMED_HEAD + b"10;", b"a" * PIECE_BYTES),
    EndlessForm.TRAILERS: (
        _FRAMED_HEAD + b"0\r\n",
        _FIELD * (PIECE_BYTES // len(_FIELD)),
    ),
    EndlessForm.UNFRAMED_BODY: (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
        bytes(PIECE_BYTES),
    ),
}


async def send_endless(request: web.BaseRequest, form: EndlessForm) -> bool:
    """Send bytes until the caller closes; false when it never did."""
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
