"""A small deployment: the project's programs as processes on loopback, with
settings made from the templates of the deploy file, and the stand-ins."""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import store
import web
import worker

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# The bounds of the site file that a case names, as the settings tell them.
BOUNDS = {
    "applyMs": 3000, "revokeMs": 5000, "graceS": 6, "gang_ms": 4000,
    "stop_ms": 900, "holdMaxMs": 6000, "reclaimMs": 3400, "far_x": 3}


def is_troubled():
    """Returns whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return ""
    return value


def fill(template, fields):
    """Fills the gaps that the project's templates use (DEPLOY.md)."""
    def section(match):
        value = lookup(fields, match.group(1))
        return match.group(2).replace("{{.}}", str(value)) if value else ""
    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section,
                  template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: str(lookup(fields, m.group(1))), text)


def read_roles(path):
    """Reads the texts under each role of the deploy file."""
    roles, role = {}, None
    with open(path) as file:
        for line in file:
            head = re.match(r"\[roles\.(\w+)\]", line)
            pair = re.match(r'(\w+) = "(.*)"', line)
            if head:
                role = roles.setdefault(head.group(1), {})
            elif pair and role is not None:
                role[pair.group(1)] = pair.group(2)
    return roles


class Record:
    """What was sent, answered and run, with the time of each."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        # (task, run, worker, zone, began, ended, how), one a run.
        self.runs = []

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()

    def run_began(self, task, run, worker_id, zone):
        self.runs.append({"task": task, "run": run, "on": worker_id,
                          "zone": zone, "began": self.now(), "ended": None,
                          "how": None})
        self.note("run: %s run %d begins on %s (%s)" % (
            task, run, worker_id, zone))

    def find(self, task, worker_id):
        for run in reversed(self.runs):
            if run["task"] == task and run["on"] == worker_id:
                return run
        return None

    def run_ended(self, task, run, worker_id, how):
        entry = self.find(task, worker_id)
        if entry:
            entry["ended"], entry["how"] = self.now(), how
        self.note("run: %s run %d ends on %s: %s" % (
            task, run, worker_id, how))

    def left(self, task, worker_id):
        entry = self.find(task, worker_id)
        if entry:
            entry["ended"], entry["how"] = self.now(), "crashed"

    def end_noted(self, task, run, worker_id, how):
        self.note("note: end of %s run %d (%s) on %s is taken note of" % (
            task, run, how, worker_id))

    def of(self, job):
        return [run for run in self.runs if run["task"].startswith(job)]


class World:
    """The processes and stand-ins of one play."""

    def __init__(self, folder):
        self.folder = tempfile.mkdtemp(prefix="landingvalve-review-")
        self.record = Record(folder)
        self.processes = {}
        self.workers = []
        self.roles = read_roles(os.path.join(ROOT, "deploy", "system.toml"))

    async def start_store(self, manifest):
        self.store = await store.Store().start()
        self.store.write("op/config", manifest)
        self.record.note("operator: manifest version %d" %
                         manifest["version"])

    def start_process(self, name, role, fields):
        """Starts a role with the command and template of the deploy file."""
        definition = self.roles[role]
        with open(os.path.join(ROOT, definition["template"])) as file:
            settings = fill(file.read(), fields)
        path = os.path.join(self.folder, name + ".ini")
        with open(path, "w") as file:
            file.write(settings)
        self.processes[name] = (definition, path, None)
        self.run_process(name)

    def run_process(self, name):
        definition, path, _ = self.processes[name]
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        words = definition["run"].split()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["LANDINGVALVE_NODE_FILE"] = path
        child = subprocess.Popen(
            [os.path.join(ROOT, words[0])] + words[1:], cwd=ROOT, env=env,
            stdout=log, stderr=log)
        self.processes[name] = (definition, path, child)
        self.record.note("process %s: started" % name)

    def kill(self, name):
        child = self.processes[name][2]
        child.send_signal(signal.SIGKILL)
        child.wait()
        self.record.note("process %s: killed" % name)

    def start_entry(self, name, zone="lodz-a", store_address=None):
        self.front = "127.0.0.1:%d" % free_port()
        self.ready = "127.0.0.1:%d" % free_port()
        self.start_process(name, "entry", {
            "nodeName": name, "zone": zone, "ip": "127.0.0.1",
            "listen": {"front": self.front, "ready": self.ready},
            "portRange": [free_port(), free_port()],
            "platform": {"address": store_address or self.store.address},
            "bounds": BOUNDS,
            "limits": {"maxFds": 4100, "cpuShare": 0.25, "cores": 1}})

    async def start_worker(self, name, **given):
        """Starts a worker and the agent beside it."""
        control, app = free_port(), free_port()
        zone = given.get("zone", "lodz-a")
        self.start_process("side-" + name, "agent", {
            "nodeName": "side-" + name, "zone": zone, "ip": "127.0.0.1",
            "listen": {"control": "127.0.0.1:%d" % control},
            "app": "127.0.0.1:%d" % app,
            "portRange": [free_port(), free_port()],
            "platform": {"address": self.store.address}, "bounds": BOUNDS})
        made = worker.Worker(name, app, "127.0.0.1:%d" % control,
                             self.record, **given)
        self.workers.append(made)
        await asyncio.sleep(0.3)
        return await made.start()

    async def wait_ready(self, limit=15.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            status, _ = await web.call(self.ready, "GET", "/api/readyz")
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("the entry does not become ready")

    async def client(self, method, path, key="key-1", value=None,
                     limit_ms=3000, host="q.example"):
        """Makes a client's call, and notes what was sent and answered."""
        headers = {"Host": host, "Credential": key,
                   "Deadline": str(limit_ms)}
        shown = "" if value is None else " (%d bytes)" % len(
            json.dumps(value))
        status, body = await web.call(
            self.front, method, path, headers, value,
            limit=limit_ms / 1000 + 0.5)
        said = json.dumps(body) if isinstance(body, dict) else body
        self.record.note("client: %s %s%s -> %s %s" % (
            method, path, shown, status, said))
        return status, body

    async def submit(self, path, job, tries=6):
        """Submits a job until it is accepted, under the same name."""
        for _ in range(tries):
            status, _ = await self.client("POST", path, value=job)
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise TimeoutError("%s is not accepted" % path)

    def stop(self):
        for name, (_, _, child) in self.processes.items():
            if child and child.poll() is None:
                child.kill()
                child.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)


