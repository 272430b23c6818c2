"""Error responses of the node itself, as RFC 9457 problem documents.

Each contains a machine-readable reason, and whether the request was run.
"""

import collections.abc
import json
import typing

from aiohttp import web
from marjoramledge_core import node

from marjoramledge_node import _headers

_STATUS_BY_REASON: typing.Final = {
    node.Reason.NO_CONFIGURATION: 503,
    node.Reason.OUTDATED_CONFIGURATION: 503,
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
    node.Reason.UNKNOWN_KEY: 401,
    node.Reason.UNPROVEN_CONFIGURATION: 503,
    node.Reason.BAD_REQUEST: 400,
    node.Reason.BODY_STALLED: 408,
    node.Reason.NOT_A_MEMBER: 403,
    node.Reason.WORKSPACE_LIMIT: 429,
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
    """Build the response to a request that the node refuses.

    Parameters
    ----------
    reason
        Reason of the refusal.
    run
        Whether a backend server may have run the request.
    retry_after
        Value of the ``Retry-After`` header, if any.
    load
        Load of the local gate, for a response to a peer.
    map_status
        Maps the default status to the one by which callers recognize
        whether the request was run.
    """
    headers = {
        _headers.RUN: run.value,
        _headers.REASON: reason.value,
    }
    if reason is node.Reason.UNKNOWN_KEY:
        # RFC 9110, section 15.5.2: an answer with 401 names a scheme.
        headers["WWW-Authenticate"] = "Bearer"
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
