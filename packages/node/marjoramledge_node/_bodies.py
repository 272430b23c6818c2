"""Request bodies: small ones are buffered, others are streamed.

The caller port and the peer port read request bodies through this module.
When the sender waits for ``100 Continue`` (``Expect: 100-continue``), that
response is sent when the body is first read, and not before.
"""

import asyncio
import collections.abc
import dataclasses
import typing

from aiohttp import web

# A body up to this size is buffered, so that it can be sent again.
MAX_BUFFERED_BODY_BYTES: typing.Final = 65536
BODY_TIMEOUT_S: typing.Final = 10.0


class BodyStream:
    """A request body that is forwarded while it is received.

    Parameters
    ----------
    request
        The request that the body belongs to.
    """

    def __init__(self, *, request: web.BaseRequest) -> None:
        self._request = request
        self._is_started = False

    @property
    def is_started(self) -> bool:
        """Whether part of the body may already have been consumed."""
        return self._is_started

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body in chunks of bounded size."""
        self._is_started = True
        _send_continue(self._request)
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

    Raises
    ------
    TimeoutError
        If a small body is not complete within ``BODY_TIMEOUT_S``.
    """
    if not request.body_exists:
        return Body()
    length = request.content_length
    if length is None or length > MAX_BUFFERED_BODY_BYTES:
        return Body(stream=BodyStream(request=request))
    _send_continue(request)
    async with asyncio.timeout(BODY_TIMEOUT_S):
        return Body(buffered=await request.content.read(-1))


def _send_continue(request: web.BaseRequest) -> None:
    expects_continue = (
        request.headers.get("Expect", "").lower() == "100-continue"
    )
    if expects_continue and request.transport is not None:
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
