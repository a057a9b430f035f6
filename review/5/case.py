"""The machine that schedules a zone is cut from the store while tasks fail."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from standin import CannotRun, main, ms  # noqa: E402

CUT_S = 5.5  # `core_cut` of the site file: count = 1, for_s = 5.5.
WARM_STEPS = [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500, "requires": "a"}]
# The second step can never be done: its task fails 30 ms after each start.
SPEC = {"cpu": 1000, "steps": {"0": {"ms": 1500}, "1": {"ms": 30, "fails": True}}}
STEPS = [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1500, "requires": "a"},
         {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500, "requires": "b",
          "after": [0]}]


async def case(world):
    warm = [f"{n:016x}" for n in range(1, 10)]
    for n, job in enumerate(warm):
        if await world.submit(world.entries[n % 6], job, {"ms": 300, "cpu": 1000},
                              WARM_STEPS) != 200:
            raise CannotRun("a job before the disruption was not accepted")
    if not await world.completed(world.entries[1], warm, 20):
        raise CannotRun("the jobs before the disruption are not completed")
    await asyncio.sleep(2)
    jobs = [f"{n:016x}" for n in range(101, 105)]
    for n, job in enumerate(jobs):
        await world.submit(world.entries[n], job, SPEC, STEPS)
    await asyncio.sleep(0.5)
    if not world.runs_of(jobs[0]):
        raise CannotRun("the first job doesn't run")
    zone = world.where(world.runs_of(jobs[0])[0]).zone
    # The store's table shows which machine schedules the zone.
    row = world.store.text("slices", "", zone + "-0") or ""
    owner = next((e for e in world.entries if f" {e.name}/" in row), None)
    if owner is None:
        raise CannotRun("no machine schedules the zone")
    if world.trouble:
        world.record("cut_from_store", machine=owner.name)
        await owner.entrance.stop()
        await asyncio.sleep(CUT_S)
        await owner.entrance.start()
        world.record("healed", machine=owner.name)
    await asyncio.sleep(10)
    broken = []
    for job in jobs:
        runs = [r for r in world.runs_of(job) if r.task.endswith(".0.1.0")]
        failed = sorted(r.ended for r in runs if r.how == "failed"
                        and (r.task, r.number) in world.where(r).noted)
        late = [r for r in runs if len(failed) >= 3 and r.begun > failed[2]]
        if late:
            broken.append(f"BUDGET: {runs[0].task} run {late[0].number} was started on "
                          f"{world.where(late[0]).id} after 3 runs had failed")
    return broken


case.world = {"labels": ("b", "a", "a", "a"), "cpus": (32000,) * 4, "per_zone": 2}

if __name__ == "__main__":
    main(case, FOLDER)
