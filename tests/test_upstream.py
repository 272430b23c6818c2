"""What the node concludes from the response of a peer."""

import asyncio

from aiohttp import web
from marjoramledge_core import node
from marjoramledge_node import _auth
from marjoramledge_node import _bodies
from marjoramledge_node import _dialect
from marjoramledge_node import _headers
from marjoramledge_node import _upstream
from marjoramledge_standins import deployment
import multidict
import pytest
from returns import result

HOST = "127.0.0.1"
KEYS = _auth.parse_keys(deployment.KEYS).unwrap()
OTHER_KEYS = _auth.parse_keys("k9:another-secret-of-16").unwrap()
CONFIG = "7;digest;1500"
STATUS = "i-1;7;2.5;0;1"


async def _exchange(answer_headers: dict[str, str]) -> _upstream.SendResult:
    """Send a request to a peer that answers with the given headers."""

    async def serve(_request: web.BaseRequest) -> web.Response:
        return web.Response(body=b"whole", headers=answer_headers)

    port = deployment.find_free_port(HOST)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(web.Server(serve), HOST, port)
    upstream = _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=15.0, keys=KEYS
    )
    try:
        return await upstream.send_to_peer(
            _upstream.OutgoingRequest(
                method="POST",
                target="/orders",
                headers=multidict.CIMultiDict({_headers.ATTEMPT: "c.0"}),
                body=_bodies.Body(buffered=b"x"),
            ),
            node.Address(host=HOST, port=port),
            5.0,
        )
    finally:
        await upstream.close()
        server.close()


def test_an_answer_to_this_attempt_is_accepted() -> None:
    exchange = asyncio.run(_exchange({_headers.ATTEMPT: "c.0"}))
    assert isinstance(exchange, result.Success)


def test_a_refusal_of_this_attempt_proves_that_it_has_not_run() -> None:
    refusal = {
        _headers.ATTEMPT: "c.0",
        _headers.RUN: "not-run",
        _headers.REASON: "overloaded",
    }
    attempt_failure = asyncio.run(_exchange(refusal)).failure()
    assert attempt_failure.run is node.RunState.NOT_RUN
    assert attempt_failure.reason is node.Reason.OVERLOADED


@pytest.mark.parametrize("run", [None, "not-run", "may-have-run"])
@pytest.mark.parametrize("attempt", [None, "c.1", "d.0"])
def test_an_answer_to_another_attempt_is_ignored(
    attempt: str | None, run: str | None
) -> None:
    headers = {}
    if attempt is not None:
        headers[_headers.ATTEMPT] = attempt
    if run is not None:
        headers[_headers.RUN] = run
    attempt_failure = asyncio.run(_exchange(headers)).failure()
    assert attempt_failure.run is node.RunState.MAY_HAVE_RUN
    assert attempt_failure.reason is node.Reason.ANSWER_LOST


def test_an_unreachable_peer_has_not_run_the_attempt() -> None:
    async def send() -> _upstream.SendResult:
        upstream = _upstream.Upstream(
            dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=15.0
        )
        try:
            return await upstream.send_to_peer(
                _upstream.OutgoingRequest(
                    method="GET",
                    target="/",
                    headers=multidict.CIMultiDict({_headers.ATTEMPT: "c.0"}),
                    body=_bodies.Body(),
                ),
                node.Address(host=HOST, port=deployment.find_free_port(HOST)),
                5.0,
            )
        finally:
            await upstream.close()

    attempt_failure = asyncio.run(send()).failure()
    assert attempt_failure.run is node.RunState.NOT_RUN
    assert attempt_failure.reason is node.Reason.PEER_UNREACHABLE


def _build_report(
    keys: _auth.KeyRing, attempt: str, status: str = STATUS
) -> dict[str, str]:
    content = _auth.signed_report_content(attempt, CONFIG, status)
    return {
        _headers.ATTEMPT: "c.0",
        _headers.CONFIG: CONFIG,
        _headers.SERVER: STATUS,
        _headers.AUTH: keys.sign_header(content),
    }


@pytest.mark.parametrize("refusal", [{}, {_headers.RUN: "not-run"}])
def test_a_signed_report_of_a_peer_is_read(refusal: dict[str, str]) -> None:
    exchange = asyncio.run(
        _exchange({**_build_report(KEYS, "c.0"), **refusal})
    )
    report: _upstream.Answer | _upstream.AttemptFailure
    if isinstance(exchange, result.Failure):
        report = exchange.failure()
    else:
        report = exchange.unwrap()
    assert report.config is not None
    assert report.config.ref.version == 7
    assert report.status == _headers.parse_status(STATUS)


# Guards against a stranger on the network that names a version, or says that a
# server leaves, in a response to a node.
@pytest.mark.parametrize(
    "headers",
    [
        _build_report(OTHER_KEYS, "c.0"),
        _build_report(KEYS, "other.0"),
        _build_report(KEYS, "c.0", "i-1;7;;0;0"),
        {_headers.ATTEMPT: "c.0", _headers.CONFIG: CONFIG},
    ],
)
def test_a_report_without_a_valid_signature_is_ignored(
    headers: dict[str, str],
) -> None:
    answer = asyncio.run(_exchange(headers)).unwrap()
    assert answer.config is None
    assert answer.status is None
