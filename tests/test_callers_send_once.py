"""The callers of the stand-ins send a call to one node once."""

import asyncio
import collections

from marjoramledge_standins import traffic

HOST = "127.0.0.1"
# Ends a test that would never end; no promise is read from it.
HANG_S = 10.0
READ = traffic.CallKind(
    name="read", host="shop", method="GET", path="/", weight=1.0
)
# So many calls come before the entry begins to break off.
ANSWERED = 3
CALLS = 12


class _Entry:
    """Runs what it reads; answers the first, breaks off from the others."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.is_done = asyncio.Event()

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
                    self.is_done.set()
                if len(self.runs) > ANSWERED:
                    return
                writer.write(b"HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


async def _call() -> collections.Counter[str]:
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
    async with asyncio.timeout(HANG_S):
        await entry.is_done.wait()
        await callers.stop()
    server.close()
    return entry.runs


# Guards against: the client library sends a read again by itself when an
# entry is killed under it; the call has then run, and a later refusal of its
# second sending, true in itself, is told as a false "not run".
def test_a_call_whose_entry_broke_off_is_not_sent_again() -> None:
    runs = asyncio.run(_call())
    assert len(runs) >= CALLS
    assert set(runs.values()) == {1}


async def _call_one_that_dies() -> tuple[
    traffic.CallResult, collections.Counter[str]
]:
    """Call an entry that ends while it runs the call; the next refuses it."""
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
    # In turn from the second on: the first call goes to the one that dies.
    urls = [
        f"http://{HOST}:{server.sockets[0].getsockname()[1]}"
        for server in (refusing, dying)
    ]
    callers = traffic.Callers(
        urls=urls, kinds=[READ], calls_per_s=500.0, seed=1, takes_turns=True
    )
    callers.start()
    async with asyncio.timeout(HANG_S):
        # Of the first call, or of the second, which goes there at once.
        await is_refused.wait()
        await callers.stop()
    refusing.close()
    (first,) = [r for r in callers.results if r.call == "1-0"]
    return first, runs


# Guards against: the evidence of the soak has a refusal as not run of a call
# that ran, though no node gave a false one (seed 15, calls 15-718 and 15-719).
def test_a_call_that_ran_at_a_dead_entry_is_not_told_as_refused() -> None:
    first, runs = asyncio.run(_call_one_that_dies())
    assert runs["1-0"] == 1
    assert first.ending is not traffic.Ending.REFUSED_NOT_RUN
