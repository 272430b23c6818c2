"""Stand-in for a backend server.

It has slots, a service time with bursts of slowness from a noisy neighbour,
a cold start that fails under too much load, draining, load shedding,
cancellation, deadlines, a health page, and a load page that lags.  Headers
of a request inject faults: ``X-Crash`` ends the process, ``X-Drop-At`` closes
the connection without an answer at the named server or at ``any``,
``X-Cut-At`` aborts the answer after the given number of bytes,
``X-Sleep-Ms`` delays it, and ``X-Endless`` requests an endless answer of the
given ``EndlessForm``.

Every request that starts to run is first written to the record file, with
the caller's ``X-Call-Id``, which answers carry as well.  ``PUT /standin``
changes its behaviour, see ``Behaviour``.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import hashlib
import json
import os
import random
import signal
import time
import typing
import zlib

import aiohttp
from aiohttp import web
import typer

from marjoramledge_standins import endless
from marjoramledge_standins import virtual_servers

COLD_SLOWDOWN: typing.Final = 4.0
ANNOUNCE_RETRY_S: typing.Final = 0.2
ANNOUNCE_PERIOD_S: typing.Final = 1.0
CHUNK: typing.Final = bytes(65536)
CALL_HEADER: typing.Final = "X-Call-Id"


@dataclasses.dataclass(slots=True, kw_only=True)
class Behaviour:
    """Settings that may be changed while the stand-in runs.

    ``load_lag_s`` is the age of the load that the load page shows; ``lies``
    makes the page always show an idle server.  ``rate_limit`` is the text
    that answers name as the limit of requests a second, if any, and
    ``is_leaving`` makes all answers say that the server leaves.
    """

    service_ms: float
    fail_fast: bool = False
    load_lag_s: float = 1.0
    lies: bool = False
    rate_limit: str = ""
    is_leaving: bool = False


class BackendServer:
    """Simulates one backend server.

    Parameters
    ----------
    name, service
        Names of the server and of its service.
    slots
        Number of requests that run concurrently.
    cold_s
        Seconds that it stays cold after its start and after each overload.
    cold_bears
        Maximum number of concurrent requests while cold.
    cold_calls_per_s
        Maximum number of requests in any second while cold; 0 for no limit.
    shed_above
        Maximum number of requests that wait for a slot; more are shed.
    behaviour
        Settings that may change while it runs.
    noise
        Bursts of slowness caused by a noisy neighbour.
    records
        File that records are written to.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        slots: int,
        cold_s: float,
        cold_bears: int,
        cold_calls_per_s: int,
        shed_above: int,
        behaviour: Behaviour,
        noise: virtual_servers.Noise,
        records: typing.TextIO,
    ) -> None:
        self._name = name
        self._service = service
        self._slots = slots
        self._cold_s = cold_s
        self._cold_bears = cold_bears
        self._cold_calls_per_s = cold_calls_per_s
        self._cold_starts: collections.deque[float] = collections.deque()
        self._shed_above = shed_above
        self._behaviour = behaviour
        self._records = records
        self._rng = random.Random(name)
        self._semaphore = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._cold_until = time.monotonic() + cold_s
        self._overloads = 0
        self._history: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=4096)
        )
        self._began_at = time.monotonic()
        self._profile = virtual_servers.SpeedProfile(
            noise=noise,
            seed=zlib.crc32(name.encode()),
            until_s=virtual_servers.HORIZON_S,
        )

    @property
    def is_cold(self) -> bool:
        """Return whether the server is currently cold."""
        return time.monotonic() < self._cold_until

    @property
    def running(self) -> int:
        """Return the number of running and waiting requests."""
        return self._running + self._waiting

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request."""
        response = await self._serve(request)
        if not response.prepared:
            response.headers.update(self._build_signals())
        return response

    def _build_signals(self) -> dict[str, str]:
        headers = {}
        if self._behaviour.rate_limit:
            headers["Marjoramledge-Rate-Limit"] = self._behaviour.rate_limit
        if self._behaviour.is_leaving:
            headers["Marjoramledge-Leaving"] = "1"
        return headers

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/health":
            return web.Response(text="ok")
        if request.path == "/load":
            return _json(200, {"running": self._shown_load()})
        if request.path == "/standin":
            return await self._change(request)
        if "X-Crash" in request.headers:
            self._record(request, "crash")
            os._exit(1)
        if self._waiting >= self._shed_above:
            return web.Response(
                status=503, headers={"Marjoramledge-Run": "not-run"}
            )
        self._waiting += 1
        try:
            await self._semaphore.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        self._history.append((time.monotonic(), self._running))
        try:
            response = await self._run(request)
            call = request.headers.get(CALL_HEADER)
            if call is not None and not response.prepared:
                response.headers[CALL_HEADER] = call
            return response
        except asyncio.CancelledError:
            self._record(request, "cancelled")
            raise
        finally:
            self._running -= 1
            self._semaphore.release()

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        self._record(request, "run")
        if self._behaviour.fail_fast:
            return web.Response(status=500)
        if request.headers.get("X-Drop-At") in (self._name, "any"):
            _abort_connection(request)
            return web.Response(status=500)
        if self.is_cold and self._is_overloaded():
            self._become_cold(request)
            return web.Response(status=500)
        form = request.headers.get("X-Endless")
        if form is not None:
            return await self._send_endless(request, form)
        body = await _digest_body(request)
        service_s = self._service_time_s()
        service_s += int(request.headers.get("X-Sleep-Ms", "0")) / 1000
        deadline_ms = request.headers.get("Marjoramledge-Deadline-Ms")
        if deadline_ms is not None and service_s > int(deadline_ms) / 1000:
            await asyncio.sleep(int(deadline_ms) / 1000)
            return web.Response(status=504)
        if service_s > 0.0:
            await asyncio.sleep(service_s)
        size = int(request.query.get("bytes", "0"))
        if size:
            cut_at = int(request.headers.get("X-Cut-At", size))
            return await _send_large(
                request, size, cut_at, self._build_signals()
            )
        return _json(
            200,
            {
                "call": request.headers.get(CALL_HEADER, ""),
                "server": self._name,
                "body": body,
                "system_headers": _find_system_headers(request),
            },
        )

    async def _send_endless(
        self, request: web.BaseRequest, form: str
    ) -> web.Response:
        is_closed = await endless.send_endless(
            request, endless.EndlessForm(form)
        )
        self._record(request, "cancelled" if is_closed else "never-closed")
        return web.Response(status=500)

    def _is_overloaded(self) -> bool:
        now = time.monotonic()
        self._cold_starts.append(now)
        while self._cold_starts[0] <= now - 1.0:
            self._cold_starts.popleft()
        is_too_fast = 0 < self._cold_calls_per_s < len(self._cold_starts)
        return is_too_fast or self._running > self._cold_bears

    def _service_time_s(self) -> float:
        behaviour = self._behaviour
        seconds = behaviour.service_ms / 1000
        seconds *= self._rng.lognormvariate(-0.08, 0.4)
        if self.is_cold:
            seconds *= COLD_SLOWDOWN
        now = time.monotonic() - self._began_at
        return self._profile.finish_at(now, seconds) - now

    def _become_cold(self, request: web.BaseRequest) -> None:
        self._overloads += 1
        self._cold_until = time.monotonic() + self._cold_s
        self._record(request, "fell")

    async def _change(self, request: web.BaseRequest) -> web.Response:
        if request.method == "PUT":
            for key, value in json.loads(await request.read()).items():
                if key == "fall_cold":
                    self._cold_until = time.monotonic() + self._cold_s
                else:
                    setattr(self._behaviour, key, value)
        return _json(
            200,
            {
                "is_cold": self.is_cold,
                "falls": self._overloads,
                "running": self.running,
            },
        )

    def _shown_load(self) -> int:
        if self._behaviour.lies:
            return 0
        seen_at = time.monotonic() - self._behaviour.load_lag_s
        shown = 0
        for at, running in self._history:
            if at > seen_at:
                break
            shown = running
        return shown

    def _record(self, request: web.BaseRequest, event: str) -> None:
        record = {
            "t": time.monotonic(),
            "event": event,
            "call": request.headers.get(CALL_HEADER, ""),
            "method": request.method,
            "path": request.path,
            "is_cold": self.is_cold,
            "running": self._running,
        }
        self._records.write(json.dumps(record) + "\n")
        self._records.flush()


async def _digest_body(request: web.BaseRequest) -> str:
    digest = hashlib.sha256()
    async for chunk in request.content.iter_any():
        digest.update(chunk)
    return digest.hexdigest()


async def _send_large(
    request: web.BaseRequest,
    size: int,
    cut_at: int,
    headers: dict[str, str],
) -> web.StreamResponse:
    """Send an answer of the given size, aborted after ``cut_at`` bytes."""
    response = web.StreamResponse(
        headers={"Content-Length": str(size), **headers}
    )
    await response.prepare(request)
    left = min(size, cut_at)
    while left > 0:
        await response.write(CHUNK[:left])
        left -= len(CHUNK)
    if cut_at < size:
        await asyncio.sleep(0.05)
        _abort_connection(request)
    else:
        await response.write_eof()
    return response


def _abort_connection(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()


def _find_system_headers(request: web.BaseRequest) -> list[str]:
    return sorted(
        name
        for name in request.headers
        if name.lower().startswith("marjoramledge-")
    )


def _json(status: int, document: object) -> web.Response:
    return web.Response(
        status=status,
        body=json.dumps(document).encode(),
        content_type="application/json",
    )


async def announce_periodically(
    node_url: str, announcement: dict[str, object]
) -> None:
    """Announce a backend server every second, as its node may restart."""
    while node_url:
        await asyncio.sleep(ANNOUNCE_PERIOD_S)
        await announce(node_url, announcement, is_persistent=False)


async def announce(
    node_url: str,
    announcement: dict[str, object],
    *,
    is_persistent: bool = True,
) -> None:
    """Announce a backend server to its node.

    With ``is_persistent``, retry until the node is reachable.
    """
    async with aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.put(
                    f"{node_url}/server", json=announcement
                ) as response:
                    if response.status == 204:
                        return
                    raise AssertionError(await response.text())
            except aiohttp.ClientError:
                if not is_persistent:
                    return
                await asyncio.sleep(ANNOUNCE_RETRY_S)


def main(
    *,
    name: typing.Annotated[str, typer.Option()],
    service: typing.Annotated[str, typer.Option()],
    host: typing.Annotated[str, typer.Option()],
    port: typing.Annotated[int, typer.Option()],
    records: typing.Annotated[str, typer.Option()],
    node_url: str = "",
    announce_port: int = 0,
    slots: int = 12,
    connections: int = 220,
    cold_s: float = 1.0,
    cold_bears: int = 2,
    cold_calls_per_s: int = 0,
    service_ms: float = 10.0,
    shed_above: int = 12,
    noise: float = 1.0,
    quiet_s: float = 0.2,
    burst_s: float = 0.05,
) -> None:
    """Run a backend server until SIGTERM, then drain it and exit."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        with open(records, "a", encoding="utf-8") as file:  # noqa: ASYNC230
            server = BackendServer(
                name=name,
                service=service,
                slots=slots,
                cold_s=cold_s,
                cold_bears=cold_bears,
                cold_calls_per_s=cold_calls_per_s,
                shed_above=shed_above,
                behaviour=Behaviour(service_ms=service_ms),
                noise=virtual_servers.Noise(
                    quiet_s=quiet_s, burst_s=burst_s, slowdown=noise
                ),
                records=file,
            )
            await loop.create_server(
                web.Server(
                    server.serve, handler_cancellation=True, access_log=None
                ),
                host,
                port,
            )
            announcement: dict[str, object] = {
                "service": service,
                "host": host,
                "port": announce_port or port,
                "slots": slots,
                "connections": connections,
                "cold_concurrency": cold_bears,
                "health_path": "/health",
            }
            stopping = asyncio.Event()
            loop.add_signal_handler(signal.SIGTERM, stopping.set)
            if node_url:
                left_ms = round(cold_s * 1000)
                await announce(
                    node_url,
                    {
                        **announcement,
                        "state": "cold",
                        "cold_left_ms": left_ms,
                    },
                )
                await asyncio.sleep(cold_s)
                await announce(node_url, {**announcement, "state": "warm"})
            announcing = asyncio.create_task(
                announce_periodically(
                    node_url, {**announcement, "state": "warm"}
                )
            )
            await stopping.wait()
            announcing.cancel()
            if node_url:
                await announce(
                    node_url, {"state": "draining"}, is_persistent=False
                )
            while server.running:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    asyncio.run(run())


if __name__ == "__main__":
    typer.run(main)
