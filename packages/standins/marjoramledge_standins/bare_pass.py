"""A minimal HTTP proxy with the same library, without load balancing.

It is the baseline of the added latency: its own latency is due to the library
and the machine, and what a node adds beyond it is due to our code.
"""

import asyncio
import sys

import aiohttp
from aiohttp import web
from marjoramledge_node import process


async def _main(host: str, port: int, target_url: str) -> None:
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )

    async def pass_on(request: web.BaseRequest) -> web.Response:
        async with session.request(
            request.method,
            target_url + request.raw_path,
            headers=request.headers,
        ) as answer:
            body = await answer.read()
            return web.Response(status=answer.status, body=body)

    server = web.Server(pass_on, access_log=None)
    await asyncio.get_running_loop().create_server(server, host, port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=process.new_event_loop) as runner:
        runner.run(_main(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
