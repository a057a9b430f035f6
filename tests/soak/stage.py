"""The stand-ins of review/ as the soak plays them."""

import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review"))
import standin  # noqa: E402
from standin import HEARTBEAT_MS, CannotRun, Reset, World, ms  # noqa: E402,F401


class Times(dict):
    """A set that keeps when each element was added."""

    def add(self, element):
        self.setdefault(element, ms())


def refuse_when_down(executor):
    """A request that was read before an executor was killed is not carried out after it."""
    handle = executor.handle

    async def handle_when_up(request):
        if not executor.up:
            raise Reset
        return await handle(request)

    executor.handle = executor.server.handle = handle_when_up


def watch_lease(executor):
    """Keeps when ends were acknowledged and when leases lapsed."""
    executor.noted, executor.lapses = Times(), []
    extend = executor.extend

    def note_lapse(body):
        if executor.clock() >= executor.deadline:
            executor.lapses.append(executor.clock_begun + executor.deadline)
        extend(body)

    executor.extend = note_lapse
