"""A small HTTP/1.1 server and client for the stand-ins, on asyncio alone."""

import asyncio
import json
import urllib.parse

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


class Request:
    """A complete request."""

    def __init__(self, method, target, headers, body):
        self.method = method
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query, True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


async def read_message(reader):
    """Reads a message: its first line, headers and body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """Serves requests with `handle`, which returns (status, value) or None
    for no answer: the channel then says nothing further."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None

    async def start(self, host, port):
        self.server = await asyncio.start_server(
            self.serve, host, port, limit=1 << 24)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target = first.split(" ")[:2]
                request = Request(method, target, headers, body)
                answer = await self.handle(request)
                if answer is None:
                    await reader.read()
                    break
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                head = "HTTP/1.1 %d %s\r\ncontent-type: application/json" \
                    "\r\ncontent-length: %d\r\n\r\n" % (
                        status, REASONS.get(status, "Status"), len(data))
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Closes the port and all channels, as a crash does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, target, headers=None, value=None, limit=3.0):
    """Makes one call on a channel of its own. Returns (status, value), or
    (None, reason) without an answer."""
    async def run():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = b"" if value is None else json.dumps(value).encode()
            lines = ["%s %s HTTP/1.1" % (method, target)]
            named = {"Host": address, "Content-Type": "application/json",
                     "Content-Length": str(len(body)), "Connection": "close"}
            named.update(headers or {})
            lines += ["%s: %s" % pair for pair in named.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            message = await read_message(reader)
            if message is None:
                return None, "the channel ended"
            first, _, data = message
            status = int(first.split(" ")[1])
            try:
                return status, json.loads(data) if data else None
            except ValueError:
                return status, data.decode("utf-8", "replace")
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), limit)
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except OSError as error:
        return None, str(error)
