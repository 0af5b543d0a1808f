"""A stand-in for a worker, after PROTOCOL.md.

A task's spec is the JSON text {"ms": WORK, "gang": MEMBERS, "saves": BOOL}:
how long a task works (0 for one that lasts), how many members its gang has (0
if it is no gang), and whether it writes checkpoints.
"""

import asyncio
import json
import random
import time

import http1

HOLD_MAX_MS = 6000
BEAT_S = 1.5
BEAT_TIMEOUT_S = 1.0
GANG_S = 4.0
STOP_S = 0.2
SAVE_S = 1.0
RESTORE_S = 0.25


class Gangs:
    """The runs of gangs, over all workers."""

    def __init__(self):
        self.runs = {}

    def join(self, worker, name, run, members):
        """Adds a member, and starts the work once all are present."""
        gang = self.runs.setdefault((self.unit(name), run), {})
        gang[name] = worker
        if len(gang) == members:
            for other, at in gang.items():
                at.begin_work(other)

    def leave(self, name, run, how):
        """Ends the other members with one that has ended."""
        gang = self.runs.pop((self.unit(name), run), {})
        for other, at in gang.items():
            if other != name:
                at.end(other, "done" if how == "done" else "broken")

    @staticmethod
    def unit(name):
        return name.rsplit(".", 1)[0]


