"""Request bodies: small ones are buffered, others are streamed.

The caller port and the peer port read request bodies through this module.
When the sender waits for ``100 Continue`` (``Expect: 100-continue``), that
response is sent when the body is first read, and not before.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import typing

from aiohttp import web

# A body up to this size is buffered, so that it can be sent again.
MAX_BUFFERED_BODY_BYTES: typing.Final = 65536
BODY_TIMEOUT_S: typing.Final = 10.0
# How long a body that may be long is awaited before it is forwarded while it
# is received.  Most bodies in chunks are short and arrive at once.
PREFIX_WAIT_S: typing.Final = 0.25


class BodyStream:
    """A request body that is forwarded while it is received.

    Parameters
    ----------
    request
        The request that the body belongs to.
    prefix
        Beginning of the body, which has been received already.
    """

    def __init__(
        self, *, request: web.BaseRequest, prefix: bytes = b""
    ) -> None:
        self._request = request
        self._prefix = prefix
        self._is_started = False

    @property
    def prefix(self) -> bytes:
        """Beginning of the body, as far as it was received at once."""
        return self._prefix

    @property
    def is_started(self) -> bool:
        """Whether part of the body may already have been consumed."""
        return self._is_started

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body in chunks of bounded size."""
        self._is_started = True
        _send_continue(self._request)
        if self._prefix:
            yield self._prefix
        async for chunk in self._request.content.iter_any():
            yield chunk


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Body:
    """A request body, buffered or streamed; both None if there is none."""

    buffered: bytes | None = None
    stream: BodyStream | None = None

    @property
    def is_resendable(self) -> bool:
        """Whether the request can be sent any number of times."""
        return self.stream is None


async def receive_body(request: web.BaseRequest) -> Body:
    """Read a small request body, or return a stream for a large one.

    A body without a length is small if it arrives within ``PREFIX_WAIT_S``.

    Raises
    ------
    TimeoutError
        If a small body with a length is not complete within
        ``BODY_TIMEOUT_S``.
    """
    if not request.body_exists:
        return Body()
    length = request.content_length
    if length is not None and length <= MAX_BUFFERED_BODY_BYTES:
        _send_continue(request)
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return Body(buffered=await request.content.read(-1))
    if _expects_continue(request):
        return Body(stream=BodyStream(request=request))
    prefix, is_complete = await _read_prefix(request)
    if is_complete:
        return Body(buffered=prefix)
    return Body(stream=BodyStream(request=request, prefix=prefix))


async def _read_prefix(request: web.BaseRequest) -> tuple[bytes, bool]:
    """Read the beginning of a body; return whether it is the whole body."""
    parts: list[bytes] = []
    size = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(PREFIX_WAIT_S):
            while size <= MAX_BUFFERED_BODY_BYTES:
                part = await request.content.readany()
                if not part:
                    return b"".join(parts), True
                parts.append(part)
                size += len(part)
    return b"".join(parts), False


def _expects_continue(request: web.BaseRequest) -> bool:
    return request.headers.get("Expect", "").lower() == "100-continue"


def _send_continue(request: web.BaseRequest) -> None:
    if _expects_continue(request) and request.transport is not None:
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
