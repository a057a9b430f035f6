"""Links between each process and each executor, and executors whose machines lose power."""

import asyncio
import random

from standin import HOST, Reset, Server, free_port, ms, reset

# How a link that is cut denies calls: "oneway" loses answers, "held" carries calls out once it
# is healed, whether or not the caller still waits.
MODES = ("reset", "silent", "oneway", "held")
SILENT_S = 30
# A held call is carried out up to this long after its link is healed, but no later than
# LATEST_MS after it was sent, the longest delay that the program reckons with.
HELD_S = 1
LATEST_MS = 12000


class Link:
    """What one process sends to the executor behind `end`."""

    def __init__(self, end, zone):
        self.end, self.zone = end, zone  # The failure domain of the process.
        self.mode, self.healed = None, asyncio.Event()
        self.server = Server(self.receive, free_port())

    def cut(self, mode):
        self.mode, self.healed = mode, asyncio.Event()
        if mode == "reset":
            self.reset()

    def heal(self):
        self.mode = None
        self.healed.set()

    def reset(self):
        for writer in list(self.server.writers):
            reset(writer)

    async def receive(self, request):
        mode = self.mode
        if mode == "held":
            return await asyncio.shield(asyncio.create_task(self.deliver(request, self.healed)))
        if mode == "silent":
            await asyncio.sleep(SILENT_S)
        if mode in ("reset", "silent"):
            raise Reset
        answer = await self.end.executor.receive(request)
        if self.mode == "held":
            await self.healed.wait()
        if self.mode in ("silent", "oneway"):
            await asyncio.sleep(SILENT_S)
        if self.mode is not None:
            raise Reset
        return answer

    async def deliver(self, request, healed):
        sent = ms(), self.end.executor.lives
        await healed.wait()
        await asyncio.sleep(random.uniform(0, HELD_S))
        if ms() - sent[0] > LATEST_MS:
            raise Reset
        return await self.end.executor.receive(request, sent)


class LinkEnd:
    """The address of an executor. Each process reaches it over a link of its own."""

    def __init__(self, executor, entries):
        self.executor, self.port = executor, free_port()
        self.links = {entry.name: Link(self, entry.zone) for entry in entries}

    async def start(self):
        for link in self.links.values():
            await link.server.start()

    async def stop(self):
        for link in self.links.values():
            await link.server.stop()

    def reset(self):
        for link in self.links.values():
            link.reset()

    def address_for(self, entry):
        return f"{HOST}:{self.links[entry.name].server.port}"
