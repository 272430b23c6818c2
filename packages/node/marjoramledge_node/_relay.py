"""Passes the body of an answer on to whoever asked.

A small answer is read whole before any of it is passed on, so that one that
breaks off can still be replaced.  Others flow through in pieces of bounded
size; when one of those breaks off, or tells no length and goes on beyond the
deadline, the connection is cut, which is the only way to tell a caller over
HTTP/1.1 that the answer is not whole.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import aiohttp
from aiohttp import web
from marjoramledge_core import node
import multidict

from marjoramledge_node import _headers
from marjoramledge_node import _upstream

# Answers up to this size are read whole before they are passed on.
MAX_BUFFERED_ANSWER_BYTES: typing.Final = 65536
# What is under way when the deadline comes may still be whole this much later.
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
    """Pass an answer on.

    Parameters
    ----------
    request
        What is answered.
    answer
        The answer; its body is still to be read.
    extra
        Headers to add.
    closes
        Whether a connection over which the answer flows is to end with it.
    remaining_s
        Seconds until the deadline.  An answer that is held, or that tells no
        length and so may have no end, is given up soon after.

    Returns
    -------
    tuple
        The response, None when the answer broke off or came too late before
        any of it was passed on; and how the backend server ended it.
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
            # Not read to its end; its sender must hear of that at once.
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
                request, answer, streamed, start.body
            )
    except TimeoutError:
        abort_connection(request)
    except ConnectionError:
        pass
    return streamed, node.ServerOutcome.CANCELLED


async def _stream_body(
    request: web.BaseRequest,
    answer: _upstream.Answer,
    response: web.StreamResponse,
    chunk: bytes,
) -> node.ServerOutcome:
    """Pass on a body whose first bytes have been read."""
    reader = answer.response.content
    while True:
        if chunk:
            await response.write(chunk)
        try:
            chunk = await reader.readany()
            if not chunk:
                if answer.connection_closed is not None:
                    await answer.connection_closed
                break
        except (aiohttp.ClientError, OSError):
            abort_connection(request)
            return node.ServerOutcome.ABORTED
    await response.write_eof()
    return answer.outcome


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BodyStart:
    """What was read of a body; ``is_complete`` says that this is all of it."""

    body: bytes
    is_complete: bool


_NOTHING_READ: typing.Final = BodyStart(body=b"", is_complete=False)


async def read_body_start(
    answer: _upstream.Answer, method: str
) -> BodyStart | None:
    """Read an answer as far as it is held; None when it broke off.

    Must only be called when ``is_buffered`` says so.  Only an answer that ends
    with its connection may turn out to be longer than what is held.
    """
    if has_no_body(answer, method):
        answer.response.release()
        return BodyStart(body=b"", is_complete=True)
    try:
        body = await _upstream.read_bounded(
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
    """Tell whether an answer has no body by definition."""
    return method == "HEAD" or answer.response.status in _BODILESS_STATUSES


def is_buffered(answer: _upstream.Answer, method: str) -> bool:
    """Tell whether an answer is read before any of it is passed on."""
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
    """Build the answer to pass on from one that was read whole."""
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
    """Break the caller's connection off, so that it sees the answer cut."""
    if request.transport is not None:
        request.transport.abort()


def _answer_headers(
    answer: _upstream.Answer, extra: collections.abc.Mapping[str, str]
) -> multidict.CIMultiDict[str]:
    headers = _headers.copy_end_to_end(answer.response.headers)
    headers.update(extra)
    return headers
