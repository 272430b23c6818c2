"""The platform's store with an unsolicited response on a connection."""

import asyncio
import base64
import json
import socket

from marjoramledge_core import configuration
from marjoramledge_core import node
from marjoramledge_platform import _store
from marjoramledge_store import client
from marjoramledge_store import followed
from returns import result

HOST = "127.0.0.1"
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 10.0


def _build_response(table: str, key: str, version: int) -> bytes:
    """Build a response of the store with one row of a table."""
    row = {
        "table": table,
        "part": "",
        "key": key,
        "value": base64.b64encode(b"{}").decode(),
        "ver": version,
    }
    body = json.dumps({"rows": [row], "ver": version}).encode()
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    )


async def _read_keys() -> set[str]:
    """Return the row keys read after an unsolicited response.

    The store sends the response between two reads of the operator's table.
    """
    may_send_stray = asyncio.Event()
    is_first = True

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal is_first
        while True:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            writer.write(_build_response("operator", "config", 5))
            if is_first:
                is_first = False
                await may_send_stray.wait()
                writer.write(_build_response("fleet", "member/n7", 6))

    server = await asyncio.start_server(serve, HOST, 0, family=socket.AF_INET)
    tables = _store.PlatformTables(
        address=node.Address(
            host=HOST, port=server.sockets[0].getsockname()[1]
        )
    )
    store = followed.ChangeFeedStore(tables=tables, operator_table="operator")
    reads: list[
        result.Result[client.VersionRow | None, client.StoreError]
    ] = []
    async with asyncio.timeout(HANG_TIMEOUT_S):
        reads.append(await store.wait_version(configuration.NO_VERSION, 0.0))
        may_send_stray.set()
        # The unsolicited response arrives while the connection is idle.
        await asyncio.sleep(0.1)
        row = reads[0].unwrap()
        assert row is not None
        reads.append(await store.wait_version(row.ref, 0.0))
        content = await store.get_manifest(
            row.ref.digest
            if isinstance(reads[1], result.Failure)
            else (reads[1].unwrap() or row).ref.digest
        )
    await tables.close()
    server.close()
    return set(followed.decode_rows(content.unwrap()))


# Guards against a wrong configuration: the next read would use a response that
# belongs to none of its requests, here with rows of another table, as the
# operator's rows.  The digest does not reveal this, because the reader
# computes it from the rows that it received.
def test_an_unsolicited_response_is_not_used_for_the_next_read() -> None:
    assert asyncio.run(_read_keys()) == {"config"}
