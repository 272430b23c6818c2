"""Raw connections of simulated callers, and the checks of answers."""

import asyncio
import collections.abc
import json

from marjoramledge_standins import backend_server
from marjoramledge_standins import demo
from marjoramledge_standins import raw_connections
from marjoramledge_standins import traffic
import pytest

HOST = "127.0.0.1"
PAGE, _LOOKUP, ORDER = demo.KINDS

Serve = collections.abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    collections.abc.Awaitable[None],
]


def _build_answer(call: str, *, extra: str = "") -> bytes:
    body = json.dumps({"call": call, "body": ""}).encode()
    head = (
        f"HTTP/1.1 200 OK\r\nx-call-id: {call}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def _start_server(serve: Serve) -> tuple[asyncio.Server, int]:
    async def serve_and_close(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await serve(reader, writer)
        writer.close()

    server = await asyncio.start_server(serve_and_close, HOST, 0)
    return server, server.sockets[0].getsockname()[1]


async def _read_calls(reader: asyncio.StreamReader, count: int) -> list[str]:
    calls = []
    for _ in range(count):
        head = await reader.readuntil(b"\r\n\r\n")
        calls.append(head.partition(b"X-Call-Id: ")[2].split()[0].decode())
    return calls


def _build_request(call: str) -> bytes:
    return raw_connections.format_request(
        method="GET", path="/", host="shop", call=call, body=b""
    )


def _send_all(
    serve: Serve, calls: collections.abc.Sequence[str]
) -> tuple[list[raw_connections.Outcome], list[tuple[str, bool]]]:
    """Send calls together; return their outcomes and all answers.

    Each answer is paired with whether a call waited for it.
    """
    answers = []

    async def run() -> list[raw_connections.Outcome]:
        server, port = await _start_server(serve)
        connection = await raw_connections.open_connection(
            host=HOST,
            port=port,
            on_answer=lambda answer, is_expected: answers.append(
                (answer.headers["X-Call-Id"], is_expected)
            ),
        )
        futures = connection.send([_build_request(call) for call in calls])
        async with asyncio.timeout(5.0):
            outcomes = await asyncio.gather(*futures)
            await connection.wait_for_end()
        await connection.close()
        server.close()
        return list(outcomes)

    return asyncio.run(run()), answers


def test_answers_are_matched_to_calls_in_the_order_of_sending() -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for call in await _read_calls(reader, 3):
            writer.write(_build_answer(call))

    outcomes, answers = _send_all(serve, ["a", "b", "c"])
    assert answers == [("a", True), ("b", True), ("c", True)]
    for outcome, call in zip(outcomes, "abc", strict=True):
        assert isinstance(outcome, raw_connections.Answer)
        assert outcome.headers["X-Call-Id"] == call


def test_an_answer_that_no_call_waits_for_is_reported() -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _read_calls(reader, 1)
        writer.write(_build_answer("a") + _build_answer("b"))

    _, answers = _send_all(serve, ["a"])
    assert answers == [("a", True), ("b", False)]


def test_an_answer_is_not_lost_when_the_connection_ends() -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _read_calls(reader, 1)
        writer.write(_build_answer("a", extra="Connection: close\r\n"))

    for _ in range(50):
        outcomes, _ = _send_all(serve, ["a", "b", "c"])
        assert isinstance(outcomes[0], raw_connections.Answer)


def test_chunks_are_joined() -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _read_calls(reader, 1)
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Call-Id: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"
        )

    (outcome,), _ = _send_all(serve, ["a"])
    assert isinstance(outcome, raw_connections.Answer)
    assert outcome.content == b"onetwo"


@pytest.mark.parametrize(
    ("sent", "fates"),
    [
        (b"", ["new", "new", "new"]),
        (b"HTTP/1.1 200", ["cut", "new", "new"]),
        (_build_answer("a"), ["used", "used"]),
        (_build_answer("a") + _build_answer("b")[:-1], ["cut", "used"]),
        (_build_answer("a") + b"noise\r\n\r\n", ["cut", "used"]),
    ],
)
def test_the_end_of_a_connection_gives_each_unanswered_call_a_fate(
    sent: bytes, fates: list[str]
) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _read_calls(reader, 3)
        writer.write(sent)

    outcomes, _ = _send_all(serve, ["a", "b", "c"])
    values = [
        outcome.failure.value
        for outcome in outcomes
        if isinstance(outcome, raw_connections.NoAnswer)
    ]
    assert values == fates


def _judge(
    status: int, echo: str | None, call: str, kind: traffic.CallKind = PAGE
) -> traffic.Ending:
    body = json.dumps(
        {
            "call": call,
            "body": "e3b0c44298fc1c149afbf4c8996fb924"
            "27ae41e4649b934ca495991b7852b855",
        }
    )
    headers = {} if echo is None else {backend_server.CALL_HEADER: echo}
    ending, _ = traffic.classify_answer(
        "a", kind, status, headers, body.encode()
    )
    return ending


def test_an_answer_must_match_its_call_in_header_and_body() -> None:
    wrong = traffic.Ending.WRONG_ANSWER
    assert _judge(200, "a", "a") is traffic.Ending.ANSWERED
    assert _judge(200, "b", "a") is wrong
    assert _judge(200, "a", "b") is wrong
    assert _judge(200, None, "a") is wrong
    assert _judge(200, "a", "a", ORDER) is wrong
    assert _judge(500, "a", "") is traffic.Ending.SERVER_ERROR
    assert _judge(500, "b", "") is wrong
    headers = {backend_server.CALL_HEADER: "a"}
    for content in (b"{", b"[]", b"{}"):
        assert traffic.classify_answer("a", PAGE, 200, headers, content)[
            0
        ] is (wrong)
