#!/usr/bin/env python3
"""Explains why jobs of the first priority were late, from the logs of all processes.

    late.py LOG... [--report FILE...] [--jobs]

A LOG holds log lines of our processes, each after the seconds since traffic
began. The time of a job runs from the first request that any entry received
to the first answer that showed its end. Its objective is the one that the
planner logs at its end. Each late job is counted under its most costly cause:

    before      requests that were refused or not answered before it was stored
    untaken     from then until a planner admitted it
    room        its units waited for a place
    lost        runs that failed, broke, were stopped or lost
    slow        its last run took longer than expected
    over racks  the same, for a gang that was spread over racks
    shown       from its end, as the planner logged it, until a caller was shown it
    work        none of these: the work itself takes longer than the objective

--report also prints the counts that the callers' side has made: a JSON report
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


def lines_ending_with(lines, suffix):
    return [line for line in lines if line["msg"].endswith(suffix)]


def analyze(lines):
    """Returns the times of a job, or None unless it is of the first priority and succeeded."""
    lines = sorted(lines, key=lambda line: line["t"])
    admitted = lines_ending_with(lines, "is taken in")
    ended_lines = lines_ending_with(lines, "a job has ended")
    requests = [line for line in lines if line.get("method") == "POST"]
    if not admitted or admitted[0]["priority"] != 0 or not requests or not ended_lines:
        return None
    first = min(line["t"] - line["ms"] / 1000 for line in requests)
    if first < 0 or ended_lines[0]["outcome"] != "Succeeded":
        return None
    stored = [line["t"] for line in requests if line["status"] == 200]
    stored = min(stored, default=admitted[0]["t"])
    ended = ended_lines[0]["t"]
    shows = [line["t"] for line in lines
             if line.get("method") == "GET" and line["status"] == 200
             and line["t"] >= ended]
    shown = min(shows, default=ended)
    costs = collections.Counter()
    costs["before"] = stored - first
    costs["untaken"] = max(0.0, admitted[0]["t"] - stored)
    costs["shown"] = shown - ended
    placed = lines_ending_with(lines, "a unit is placed")
    for line in placed:
        costs["room"] += line["waited_ms"] / 1000
    ends = [line for line in lines_ending_with(lines, "a run has ended") if line["t"] <= ended]
    done = [line for line in ends if line["how"] == "done"]
    for before, after in zip(placed, placed[1:]):
        lost = after["t"] - after["waited_ms"] / 1000 - before["t"]
        costs["lost"] += max(0.0, lost)
    if placed and done:
        ran = done[0]["t"] - placed[-1]["t"]
        far = ran > 2 * placed[-1]["expected_ms"] / 1000
        name = "over racks" if far and "in a rack" in admitted[0]["steps"] else "slow"
        costs[name] += max(0.0, ran - placed[-1]["expected_ms"] / 1000)
    objective = ended_lines[0]["objective_ms"] / 1000
    took = shown - first
    late = took - objective
    cause, cost = max(costs.items(), key=lambda item: item[1])
    if cost < late / 4:
        cause, cost = "work", late
    return {"first": first, "took": took, "objective": objective, "late": late,
            "cause": cause, "cost": cost, "costs": costs, "queue": admitted[0]["queue"],
            "steps": admitted[0]["steps"]}


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
            times = analyze(lines)
            if times is None:
                continue
            jobs += 1
            if times["late"] <= 0:
                continue
            late += 1
            row = table[times["cause"]]
            row[0] += 1
            row[1] += times["cost"]
            row[2] += times["late"]
            if args.jobs:
                parts = ", ".join(f"{k} {v:.2f}" for k, v in times["costs"].most_common() if v > 0.02)
                print(f"{Path(path).stem} {name} at {times['first']:.1f}: {times['took']:.2f} of "
                      f"{times['objective']:.2f} s, {times['cause']} ({times['steps']}; {parts})")
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
