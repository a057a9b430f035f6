"""The faults that the soak injects, by name."""

import asyncio
import base64
import itertools
import json
import os
import random
import signal

from rules import own_end
from stage import HEARTBEAT_MS, Reset, ms, standin

# Entries of the registry lag behind the start of an executor by up to a heartbeat, and more
# where it does not reach the store.
REGISTRY_LAGS_MS = (0, 300, 800, HEARTBEAT_MS, 4000)
# The bounds that the program relies on: until a successor claims a slice, the lease of a
# worker, and the term of an owner. Faults last for less, for about as long, and for longer.
BOUNDS_S = (2.8, 6, 12)
AROUND = ((0.5, 0.85), (0.85, 1.15), (1.15, 1.4))
# How the store denies a call.
DENIALS = (503, "silent", 429, "reset")
# How long an owner that ends may take for the hand-over of its slice.
HAND_OVER_S = 1
# Between restarts in turn: none, shorter than a lease, about as long, and longer.
PAUSES_S = ((0, 0), (1, 3), (5, 7), (7, 9))


class Faults:
    """The faults by name; each coroutine injects one and ends with it."""

    def __init__(self, world, seed, disturbed, own_ends):
        self.world, self.seed = world, seed
        self.disturbed = disturbed  # Executors and processes with a fault.
        self.own_ends = own_ends

    async def run(self, name, end):
        """Each fault draws from a generator of its own, whatever the others do."""
        self.end = end
        for number in itertools.count():
            self.rng = random.Random(f"{self.seed} {name} {number}")
            await asyncio.sleep(self.rng.uniform(0.2, 3))
            if ms() >= end:
                return
            self.world.record("fault", name=name, number=number)
            await getattr(self, name)()

    def generator(self):
        """For draws that depend on the order of calls."""
        return random.Random(self.rng.random())

    def pick(self, candidates, most=1):
        free = [c for c in candidates if c not in self.disturbed]
        picked = self.rng.sample(free, min(len(free), self.rng.randint(1, most)))
        self.disturbed.update(picked)
        return picked

    async def restart_executor(self, executor, down_s):
        await executor.crash()
        await asyncio.sleep(down_s)
        await executor.start(register_after_ms=self.rng.choice(REGISTRY_LAGS_MS))
        self.disturbed.discard(executor)

    async def restart(self):
        """Executors are killed and start again under their ids."""
        await asyncio.gather(*(self.restart_executor(e, self.rng.uniform(0.1, 1.5))
                               for e in self.pick(self.world.executors, 3)))

    async def restart_idle(self):
        """The same with executors without work, which no owner calls."""
        idle = [e for e in self.world.executors if not e.running]
        await asyncio.gather(*(self.restart_executor(e, self.rng.uniform(0.05, 0.5))
                               for e in self.pick(idle, 4)))

    async def gone(self):
        """Executors are killed and stay away for about a lease; some come back as another,
        at the same address."""
        async def go(executor):
            await executor.crash()
            await asyncio.sleep(self.around(BOUNDS_S[1]))
            if self.rng.random() < 0.5:
                executor.id += "x"
            await executor.start(self.rng.choice(REGISTRY_LAGS_MS))
            self.disturbed.discard(executor)
        await asyncio.gather(*map(go, self.pick(self.world.executors, 2)))

    async def cut_off(self, executor):
        await executor.cut()
        await asyncio.sleep(self.rng.uniform(1, 5.5))

    async def cut(self):
        """An executor is cut off and runs on."""
        for executor in self.pick(self.world.executors):
            await self.cut_off(executor)
            await executor.heal()
            self.disturbed.discard(executor)

    async def reborn(self):
        """An executor is cut off, and starts again behind the cut."""
        for executor in self.pick(self.world.executors):
            await self.cut_off(executor)
            executor.reachable = True
            await self.restart_executor(executor, 0)

    async def silent_restart(self):
        """All packets to an executor are lost for a while, in which it starts again."""
        for executor in self.pick(self.world.executors):
            lost = asyncio.create_task(asyncio.sleep(self.rng.uniform(0.3, 2.5)))

            async def wait(_):
                await asyncio.sleep(4)
                raise Reset

            async def restart():
                await lost
                executor.start_again(self.rng.choice(REGISTRY_LAGS_MS))

            await self.with_handler(executor, wait, restart)

    async def drain_cut(self):
        """A draining executor is cut off, comes back, leaves and is replaced."""
        for executor in self.pick(self.world.executors):
            executor.state = "draining"
            executor.announce()
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            await self.cut_off(executor)
            await executor.heal()
            await asyncio.sleep(self.rng.uniform(0.5, 3))
            await executor.leave()
            await asyncio.sleep(self.rng.uniform(1, 3))
            await self.replace(executor)

    async def with_handler(self, executor, link, until):
        executor.link = link
        await until()
        executor.link = executor.handle
        self.disturbed.discard(executor)

    async def reset_refuse(self):
        """An executor carries out a start, resets the connection, and refuses for a while."""
        for executor in self.pick(self.world.executors):
            reset = asyncio.Event()
            status = self.rng.choice((429, 503))

            async def handle(request):
                if reset.is_set():
                    return status, {}
                if request.path == "/api/run-start":
                    await executor.handle(request)
                    reset.set()
                    raise Reset
                return await executor.handle(request)

            async def until():
                try:
                    await asyncio.wait_for(reset.wait(), 4)
                except asyncio.TimeoutError:
                    return
                await asyncio.sleep(self.rng.uniform(0.3, 1.5))

            await self.with_handler(executor, handle, until)

    async def lost_answers(self):
        """An executor loses half of its answers."""
        for executor in self.pick(self.world.executors):
            rng = self.generator()

            async def handle(request):
                answer = await executor.handle(request)
                if rng.random() < 0.5:
                    raise Reset
                return answer

            await self.with_handler(executor, handle,
                                    lambda: asyncio.sleep(self.rng.uniform(0.5, 2)))

    async def with_store_fault(self, processes, fault, seconds):
        for process in processes:
            process.fault = fault
        await asyncio.sleep(seconds)
        for process in processes:
            if process.fault is fault:
                process.fault = None

    async def store_away(self):
        """The store refuses all calls of one process."""
        picked = self.pick(self.world.entries)
        await self.with_store_fault(picked, self.denial(kinds=(503,)), self.rng.uniform(1, 10.7))
        self.disturbed.difference_update(picked)

    async def store_down(self):
        """The store refuses all calls."""
        await self.closed(self.with_store_fault(
            self.world.entries, self.denial(kinds=(503,)), self.rng.uniform(1, 4.5)))

    async def closed(self, fault):
        """No executor reaches the store meanwhile."""
        self.world.store.close(self.rng.random() < 0.5)
        try:
            await fault
        finally:
            self.world.store.open()

    def around(self, bound_s):
        return bound_s * self.rng.uniform(*self.rng.choice(AROUND))

    def one_or_all(self):
        return self.pick(self.world.entries) if self.rng.random() < 0.5 else self.world.entries

    def denial(self, paths=None, kinds=DENIALS):
        """Refuses the calls with these paths, or all, or leaves them without an answer."""
        kind = self.rng.choice(kinds)

        async def deny(request):
            if paths is not None and request.path not in paths:
                return None
            if kind in ("silent", "reset"):
                await asyncio.sleep(30 if kind == "silent" else 0)
                raise Reset
            return kind, {}
        return deny

    async def outage(self, processes, seconds):
        """The store does not serve some processes, and executors restart meanwhile."""
        fault = self.with_store_fault(processes, self.denial(), seconds)
        away = asyncio.create_task(
            self.closed(fault) if len(processes) == len(self.world.entries) else fault)
        while not away.done():
            await asyncio.wait([away], timeout=self.rng.uniform(0.2, 2))
            await self.restart_busy()

    async def store_out(self):
        """An outage of one process, or of all, for about one of the bounds."""
        picked = self.one_or_all()
        await self.outage(picked, self.around(self.rng.choice(BOUNDS_S)))
        self.disturbed.difference_update(picked)

    async def term_out(self):
        """An outage of all for about the term of an owner."""
        await self.outage(self.world.entries, BOUNDS_S[2] * self.rng.uniform(0.95, 1.15))

    async def restart_busy(self):
        busy = [e for e in self.world.executors if e.running]
        await asyncio.gather(*(self.restart_executor(e, self.rng.uniform(0.05, 0.5))
                               for e in self.pick(busy, 4)))

    async def writes_out(self):
        """The same for writes alone."""
        picked = self.one_or_all()
        await self.with_store_fault(picked, self.denial(["/api/rows-tx"]),
                                    self.around(self.rng.choice(BOUNDS_S)))
        self.disturbed.difference_update(picked)

    async def cut_long(self):
        """Executors are cut off for about a lease, and run on."""
        async def cut(executor):
            await executor.cut()
            await asyncio.sleep(self.around(BOUNDS_S[1]))
            await executor.heal()
            self.disturbed.discard(executor)

        await asyncio.gather(*map(cut, self.pick(self.world.executors, 3)))

    async def freeze_long(self):
        """One process, or all, are frozen for about one of the bounds."""
        picked = self.one_or_all()
        for process in picked:
            self.send_signal(process, signal.SIGSTOP)
        await asyncio.sleep(self.around(self.rng.choice(BOUNDS_S)))
        for process in picked:
            self.send_signal(process, signal.SIGCONT)
        self.disturbed.difference_update(picked)

    async def drain(self, executor):
        """It serves on for drain_ms, 2 s, after the store has its report, or a little longer."""
        executor.state = "draining"
        while self.world.store.closures or executor.isolated:
            await asyncio.sleep(0.05)
        executor.announce()
        await asyncio.sleep(self.rng.uniform(2, 3) + self.rng.choice((0, 0, 5)))
        await executor.leave()

    async def replace(self, executor):
        executor.state = "ready"
        executor.id += "x"
        await executor.start()
        self.disturbed.discard(executor)

    async def release(self):
        """Executors drain, leave and are replaced."""
        for executor in self.pick(self.world.executors, 3):
            await self.drain(executor)
            await self.replace(executor)

    async def store_slow(self):
        slowest_s = self.rng.uniform(0.06, 0.24)

        async def wait(_):
            await asyncio.sleep(slowest_s * self.rng.uniform(0.5, 1))
        await self.with_store_fault(self.world.entries, wait, self.rng.uniform(2, 5))

    async def store_lost(self):
        """Writes of one process are carried out and not answered."""
        rng = self.generator()

        async def lose(request):
            if request.path != "/api/rows-tx" or rng.random() < 0.6:
                return None
            await self.world.store.handle(request)
            raise Reset
        picked = self.pick(self.world.entries)
        await self.with_store_fault(picked, lose, self.rng.uniform(1, 4))
        self.disturbed.difference_update(picked)

    async def store_mixed(self):
        """The store denies calls, or some of them, to some processes, each in a way of its
        own, is slow for others, and drops its history."""
        async def one(process):
            slowest_s = self.rng.choice((0, 0.3, 3))
            paths = self.rng.choice((None, ["/api/rows-tx"], ["/api/rows-get"],
                                     ["/api/rows-feed"]))
            deny, rng = self.denial(paths), self.generator()

            async def fault(request):
                if slowest_s:
                    return await asyncio.sleep(slowest_s * rng.random())
                return await deny(request)
            await self.with_store_fault([process], fault, self.rng.uniform(1, 8))
            self.disturbed.discard(process)
        if self.rng.random() < 0.5:
            self.world.store.forget_history()
        await asyncio.gather(*map(one, self.pick(self.world.entries, 4)))

    async def foreign(self):
        """Another writer's entries appear in the registry, some with the address of an
        executor; they name no executor to use."""
        entry = self.rng.choice(self.world.executors).entry()
        name, value = self.rng.choice(list(entry.items()))
        texts = [b"", b"{", b"\xff\xfe", b"[]", b"null", json.dumps(
            self.rng.choice([{k: v for k, v in entry.items() if k != name},
                             {**entry, name: [value]}, {**entry, name: None},
                             {**entry, "state": "x"}, {**entry, "service": "x"}])).encode()]
        key = f"foreign-{self.rng.randrange(100)}"
        self.world.store.write([(("servers", "", key), base64.b64encode(text).decode())
                                for text in [self.rng.choice(texts)]])
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        self.world.store.remove("servers", key)

    async def release_turns(self):
        """Executors are released one after the other beside restarts in turn."""
        turns = asyncio.create_task(self.turns())
        while not turns.done():
            await self.release()
            await asyncio.sleep(self.rng.uniform(0, 1))

    async def shrink(self):
        """Executors of a zone leave one after the other, and are replaced later."""
        zone = self.rng.choice(standin.ZONES)
        picked = self.pick([e for e in self.world.executors if e.zone == zone], 3)
        for executor in picked:
            await self.drain(executor)
        await asyncio.sleep(self.rng.uniform(2, 8))
        for executor in picked:
            await self.replace(executor)

    async def restart_process(self, process, number, down_s):
        await self.stop_process(process, number)
        await asyncio.sleep(down_s)
        await self.start_process(process)

    async def stop_process(self, process, number):
        ended = own_end(process)
        await process.end(number)
        self.own_ends += ended or own_end(process, 0 if number == signal.SIGTERM else -number)

    async def start_process(self, process):
        log = os.path.join(self.world.folder, process.name + ".log")
        size = os.path.getsize(log)

        async def has_logged():
            return os.path.getsize(log) > size
        await process.start()
        # SIGTERM before that may come before the process handles signals, and ends it with -15.
        await standin.until(has_logged, 5)
        self.disturbed.discard(process)

    async def end_process(self, number, down_s):
        for process in self.pick(self.world.entries):
            await self.restart_process(process, number, down_s)

    async def turns(self):
        """Processes are restarted by SIGTERM in turn, or all at once."""
        pause_s = self.rng.choice(PAUSES_S)
        restarts = []
        for process in self.rng.sample(self.world.entries, len(self.world.entries)):
            if process not in self.disturbed and ms() < self.end:
                self.disturbed.add(process)
                restarts.append(asyncio.create_task(self.restart_process(
                    process, signal.SIGTERM, self.rng.uniform(0.1, 2))))
                await asyncio.sleep(self.rng.uniform(*pause_s))
        await asyncio.gather(*restarts)

    async def term_with(self, fault):
        """One process, or all without another fault, get SIGTERM beside `fault`."""
        picked = self.pick(self.world.entries)
        if self.rng.random() < 0.5:
            picked += [e for e in self.world.entries if e not in self.disturbed]
            self.disturbed.update(picked)
        await asyncio.gather(fault(picked), *(
            self.restart_process(p, signal.SIGTERM, self.rng.uniform(0.1, 2)) for p in picked))

    async def term_denied(self):
        """The store refuses, hangs, or carries writes out late, for about a hand-over."""
        async def late(request):
            if request.path == "/api/rows-tx":
                await asyncio.sleep(self.around(HAND_OVER_S))
        deny = self.rng.choice([self.denial(), self.denial(["/api/rows-tx"]), late])

        async def fault(picked):
            await asyncio.sleep(self.rng.choice([0, 0.01, 0.05]))
            await self.with_store_fault(picked, deny, self.around(HAND_OVER_S))
        await self.term_with(fault)

    async def term_frozen(self):
        """Frozen right after SIGTERM, for about a hand-over or one of the bounds."""
        async def fault(picked):
            await asyncio.sleep(self.rng.choice([0, 0.01, 0.05]))
            for process in picked:
                self.send_signal(process, signal.SIGSTOP)
            await asyncio.sleep(self.around(self.rng.choice((HAND_OVER_S, *BOUNDS_S))))
            for process in picked:
                self.send_signal(process, signal.SIGCONT)
        await self.term_with(fault)

    async def kill(self):
        await self.end_process(signal.SIGKILL, self.rng.uniform(0.1, 4))

    async def term(self):
        await self.end_process(signal.SIGTERM, self.rng.uniform(0.1, 2))

    async def freeze(self):
        for process in self.pick(self.world.entries):
            self.send_signal(process, signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.5, 5))
            self.send_signal(process, signal.SIGCONT)
            self.disturbed.discard(process)

    @staticmethod
    def send_signal(process, number):
        try:
            process.process.send_signal(number)
        except ProcessLookupError:
            pass  # It has ended by itself, which own_end reports.
