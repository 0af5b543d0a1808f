#!/usr/bin/env python3
"""Plays single changes to the product in the simulation.

For each change: after how many days, by seed, a promise was seen broken, and
which. Run it in a clone: it changes sources and puts them back.

    tools/mutations.py [--days 400] [--only TEXT]
"""

import argparse
import pathlib
import re
import subprocess

STATE = "src/cell/member/state.rs"
ACT = "src/cell/member/act.rs"
INTAKE = "src/graph/intake.rs"
ORDERS = "src/graph/orders.rs"
SETTLE = "src/graph/settle.rs"

# What is changed, where, from what to what.
MUTATIONS = [
    ("births are not compared in looks", STATE,
     "if view.heartbeat.life.is_other_life(snapshot.birth) {", "if false {"),
    ("late starts are not barred in a new birth", STATE,
     "view.late_runs = earlier.late_runs(&view.heartbeat.life);", ""),
    ("orders outlive what is told to be gone", STATE,
     "view.starts.clear();", ""),
    ("a start is tried again while looks fail", ACT,
     ".filter(|_| known.is_known())", ""),
    ("ends are acknowledged before they are written", ORDERS,
     "if !written {", "if false {"),
    ("a start is ordered before it is written", ORDERS,
     "MemberState::Ordered(version) if version <= record.written =>",
     "MemberState::Ordered(_) =>"),
    ("an old fencing token is obeyed", STATE,
     "if token < self.token {", "if false {"),
    ("ends of an earlier number are taken again", INTAKE,
     "if ended.number <= worker.highest_end {", "if false {"),
    ("what was given up and done begins again", INTAKE,
     "self.mark_task_done(task, now);", "let _ = task;"),
    ("failed runs are not counted", SETTLE,
     "if failed && progress.counted < run {", "if false {"),
    ("a worker that leaves its life loses nothing", INTAKE,
     "self.end_lost(|p| p.agent == *agent && p.life != life, now);", ""),
    ("a refused start is not barred when its fate is unknown", ACT,
     "let sure = !*unsure && why != Refusal::Room;", "let sure = true;"),
]


def play(days):
    """Builds, and plays until a promise is broken; returns what was seen."""
    build = ["cargo", "build", "--release", "-q", "-p", "landingvalve-sim"]
    built = subprocess.run(build, capture_output=True, text=True)
    if built.returncode != 0:
        return "does not build"
    command = ["target/release/landingvalve-sim", "--first"]
    command += ["--days", str(days)]
    played = subprocess.run(command, capture_output=True, text=True)
    seen = re.search(r"seed (\d+): \[\s*\"(\w+)", played.stdout)
    if not seen:
        return f"not seen in {days} days"
    return f"day {seen.group(1)}, {seen.group(2)}"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=400)
    parser.add_argument("--only", default="")
    args = parser.parse_args()
    for name, path, old, new in MUTATIONS:
        if args.only not in name:
            continue
        source = pathlib.Path(path)
        whole = source.read_text()
        if whole.count(old) == 0:
            print(f"{name}: no such place in {path}", flush=True)
            continue
        source.write_text(whole.replace(old, new, 1))
        try:
            print(f"{name}: {play(args.days)}", flush=True)
        finally:
            source.write_text(whole)


if __name__ == "__main__":
    main()
