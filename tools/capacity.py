#!/usr/bin/env python3
"""Measures the cost of the control plane at several sizes, over loopback.

Runs a stand-in platform, three entries and N agents as separate processes and
prints a row for each N: CPU, memory and store calls while idle and under 200
small jobs per second, and the time from killing the planner's process to the
end of the next job. Build first: cargo build --release
"""
import hashlib, json, os, re, signal, subprocess, sys, tempfile, time
import urllib.error, urllib.request

BIN = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "target", "release")
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
IDLE_SECONDS = 10


def digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


def call(url, token, method="GET", body=None, timeout=20):
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method,
                                     headers={"authorization": "Bearer " + token})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return json.load(response)
    except urllib.error.HTTPError as error:
        return json.loads(error.read() or b"{}")


def wait_for(description, condition, timeout=60):
    end = time.time() + timeout
    while time.time() < end:
        try:
            value = condition()
            if value:
                return value
        except OSError:
            pass
        time.sleep(0.1)
    raise SystemExit("timed out waiting for " + description)


def cpu_seconds(pid):
    fields = open(f"/proc/{pid}/stat").read().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def memory_mb(pid):
    return int(re.search(r"VmRSS:\s+(\d+)", open(f"/proc/{pid}/status").read())[1]) / 1024


def loopback_bytes():
    line = next(l for l in open("/proc/net/dev") if l.strip().startswith("lo:"))
    return int(line.split(":")[1].split()[0])


class Site:
    def __init__(self, workers, folder):
        self.processes = []
        self.platform = self.run("landingvalve-standin", "--workers", str(workers), out=subprocess.PIPE)
        self.addresses = json.loads(self.platform.stdout.readline())
        self.entries, self.agents = {}, []
        for worker in self.addresses["workers"]:
            path = os.path.join(folder, worker["worker"] + ".ini")
            with open(path, "w") as file:
                file.write(f"[agent]\nworker = {worker['worker']}\nlisten = {worker['listen']}\n"
                           f"endpoint = {worker['endpoint']}\n[log]\nlevel = error\n")
            self.agents.append(self.run("landingvalve-agent", "--settings", path))
        for entry in self.addresses["entries"]:
            path = os.path.join(folder, entry["name"] + ".ini")
            with open(path, "w") as file:
                file.write(f"[entry]\nname = {entry['name']}\ncallers = {entry['callers']}\npeers = {entry['peers']}\n"
                           f"[platform]\nstore = {self.addresses['store']}\nvms = {self.addresses['vms']}\n"
                           f"[operators]\ntoken_digest = {digest('operator')}\n[log]\nlevel = error\n")
            self.entries[entry["peers"]] = (self.run("landingvalve-entry", "--settings", path), "http://" + entry["callers"])

    def run(self, name, *args, out=subprocess.DEVNULL):
        process = subprocess.Popen([os.path.join(BIN, name), *args], stdout=out, text=True)
        self.processes.append(process)
        return process

    def url(self):
        return next(url for process, url in self.entries.values() if process.poll() is None)

    def put(self, kind, name, value):
        url = f"{self.url()}/v1/config/{kind}/{name}"
        wait_for(name, lambda: "revision" in call(url, "operator", "PUT", {"value": value, "edit": name}))

    def wait_for_workers(self, workers):
        def poll():
            cell = call(self.url() + "/v1/status", "operator").get("cell")
            up = cell and sum(w["presence"] == "up" for w in cell["workers"])
            return cell if up == workers else None
        return wait_for(f"{workers} workers", poll)

    def store_calls(self):
        return sum(json.load(urllib.request.urlopen(self.addresses["calls"]))["paths"].values())

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()


def sample(site, planner, seconds, work=None):
    others = [p for peers, (p, _) in site.entries.items() if peers != planner]
    pids = {"planner": [site.entries[planner][0].pid], "entry": [p.pid for p in others],
            "agent": [p.pid for p in site.agents]}
    before = {role: sum(map(cpu_seconds, ids)) for role, ids in pids.items()}
    calls, traffic, began = site.store_calls(), loopback_bytes(), time.time()
    result = work() if work else time.sleep(seconds)
    took = time.time() - began
    row = {role: {"cpu_percent": round(100 * (sum(map(cpu_seconds, ids)) - before[role]) / took / len(ids), 3),
                  "rss_mb": round(sum(map(memory_mb, ids)) / len(ids), 1)} for role, ids in pids.items()}
    row["store_calls_s"] = round((site.store_calls() - calls) / took, 2)
    row["loopback_bytes_s"] = round((loopback_bytes() - traffic) / took)
    return row, result


def measure(workers):
    with tempfile.TemporaryDirectory() as folder:
        site = Site(workers, folder)
        try:
            site.put("accounts", "a", {"guarantee": [{"accelerators": 16, "within": "rack"}], "borrow": 4096,
                                       "rate": 5000, "waiting": 5000, "queue": 20000, "tokens": [digest("a")]})
            site.put("templates", "small", {"shape": {"accelerators": 1, "within": "worker"}, "run_ms": 10, "run": "t",
                                            "repeatable": True, "parameters": {"run_ms": {"kind": "integer"}}})
            planner = site.wait_for_workers(workers)["planner"]
            time.sleep(3)
            idle, _ = sample(site, planner, IDLE_SECONDS)
            urls = [url for _, url in site.entries.values()]
            load = [os.path.join(BIN, "landingvalve-load"), "--token", "a"]
            load += [word for url in urls for word in ("--entry", url)]
            busy, latency = sample(site, planner, 0, lambda: json.loads(subprocess.check_output(load)))
            site.entries[planner][0].send_signal(signal.SIGKILL)
            site.entries[planner][0].wait()
            killed = time.time()
            body = {"template": "small", "wait": True, "request_id": "next", "parameters": {"run_ms": 1}}
            wait_for("the next job", lambda: (call(site.url() + "/v1/jobs", "a", "POST", body).get("end")))
            return {"workers": workers, "rest": idle, "load": busy, "latency": latency,
                    "takeover_s": round(time.time() - killed, 2)}
        finally:
            site.stop()


if __name__ == "__main__":
    for size in [int(word) for word in sys.argv[1:]] or [11, 70, 280]:
        print(json.dumps(measure(size)), flush=True)
