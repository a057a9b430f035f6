"""Faults that carry out calls, answers and writes late."""

import asyncio

from domains import DomainFaults
from faults import BOUNDS_S, REGISTRY_LAGS_MS
from stage import Reset

# A call is carried out up to this long after the others, in any order.
LATEST_S = 4


class LateFaults(DomainFaults):
    """Those of DomainFaults, and those that carry out late what was sent before."""

    @staticmethod
    async def without_reset(executor, request):
        """A link keeps the caller waiting where an executor has gone."""
        try:
            return await executor.handle(request)
        except Reset:
            await asyncio.sleep(30)
            raise

    async def held(self, share, cut_again=False):
        """A link holds back this share of the calls to some executors. They start again behind
        it, once or twice, and the new life gets the calls, in any order, even if the callers
        have given up. Then it may be cut off, and its lease expires."""
        async def one(executor):
            released, plan, rng = asyncio.Event(), self.generator(), self.generator()
            lives, pauses_s = plan.choice((1, 2)), (0.3, plan.choice((1, 4)))

            async def deliver(request, late_s):
                await released.wait()
                await asyncio.sleep(late_s)
                return await self.without_reset(executor, request)

            async def link(request):
                if rng.random() >= share:
                    return await self.without_reset(executor, request)
                return await asyncio.shield(
                    asyncio.create_task(deliver(request, rng.uniform(0, LATEST_S))))

            async def until():
                await asyncio.sleep(plan.uniform(0.3, 3))
                for _ in range(lives):
                    executor.start_again(plan.choice(REGISTRY_LAGS_MS))
                    await asyncio.sleep(plan.uniform(*pauses_s))
                released.set()
                if cut_again:
                    await asyncio.sleep(plan.uniform(0, LATEST_S))
                    await executor.cut()
                    await asyncio.sleep(self.around(BOUNDS_S[1]))
                    await executor.heal()

            await self.with_handler(executor, link, until)
        busy = [e for e in self.world.executors if e.running]
        await asyncio.gather(*map(one, self.pick(busy or self.world.executors, 3)))

    async def held_some(self):
        await self.held(0.5)

    async def held_all(self):
        await self.held(1)

    async def held_cut(self):
        await self.held(self.rng.choice((0.5, 1)), cut_again=True)

    async def held_out(self):
        """Calls are held back while the store is away for all for about the term of an owner,
        and the new lives are not in the registry."""
        away = asyncio.create_task(self.closed(self.with_store_fault(
            self.world.entries, self.denial(), self.rng.uniform(10, 13))))
        while not away.done():
            await asyncio.wait([away], timeout=self.rng.uniform(0, 2))
            await self.held(self.rng.choice((0.5, 1)))

    async def unlisted(self):
        """Executors start again while the store is away for all, some of them unseen: no call
        is held or reset."""
        away = asyncio.create_task(self.closed(self.with_store_fault(
            self.world.entries, self.denial(), self.rng.uniform(10, 13))))
        while not away.done():
            await asyncio.wait([away], timeout=self.rng.uniform(0.5, 3))
            await self.held(0)

    async def late_calls(self):
        """Some calls to executors are carried out 2 to 12 s late, after newer ones."""
        async def one(executor):
            rng = self.generator()

            async def deliver(request, late_s):
                await asyncio.sleep(late_s)
                return await executor.handle(request)

            async def link(request):
                if rng.random() < 0.7:
                    return await executor.handle(request)
                return await asyncio.shield(
                    asyncio.create_task(deliver(request, rng.uniform(2, BOUNDS_S[2]))))
            await self.with_handler(executor, link, lambda: asyncio.sleep(rng.uniform(1, 8)))
        await asyncio.gather(*map(one, self.pick(self.world.executors, 3)))

    async def late_answers(self):
        """Answers of executors overtake each other, and some are lost."""
        async def one(executor):
            rng = self.generator()

            async def link(request):
                answer = await executor.handle(request)
                await asyncio.sleep(rng.uniform(0, 1.5))
                if rng.random() < 0.2:
                    raise Reset
                return answer
            await self.with_handler(executor, link, lambda: asyncio.sleep(rng.uniform(1, 6)))
        await asyncio.gather(*map(one, self.pick(self.world.executors, 3)))

    async def late_writes(self):
        """Some writes to the store get no answer and are carried out up to 6 s later, if their
        condition still holds."""
        rng = self.generator()

        async def later(request, late_s):
            await asyncio.sleep(late_s)
            self.world.record("late_write", status=self.world.store.transact(request.json())[0])

        async def fault(request):
            if request.path != "/api/rows-tx" or rng.random() < 0.6:
                return None
            late_s, silent_s = rng.uniform(0.1, 6), rng.choice((0, 30))
            asyncio.create_task(later(request, late_s))
            await asyncio.sleep(silent_s)
            raise Reset
        picked = self.one_or_all()
        await self.with_store_fault(picked, fault, self.rng.uniform(1, 8))
        self.disturbed.difference_update(picked)
