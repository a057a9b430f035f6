"""The store carries out one write, resets its connection, then answers 503."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
from standin import CannotRun, Reset, main, ms  # noqa: E402

AWAY_MS = 4500  # `platform_down` of the site: for_s = 4.5, for some machines up to 9.
SPEC = {"ms": 500, "cpu": 1000}
STEPS = [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}]


async def case(world):
    entry = world.entries[0]
    warm = [f"{n:016x}" for n in range(1, 13)]
    for n, job in enumerate(warm):
        if await world.submit(world.entries[n % 3], job, SPEC, STEPS) != 200:
            raise CannotRun("a job before the disruption was not accepted")
    if not await world.completed(world.entries[1], warm, 20):
        raise CannotRun("the jobs before the disruption are not completed")
    await asyncio.sleep(2)
    job = "00000000000000ff"
    away_since = None

    async def turn_away(request):
        # The store turns this machine away, and serves the others.
        nonlocal away_since
        if away_since is None:
            stores_job = request.path == "/api/rows-tx" and any(
                p["key"] == job for p in request.json()["puts"])
            if not stores_job:
                answer = await world.store.handle(request)
                if away_since is not None:
                    raise Reset  # It was waiting when the store turned away.
                return answer
            away_since = ms()
            status, _ = await world.store.handle(request)
            world.record("store", call="rows-tx of the job", done=status, answer="reset")
            raise Reset
        if ms() >= away_since + AWAY_MS:
            return None
        world.record("store", call=request.path, answer=503)
        return 503, {}

    if world.trouble:
        entry.fault = turn_away
    # The client waits for its time limit. A 503 is final: it doesn't ask again.
    status = await world.submit(entry, job, SPEC, STEPS)
    for _ in range(4):
        if status in (200, 503, 429, 404):
            break
        status = await world.submit(entry, job, SPEC, STEPS)
    await asyncio.sleep(AWAY_MS / 1000 + 8)
    runs = world.runs_of(job)
    world.record("runs", job=job, count=len(runs))
    if status in (503, 429) and runs:
        return [f"REFUSED: job {job}: its only request was answered {status}, and "
                f"{len(runs)} of its tasks were started"]
    if status == 200 and not runs:
        return [f"LOST: job {job} was accepted and doesn't run"]
    return []


if __name__ == "__main__":
    main(case, FOLDER)
