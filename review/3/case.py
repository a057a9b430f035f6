"""An executor that drains is cut off, and its entry expires."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
from standin import CannotRun, HEARTBEAT_MS, main, ms  # noqa: E402

CUT_S = 5.5  # `node_cut` with how = "servers" of the site: for_s = 5.5.
# drain_ms is 2 s; the executor goes on "a little longer (at times many seconds)".
DRAIN_S = 10
SPEC = {"ms": 12000, "cpu": 2000}
STEPS = [{"count": 4, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 12000}]


async def case(world):
    warm = [f"{n:016x}" for n in range(1, 7)]
    for n, job in enumerate(warm):
        if await world.submit(world.entries[n % 3], job, {**SPEC, "ms": 300}, STEPS) != 200:
            raise CannotRun("a job before the disruption was not accepted")
    if not await world.completed(world.entries[1], warm, 20):
        raise CannotRun("the jobs before the disruption are not completed")
    jobs = [f"{n:016x}" for n in range(101, 107)]
    for n, job in enumerate(jobs):
        await world.submit(world.entries[n % 3], job, SPEC, STEPS)
    await asyncio.sleep(1)
    leaving = max(world.executors, key=lambda e: len(e.running))
    leaving.state = "draining"
    leaving.announce()
    world.record("draining", id=leaving.id, runs=len(leaving.running))
    drained = ms()
    await asyncio.sleep(1)
    if world.trouble:
        await leaving.cut()
        cut = ms()
        # The store drops an entry after three intervals of silence.
        await asyncio.sleep(max(0, (leaving.last_beat + 3 * HEARTBEAT_MS - ms()) / 1000))
        world.store.remove("servers", leaving.id)
        world.record("entry_expired", id=leaving.id)
        await asyncio.sleep(max(0, CUT_S - (ms() - cut) / 1000))
        await leaving.heal()
    await asyncio.sleep(max(0, DRAIN_S - (ms() - drained) / 1000))
    await leaving.leave()
    await world.completed(world.entries[0], jobs, 40)
    return [f"TWICE: {first.task} run {first.number} on {world.where(first).id} and run "
            f"{second.number} on {world.where(second).id} at the same time for {overlap:.0f} ms"
            for first, second, overlap in world.overlaps()]


if __name__ == "__main__":
    main(case, FOLDER)
