"""Answers that the system itself gives, as RFC 9457 problem documents.

Each tells the reason in a word that programs can read, and whether the
request was run.
"""

import collections.abc
import json
import typing

from aiohttp import web
from marjoramledge_core import node

from marjoramledge_node import _headers

_STATUS_BY_REASON: typing.Final = {
    node.Reason.NO_CONFIGURATION: 503,
    node.Reason.UNKNOWN_SERVICE: 404,
    node.Reason.NO_SERVER: 503,
    node.Reason.OVERLOADED: 503,
    node.Reason.DEADLINE_PASSED: 504,
    node.Reason.SERVER_LEAVING: 503,
    node.Reason.OTHER_SERVICE: 503,
    node.Reason.ZONE_CLOSED: 503,
    node.Reason.DRAINED_BY_ORDER: 503,
    node.Reason.NODE_STOPPING: 503,
    node.Reason.NODE_FAULT: 503,
    node.Reason.SERVER_REFUSED: 503,
    node.Reason.SERVER_UNREACHABLE: 502,
    node.Reason.PEER_UNREACHABLE: 502,
    node.Reason.ANSWER_LOST: 502,
    node.Reason.ANSWER_CUT_SHORT: 502,
    node.Reason.QUARANTINED: 503,
    node.Reason.BAD_REQUEST: 400,
    node.Reason.BODY_STALLED: 408,
    node.Reason.NOT_A_MEMBER: 403,
}


StatusMapper = collections.abc.Callable[[int, node.RunState], int]


def _keep_status(status: int, run: node.RunState) -> int:
    del run
    return status


def build_refusal(
    reason: node.Reason,
    run: node.RunState,
    *,
    retry_after: str | None = None,
    load: node.LoadReport | None = None,
    map_status: StatusMapper = _keep_status,
) -> web.Response:
    """Build an answer in the system's own name.

    Parameters
    ----------
    reason
        Why there is no other answer.
    run
        Whether a backend server may have run the request.
    retry_after
        When another try makes sense, as callers read it.
    load
        The gate's load, when a peer is answered.
    choose_status
        Turns the usual status into what callers take for a promise.
    """
    headers = {
        _headers.RUN: run.value,
        _headers.REASON: reason.value,
    }
    if retry_after is not None:
        headers["Retry-After"] = retry_after
    if load is not None:
        headers[_headers.LOAD] = _headers.format_load(load)
    status = map_status(_STATUS_BY_REASON[reason], run)
    document = {
        "title": reason.value,
        "status": status,
        "run": run.value,
    }
    return web.Response(
        status=status,
        headers=headers,
        body=json.dumps(document).encode(),
        content_type="application/problem+json",
    )
