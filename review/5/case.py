"""One executor is lost for good; a lasting task of a job that is partly up has no place left."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from standin import HEARTBEAT_MS, CannotRun, main, ms, until  # noqa: E402

LASTS_MS = 10**8
SPEC = {"ms": LASTS_MS, "cpu": 4000}
STEPS = [{"count": 3, "cpu": 4000, "mem_mb": 1024, "estimate_ms": 500, "long_running": True,
          "anti_affinity": 1, "may_miss": 1}]
WAIT_S = 20


async def case(world):
    jobs = [f"{n:016x}" for n in range(101, 107)]
    for n, job in enumerate(jobs):
        if await world.submit(world.entries[n % 3], job, SPEC, STEPS) != 200:
            raise CannotRun("a job before the disruption was not accepted")

    def running():
        return {r.task for e in world.executors for r in e.running.values()}

    async def all_run():
        return len(running()) == 3 * len(jobs)

    if not await until(all_run, 15):
        raise CannotRun("the lasting tasks don't run")
    await asyncio.sleep(5)
    lost = max(world.executors, key=lambda e: len(e.running))
    if world.trouble:
        await lost.crash()
        await asyncio.sleep(3 * HEARTBEAT_MS / 1000)
        world.store.remove("servers", lost.id)
        world.record("entry_expired", id=lost.id)
    await asyncio.sleep(WAIT_S)
    missing = [f"{job}.0.0.{n}" for job in jobs for n in range(3)
               if f"{job}.0.0.{n}" not in running()]
    idle = [e.id for e in world.executors if e.up and not e.running]
    unused = {e.id: e.cpu - sum(r.cpu for r in e.running.values())
              for e in world.executors if e.up}
    world.record("unused_cpu", millis=unused, idle=idle)
    return [f"LOST: {task} is to last and hasn't run for "
            f"{ms() - max(r.ended for r in world.runs_of(task.split('.')[0]) if r.task == task):.0f}"
            f" ms; {sum(unused.values())} of {sum(e.cpu for e in world.executors if e.up)} are unused"
            for task in missing]


if __name__ == "__main__":
    main(case, FOLDER)
