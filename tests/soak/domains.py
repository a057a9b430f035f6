"""Faults of a whole failure domain: evacuations, and the loss of all its executors."""

import asyncio
import signal

from faults import Faults
from stage import standin


class DomainFaults(Faults):
    """Those of Faults, and those of failure domains."""

    async def domain_gone(self):
        """All executors of a zone leave for good, and others join later at their addresses."""
        zone = self.rng.choice(standin.ZONES)
        way = self.rng.choice(("drain", "leave", "crash"))
        members = [e for e in self.world.executors if e.zone == zone]
        gone = []
        # Members with another fault follow when that has ended.
        while len(gone) < len(members):
            free = [e for e in members if e not in self.disturbed]
            self.disturbed.update(free)
            await asyncio.gather(*(self.drain(e) if way == "drain" else getattr(e, way)()
                                   for e in free))
            gone += free
            await asyncio.sleep(0.05)
        self.world.record("domain_gone", zone=zone, way=way)
        await asyncio.sleep(self.rng.choice((self.rng.uniform(1, 6), self.rng.uniform(6, 15))))
        for executor in gone:
            await self.replace(executor)
        self.world.record("domain_back", zone=zone)

    async def evacuate(self):
        """Zones are evacuated, for less than the bound, about as long, or longer. Right after
        the row is written or removed, owners may change."""
        requested = [self.world.evacuate(zone) for zone in
                     self.rng.sample(standin.ZONES, self.rng.choice((1, 1, 2)))]
        zones = {e.zone for e in requested}
        try:
            await self.change_owners(zones)
            await asyncio.sleep(self.rng.choice((
                self.rng.uniform(0.1, 4), self.rng.uniform(4, 7), self.rng.uniform(7, 14))))
        finally:
            for evacuation in requested:
                self.world.end_evacuation(evacuation)
        await self.change_owners(zones)

    async def change_owners(self, zones):
        """The processes of zones, most of which own the slices of these, are killed or end, or
        all take turns, or readers of changes have to read again; or nothing happens."""
        def of_zones():
            picked = [e for e in self.world.entries
                      if e.zone in zones and e not in self.disturbed]
            self.disturbed.update(picked)
            return picked

        way = self.rng.choice(("none", "kill", "term", "turns", "forget"))
        self.world.record("change_owners", way=way)
        down_s = self.rng.uniform(0.1, 4)
        if way == "turns":
            await self.turns()
        elif way == "forget":
            self.world.store.forget_history()
        elif way != "none":
            number = signal.SIGKILL if way == "kill" else signal.SIGTERM
            await asyncio.gather(*(self.restart_process(p, number, down_s) for p in of_zones()))
