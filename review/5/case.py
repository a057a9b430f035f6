"""The executor of one kind in one zone is lost for good; other zones have that kind."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from standin import HEARTBEAT_MS, CannotRun, main, ms  # noqa: E402

SPEC = {"ms": 500, "cpu": 1000}
STEPS = [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500, "requires": "b"}]
WAIT_S = 14  # `finish_s`


async def case(world):
    warm = [f"{n:016x}" for n in range(1, 10)]
    for n, job in enumerate(warm):
        if await world.submit(world.entries[n % 3], job, SPEC, STEPS) != 200:
            raise CannotRun("a job before the disruption was not accepted")
    if not await world.completed(world.entries[1], warm, 20):
        raise CannotRun("the jobs before the disruption are not completed")
    lost = next(e for e in world.executors if e.kind == "b")
    if world.trouble:
        await lost.crash()
        await asyncio.sleep(3 * HEARTBEAT_MS / 1000)
        world.store.remove("servers", lost.id)
        world.record("entry_expired", id=lost.id)
    await asyncio.sleep(8)  # Longer than any lease.
    jobs = [f"{n:016x}" for n in range(101, 119)]
    accepted = []
    for n, job in enumerate(jobs):
        if await world.submit(world.entries[n % 3], job, SPEC, STEPS) == 200:
            accepted.append(job)
        await asyncio.sleep(0.2)
    await world.completed(world.entries[0], accepted, WAIT_S)
    left = [e for e in world.executors if e.kind == "b" and e.up]
    unused = [e.cpu - sum(r.cpu for r in e.running.values()) for e in left]
    world.record("unused_cpu", executors=[e.id for e in left], millis=unused)
    broken = []
    for job in accepted:
        status, state = await world.state(world.entries[0], job)
        world.record("state", job=job, status=status, state=state, runs=len(world.runs_of(job)))
        if state != "completed" and not world.runs_of(job):
            broken.append(f"LOST: job {job} was accepted, is shown as {state}, and nothing of it "
                          f"has run; {len(left)} executors that it may use have {unused} unused")
    return broken


case.world = {"labels": ("b", "a", "a")}

if __name__ == "__main__":
    main(case, FOLDER)
