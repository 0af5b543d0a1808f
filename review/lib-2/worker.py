"""A stand-in for a worker, as PROTOCOL.md tells it. What a task does stands in
its spec, a JSON text: `ms` (how long it works), `fails_after_ms` (it then
ends `failed`), `lasts` (it works until it is stopped) and `pad`."""

import asyncio
import json
import time

import web

HOLD_MAX_MS = 6000
STOP_S = 0.1
BEAT_S = 1.5
# How long a task that lasts takes to start.
START_S = 0.5


class Worker:
    """A worker beside an agent. Its life ends with `crash`."""

    def __init__(self, name, port, control, record, service="match-engine",
                 zone="lodz-a", labels=("a", "r1-1"), cpu=128000,
                 mem_mb=262144, gpu=8, beats_born=False):
        self.name, self.port, self.control = name, port, control
        self.record, self.service, self.zone = record, service, zone
        self.labels = list(labels)
        self.capacity = {"cpu": cpu, "memMb": mem_mb, "gpu": gpu}
        self.beats_born = beats_born
        self.lives = 0
        self.on_start = None
        self.hangs_until = 0.0
        self.server = None

    async def start(self):
        """Begins a life under a new id, or under the former one where the
        worker tells its birth."""
        self.lives += 1
        self.id = self.name if self.beats_born else \
            "%s-%d" % (self.name, self.lives)
        self.born = int(time.time() * 1000)
        self.begun = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.lease_until = 0
        self.running, self.ended, self.barred = {}, [], {}
        self.last_end = 0
        self.news = asyncio.Event()
        self.server = await web.Server(self.handle).start(
            "127.0.0.1", self.port)
        self.tasks = [asyncio.ensure_future(self.work()),
                      asyncio.ensure_future(self.beat())]
        self.record.note("worker %s: a life begins" % self.id)
        return self

    def crash(self):
        self.record.note("worker %s: crashes; ran %s" % (
            self.id, sorted(self.running)[:8]))
        self.server.stop()
        for task in self.tasks:
            task.cancel()
        for name in self.running:
            self.record.left(name, self.id)
        self.running = {}

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000) + 1000

    def account(self):
        self.sequence += 1
        account = {
            "service": self.service, "address": "127.0.0.1:%d" % self.port,
            "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
            "coldLeftMs": 0, "capacity": self.capacity,
            "labels": self.labels, "currentTimeMs": self.clock(),
            "sequence": self.sequence}
        if self.beats_born:
            account["born"] = self.born
        return account

    async def beat(self):
        while True:
            await web.call(self.control, "PUT", "/api/pool/" + self.id,
                           value=self.account(), limit=1.0)
            await asyncio.sleep(BEAT_S)

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.running and self.clock() > self.lease_until:
                for name in list(self.running):
                    self.end(name, "lapsed")
            for name, run in list(self.running.items()):
                if run["stops_at"] and now >= run["stops_at"]:
                    self.end(name, "stopped")
                elif run["fails_at"] and now >= run["fails_at"]:
                    self.end(name, "failed")
                elif run["ends_at"] and now >= run["ends_at"]:
                    self.end(name, "done")

    def end(self, name, how):
        run = self.running.pop(name)
        self.last_end += 1
        self.ended.append([self.last_end, name, run["run"], how, ""])
        self.barred[name] = max(self.barred.get(name, 0), run["run"])
        self.record.run_ended(name, run["run"], self.id, how)
        self.news.set()
        self.news = asyncio.Event()

    async def handle(self, request):
        if time.monotonic() < self.hangs_until:
            return None
        order = request.json()
        if request.headers.get("expected-instance", self.id) != self.id:
            return 421, self.told({})
        fence = order.get("fencingToken", 0)
        if fence < self.fence:
            return 409, self.told({"reason": "fence"})
        self.fence = fence
        answer = {"/api/run-start": self.run_start,
                  "/api/run-stop": self.run_stop,
                  "/api/pace": lambda _: (200, self.told({}))}
        if request.path in answer:
            return answer[request.path](order)
        return await self.hold(order)

    def told(self, body):
        told = {"currentTimeMs": self.clock()}
        if self.beats_born:
            told["born"] = self.born
        told.update(body)
        return told

    def lease(self, expires):
        limit = self.clock() + HOLD_MAX_MS
        self.lease_until = max(self.lease_until, min(expires or 0, limit))

    def run_start(self, order):
        name, run = order["task"], order["run"]
        known = self.running.get(name)
        if known and known["run"] == run:
            self.lease(order.get("expiresAtMs"))
            return 200, self.told({})
        if run <= self.barred.get(name, 0) or known:
            self.lease(order.get("expiresAtMs"))
            return 409, self.told({"reason": "old"})
        if order.get("expiresAtMs", 0) <= self.clock():
            return 409, self.told({"reason": "late"})
        self.lease(order.get("expiresAtMs"))
        spec = json.loads(order["spec"])
        need = spec.get("need", {})
        used = {k: sum(r["need"].get(k, 0) for r in self.running.values())
                for k in self.capacity}
        if any(used[k] + need.get(k, 0) > v
               for k, v in self.capacity.items()):
            return 409, self.told({"reason": "room"})
        now = time.monotonic()
        fails = spec.get("fails_after_ms")
        self.running[name] = {
            "run": run, "begun": now, "need": need, "stops_at": None,
            "ends_at": None if spec.get("lasts")
            else now + spec["ms"] / 1000,
            "fails_at": fails and now + fails / 1000,
            "lasts": spec.get("lasts", False), "ms": spec.get("ms", 0)}
        self.record.run_began(name, run, self.id, self.zone)
        if self.on_start:
            self.on_start(self, name, run)
        return 200, self.told({})

    def run_stop(self, order):
        name, run = order["task"], order["run"]
        known = self.running.get(name)
        if known and known["run"] <= run and not known["stops_at"]:
            known["stops_at"] = time.monotonic() + STOP_S
        self.barred[name] = max(self.barred.get(name, 0), run)
        return 200, self.told({})

    async def hold(self, order):
        seen = order.get("lastSeen", 0)
        self.lease(order.get("expiresAtMs"))
        noted = [e for e in self.ended if e[0] <= seen]
        for _, name, run, how, _ in noted:
            self.record.end_noted(name, run, self.id, how)
        self.ended = [e for e in self.ended if e[0] > seen]
        until = time.monotonic() + order.get("waitMs", 0) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(
                    self.news.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        if time.monotonic() < self.hangs_until:
            return None
        now = time.monotonic()
        rows = []
        for name, run in self.running.items():
            whole = START_S if run["lasts"] else run["ms"] / 1000
            part = (now - run["begun"]) / max(whole, 0.001)
            rows.append([name, run["run"], "", min(100, int(100 * part)), 1])
        return 200, self.told({"running": rows, "finished": self.ended[:500]})
