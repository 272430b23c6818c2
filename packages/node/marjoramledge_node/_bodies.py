"""Request bodies: small ones are held, others flow.

Both ports take bodies in through here.  A body that is held back until its
receiver has agreed (``Expect: 100-continue``) is granted at the moment when
it is first read, and not before.
"""

import asyncio
import collections.abc
import dataclasses
import typing

from aiohttp import web

# A body up to this size is held, so that it can be sent again.
MAX_BUFFERED_BODY_BYTES: typing.Final = 65536
BODY_TIMEOUT_S: typing.Final = 10.0


class BodyStream:
    """A body that is passed on while it comes in.

    Parameters
    ----------
    request
        The request that it belongs to.
    """

    def __init__(self, *, request: web.BaseRequest) -> None:
        self._request = request
        self._is_started = False

    @property
    def is_started(self) -> bool:
        """Whether any of the body may have been taken."""
        return self._is_started

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body in pieces of bounded size."""
        self._is_started = True
        _send_continue(self._request)
        async for chunk in self._request.content.iter_any():
            yield chunk


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Body:
    """A body, held or flowing; neither when the request has none."""

    buffered: bytes | None = None
    stream: BodyStream | None = None

    @property
    def is_resendable(self) -> bool:
        """Whether the request can be sent at any time, again and again."""
        return self.stream is None


async def receive_body(request: web.BaseRequest) -> Body:
    """Take the body of a request in.

    Raises
    ------
    TimeoutError
        A small body did not come within ``BODY_TIMEOUT_S``.
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