def manifest(version=1, services=("match-engine",), routes=(), tenants=None):
    """Returns a manifest as the operator writes it."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [{"name": name, "enforcesCapacity": True}
                     for name in services],
        "limits": {"maxBodyBytes": 262144},
        "tenants": tenants or [{"name": "t1", "apiKeys": ["key-1"],
                                "guaranteed": {"gpu": 4}}]}


def route(name="q", prefix="/q/", service="match-engine", priority=1,
          attempts=3):
    return {"name": name, "host": "q.example", "pathPrefix": prefix,
            "service": service, "timeoutMs": 3000, "targetLatencyMs": 1000,
            "stretch": 3.0, "priority": priority, "maxAttempts": attempts}


def spec(**fields):
    return json.dumps(fields)


def main(folder, play, limit=115):
    """Plays a case. Exits with 1 if the rule was broken, 0 if it held, and 2
    if the case could not run."""
    async def run():
        world = World(folder)
        try:
            broken = await asyncio.wait_for(play(world), limit)
            world.record.note("verdict: %s" % (broken or "held"))
            print("broken: %s" % broken if broken else "held")
            return 1 if broken else 0
        except Exception as error:  # The case could not run.
            world.record.note("could not run: %r" % error)
            print("could not run: %r" % error)
            return 2
        finally:
            world.stop()
    sys.exit(asyncio.run(run()))
