"""Callers that hand in jobs at random times."""

import asyncio


class Callers:
    """Hand in jobs at random times, each with up to four attempts at any process."""

    def __init__(self, world, rng, options):
        self.world, self.rng, self.seed = world, rng, options.seed
        self.rate, self.work_ms, self.share = options.rate, options.work, options.lasting
        self.answers = {}  # Statuses by job.
        self.lasting = {}  # Number of the step and its tasks, by job.
        self.stopped = False

    async def run(self):
        number = 0
        calls = set()
        while not self.stopped:
            number += 1
            call = asyncio.create_task(self.submit(f"{self.seed % 65536:04x}{number:012x}"))
            calls.add(call)
            await asyncio.sleep(self.rng.expovariate(self.rate))
        await asyncio.gather(*calls)

    def has_room(self):
        """Lasting tasks, of 1 CPU each, take half of the CPU at most."""
        tasks = sum(counts[-1] for _, counts in self.lasting.values())
        return 2000 * tasks < sum(e.cpu for e in self.world.executors)

    async def submit(self, job):
        spec, steps = {"steps": {}}, []
        for step in range(self.rng.choice([1, 1, 2])):
            lasts = self.rng.random() < self.share and self.has_room()
            spec["steps"][str(step)] = {
                "ms": 1e9 if lasts else self.rng.randint(*self.work_ms), "cpu": 1000}
            steps.append({"count": self.rng.randint(1, 4), "cpu": 1000, "mem_mb": 256,
                          "estimate_ms": 1000, **({"after": [step - 1]} if step else {}),
                          **({"long_running": True} if lasts else {})})
            if lasts:
                self.lasting[job] = (step, [s["count"] for s in steps])
                break
        self.answers[job] = []
        for _ in range(4):
            status = await self.world.submit(self.rng.choice(self.world.entries), job, spec, steps)
            self.answers[job].append(status)
            if status == 200:
                return
            await asyncio.sleep(0.3)
