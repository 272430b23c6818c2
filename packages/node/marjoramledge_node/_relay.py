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
WHOLE_ANSWER_BYTES: typing.Final = 65536
# What is under way when the deadline comes may still be whole this much later.
ANSWER_GRACE_S: typing.Final = 0.25

_BODILESS_STATUSES: typing.Final = frozenset({204, 304})


Relayed = tuple[web.StreamResponse | None, node.ServerOutcome]


async def relay(
    request: web.BaseRequest,
    answer: _upstream.Answer,
    extra: collections.abc.Mapping[str, str],
    *,
    closes: bool,
    remaining_s: float,
) -> Relayed:
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
            request, answer, extra, closes=closes, remaining_s=remaining_s
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
    closes: bool,
    remaining_s: float,
) -> Relayed:
    limit_s = max(0.0, remaining_s) + ANSWER_GRACE_S
    start = _NOTHING_READ
    if is_small(answer, request.method):
        try:
            async with asyncio.timeout(limit_s):
                read = await read_start(answer, request.method)
        except TimeoutError:
            return None, node.ServerOutcome.CANCELLED
        if read is None:
            return None, node.ServerOutcome.ABORTED
        if read.is_whole:
            response = _build_whole(answer, request.method, read.body, extra)
            return response, answer.outcome
        start = read
    flowing = web.StreamResponse(
        status=answer.response.status,
        reason=answer.response.reason,
        headers=_answer_headers(answer, extra),
    )
    is_endless = answer.response.content_length is None
    if is_endless:
        flowing.enable_chunked_encoding()
    if closes:
        flowing.force_close()
    try:
        async with asyncio.timeout(limit_s if is_endless else None):
            await flowing.prepare(request)
            return flowing, await _pump(request, answer, flowing, start.body)
    except TimeoutError:
        cut(request)
    except ConnectionError:
        pass
    return flowing, node.ServerOutcome.CANCELLED


async def _pump(
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
                if answer.closed is not None:
                    await answer.closed
                break
        except (aiohttp.ClientError, OSError):
            cut(request)
            return node.ServerOutcome.ABORTED
    await response.write_eof()
    return answer.outcome


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """What was read of a body; ``is_whole`` says that this is all of it."""

    body: bytes
    is_whole: bool


_NOTHING_READ: typing.Final = Start(body=b"", is_whole=False)


async def read_start(answer: _upstream.Answer, method: str) -> Start | None:
    """Read an answer as far as it is held; None when it broke off.

    Must only be called when ``is_small`` says so.  Only an answer that ends
    with its connection may turn out to be longer than what is held.
    """
    if is_bodiless(answer, method):
        answer.response.release()
        return Start(body=b"", is_whole=True)
    try:
        body = await _upstream.read_bounded(
            answer.response, WHOLE_ANSWER_BYTES
        )
        if len(body) > WHOLE_ANSWER_BYTES:
            return Start(body=body, is_whole=False)
        if answer.closed is not None:
            await answer.closed
        return Start(body=body, is_whole=True)
    except (aiohttp.ClientError, OSError):
        return None


def is_bodiless(answer: _upstream.Answer, method: str) -> bool:
    """Tell whether an answer has no body by definition."""
    return method == "HEAD" or answer.response.status in _BODILESS_STATUSES


def is_small(answer: _upstream.Answer, method: str) -> bool:
    """Tell whether an answer is read before any of it is passed on."""
    if is_bodiless(answer, method):
        return True
    length = answer.response.content_length
    if length is None:
        return answer.closed is not None
    return length <= WHOLE_ANSWER_BYTES


def _build_whole(
    answer: _upstream.Answer,
    method: str,
    body: bytes,
    extra: collections.abc.Mapping[str, str],
) -> web.Response:
    """Build the answer to pass on from one that was read whole."""
    headers = _answer_headers(answer, extra)
    if is_bodiless(answer, method):
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


def cut(request: web.BaseRequest) -> None:
    """Break the caller's connection off, so that it sees the answer cut."""
    if request.transport is not None:
        request.transport.abort()


def _answer_headers(
    answer: _upstream.Answer, extra: collections.abc.Mapping[str, str]
) -> multidict.CIMultiDict[str]:
    headers = _headers.copy_end_to_end(answer.response.headers)
    headers.update(extra)
    return headers