class Worker:
    """One worker on one machine, over all its lives."""

    def __init__(self, world, name, capacity, labels, control):
        self.world = world
        self.name = name
        self.capacity = capacity
        self.labels = labels
        self.control = control
        self.guards = True
        # Whether each life has the id of the first one, and tells its birth.
        self.keeps_id = False
        # Whether the worker is cut off from all machines.
        self.cut = False
        # When the last call of the agent that waits came, and its wait.
        self.last_hold = (0.0, 0)
        self.server = http1.Server(self.handle)
        self.port = None
        self.id = None
        self.up = False
        self.beats = None

    # Lives

    async def start(self):
        """Begins a life, at the address of the last one."""
        if not (self.keeps_id and self.id):
            self.id = f"i-{random.randrange(16 ** 8):08x}"
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.sequence = 0
        self.state = "ready"
        self.remaining_ms = None
        self.fence = 0
        self.lease_until = 0.0
        self.running = {}
        self.used = {kind: 0 for kind in self.capacity}
        self.finished = []
        self.last_end = 0
        self.barred = {}
        self.ended = asyncio.Event()
        self.up = True
        await self.server.start(self.port or 0)
        self.port = self.server.port
        self.address = f"127.0.0.1:{self.port}"
        self.world.note("worker up", worker=self.name, id=self.id)
        self.beats = asyncio.create_task(self._beat())
        self.clockwork = asyncio.create_task(self._watch_lease())

    async def die(self, why):
        """Ends the life: everything that runs is gone."""
        if not self.up:
            return
        self.up = False
        self.world.note("worker down", worker=self.name, id=self.id, why=why)
        self.beats.cancel()
        self.clockwork.cancel()
        for name, task in list(self.running.items()):
            task["timer"] and task["timer"].cancel()
            self.world.run_over(name, task["run"], self, "worker down")
            if task["members"]:
                self.world.gangs.leave(name, task["run"], "worker down")
        self.running.clear()
        await self.server.stop()

    async def crash(self, down_s):
        """Crashes, and comes back with a new life after `down_s`."""
        await self.die("crash")
        await asyncio.sleep(down_s)
        await self.start()

    # Clock and leases

    def now_ms(self):
        return 400000 + int((time.monotonic() - self.began) * 1000)

    def _extend(self, expires):
        if expires is None:
            return
        left = min(expires - self.now_ms(), HOLD_MAX_MS) / 1000
        self.lease_until = max(self.lease_until, time.monotonic() + left)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and time.monotonic() >= self.lease_until:
                for name in list(self.running):
                    self.end(name, "lapsed")

    # Heartbeats

    def account(self):
        self.sequence += 1
        self.last_beat = time.monotonic()
        body = {"service": self.world.service, "address": self.address,
                "zone": self.world.zone, "version": "v1", "slots": 8,
                "state": self.state, "coldLeftMs": 0, "machine": self.name,
                "capacity": self.capacity, "labels": self.labels,
                "currentTimeMs": self.now_ms(), "sequence": self.sequence}
        if self.remaining_ms is not None:
            body["remainingMs"] = self.remaining_ms
        if self.keeps_id:
            body["born"] = self.born
        return body

    async def beat(self):
        """Sends one heartbeat. Returns whether it was confirmed."""
        return await self._registry("PUT", self.account())

    async def leave(self):
        """Says goodbye. Returns whether that was confirmed."""
        return await self._registry("DELETE", None)

    async def _registry(self, method, body):
        path = f"/api/pool/{self.id}"
        if self.cut:
            return False
        try:
            status, _ = await http1.call(self.control, method, path, body,
                                         timeout=BEAT_TIMEOUT_S)
            return 200 <= status < 300
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def _beat(self):
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S)

    # Calls of the agent

    async def handle(self, request):
        if self.cut:
            await asyncio.sleep(5)
            return None
        expected = request.headers.get("expected-instance")
        if expected not in (None, self.id):
            return 421, {}
        body = request.json()
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return self._conflict("fence")
        self.fence = token
        if request.path == "/api/run-start":
            return self._start(body)
        if request.path == "/api/run-stop":
            return self._stop(body)
        if request.path == "/api/hold":
            return await self._hold(body)
        return 400, {}

    def _conflict(self, reason):
        return 409, {"currentTimeMs": self.now_ms(), "reason": reason}

    def _answer(self, **values):
        return 200, dict(values, currentTimeMs=self.now_ms())

    def _start(self, body):
        name, run = body["task"], body["run"]
        if body["expiresAtMs"] <= self.now_ms():
            return self._conflict("late")
        self._extend(body["expiresAtMs"])
        task = self.running.get(name)
        if task and task["run"] == run:
            return self._answer()
        if task or run <= self.barred.get(name, 0):
            return self._conflict("old")
        needs = self.world.needs(name)
        if self.guards and not self._has_room(needs):
            return self._conflict("room")
        spec = json.loads(body["spec"])
        self.running[name] = {
            "run": run, "needs": needs, "work": spec["ms"] / 1000,
            "members": spec.get("gang", 0), "timer": None,
            "saves": spec.get("saves", False), "works": None,
            "saved": body.get("lastCheckpoint", ""), "stopping": False}
        self._charge(needs, 1)
        self.world.run_began(name, run, self)
        if spec.get("gang"):
            self._await_gang(name, run)
            self.world.gangs.join(self, name, run, spec["gang"])
        else:
            self.begin_work(name)
        return self._answer()

    def _has_room(self, needs):
        return all(self.used[kind] + needs[kind] <= self.capacity[kind]
                   for kind in self.capacity)

    def _charge(self, needs, sign):
        for kind in self.used:
            self.used[kind] += sign * needs[kind]

    def _await_gang(self, name, run):
        def alone():
            task = self.running.get(name)
            if task and task["run"] == run and not task["works"]:
                self.end(name, "alone")
        asyncio.get_running_loop().call_later(GANG_S, alone)

    def begin_work(self, name):
        task = self.running.get(name)
        if not task:
            return
        # A task that resumes counts as at work since as long before as it had
        # done.
        before = int(task["saved"][:8], 16) / 1000 if task["saved"] else 0.0
        restore = RESTORE_S if task["saved"] else 0.0
        task["works"] = time.monotonic() + restore - before
        loop = asyncio.get_running_loop()
        if task["work"]:
            left = restore + task["work"] - before
            task["timer"] = loop.call_later(
                left, self._finish, name, task["run"])

    @staticmethod
    def _save(task, step_s):
        """Renews the task's checkpoint, to a multiple of `step_s`."""
        if not task["saves"] or not task["works"]:
            return
        done = max(0.0, time.monotonic() - task["works"])
        done_ms = int(done // step_s * step_s * 1000)
        if done_ms:
            task["saved"] = f"{done_ms:08x}{done_ms * 2654435761 % 2**32:08x}"

    def _finish(self, name, run):
        task = self.running.get(name)
        if task and task["run"] == run and not task["stopping"]:
            self.end(name, "done")

    def end(self, name, how):
        task = self.running.pop(name, None)
        if not task:
            return
        task["timer"] and task["timer"].cancel()
        if how == "stopped":
            self._save(task, 0.001)
        self._charge(task["needs"], -1)
        self.barred[name] = max(self.barred.get(name, 0), task["run"])
        self.last_end += 1
        self.finished.append(
            [self.last_end, name, task["run"], how, task["saved"]])
        self.world.run_over(name, task["run"], self, how)
        self.ended.set()
        self.ended = asyncio.Event()
        if task["members"]:
            self.world.gangs.leave(name, task["run"], how)

    def _stop(self, body):
        name, run = body["task"], body["run"]
        self.world.note("stop ordered", task=name, run=run, worker=self.name)
        task = self.running.get(name)
        if task and task["run"] == run:
            if not task["stopping"]:
                task["stopping"] = True
                loop = asyncio.get_running_loop()
                loop.call_later(STOP_S, self._stopped, name, run)
        elif not task:
            self.barred[name] = max(self.barred.get(name, 0), run)
        return self._answer()

    def _stopped(self, name, run):
        task = self.running.get(name)
        if task and task["run"] == run:
            self.end(name, "stopped")

    async def _hold(self, body):
        self._extend(body.get("expiresAtMs"))
        seen = body.get("lastSeen", 0)
        for row in self.finished:
            if row[0] <= seen:
                self.world.note("end noted", task=row[1], run=row[2],
                                how=row[3], worker=self.name)
        self.finished = [row for row in self.finished if row[0] > seen]
        wait = min(body.get("waitMs", 0), 2000) / 1000
        self.last_hold = (time.monotonic(), wait)
        if wait and not self.finished:
            try:
                await asyncio.wait_for(self.ended.wait(), wait)
            except asyncio.TimeoutError:
                pass
        for task in self.running.values():
            self._save(task, SAVE_S)
        running = [[name, task["run"], task["saved"], self._percent(task)]
                   for name, task in self.running.items()]
        if self.cut:
            return None
        answer = self._answer(running=running, finished=self.finished[:500])
        if self.keeps_id:
            answer[1]["born"] = self.born
        return answer

    @staticmethod
    def _percent(task):
        if not task["works"]:
            return 0
        if not task["work"]:
            return 100
        done = (time.monotonic() - task["works"]) / task["work"]
        return max(0, min(99, int(done * 100)))
