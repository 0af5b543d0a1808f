"""A worker starts again under its former id while it is cut off; its goodbye,
which the cut has held up, arrives in its new life."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

import world  # pylint: disable=wrong-import-position

# One of six workers, a share of 0.167, is cut off for 3.5 s.
WORKERS = 6
CUT_S = 3.5
CAPACITY = {"cpu": 128000, "memMb": 262144, "gpu": 8}
# That worker is smaller than the others, so that small work fits it best.
SMALL = {"cpu": 128000, "memMb": 262144, "gpu": 4}
# The bounds of wzg-batch-fleet, where they differ.
BOUNDS = {"applyMs": 5000, "gang_ms": 7000, "stop_ms": 400, "reclaimMs": 2900}
DRAIN_S = 5.0
# The goodbye arrives within this time of the start of the agent's look at the
# worker, and of the worker's last heartbeat.
AFTER_LOOK_S = 0.12
AFTER_BEAT_S = 0.65
# Runs overlap if they do for longer than the record is exact.
EXACT_S = 0.05


def job(work_ms, gpu, replicas=1):
    step = {"replicas": replicas, "cpu": 1000, "memMb": 256, "gpu": gpu,
            "estimateMs": work_ms}
    return {"spec": json.dumps({"ms": work_ms}), "steps": [step]}


async def case(deployment, trouble):
    await deployment.start(2, WORKERS, CAPACITY, world.config())
    at = deployment.workers[0]
    # This worker tells when it was born, and keeps its id.
    await at.die("setup")
    at.keeps_id, at.capacity = True, dict(SMALL)
    await at.start()
    await asyncio.sleep(2)
    # Work on all workers, from which the planner learns how fast they are.
    for _ in range(3):
        warm = await deployment.submit(job(1500, 4, 2 * WORKERS - 1))
        await deployment.await_end(warm, 20)
    # It drains, as planned, and has nothing left to do.
    at.state, at.remaining_ms = "draining", int(DRAIN_S * 1000)
    if not await at.beat():
        raise RuntimeError("draining was not confirmed")
    await asyncio.sleep(DRAIN_S)
    at.cut = trouble
    deployment.note("the worker is cut off" if trouble else "no trouble")
    former = at.id
    if not trouble:
        await at.leave()
    # With no confirmation it ends all the same, some seconds later.
    await asyncio.sleep(1.5)
    await at.die("planned end")
    await asyncio.sleep(0.5)
    await at.start()
    if at.id != former:
        raise RuntimeError("the id is another")
    await asyncio.sleep(CUT_S - 2.0)
    at.cut = False
    deployment.note("the cut has healed")
    await at.beat()
    await asyncio.sleep(0.5)
    last = await deployment.submit(job(12000, 4))
    if trouble:
        await goodbye_arrives(deployment, at, last)
    told = await deployment.await_end(last, 30)
    runs = [r for r in deployment.runs if r["task"].startswith(last)]
    deployment.note("at the end", told=told, runs=len(runs))
    for first, second in zip(runs, runs[1:]):
        over = first["over"] or deployment.now()
        if second["began"] + EXACT_S < over:
            return (f"TWICE: run {second['run']} began on "
                    f"{second['worker']} {over - second['began']:.2f} s before "
                    f"run {first['run']} was over on {first['worker']}, which "
                    "was up")
    return ""


async def goodbye_arrives(deployment, at, last):
    """Lets the goodbye of the former life arrive, once the new life works."""
    until = deployment.now() + 8
    while True:
        now = time.monotonic()
        began, wait = at.last_hold
        works = any(name.startswith(last) for name in at.running)
        if works and wait >= 1.0 and now < began + AFTER_LOOK_S \
                and now < at.last_beat + AFTER_BEAT_S:
            break
        if deployment.now() > until:
            raise RuntimeError("the work did not begin on that worker")
        await asyncio.sleep(0.01)
    confirmed = await at.leave()
    deployment.note("the goodbye has arrived", id=at.id, confirmed=confirmed)


world.main(case, FOLDER, BOUNDS)
