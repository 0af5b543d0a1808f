"""A job whose write the store carries out late, and that its client cancels
meanwhile."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

import world  # pylint: disable=wrong-import-position

WORKERS = 4
CAPACITY = {"cpu": 64000, "memMb": 131072, "gpu": 8}
# The store's trouble: how long, the greatest share of the writes that are not
# answered, and how late they are done.
LOST_S = 4.5
LOST_SHARE = 0.35
LATE_S = 6.0
# The bounds of the rule, `cancel_ms` and `contactMs`.
CANCEL_S = 4.0
CONTACT_S = 4.0


def job(work_ms):
    step = {"replicas": 1, "cpu": 1000, "memMb": 256, "gpu": 1,
            "estimateMs": work_ms}
    return {"spec": json.dumps({"ms": work_ms}), "steps": [step]}


async def others(deployment, until):
    """Submits jobs of other clients."""
    while deployment.now() < until:
        asyncio.create_task(deployment.submit(job(500)))
        await asyncio.sleep(0.25)


async def case(deployment, trouble):
    await deployment.start(3, WORKERS, CAPACITY, world.config())
    store = deployment.store
    name = f"{0x5c0e7a21d94b36f8:016x}"
    deployment.jobs[name] = job(2000)
    began = deployment.now()
    ends = began + LOST_S
    stream = asyncio.create_task(others(deployment, ends))

    def late(body):
        inside = deployment.now() < ends
        ours = any(put["tlsKey"] == f"lv/in/{name}/job"
                   for put in body.get("put", []))
        return LATE_S if trouble and inside and ours else None

    store.late = late
    deployment.note("the store loses answers" if trouble else "no trouble",
                    for_s=LOST_S)
    await asyncio.sleep(LOST_S - 1.5)
    # The client sends its job, and cancels it whatever it hears.
    path = world.PREFIX + name
    status, _ = await deployment.call("POST", path, deployment.jobs[name])
    deployment.note("the client was told", status=status)
    cancelled, _ = await deployment.call("DELETE", path)
    acknowledged = deployment.now()
    deployment.note("the cancel was answered", status=cancelled)
    await stream
    if cancelled not in (200, 410):
        raise RuntimeError("the cancel was not acknowledged")
    await asyncio.sleep(12)
    window = [delay for at, delay in store.writes
              if began <= at - deployment.began < ends]
    lost = [delay for delay in window if delay is not None]
    deployment.note("writes during the trouble", all=len(window),
                    not_answered=len(lost))
    if trouble and not 0 < len(lost) <= LOST_SHARE * len(window):
        raise RuntimeError("the trouble was not of the size that is allowed")
    for run in deployment.runs:
        after = run["began"] - acknowledged
        calm = run["began"] - ends
        if run["task"].startswith(name) and after > CANCEL_S \
                and calm > CONTACT_S:
            return (f"UNASKED: a task began {after:.1f} s after its cancel was "
                    f"answered {cancelled}, and {calm:.1f} s after the end of "
                    "the trouble")
    return ""


world.main(case, FOLDER)
