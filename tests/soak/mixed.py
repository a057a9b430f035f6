"""Jobs with gangs, best-effort tasks, priorities, labels, failures and cancels."""

import asyncio

from callers import Callers
from stage import ms, standin

URGENT = {"name": "q-urgent", "host": "urgent.example", "path_prefix": "/urgent/",
          "priority": 0}
QUEUES = ({**standin.QUEUE, "priority": 1}, URGENT)
LABELS = ("a", "b")
# A step of this many short tasks gives one executor several hundred ends.
CROWD = 400


class MixedCallers(Callers):
    """Beside the jobs of Callers. Some accepted jobs are cancelled, also while they run."""

    def queue(self, rng):
        return rng.choice((QUEUES[0], QUEUES[0], URGENT))

    def vary(self, job, rng, spec, step):
        kind = rng.choice(("plain", "plain", "gang", "fills", "fails", "label", "crowd"))
        if step.get("long_running") and kind != "label":
            return
        if kind == "gang":
            step.update(gang=True, count=rng.randint(2, 4))
            spec["gang"] = step["count"]
        elif kind == "fills":
            step["fills"] = spec["fills"] = True
        elif kind == "fails":
            self.failing.add(job)
            spec["fails"] = rng.choice((0.3, 1))
        elif kind == "label":
            step["requires"] = rng.choice(LABELS)
        elif kind == "crowd" and rng.random() < 0.1:
            step.update(count=CROWD, cpu=20, mem_mb=8)
            spec["cpu"] = 20

    async def accepted(self, job, queue, rng, spec, steps):
        await super().accepted(job, queue, rng, spec, steps)
        if rng.random() >= 0.15:
            return
        await asyncio.sleep(rng.uniform(0, 4))
        self.cancels[job] = None
        for _ in range(4):
            entry = rng.choice(self.world.entries)
            status, _ = await standin.call(entry.front, "DELETE", queue["path_prefix"] + job,
                                           host=queue["host"])
            self.world.record("cancel", job=job, at=entry.name, status=status)
            if status == 200:
                self.cancels[job] = ms()
            if status in (200, 410):
                return
            await asyncio.sleep(0.3)
