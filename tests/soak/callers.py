"""Callers that hand in jobs at random times."""

import asyncio
import random

from stage import standin


class Callers:
    """Hand in jobs at random times, each with up to four attempts at any process. One in ten
    accepted jobs is handed in once more, seconds later."""

    def __init__(self, world, options):
        self.world, self.seed = world, options.seed
        self.rng = random.Random(options.seed)
        self.rate, self.work_ms, self.share = options.rate, options.work, options.lasting
        self.answers = {}  # Statuses by job.
        self.lasting = {}  # Number of the step and its tasks, by job.
        self.failing = set()  # Jobs that may fail.
        self.spread = options.spread
        self.limits = {}  # Of tasks of a step on one executor, by job and step.
        self.cancels = {}  # By job; when it was acknowledged, or None.
        self.stopped = False

    async def run(self):
        number = 0
        calls = set()
        while not self.stopped:
            number += 1
            job = f"{self.seed % 65536:04x}{number:012x}"
            call = asyncio.create_task(self.submit(job, random.Random(f"{self.seed} {job}")))
            calls.add(call)
            await asyncio.sleep(self.rng.expovariate(self.rate))
        await asyncio.gather(*calls)

    def has_room(self):
        """Lasting tasks, of 1 CPU each, take half of the CPU at most."""
        tasks = sum(counts[-1] for _, counts in self.lasting.values())
        return 2000 * tasks < sum(e.cpu for e in self.world.executors)

    def queue(self, _):
        return standin.QUEUE

    def vary(self, job, rng, spec, step):
        """For callers whose steps differ in more than their number of tasks."""

    def limit(self, job, number, step):
        """Limits a share of the steps to so many tasks on an executor, and gives them enough
        tasks for the limit to bind."""
        # Other draws stay as they are without a limit.
        rng = random.Random(f"{self.seed} {job} {number} spread")
        if rng.random() >= self.spread or step.get("gang"):
            return
        step["anti_affinity"] = self.limits[job, number] = rng.choice((1, 1, 2))
        if not step.get("long_running"):
            step["count"] = rng.randint(4, 12)

    async def submit(self, job, rng):
        spec, steps = {"steps": {}}, []
        for step in range(rng.choice([1, 1, 2])):
            lasts = rng.random() < self.share and self.has_room()
            spec["steps"][str(step)] = {
                "ms": 1e9 if lasts else rng.randint(*self.work_ms), "cpu": 1000}
            steps.append({"count": rng.randint(1, 4), "cpu": 1000, "mem_mb": 256,
                          "estimate_ms": 1000, **({"after": [step - 1]} if step else {}),
                          **({"long_running": True} if lasts else {})})
            self.vary(job, rng, spec["steps"][str(step)], steps[-1])
            self.limit(job, step, steps[-1])
            if lasts:
                self.lasting[job] = (step, [s["count"] for s in steps])
                break
        queue = self.queue(rng)
        self.answers[job] = []
        for _ in range(4):
            status = await self.world.submit(rng.choice(self.world.entries), job, spec, steps,
                                             queue=queue)
            self.answers[job].append(status)
            if status == 200:
                await self.accepted(job, queue, rng, spec, steps)
                return
            await asyncio.sleep(0.3)

    async def accepted(self, job, queue, rng, spec, steps):
        if rng.random() < 0.1:
            await asyncio.sleep(rng.uniform(0.5, 5))
            await self.world.submit(rng.choice(self.world.entries), job, spec, steps, queue=queue)
