"""The platform's store on a kept connection that brings a stray answer."""

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
# Ends a test that would never end; no promise is read from it.
HANG_S = 10.0


def _build_answer(table: str, key: str, version: int) -> bytes:
    """Build the store's answer with one row of a table."""
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
    """Follow a table; between two reads comes an answer that none asked."""
    strayed = asyncio.Event()
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
            writer.write(_build_answer("operator", "config", 5))
            if is_first:
                is_first = False
                await strayed.wait()
                writer.write(_build_answer("fleet", "member/n7", 6))

    server = await asyncio.start_server(serve, HOST, 0, family=socket.AF_INET)
    tables = _store.PlatformTables(
        address=node.Address(
            host=HOST, port=server.sockets[0].getsockname()[1]
        )
    )
    store = followed.ChangeFeedStore(tables=tables, operator_table="operator")
    seen: list[result.Result[client.VersionRow | None, client.StoreError]] = []
    async with asyncio.timeout(HANG_S):
        seen.append(await store.wait_version(configuration.NO_VERSION, 0.0))
        strayed.set()
        # The stray answer arrives while the connection is idle.
        await asyncio.sleep(0.1)
        row = seen[0].unwrap()
        assert row is not None
        seen.append(await store.wait_version(row.ref, 0.0))
        content = await store.get_manifest(
            row.ref.digest
            if isinstance(seen[1], result.Failure)
            else (seen[1].unwrap() or row).ref.digest
        )
    await tables.close()
    server.close()
    return set(followed.decode_rows(content.unwrap()))


# Guards against CONFIG: the next read takes an answer that belongs to none of
# its requests, here with rows of another table, for the operator's rows.  The
# digest does not tell: the reader computes it from what it was given.
def test_a_stray_answer_of_the_store_is_not_taken_for_the_next() -> None:
    assert asyncio.run(_read_keys()) == {"config"}
