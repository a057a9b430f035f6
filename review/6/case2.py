"""A burst of scheduled jobs, 2.5 times as many as usual. The processes have to
stay within their memory, and work that is due has to run."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standin2 as p

MEMORY_MB = 260      # limits.memory_mb of the site, as in the settings.
USUAL = 16           # Scheduled jobs in BURST_S seconds.
FACTOR = 2.5         # The site file's largest burst is 2.6.
BURST_S = 6.0
# Once a minute for two weeks.
SCHEDULE = dict(repeat_count=20_000, interval_ms=60_000)
STEP = {"count": 1, "cpu": 500, "mem_mb": 50, "estimate_ms": 500}
RESTART_S = 0.5


def memory_mb(pid):
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0


async def keep_to_memory(world, node, kills):
    """The platform: kills a process that exceeds its memory and restarts it."""
    next_line = 0
    while True:
        await asyncio.sleep(0.1)
        try:
            used = memory_mb(node.process.pid)
        except OSError:
            continue
        if time.monotonic() >= next_line:
            next_line = time.monotonic() + 2
            world.record(f"platform: {node.name} uses {used:.0f} MB")
        if used > MEMORY_MB:
            kills.append(node.name)
            world.record(f"platform: {node.name} uses {used:.0f} MB of {MEMORY_MB} and is "
                         f"killed, kill {len(kills)}")
            await node.end(signal.SIGKILL)
            await asyncio.sleep(RESTART_S)
            await node.start()


async def case(world):
    record = world.record
    world.put_config([
        {"name": "timed", "path_prefix": "/timed/", "service": "svc"},
        {"name": "batch", "path_prefix": "/batch/", "service": "svc"}])
    for i in range(6):
        await world.fleet.add(f"ex-{i}", "za", "svc", 32_000, ["a", "r1"])
    await world.start([("n1", "za"), ("n2", "za"), ("n3", "za")])
    await world.wait_ready()
    kills = []
    watchers = [asyncio.ensure_future(keep_to_memory(world, node, kills))
                for node in world.nodes]
    count = int(USUAL * (FACTOR if p.trouble() else 1))
    record(f"{count} scheduled jobs in {BURST_S} s")
    first = p.now_ms() + 20_000
    accepted = []
    for _ in range(count):
        job = await world.submit("/timed/", [STEP], work_s=0.3,
                                 first_run_ms=first, **SCHEDULE)
        accepted += [job] if job else []
        await asyncio.sleep(BURST_S / count)
    record(f"end of the burst; {len(accepted)} of {count} jobs were accepted")
    await asyncio.sleep(4)
    plain = await world.submit("/batch/", [dict(STEP, count=2)], work_s=0.3)
    record(f"end of the traffic; a plain job: {plain}")
    # The first time of the schedules is due within the traffic's end + finish_s.
    due = first / 1000 + 14 + 3
    while time.time() < due:
        await asyncio.sleep(0.5)
    late = [j for j in accepted if not any(t.startswith(j) for _, _, t, _ in world.fleet.starts)]
    state = await world.state("/batch/", plain) if plain else "not accepted"
    for watcher in watchers:
        watcher.cancel()
    names = {name: kills.count(name) for name in set(kills)}
    record(f"kills for memory: {names}; scheduled jobs whose first time was due 17 s ago and "
           f"which have not begun: {len(late)} of {len(accepted)}; the plain job: {state}; use "
           f"of the executors' room {world.fleet.use():.3f}")
    broken = []
    if sum(n >= 3 for n in names.values()) >= 2:
        broken.append(f"Fault: processes of two machines and more ended three times and more, "
                      f"with memory over the limit: {names}")
    if late:
        broken.append(f"LOST: {len(late)} of {len(accepted)} accepted jobs have nothing running "
                      f"17 s after their first time was due")
    if plain and state != "completed":
        broken.append(f"LOST: a plain job that was accepted is {state} after "
                      f"{time.time() - first / 1000 + 10:.0f} s")
    for line in broken:
        record.say("BROKEN " + line)
    record.say("result: " + ("broken" if broken else "held"))
    return 1 if broken else 0


p.play(HERE, ["za"], case)
