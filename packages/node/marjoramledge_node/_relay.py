"""Forwarding of a response to the caller or peer that requested it.

A small response is buffered completely before any of it is forwarded, so that
it can still be replaced if it turns out to be truncated.  Larger responses
are streamed in chunks of bounded size.  If a streamed response is truncated,
or its server has not sent all of it by the deadline, the connection to the
caller is aborted: that is the only way in HTTP/1.1 to signal an incomplete
response.  The time for which a slow caller keeps the rest of a response
waiting does not count, unless the response has no length and so may be
endless.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import aiohttp
from aiohttp import web
import loguru
from marjoramledge_core import node
from marjoramledge_store import bounded_http
import multidict

from marjoramledge_node import _headers
from marjoramledge_node import _upstream

# Responses up to this size are buffered before they are forwarded.
MAX_BUFFERED_ANSWER_BYTES: typing.Final = 65536
# A response in progress at the deadline has this long to complete.
ANSWER_GRACE_S: typing.Final = 0.25

_BODILESS_STATUSES: typing.Final = frozenset({204, 304})


RelayResult = tuple[web.StreamResponse | None, node.ServerOutcome]


async def relay(
    request: web.BaseRequest,
    answer: _upstream.Answer,
    extra: collections.abc.Mapping[str, str],
    *,
    closes_connection: bool,
    remaining_s: float,
) -> RelayResult:
    """Forward a response to the sender of a request.

    Parameters
    ----------
    request
        The request to respond to.
    answer
        The response to forward; its body is unread.
    extra
        Headers to add.
    closes_connection
        Whether to close the connection after a streamed response.
    remaining_s
        Seconds until the deadline.  A response that its server has not sent
        completely ``ANSWER_GRACE_S`` after the deadline is abandoned.

    Returns
    -------
    tuple
        The forwarded response, or None if the response was truncated or too
        late before any of it was forwarded; and the outcome at the backend
        server.
    """
    outcome = node.ServerOutcome.CANCELLED
    try:
        response, outcome = await _relay_body(
            request,
            answer,
            extra,
            closes_connection=closes_connection,
            remaining_s=remaining_s,
        )
        return response, outcome
    finally:
        if outcome is not answer.outcome:
            # The body was not read to its end; close the connection so that
            # the sender notices at once.
            answer.response.close()


async def _relay_body(
    request: web.BaseRequest,
    answer: _upstream.Answer,
    extra: collections.abc.Mapping[str, str],
    *,
    closes_connection: bool,
    remaining_s: float,
) -> RelayResult:
    limit_s = max(0.0, remaining_s) + ANSWER_GRACE_S
    start = _NOTHING_READ
    if is_buffered(answer, request.method):
        try:
            async with asyncio.timeout(limit_s):
                body_start = await read_body_start(answer, request.method)
        except TimeoutError:
            return None, node.ServerOutcome.CANCELLED
        if body_start is None:
            return None, node.ServerOutcome.ABORTED
        if body_start.is_complete:
            response = _build_buffered(
                answer, request.method, body_start.body, extra
            )
            return response, answer.outcome
        start = body_start
    streamed = web.StreamResponse(
        status=answer.response.status,
        reason=answer.response.reason,
        headers=_answer_headers(answer, extra),
    )
    has_no_length = answer.response.content_length is None
    if has_no_length:
        streamed.enable_chunked_encoding()
    if closes_connection:
        streamed.force_close()
    try:
        async with asyncio.timeout(limit_s if has_no_length else None):
            await streamed.prepare(request)
            return streamed, await _stream_body(
                request, answer, streamed, start.body, limit_s
            )
    except TimeoutError:
        loguru.logger.bind(event="answer-cut").info(
            "cut an answer that its server did not complete in time"
        )
        abort_connection(request)
    except ConnectionError:
        pass
    return streamed, node.ServerOutcome.CANCELLED


async def _stream_body(
    request: web.BaseRequest,
    answer: _upstream.Answer,
    response: web.StreamResponse,
    chunk: bytes,
    max_wait_s: float,
) -> node.ServerOutcome:
    """Forward a body whose first bytes have already been read.

    Raises
    ------
    TimeoutError
        All waits for the backend server took longer than ``max_wait_s``.
    """
    reader = answer.response.content
    loop = asyncio.get_running_loop()
    while True:
        if chunk:
            await response.write(chunk)
        began_at = loop.time()
        wait_limit = asyncio.timeout(max(0.0, max_wait_s))
        try:
            async with wait_limit:
                chunk = await reader.readany()
                if not chunk:
                    if answer.connection_closed is not None:
                        await answer.connection_closed
                    break
            max_wait_s -= loop.time() - began_at
        except (aiohttp.ClientError, OSError):
            if wait_limit.expired():
                raise
            abort_connection(request)
            return node.ServerOutcome.ABORTED
    await response.write_eof()
    return answer.outcome


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BodyStart:
    """Start of a body; ``is_complete`` is true if it is the whole body."""

    body: bytes
    is_complete: bool


_NOTHING_READ: typing.Final = BodyStart(body=b"", is_complete=False)


async def read_body_start(
    answer: _upstream.Answer, method: str
) -> BodyStart | None:
    """Read a body up to the buffer limit; return None if it is truncated.

    Must only be called if ``is_buffered`` returns True.  Only a response that
    ends with its connection can turn out to be longer than the limit.
    """
    if has_no_body(answer, method):
        answer.response.release()
        return BodyStart(body=b"", is_complete=True)
    try:
        body = await bounded_http.read_bounded(
            answer.response, MAX_BUFFERED_ANSWER_BYTES
        )
        if len(body) > MAX_BUFFERED_ANSWER_BYTES:
            return BodyStart(body=body, is_complete=False)
        if answer.connection_closed is not None:
            await answer.connection_closed
        return BodyStart(body=body, is_complete=True)
    except (aiohttp.ClientError, OSError):
        return None


def has_no_body(answer: _upstream.Answer, method: str) -> bool:
    """Return whether a response has no body by the rules of HTTP."""
    return method == "HEAD" or answer.response.status in _BODILESS_STATUSES


def is_buffered(answer: _upstream.Answer, method: str) -> bool:
    """Return whether to buffer a response before forwarding it."""
    if has_no_body(answer, method):
        return True
    length = answer.response.content_length
    if length is None:
        return answer.connection_closed is not None
    return length <= MAX_BUFFERED_ANSWER_BYTES


def _build_buffered(
    answer: _upstream.Answer,
    method: str,
    body: bytes,
    extra: collections.abc.Mapping[str, str],
) -> web.Response:
    """Build the response to forward from one that was read completely."""
    headers = _answer_headers(answer, extra)
    if has_no_body(answer, method):
        response = web.Response(
            status=answer.response.status,
            reason=answer.response.reason,
            headers=headers,
        )
        return response
    headers.popall("Content-Length", None)
    return web.Response(
        status=answer.response.status,
        reason=answer.response.reason,
        headers=headers,
        body=body,
    )


def abort_connection(request: web.BaseRequest) -> None:
    """Abort the caller's connection to signal an incomplete response."""
    if request.transport is not None:
        request.transport.abort()


def _answer_headers(
    answer: _upstream.Answer, extra: collections.abc.Mapping[str, str]
) -> multidict.CIMultiDict[str]:
    headers = _headers.copy_end_to_end(answer.response.headers)
    headers.update(extra)
    return headers
