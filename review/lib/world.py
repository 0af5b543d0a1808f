"""A small deployment on loopback: the project's programs as the deploy file
starts them, with stand-ins for the store, the workers and the clients."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http1
import store
import worker

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
# The bounds of vedurskra-lv-grown, as far as the templates use them.
BOUNDS = {"applyMs": 3000, "revokeMs": 5000, "graceS": 6, "gang_ms": 4000,
          "stop_ms": 900, "holdMaxMs": 6000, "reclaimMs": 3400, "far_x": 3}
# The longest that a case may take.
LIMIT_S = 112
HOST = "nony24.example"
PREFIX = "/lohu930/"
KEY = "d4a3hwrr6x73d3zji9n7"


def free_port():
    """Returns a port that is free, below those that the system gives to
    outgoing connections."""
    while True:
        port = random.randrange(12000, 32000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


def render(template, fields):
    """Fills a settings template as DEPLOY.md tells: plain gaps, and parts
    that stand only if a value is given."""
    def find(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = (value or {}).get(part)
        return value

    def part(match):
        value = find(match[1])
        return match[2].replace("{{.}}", str(value)) if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", part, template,
                  flags=re.S)
    gap = lambda match: "" if find(match[1]) is None else str(find(match[1]))
    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


class Program:
    """One of the project's programs, as a process."""

    def __init__(self, world, role, fields):
        self.world = world
        self.role = role
        self.name = fields["nodeName"]
        self.fields = fields
        self.process = None

    def start(self):
        role = self.world.deploy["roles"][self.role]
        path = os.path.join(REPOSITORY, role["template"])
        with open(path, encoding="utf-8") as file:
            text = render(file.read(), self.fields)
        settings = os.path.join(self.world.folder, f"{self.name}.ini")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        environment = {"PATH": os.environ["PATH"], "LANG": "C",
                       "HOME": self.world.folder,
                       "LANDINGVALVE_NODE_FILE": settings}
        self.process = subprocess.Popen(
            role["run"].split(" "), cwd=REPOSITORY, env=environment,
            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.world.note("process started", process=self.name)

    def signal(self, number):
        self.world.note("signal", process=self.name,
                        signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()


class World:
    """A deployment with its record."""

    def __init__(self, folder_of_case):
        self.began = time.monotonic()
        self.record = open(os.path.join(folder_of_case, "record.txt"), "w",
                           encoding="utf-8")
        self.folder = tempfile.mkdtemp(prefix="landingvalve-review-")
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), "rb") as f:
            self.deploy = tomllib.load(f)
        self.service = "huvo11a"
        self.zone = "reykjavik-a"
        self.bounds = dict(BOUNDS)
        self.store = store.Store()
        self.gangs = worker.Gangs()
        self.entries = []
        self.agents = []
        self.workers = []
        self.jobs = {}
        # The runs: task, run, worker, life, begin, end (None while running)
        # and how it ended.
        self.runs = []
        self.open_runs = {}

    # Record

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, **values):
        rest = " ".join(f"{k}={v}" for k, v in values.items())
        self.record.write(f"{self.now():8.3f} {what}: {rest}\n")

    def run_began(self, task, run, at):
        row = {"task": task, "run": run, "worker": at.name, "id": at.id,
               "began": self.now(), "over": None, "how": None}
        self.runs.append(row)
        self.open_runs[(task, run, at)] = row
        self.note("run began", task=task, run=run, worker=at.name, id=at.id)

    def run_over(self, task, run, at, how):
        row = self.open_runs.pop((task, run, at))
        row["over"] = self.now()
        row["how"] = how
        self.note("run over", task=task, run=run, worker=at.name, id=at.id,
                  how=how)

    # The deployment

    def fields(self, name, role):
        ports = [free_port(), free_port()]
        listen = {key: f"127.0.0.1:{free_port()}"
                  for key in ("front", "ready", "control")}
        return {"nodeName": name, "role": role, "zone": self.zone,
                "ip": "127.0.0.1", "portRange": ports, "listen": listen,
                "advice": "", "bounds": self.bounds,
                "limits": {"cpuShare": 0.25, "cores": 1, "maxFds": 4100},
                "platform": {"address": self.store.address}}

    async def start(self, entries, workers, capacity, config,
                    kind=lambda number: "a"):
        """Starts the store, the entries, and the workers with their agents,
        and waits until they take work. `kind` names a worker's kind."""
        await self.store.start()
        self.store.operator_put("op/config", config)
        for number in range(1, entries + 1):
            name = f"edge-{self.zone}-{number}"
            self.entries.append(
                Program(self, "entry", self.fields(name, "entry")))
        for number in range(1, workers + 1):
            name = f"side-{self.zone}-{number}"
            fields = self.fields(name, "agent")
            control = fields["listen"]["control"]
            rack = f"r1-{(number - 1) // 3 + 1}"
            stand_in = worker.Worker(self, f"m-{number}", dict(capacity),
                                     [kind(number), rack], control)
            stand_in.port = free_port()
            fields["app"] = f"127.0.0.1:{stand_in.port}"
            self.workers.append(stand_in)
            self.agents.append(Program(self, "agent", fields))
        for program in self.entries + self.agents:
            program.start()
        await asyncio.sleep(0.5)
        for stand_in in self.workers:
            await stand_in.start()
        await self._await_ready()

    async def _await_ready(self):
        until = time.monotonic() + 15
        for entry in self.entries:
            address = entry.fields["listen"]["ready"]
            while True:
                try:
                    status, _ = await http1.call(address, "GET",
                                                 "/api/readyz")
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError):
                    pass
                if time.monotonic() > until:
                    raise RuntimeError(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)
        # Each worker has a path to the planner once its fence is known.
        while any(w.fence == 0 for w in self.workers):
            if time.monotonic() > until:
                raise RuntimeError("an agent found no planner")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    def planner(self):
        """Returns the entry that holds the claim, by the store's record."""
        claim = self.store.value("lv/planner")
        names = {entry.name: entry for entry in self.entries}
        return claim and names.get(claim["process"])

    async def stop(self):
        for program in self.entries + self.agents:
            program.kill()
        for stand_in in self.workers:
            if stand_in.up:
                await stand_in.die("end of the test")
        await self.store.server.stop()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Clients

    def needs(self, task):
        job, _, step, _ = task.split(".")
        asked = self.jobs[job]["steps"][int(step)]
        return {kind: asked.get(kind, 0) for kind in ("cpu", "memMb", "gpu")}

    async def call(self, method, path, body=None):
        """Calls an entry as a client does; returns the status and the body,
        or 0 if there was no answer."""
        running = [e for e in self.entries if e.process.poll() is None]
        entry = random.choice(running)
        headers = {"host": HOST, "credential": KEY, "deadline": "3000"}
        address = entry.fields["listen"]["front"]
        try:
            status, text = await http1.call(address, method, path, body,
                                            headers, timeout=3.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status, text = 0, b""
        self.note("call", method=method, path=path, entry=entry.name,
                  status=status, body=text.decode()[:80])
        return status, text

    async def submit(self, job, tries=8):
        """Submits a job until it is accepted. Returns its ID, or None."""
        name = f"{random.randrange(16 ** 16):016x}"
        self.jobs[name] = job
        for _ in range(tries):
            status, _ = await self.call("POST", PREFIX + name, job)
            if 200 <= status < 300:
                return name
            await asyncio.sleep(0.3)
        return None

    async def state(self, name, tries=8):
        """Returns the state that a client is told, or None."""
        for _ in range(tries):
            status, text = await self.call("GET", PREFIX + name)
            if status == 200:
                return json.loads(text)["state"]
            if status == 410:
                return "410"
            await asyncio.sleep(0.3)
        return None

    async def await_end(self, name, timeout):
        """Waits until a job has ended. Returns the last state told."""
        until = time.monotonic() + timeout
        while True:
            state = await self.state(name)
            over = state in ("succeeded", "failed", "cancelled", "410")
            if over or time.monotonic() > until:
                return state
            await asyncio.sleep(0.25)


def config(attempts=3, priority=1, guards=True):
    """Returns a manifest with one queue."""
    return {"version": 7, "routes": [
        {"name": "r-ce7ejsm", "host": HOST, "pathPrefix": PREFIX,
         "kind": "non_idempotent", "timeoutMs": 3000,
         "targetLatencyMs": 1000, "priority": priority,
         "service": "huvo11a", "maxAttempts": attempts, "stretch": 3.0,
         "allowAnonymous": False}],
        "services": [{"name": "huvo11a", "healthPath": "/healthz",
                      "maxConns": 64, "protocol": "h1", "tls": False,
                      "enforcesCapacity": guards, "spare": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "kaje80", "apiKeys": [KEY], "priority": 1,
                     "guaranteed": {"gpu": 16}}]}


def main(case, folder, bounds=None):
    """Runs a case and exits with its result: 0 if the rule held, 1 if it was
    broken, 2 if the case could not run. `bounds` replaces some of the
    site's."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        world = World(folder)
        world.bounds.update(bounds or {})
        try:
            return await asyncio.wait_for(case(world, trouble), LIMIT_S)
        finally:
            await world.stop()

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    print("broken: " + broken if broken else "held")
    sys.exit(1 if broken else 0)
