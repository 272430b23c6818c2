"""Passes the body of an answer on to whoever asked.

A small answer of known length is read whole before any of it is passed on, so
that one that breaks off can still be replaced.  Others flow through in pieces
of bounded size; when one of those breaks off, the connection is cut, which
is the only way to tell a caller over HTTP/1.1 that the answer is not whole.
"""

import collections.abc
import enum
import typing

import aiohttp
from aiohttp import web
import multidict

from marjoramledge_node import _headers
from marjoramledge_node import _upstream

# Answers up to this size are read whole before they are passed on.
WHOLE_ANSWER_BYTES: typing.Final = 65536

_BODILESS_STATUSES: typing.Final = frozenset({204, 304})


class RelayEnd(enum.Enum):
    """How the relay of a flowing answer ended."""

    WHOLE = enum.auto()
    CUT_BY_SERVER = enum.auto()
    CUT_BY_CALLER = enum.auto()


async def read_whole(answer: _upstream.Answer, method: str) -> bytes | None:
    """Read a small answer; None when it broke off.

    Must only be called when ``is_small`` says so.
    """
    if is_bodiless(answer, method):
        answer.response.release()
        return b""
    try:
        body = await answer.response.read()
        if answer.closed is not None:
            await answer.closed
        return body
    except (aiohttp.ClientError, OSError):
        return None


def is_bodiless(answer: _upstream.Answer, method: str) -> bool:
    """Tell whether an answer has no body by definition."""
    return method == "HEAD" or answer.response.status in _BODILESS_STATUSES


def is_small(answer: _upstream.Answer, method: str) -> bool:
    """Tell whether an answer is read whole before it is passed on."""
    if is_bodiless(answer, method):
        return True
    length = answer.response.content_length
    if length is None:
        return answer.closed is not None
    return length <= WHOLE_ANSWER_BYTES


def build_whole(
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


async def pass_flowing(
    request: web.BaseRequest,
    answer: _upstream.Answer,
    extra: collections.abc.Mapping[str, str],
    *,
    closes: bool,
) -> tuple[web.StreamResponse, RelayEnd]:
    """Pass a large answer on while it comes in."""
    response = web.StreamResponse(
        status=answer.response.status,
        reason=answer.response.reason,
        headers=_answer_headers(answer, extra),
    )
    if answer.response.content_length is None:
        response.enable_chunked_encoding()
    if closes:
        response.force_close()
    try:
        await response.prepare(request)
        return response, await _pump(request, answer, response)
    except ConnectionError:
        answer.response.close()
        return response, RelayEnd.CUT_BY_CALLER


async def _pump(
    request: web.BaseRequest,
    answer: _upstream.Answer,
    response: web.StreamResponse,
) -> RelayEnd:
    reader = answer.response.content
    while True:
        try:
            chunk = await reader.readany()
        except (aiohttp.ClientError, OSError):
            cut(request)
            return RelayEnd.CUT_BY_SERVER
        if not chunk:
            break
        await response.write(chunk)
    await response.write_eof()
    return RelayEnd.WHOLE


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
