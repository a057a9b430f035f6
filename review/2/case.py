"""An idle executor is killed and starts again under its id, at its address."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
from standin import CannotRun, main  # noqa: E402

DOWN_S = 0.5
# As `lag_ms` of `[discovery]` in the site file; `heartbeat_ms` is 1,500.
FIRST_ENTRY_MS = 800
SPEC = {"ms": 4000, "cpu": 1000}
STEPS = [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 4000}]


async def case(world):
    warm = [f"{n:016x}" for n in range(1, 13)]
    for n, job in enumerate(warm):
        if await world.submit(world.entries[n % 3], job, {**SPEC, "ms": 300}, STEPS) != 200:
            raise CannotRun("a job before the disruption was not accepted")
    if not await world.completed(world.entries[0], warm, 20):
        raise CannotRun("the jobs before the disruption are not completed")
    await asyncio.sleep(3)
    # One executor of nine, the one with the most room in its zone.
    restarted = world.executors[0]
    if world.trouble:
        await restarted.crash()
        await asyncio.sleep(DOWN_S)
        await restarted.start(register_after_ms=FIRST_ENTRY_MS)
    await asyncio.sleep(0.1)
    jobs = [f"{n:016x}" for n in range(101, 119)]
    for n, job in enumerate(jobs):
        await world.submit(world.entries[n % 3], job, SPEC, STEPS)
    done = await world.completed(world.entries[0], jobs, 40)
    world.record("all_completed", yes=done)
    broken = []
    for first, second, overlap in world.overlaps():
        broken.append(f"TWICE: {first.task} run {first.number} on {world.where(first).id} and run "
                      f"{second.number} on {world.where(second).id} at the same time for "
                      f"{overlap:.0f} ms")
    return broken


if __name__ == "__main__":
    main(case, FOLDER)
