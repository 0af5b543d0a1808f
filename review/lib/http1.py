"""A small HTTP/1.1 server and client on asyncio, with the standard library
only."""

import asyncio
import json
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
           409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


class Request:
    """A request with its decoded body."""

    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def _read_head(reader):
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.decode("latin-1").strip(), headers


class Server:
    """Serves requests with `handler`, which returns a status and a JSON
    value, or None to break the connection off without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()
        self.port = None

    async def start(self, port):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Closes the port and all connections, as the end of a process
        does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await _read_head(reader)
                if head is None:
                    return
                first, headers = head
                method, target, _ = first.split(" ", 2)
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                request = Request(method, target, headers, body)
                answer = await self.handler(request)
                if answer is None:
                    writer.transport.abort()
                    return
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                reason = REASONS.get(status, "Status")
                writer.write(
                    f"HTTP/1.1 {status} {reason}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Makes one call on a connection of its own. Returns the status and the
    body; raises an exception if there is no answer."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            sent = {"host": address, "content-type": "application/json",
                    "content-length": str(len(data)), "connection": "close"}
            sent.update(headers or {})
            lines += [f"{name}: {value}" for name, value in sent.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            head = await _read_head(reader)
            if head is None:
                raise ConnectionError("no answer")
            first, answered = head
            status = int(first.split(" ")[1])
            length = int(answered.get("content-length", "0"))
            text = await reader.readexactly(length) if length else b""
            return status, text
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)
