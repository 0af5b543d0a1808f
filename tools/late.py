#!/usr/bin/env python3
"""Why jobs of the first priority were late, from the logs of all processes.

    late.py LOG... [--report FILE...] [--jobs] [--queue NAME]

A LOG holds our own log lines, each behind the seconds since traffic began.
A job counts from the first try that any entry saw until the first answer
that showed its end. Its objective is the one that our planner tells at its
end. Each late job goes under the cause that cost it the most:

    before      tries that were refused, or not answered, before it was kept
    untaken     from then until a planner had taken it in
    room        its units waited for a place
    lost        runs that failed, broke, were stopped or lost
    slow        its last run took longer than was expected of it
    over racks  the same, of a gang that was spread over racks
    shown       from its end, as the planner told it, until it was shown
    work        none of these: what it asks for takes that long

--report compares with what the callers' side has counted: a JSON report
with `classes` of `name`, `n`, `in_aim`, `late`, `failed`, `not_owed`.
"""
import argparse, collections, json
from pathlib import Path


def read(path):
    """Returns the log lines of each job."""
    jobs = collections.defaultdict(list)
    for text in Path(path).read_text(errors="replace").splitlines():
        at = text.find("{")
        if at < 0:
            continue
        try:
            line = json.loads(text[at:])
            line["t"] = float(text[:at].split()[0])
        except (ValueError, IndexError):
            continue
        job = line.get("job") or line.get("path", "").rsplit("/", 1)[-1]
        if len(job) == 16:
            jobs[job].append(line)
    return jobs


def said(lines, what):
    return [line for line in lines if line["msg"].endswith(what)]


def story(lines):
    """Returns a job's times, or nothing if it does not count."""
    lines = sorted(lines, key=lambda line: line["t"])
    taken = said(lines, "is taken in")
    over = said(lines, "a job has ended")
    tries = [line for line in lines if line.get("method") == "POST"]
    if not taken or taken[0]["priority"] != 0 or not tries or not over:
        return None
    first = min(line["t"] - line["ms"] / 1000 for line in tries)
    if first < 0 or over[0]["outcome"] != "Succeeded":
        return None
    kept = [line["t"] for line in tries if line["status"] == 200]
    kept = min(kept, default=taken[0]["t"])
    ended = over[0]["t"]
    shows = [line["t"] for line in lines
             if line.get("method") == "GET" and line["status"] == 200
             and line["t"] >= ended]
    shown = min(shows, default=ended)
    costs = collections.Counter()
    costs["before"] = kept - first
    costs["untaken"] = max(0.0, taken[0]["t"] - kept)
    costs["shown"] = shown - ended
    placed = said(lines, "a unit is placed")
    for line in placed:
        costs["room"] += line["waited_ms"] / 1000
    ends = [line for line in said(lines, "a run has ended") if line["t"] <= ended]
    done = [line for line in ends if line["how"] == "done"]
    for before, after in zip(placed, placed[1:]):
        lost = after["t"] - after["waited_ms"] / 1000 - before["t"]
        costs["lost"] += max(0.0, lost)
    if placed and done:
        ran = done[0]["t"] - placed[-1]["t"]
        far = ran > 2 * placed[-1]["expected_ms"] / 1000
        name = "over racks" if far and "in a rack" in taken[0]["steps"] else "slow"
        costs[name] += max(0.0, ran - placed[-1]["expected_ms"] / 1000)
    objective = over[0]["objective_ms"] / 1000
    took = shown - first
    late = took - objective
    cause, cost = max(costs.items(), key=lambda item: item[1])
    if cost < late / 4:
        cause, cost = "work", late
    return {"first": first, "took": took, "objective": objective, "late": late,
            "cause": cause, "cost": cost, "costs": costs, "queue": taken[0]["queue"],
            "steps": taken[0]["steps"]}


def main():
    args = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    args.add_argument("logs", nargs="+")
    args.add_argument("--report", nargs="*", default=[])
    args.add_argument("--jobs", action="store_true")
    args = args.parse_args()
    table = collections.defaultdict(lambda: [0, 0.0, 0.0])
    jobs = late = 0
    for path in args.logs:
        for name, lines in read(path).items():
            told = story(lines)
            if told is None:
                continue
            jobs += 1
            if told["late"] <= 0:
                continue
            late += 1
            row = table[told["cause"]]
            row[0] += 1
            row[1] += told["cost"]
            row[2] += told["late"]
            if args.jobs:
                parts = ", ".join(f"{k} {v:.2f}" for k, v in told["costs"].most_common() if v > 0.02)
                print(f"{Path(path).stem} {name} at {told['first']:.1f}: {told['took']:.2f} of "
                      f"{told['objective']:.2f} s, {told['cause']} ({told['steps']}; {parts})")
    print(f"{jobs} jobs done, {late} late by our own lines")
    print(f"{'late':>6} {'cost s':>8} {'late by s':>10}  cause")
    for cause, (count, cost, by) in sorted(table.items(), key=lambda item: -item[1][0]):
        print(f"{count:6} {cost:8.1f} {by:10.1f}  {cause}")
    for path in args.report:
        for kind in json.loads(Path(path).read_text())["classes"]:
            print(f"{Path(path).stem}: {kind['name']}: {kind['n']} asked, {kind['in_aim']} in time, "
                  f"{kind['late']} late, {kind['failed']} failed, {kind['not_owed']} not owed")


if __name__ == "__main__":
    main()
