"""A stand-in for the platform's metadata store, after PROTOCOL.md."""

import asyncio
import base64
import json
import time

import http1

MAX_ENTRIES = 32
MAX_KEY_BYTES = 200
MAX_VALUE_BYTES = 1048576
MAX_PAGE_ITEMS = 500
ANSWER_S = 0.004


class Store:
    """Keys with revisions, leases and watches."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 77000
        self.changed = asyncio.Event()
        self.server = http1.Server(self.handle)
        self.address = None
        self.refused = []
        # Returns how many seconds late a write is done and not answered, or
        # None; set by a case.
        self.late = lambda body: None
        self.writes = []

    async def start(self):
        await self.server.start(0)
        self.address = f"127.0.0.1:{self.server.port}"
        asyncio.create_task(self._expire())

    def operator_put(self, key, value):
        """Writes a value as the operator does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([(key, text, 0)], [])

    def value(self, key):
        """Returns the decoded JSON value of a key, or None."""
        item = self.items.get(key)
        return item and json.loads(base64.b64decode(item["value"]))

    def _apply(self, puts, removed):
        self.revision += 1
        for key, value, lease in puts:
            made = self.items.get(key, {}).get("made", self.revision)
            item = {"tlsKey": key, "value": value, "rev": self.revision,
                    "made": made, "lease": lease}
            self.items[key] = item
            self.history.append((self.revision, key, item))
        for key in removed:
            if self.items.pop(key, None):
                gone = {"tlsKey": key, "rev": self.revision, "gone": True}
                self.history.append((self.revision, key, gone))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (_, until) in list(self.leases.items()):
                if now >= until:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._apply([], keys)

    async def handle(self, request):
        await asyncio.sleep(ANSWER_S)
        path = request.path
        if path == "/api/kv-key":
            item = self.items.get(request.query["tlsKey"])
            if item is None:
                return 404, {"at": self.revision}
            return 200, dict(item, at=self.revision)
        if path == "/api/kv-range":
            return self._range(request.query)
        if path == "/api/kv-watch":
            return await self._watch(request.query)
        if path == "/api/kv-txn":
            body = request.json()
            delay = self.late(body)
            self.writes.append((time.monotonic(), delay))
            if delay is None:
                return self._txn(body)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._txn, body)
            # Once an answer is lost on a channel, that channel says nothing
            # further.
            await asyncio.sleep(30)
            return None
        if path == "/api/kv-lease":
            ttl = int(request.json()["ttl_ms"])
            ttl = max(1000, min(600000, ttl))
            self.next_lease += 1
            until = time.monotonic() + ttl / 1000
            self.leases[self.next_lease] = (ttl, until)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/api/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self._end_lease(lease)
            return 200, {}
        return 400, {}

    def _range(self, query):
        prefix, after = query["pathPrefix"], query.get("dependsOn", "")
        keys = sorted(k for k in self.items
                      if k.startswith(prefix) and k > after)
        page = keys[:MAX_PAGE_ITEMS]
        return 200, {"items": [self.items[k] for k in page],
                     "more": len(keys) > len(page), "at": self.revision}

    async def _watch(self, query):
        prefix, after = query["pathPrefix"], int(query["dependsOn"])
        until = time.monotonic() + min(int(query["waitMs"]), 30000) / 1000
        while True:
            events = [item for rev, key, item in self.history
                      if rev > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _txn(self, body):
        expected = body.get("expectedRev", [])
        puts, removed = body.get("put", []), body.get("remove", [])
        if len(expected) + len(puts) + len(removed) > MAX_ENTRIES:
            return self._refuse("too many entries")
        for put in puts:
            size = len(base64.b64decode(put["value"]))
            if size > MAX_VALUE_BYTES:
                return self._refuse(f"a value of {size} bytes")
            if len(put["tlsKey"].encode()) > MAX_KEY_BYTES:
                return self._refuse("a long key")
        keys = [put["tlsKey"] for put in puts] + removed
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        rows = [(row["tlsKey"], row["rev"]) for row in expected]
        if any(self.items.get(k, {}).get("rev", 0) != r for k, r in rows):
            present = [self.items[k] for k, _ in rows if k in self.items]
            return 412, {"items": present}
        leases = [put.get("lease", 0) for put in puts]
        if any(lease and lease not in self.leases for lease in leases):
            return 404, {}
        written = [(put["tlsKey"], put["value"], put.get("lease", 0))
                   for put in puts]
        return 200, {"rev": self._apply(written, removed)}

    def _refuse(self, why):
        self.refused.append(why)
        return 400, {"error": why}
