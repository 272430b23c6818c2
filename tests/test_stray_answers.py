"""Second answers that arrive just as their connection is reused.

A backend server that answers a request twice must not have its second answer
used for the next request.
"""

import socket
import threading

from marjoramledge_node import _bodies
from marjoramledge_node import _dialect
from marjoramledge_node import _headers
from marjoramledge_node import _relay
from marjoramledge_node import _upstream
from marjoramledge_platform import _dialect as platform_dialect
from marjoramledge_standins import builders
import multidict
import pytest
import uvloop

HOST = "127.0.0.1"
TIMEOUT_S = 5.0
FIRST = "first-request"
SECOND = "other-request"
REQUEST_ID = platform_dialect.DIALECT.request_id or ""


class _Server:
    """Answers the first request, and again once ``may_repeat`` is set."""

    def __init__(self) -> None:
        self._listener = socket.create_server((HOST, 0))
        self.port: int = self._listener.getsockname()[1]
        self.may_repeat = threading.Event()
        self.is_repeated = threading.Event()
        self.may_close = threading.Event()
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        accepted, _ = self._listener.accept()
        accepted.settimeout(TIMEOUT_S)
        with accepted, self._listener:
            accepted.recv(65536)
            accepted.sendall(_encode_answer(FIRST))
            self.may_repeat.wait(TIMEOUT_S)
            accepted.sendall(_encode_answer(FIRST))
            self.is_repeated.set()
            self.may_close.wait(TIMEOUT_S)


def _encode_answer(name: str) -> bytes:
    head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {name}"
    return f"{head}\r\nContent-Length: {len(name)}\r\n\r\n{name}".encode()


async def _request(
    upstream: _upstream.Upstream, port: int, name: str
) -> bytes | None:
    exchange = await upstream.send_to_server(
        _upstream.OutgoingRequest(
            method="GET",
            target="/",
            headers=multidict.CIMultiDict(
                {REQUEST_ID: name, _headers.CALL: name}
            ),
            body=_bodies.Body(),
        ),
        builders.build_server(port=port),
        TIMEOUT_S,
    )
    answer = exchange.value_or(None)
    if answer is None:
        return None
    start = await _relay.read_body_start(answer, "GET")
    return None if start is None else start.body


async def _request_twice(
    dialect: _dialect.Dialect,
) -> tuple[bytes | None, bytes | None]:
    upstream = _upstream.Upstream(dialect=dialect, idle_connection_s=15.0)
    server = _Server()
    try:
        first = await _request(upstream, server.port, FIRST)
        # The wait blocks the event loop, so that it has not read the second
        # answer when it chooses a connection for the next request.
        server.may_repeat.set()
        server.is_repeated.wait(TIMEOUT_S)
        return first, await _request(upstream, server.port, SECOND)
    finally:
        server.may_close.set()
        await upstream.close()


class _LateServer:
    """Answers the second request on a connection with the first answer.

    The copy comes after the second request was written, so that nothing on
    the connection shows it before.
    """

    def __init__(self, *, names_calls: bool) -> None:
        self._listener = socket.create_server((HOST, 0))
        self.port: int = self._listener.getsockname()[1]
        self._names_calls = names_calls
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        accepted, _ = self._listener.accept()
        accepted.settimeout(TIMEOUT_S)
        answer = _encode_answer(FIRST)
        if self._names_calls:
            name = f"\r\n{_headers.CALL}: {FIRST}\r\n".encode()
            answer = answer.replace(b"\r\n", name, 1)
        with accepted, self._listener:
            for _ in range(2):
                accepted.recv(65536)
                accepted.sendall(answer)


async def _request_after_answer(
    dialect: _dialect.Dialect, *, names_calls: bool
) -> tuple[bytes | None, bytes | None]:
    upstream = _upstream.Upstream(dialect=dialect, idle_connection_s=15.0)
    server = _LateServer(names_calls=names_calls)
    try:
        first = await _request(upstream, server.port, FIRST)
        return first, await _request(upstream, server.port, SECOND)
    finally:
        await upstream.close()


# Guards against a second answer that comes late, on a connection that is in
# use again, and reaches the next caller.
@pytest.mark.parametrize(
    ("dialect", "names_calls"),
    [
        pytest.param(_dialect.DEFAULT_DIALECT, True, id="own"),
        pytest.param(platform_dialect.DIALECT, False, id="platform"),
    ],
)
def test_a_late_second_answer_is_told_by_its_name(
    dialect: _dialect.Dialect, names_calls: bool
) -> None:
    first, second = uvloop.run(
        _request_after_answer(dialect, names_calls=names_calls)
    )
    assert first == FIRST.encode()
    assert second is None


# Guards against an answer that reaches another request's caller.
@pytest.mark.parametrize(
    "dialect",
    [
        pytest.param(_dialect.DEFAULT_DIALECT, id="own"),
        pytest.param(platform_dialect.DIALECT, id="platform"),
    ],
)
def test_a_second_answer_is_not_used_for_the_next_request(
    dialect: _dialect.Dialect,
) -> None:
    first, second = uvloop.run(_request_twice(dialect))
    assert first == FIRST.encode()
    assert second is None
