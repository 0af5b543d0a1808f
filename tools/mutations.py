#!/usr/bin/env python3
"""Mutation test of the simulation: applies single faults to the product.

Prints for each mutation the first day, by seed, on which the simulation reports
a violated invariant, and the kind of the violation. Run it in a clone: it
changes sources and restores them.

    tools/mutations.py [--days 400] [--only TEXT]
"""

import argparse
import pathlib
import re
import subprocess

STATE = "src/cell/member/state.rs"
ACT = "src/cell/member/act.rs"
CANCEL = "src/cell/admission/cancel.rs"
INTAKE = "src/graph/intake.rs"
ORDERS = "src/graph/orders.rs"
SETTLE = "src/graph/settle.rs"

# Each mutation: description, file, excerpt to replace and its replacement.
MUTATIONS = [
    ("births are not compared in polls", STATE,
     "if view.heartbeat.life.is_other_life(snapshot.birth) {", "if false {"),
    ("late starts are not barred in a new birth", STATE,
     "view.late_runs = earlier.late_runs(&view.heartbeat.life);", ""),
    ("orders outlive a worker that is reported lost", STATE,
     "view.starts.clear();", ""),
    ("a start is tried again while polls fail", ACT,
     ".filter(|_| known.is_known())", ""),
    ("ends are acknowledged before they are written", ORDERS,
     "if !written {", "if false {"),
    ("a start is ordered before it is written", ORDERS,
     "MemberState::Ordered(version) if version <= record.written =>",
     "MemberState::Ordered(_) =>"),
    ("an old fencing token is obeyed", STATE,
     "if token < self.token {", "if false {"),
    ("ends of an earlier number are applied again", INTAKE,
     "if ended.number <= worker.highest_end {", "if false {"),
    ("a task that was given up and has ended as done begins again", INTAKE,
     "self.mark_task_done(task, now);", "let _ = task;"),
    ("failed runs are not counted", SETTLE,
     "if failed && progress.counted < run {", "if false {"),
    ("a worker that leaves its life loses nothing", INTAKE,
     "self.end_lost(|p| p.agent == *agent && p.life != life, now);", ""),
    ("a goodbye ends the life at once", STATE,
     "view.goodbye = Some(goodbye);",
     "view.goodbye = Some(goodbye); view.over = Some(Over::Left);"),
    ("a cancel that finds no job writes nothing", CANCEL,
     "let cancelled = self.try_cancel(",
     "if revision == 0 { return Ok(false); }\n"
     "let cancelled = self.try_cancel("),
    ("a refused start is not barred when its fate is unknown", ACT,
     "let sure = !*unsure && why != Refusal::Room;", "let sure = true;"),
]


def simulate(days):
    """Builds the simulation and runs it until a violation; describes the result."""
    build = ["cargo", "build", "--release", "-q", "-p", "landingvalve-sim"]
    built = subprocess.run(build, capture_output=True, text=True)
    if built.returncode != 0:
        return "does not build"
    command = ["target/release/landingvalve-sim", "--first"]
    command += ["--days", str(days)]
    result = subprocess.run(command, capture_output=True, text=True)
    violation = re.search(r"seed (\d+): \[\s*\"(\w+)", result.stdout)
    if not violation:
        return f"no violation in {days} days"
    return f"day {violation.group(1)}, {violation.group(2)}"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=400)
    parser.add_argument("--only", default="")
    args = parser.parse_args()
    for name, path, old, new in MUTATIONS:
        if args.only not in name:
            continue
        source = pathlib.Path(path)
        original = source.read_text()
        if original.count(old) == 0:
            print(f"{name}: excerpt not found in {path}", flush=True)
            continue
        source.write_text(original.replace(old, new, 1))
        try:
            print(f"{name}: {simulate(args.days)}", flush=True)
        finally:
            source.write_text(original)


if __name__ == "__main__":
    main()
