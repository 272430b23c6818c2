"""Simulated callers send a call to the same node only once."""

import asyncio
import collections

from marjoramledge_standins import traffic

HOST = "127.0.0.1"
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 10.0
READ = traffic.CallKind(
    name="read", host="shop", method="GET", path="/", weight=1.0
)
# Calls that are answered before the entry starts to close connections.
ANSWERED = 3
CALLS = 12


class _Entry:
    """Entry that answers the first calls and drops later connections."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.has_all_calls = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                call = head.partition(b"X-Call-Id: ")[2].split()[0].decode()
                self.runs[call] += 1
                if len(self.runs) >= CALLS:
                    self.has_all_calls.set()
                if len(self.runs) > ANSWERED:
                    return
                writer.write(b"HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


async def _run_callers() -> collections.Counter[str]:
    entry = _Entry()
    server = await asyncio.start_server(entry.serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    callers = traffic.Callers(
        urls=[f"http://{HOST}:{port}"],
        kinds=[READ],
        calls_per_s=500.0,
        seed=1,
    )
    callers.start()
    async with asyncio.timeout(HANG_TIMEOUT_S):
        await entry.has_all_calls.wait()
        await callers.stop()
    server.close()
    return entry.runs


# Guards against a false report of "not run": the client library resends a read
# when its entry is killed.  The first request has then run, but the second one
# may be refused, rightly, as not run.
def test_a_call_is_not_resent_after_its_connection_was_dropped() -> None:
    runs = asyncio.run(_run_callers())
    assert len(runs) >= CALLS
    assert set(runs.values()) == {1}


async def _call_dying_entry() -> tuple[
    traffic.CallResult, collections.Counter[str]
]:
    """Call an entry that dies during the call; the next one refuses it."""
    runs: collections.Counter[str] = collections.Counter()
    is_refused = asyncio.Event()

    async def run_and_die(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        runs[head.partition(b"X-Call-Id: ")[2].split()[0].decode()] += 1
        dying.close()
        writer.transport.abort()

    async def refuse(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 503 Full\r\nMarjoramledge-Run: not-run\r\n"
            b"Connection: close\r\nContent-Length: 0\r\n\r\n"
        )
        writer.close()
        is_refused.set()

    dying = await asyncio.start_server(run_and_die, HOST, 0)
    refusing = await asyncio.start_server(refuse, HOST, 0)
    # Entries take turns from the second one on, so the first call goes to the
    # one that dies.
    urls = [
        f"http://{HOST}:{server.sockets[0].getsockname()[1]}"
        for server in (refusing, dying)
    ]
    callers = traffic.Callers(
        urls=urls, kinds=[READ], calls_per_s=500.0, seed=1, takes_turns=True
    )
    callers.start()
    async with asyncio.timeout(HANG_TIMEOUT_S):
        # Set by the first call or by the second, which goes there directly.
        await is_refused.wait()
        await callers.stop()
    refusing.close()
    (first,) = [
        call_result
        for call_result in callers.results
        if call_result.call == "1-0"
    ]
    return first, runs


# Guards against a soak that records a call that ran as refused without a run,
# although no node gave a wrong answer (seed 15, calls 15-718 and 15-719).
def test_a_call_that_ran_at_a_dead_entry_is_not_reported_as_refused() -> None:
    first, runs = asyncio.run(_call_dying_entry())
    assert runs["1-0"] == 1
    assert first.ending is not traffic.Ending.REFUSED_NOT_RUN
