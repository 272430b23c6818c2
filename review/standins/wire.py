"""Minimal HTTP/1.1 server and client of the stand-ins, without libraries."""

import asyncio


class Request:
    """One request: method, target, headers (lower-case names) and body."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Read a start line and headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Read a body that has a length or is sent in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if not size:
                while (await reader.readline()).strip():
                    pass
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader):
    """Read a request; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    return Request(method, target, head[1], await read_body(reader, head[1]))


def build_answer(status, headers, body):
    """Build the bytes of an answer with a length."""
    reason = {200: "OK", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def build_request(method, target, headers, body=None, *, chunked=False):
    """Build the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    content = b""
    if body is not None and chunked:
        lines.append("Transfer-Encoding: chunked")
        content = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
    elif body is not None:
        lines.append(f"Content-Length: {len(body)}")
        content = body
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + content


async def exchange(address, content, timeout_s):
    """Send one request on a new connection.

    Returns the status, headers and body, or None without a whole answer.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(content)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return None
            body = await read_body(reader, head[1])
            return int(head[0].split(" ")[1]), head[1], body
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
