"""A stand-in for the platform's metadata store, as PROTOCOL.md tells it."""

import asyncio
import base64
import json
import time

import web

ANSWER_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20


class Store:
    """Keys, leases and one history. All answers are linearizable."""

    def __init__(self):
        self.rev = 0
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Event()

    async def start(self, port=0):
        self.server = await web.Server(self.handle).start("127.0.0.1", port)
        self.address = self.server.address
        asyncio.ensure_future(self.expire())
        return self

    def write(self, key, value):
        """Writes as the operator does: JSON under a key, without a lease."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply([{"tlsKey": key, "value": text}], [])

    def read(self, key):
        item = self.items.get(key)
        return item and json.loads(base64.b64decode(item["value"]))

    def apply(self, puts, removed):
        self.rev += 1
        for put in puts:
            before = self.items.get(put["tlsKey"])
            item = {"tlsKey": put["tlsKey"], "value": put.get("value", ""),
                    "rev": self.rev, "lease": put.get("lease", 0),
                    "made": before["made"] if before else self.rev}
            self.items[put["tlsKey"]] = item
            self.history.append(item)
        for key in removed:
            if self.items.pop(key, None):
                gone = {"tlsKey": key, "rev": self.rev, "gone": True}
                self.history.append(gone)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, i in self.items.items() if i["lease"] == lease]
        if keys:
            self.apply([], keys)

    async def expire(self):
        while True:
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if now >= until:
                    self.end_lease(lease)
            await asyncio.sleep(0.02)

    async def handle(self, request):
        arrived = time.monotonic()
        await asyncio.sleep(ANSWER_S)
        path, query = request.path, request.query
        if path == "/api/kv-key":
            item = self.items.get(query["tlsKey"])
            return (200, item) if item else (404, {})
        if path == "/api/kv-range":
            return 200, self.page(query["pathPrefix"],
                                  query.get("dependsOn", ""))
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            return self.txn(request.json())
        if path == "/api/kv-lease":
            self.last_lease += 1
            ttl = request.json()["ttl_ms"]
            until = arrived + ttl / 1000
            self.leases[self.last_lease] = (until, ttl)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/api/kv-keep/"):
            ttl = self.leases[lease][1]
            self.leases[lease] = (arrived + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        self.end_lease(lease)
        return 200, {}

    def page(self, prefix, after):
        items, size = [], 0
        keys = sorted(k for k in self.items
                      if k.startswith(prefix) and k > after)
        for key in keys:
            item = self.items[key]
            size += len(item["value"])
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                return {"items": items, "more": True, "at": self.rev}
            items.append(item)
        return {"items": items, "more": False, "at": self.rev}

    async def watch(self, query):
        until = time.monotonic() + int(query["waitMs"]) / 1000
        after, prefix = int(query["dependsOn"]), query["pathPrefix"]
        while True:
            events = [e for e in self.history
                      if e["rev"] > after and e["tlsKey"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, txn):
        expected = txn.get("expectedRev") or []
        held = [self.items.get(row["tlsKey"]) for row in expected]
        now = [item["rev"] if item else 0 for item in held]
        if now != [row["rev"] for row in expected]:
            return 412, {"items": [item for item in held if item]}
        puts = txn.get("put") or []
        if any(p.get("lease") and p["lease"] not in self.leases
               for p in puts):
            return 404, {}
        self.apply(puts, txn.get("remove") or [])
        return 200, {"rev": self.rev}
