"""A proxy that stands for a machine's link. Its open channels can go silent
for good, without a reset, while new ones work."""

import asyncio

CHUNK = 8192


class Link:
    def __init__(self, target):
        self.target = target
        self.channels = 0
        # Channels that were opened before the last silence pass nothing on.
        self.silences = 0
        self.stopped = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    def silence(self):
        """Silences all open channels; returns how many there are."""
        self.silences += 1
        return self.channels

    async def serve(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            there, to = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.channels += 1
        try:
            await asyncio.gather(self.copy(reader, to),
                                 self.copy(there, writer))
        except asyncio.CancelledError:
            pass
        finally:
            self.channels -= 1

    async def copy(self, reader, writer):
        opened = self.silences
        try:
            while data := await reader.read(CHUNK):
                if opened != self.silences:
                    await self.stopped.wait()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            if opened == self.silences:
                writer.close()
