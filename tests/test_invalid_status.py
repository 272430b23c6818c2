"""Status codes that HTTP doesn't have, to each client of the system.

A stand-in answers with a status line of three digits that are no status code
(RFC 9110, section 15), or with an interim one that isn't a response.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import loguru
from marjoramledge_core import node
from marjoramledge_node import _bodies
from marjoramledge_node import _dialect
from marjoramledge_node import _headers
from marjoramledge_node import _upstream
from marjoramledge_platform import _dialect as platform_dialect
from marjoramledge_platform import _store
from marjoramledge_standins import builders
from marjoramledge_store import client
import multidict
import pytest
from returns import result
import uvloop

HOST = "127.0.0.1"
TIMEOUT_S = 5.0
INVALID = ("000", "001", "099", "101", "150", "199", "600", "799", "999")
VALID = ("200", "299", "404", "599")
ATTEMPT = "attempt-1"

Use = collections.abc.Callable[
    [node.Address],
    collections.abc.Awaitable[result.Result[typing.Any, object]],
]


def _open_upstream() -> _upstream.Upstream:
    return _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=15.0
    )


def _build_request() -> _upstream.OutgoingRequest:
    return _upstream.OutgoingRequest(
        method="GET",
        target="/",
        headers=multidict.CIMultiDict(
            {"Host": "shop", _headers.ATTEMPT: ATTEMPT}
        ),
        body=_bodies.Body(),
    )


async def _send_to_server(
    address: node.Address,
) -> result.Result[typing.Any, object]:
    upstream = _open_upstream()
    server = dataclasses.replace(
        builders.build_server(), host=address.host, port=address.port
    )
    sent = await upstream.send_to_server(_build_request(), server, TIMEOUT_S)
    # A second request shows whether the connection is used again.
    await upstream.send_to_server(_build_request(), server, TIMEOUT_S)
    await upstream.close()
    return sent


async def _send_to_peer(
    address: node.Address,
) -> result.Result[typing.Any, object]:
    upstream = _open_upstream()
    sent = await upstream.send_to_peer(_build_request(), address, TIMEOUT_S)
    await upstream.send_to_peer(_build_request(), address, TIMEOUT_S)
    await upstream.close()
    return sent


async def _read_table(
    address: node.Address,
) -> result.Result[typing.Any, object]:
    tables = _store.PlatformTables(address=address)
    read = await tables.list_rows("op")
    await tables.close()
    return read


async def _write_row(
    address: node.Address,
) -> result.Result[typing.Any, object]:
    tables = _store.PlatformTables(address=address)
    written = await tables.put_row("fleet", "node/n0", b"{}")
    await tables.close()
    return written


async def _read_version(
    address: node.Address,
) -> result.Result[typing.Any, object]:
    store = client.StoreClient(
        base_url=f"http://{address.host}:{address.port}"
    )
    read = await store.read_version()
    await store.close()
    return read


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Shown:
    """What a client returned, how it connected, and what it logged."""

    returned: result.Result[typing.Any, object]
    requests_per_connection: list[int]
    lines: int


async def _play(use: Use, status: str) -> _Shown:
    counts: list[int] = []
    body = b'{"rows": [], "ver": 1}'

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        counts.append(0)
        number = len(counts) - 1
        while await reader.readline():
            while (await reader.readline()).strip():
                pass
            counts[number] += 1
            writer.write(
                f"HTTP/1.1 {status} Text\r\n{_headers.ATTEMPT}: {ATTEMPT}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
        writer.close()

    lines: list[str] = []
    sink = loguru.logger.add(lines.append, level="WARNING")
    listener = await asyncio.start_server(serve, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    async with asyncio.timeout(4 * TIMEOUT_S):
        returned = await use(node.Address(host=HOST, port=port))
    listener.close()
    loguru.logger.remove(sink)
    return _Shown(
        returned=returned,
        requests_per_connection=counts,
        lines=len(lines),
    )


# Guards against a status that is none of HTTP's and reaches a caller (as 0,
# with 000), or is taken for a proof that the request was answered.
@pytest.mark.parametrize("status", INVALID)
@pytest.mark.parametrize("use", [_send_to_server, _send_to_peer])
def test_no_request_is_answered_by_an_invalid_status(
    use: Use, status: str
) -> None:
    shown = uvloop.run(_play(use, status))
    failure = shown.returned.failure()
    assert isinstance(failure, _upstream.AttemptFailure)
    assert failure.run is node.RunState.MAY_HAVE_RUN
    assert failure.outcome is node.ServerOutcome.ABORTED
    assert shown.requests_per_connection == [1, 1]
    assert shown.lines == 2
    # What the caller is told on the platform.
    assert platform_dialect.DIALECT.map_status(502, failure.run) == 504


# Guards against a store's answer that is taken for an outcome though its
# status is none.
@pytest.mark.parametrize("status", INVALID)
@pytest.mark.parametrize("use", [_read_table, _write_row, _read_version])
def test_no_store_operation_ends_with_an_invalid_status(
    use: Use, status: str
) -> None:
    shown = uvloop.run(_play(use, status))
    assert shown.returned == result.Failure(client.StoreError.NO_ANSWER)
    assert shown.lines == 1


# Guards against a check that refuses codes that are unusual but valid.
@pytest.mark.parametrize("status", VALID)
def test_a_valid_status_is_an_answer(status: str) -> None:
    shown = uvloop.run(_play(_send_to_server, status))
    assert shown.returned.unwrap().response.status == int(status)
    assert shown.lines == 0
