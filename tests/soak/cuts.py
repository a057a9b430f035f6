"""Faults of links and of power, and changes of the config."""

import asyncio
import signal

from faults import BOUNDS_S, REGISTRY_LAGS_MS
from late import LateFaults
from links import MODES
from stage import ms, standin

# How long a failure domain is cut off, from that its processes are ready until it is healed: for
# a little less than the term of an owner, and until when the next one is cut off.
OWNER_CUT_S, NEXT_CUT_S = 11.4, (12, 24)
# How long a successor in another failure domain may take to claim a slice.
CLAIM_S = 20


class AllFaults(LateFaults):
    """Those of LateFaults, and those of links, of power and of the config."""

    def long_s(self):
        return self.rng.choice((self.rng.uniform(10, 13), self.around(self.rng.choice(BOUNDS_S))))

    async def cut_zone(self, zone, seconds, meanwhile, modes=MODES):
        """The zone is cut off from the others and from the store; inside it all goes on. With
        the mode None the links stay."""
        inside = [e for e in self.world.entries if e.zone == zone]
        executors = [e for e in self.world.executors if e.zone == zone]
        across = [link for e in self.world.executors for link in e.server.links.values()
                  if (link.zone == zone) != (e.zone == zone)]
        mode = self.rng.choice(modes)
        self.world.record("zone_cut", zone=zone, mode=mode)
        for link in across if mode else ():
            link.cut(mode)
        for executor in executors:
            executor.isolated = True
        away = asyncio.create_task(self.with_store_fault(inside, self.denial(), seconds))
        while not away.done():
            await asyncio.wait([away], timeout=self.rng.uniform(0.5, 3))
            if not away.done():
                await meanwhile()
        for link in across:
            link.heal()
        for executor in executors:
            executor.isolated = False
        self.world.record("zone_healed", zone=zone)

    async def zone_cut(self):
        async def nothing():
            pass
        meanwhile = self.rng.choice((nothing, self.restart_busy, self.restart_busy, self.kill))
        await self.cut_zone(self.rng.choice(standin.ZONES), self.long_s(), meanwhile)
        await asyncio.sleep(self.rng.uniform(1, 9))

    async def owner_cut(self):
        """The zone of an owner is cut off that owns a slice of another zone, in which executors
        restart or join meanwhile; later the next zone is cut off. Either from the store alone,
        or from the other zones, too."""
        modes = (None, None, None, *MODES)
        zone = self.rng.choice(standin.ZONES)
        owner = await self.owner_elsewhere(zone)
        if owner is None:
            return
        self.world.record("owner_cut", slice=zone, owner=owner.name)
        renew = self.rng.choice((self.restart_in, self.restart_in, self.join_in))
        await self.cut_zone(owner.zone, OWNER_CUT_S, lambda: renew(zone), modes)
        await asyncio.sleep(self.rng.choice(NEXT_CUT_S) - OWNER_CUT_S)
        other = self.rng.choice([z for z in standin.ZONES if z != owner.zone])
        await self.cut_zone(other, OWNER_CUT_S, lambda: renew(zone), modes)

    async def side_cut(self):
        """The processes of a zone are cut off together with one executor of each zone, which
        they still reach; if there is an owner of another zone's slice, those of its zone."""
        owners = [(zone, self.world.owner_of(zone + "-0")) for zone in standin.ZONES]
        elsewhere = [o.zone for zone, o in owners if o is not None and o.zone != zone]
        zone = self.rng.choice(elsewhere or standin.ZONES)
        inside = [p for p in self.world.entries if p.zone == zone]
        executors = [self.rng.choice([e for e in self.world.executors if e.zone == z])
                     for z in standin.ZONES]
        across = [link for e in self.world.executors for link in e.server.links.values()
                  if (link.zone == zone) != (e in executors)]
        self.world.record("side_cut", zone=zone, executors=[e.id for e in executors])
        for link in across:
            link.cut("silent")
        for executor in executors:
            executor.isolated = True
        await self.with_store_fault(inside, self.denial(kinds=("silent",)), OWNER_CUT_S)
        for link in across:
            link.heal()
        for executor in executors:
            executor.isolated = False
        self.world.record("side_healed", zone=zone)
        await asyncio.sleep(self.rng.choice(NEXT_CUT_S) - OWNER_CUT_S)

    async def cut_in_turn(self):
        """Each zone is cut off once, so that a slice gets an owner of another zone, which is
        cut off next."""
        every_s = self.rng.choice(NEXT_CUT_S)
        modes = (None, None, None, *MODES)
        zones = self.rng.sample(standin.ZONES, len(standin.ZONES))
        for number, zone in enumerate(zones):
            previous = zones[number - 1]
            await self.cut_zone(zone, OWNER_CUT_S, lambda: self.restart_in(previous), modes)
            await asyncio.sleep(every_s - OWNER_CUT_S)

    async def owner_back(self):
        """An owner loses the store and, before a successor claims the slice, its executors.
        Executors start again, and the owner reaches these, still without the store, and then
        the others."""
        zone = self.rng.choice(standin.ZONES)
        owner = self.world.owner_of(zone + "-0")
        if owner is None or owner in self.disturbed:
            return
        self.disturbed.add(owner)
        members = [e for e in self.world.executors if e.zone == zone]
        mode = self.rng.choice(("reset", "silent", "oneway"))
        self.world.record("owner_cut", slice=zone, owner=owner.name, mode=mode)
        denied = asyncio.create_task(self.with_store_fault(
            [owner], self.denial(kinds=("reset", 503)), OWNER_CUT_S))
        begun = ms()
        await asyncio.sleep(self.rng.uniform(1.4, 2.4))
        for executor in members:
            executor.server.links[owner.name].cut(mode)

        async def claimed():
            return self.world.owner_of(zone + "-0") is not owner
        await standin.until(claimed, 3)
        await asyncio.sleep(self.rng.uniform(0.15, 0.6))
        again = self.pick(members, 2)
        for executor in again:
            executor.start_again(self.rng.choice(REGISTRY_LAGS_MS))
        self.disturbed.difference_update(again)
        await asyncio.sleep(max(0, (begun - ms()) / 1000 + self.rng.uniform(3.8, 5)))
        for executor in again:
            executor.server.links[owner.name].heal()
        await asyncio.sleep(self.rng.choice((0, 0.7, 1.5)))
        for executor in members:
            executor.server.links[owner.name].heal()
        self.world.record("owner_back", slice=zone, owner=owner.name)
        await denied
        self.disturbed.discard(owner)

    async def owner_elsewhere(self, zone):
        """The processes of the zone are down until one of another zone has claimed its slice."""
        owner = self.world.owner_of(zone + "-0")
        if owner is not None and owner.zone != zone:
            return owner
        picked = [p for p in self.world.entries if p.zone == zone and p not in self.disturbed]
        self.disturbed.update(picked)

        async def claimed():
            found = self.world.owner_of(zone + "-0")
            return found is not None and found.zone != zone
        await asyncio.gather(*(self.stop_process(p, signal.SIGKILL) for p in picked))
        claims = await standin.until(claimed, CLAIM_S)
        await asyncio.gather(*map(self.start_process, picked))
        return self.world.owner_of(zone + "-0") if claims else None

    async def restart_in(self, zone):
        """As `restart`, in one zone."""
        members = [e for e in self.world.executors if e.zone == zone]
        await asyncio.gather(*(self.restart_executor(e, self.rng.uniform(0.05, 0.5))
                               for e in self.pick(members, 3)))

    async def join_in(self, zone):
        """Executors of one zone leave, and others join at their addresses."""
        for executor in self.pick([e for e in self.world.executors if e.zone == zone], 2):
            await executor.leave()
            await self.replace(executor)

    async def link_cut(self):
        """Links to an executor are cut, each in a way of its own."""
        links = self.rng.choice(self.world.executors).server.links.values()
        picked = [link for link in links if self.rng.random() < 0.7]
        for link in picked:
            link.cut(self.rng.choice(MODES))
        await asyncio.sleep(self.long_s())
        for link in picked:
            link.heal()

    async def slowed(self):
        """The processes of a zone get a tenth of the time, in slices of 10 to 100 ms."""
        zone = self.rng.choice(standin.ZONES)
        picked = [p for p in self.world.entries if p.zone == zone and p not in self.disturbed]
        self.disturbed.update(picked)
        until = ms() + self.long_s() * 1000
        while ms() < until:
            for process in picked:
                self.send_signal(process, signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.09, 0.9))
            for process in picked:
                self.send_signal(process, signal.SIGCONT)
            await asyncio.sleep(self.rng.uniform(0.01, 0.1))
        self.disturbed.difference_update(picked)

    async def power(self):
        """Machines lose power: their connections stay silent until they are back."""
        async def executor_out(executor):
            executor.lose_power()
            await asyncio.sleep(self.off_s())
            executor.regain_power(self.rng.choice(REGISTRY_LAGS_MS))
            self.disturbed.discard(executor)

        async def process_out(process):
            self.send_signal(process, signal.SIGSTOP)
            await asyncio.sleep(self.off_s())
            await self.restart_process(process, signal.SIGKILL, 0)
        await asyncio.gather(*map(executor_out, self.pick(self.world.executors, 3)),
                             *map(process_out, self.pick(self.world.entries)))

    def off_s(self):
        return self.rng.choice((self.rng.uniform(0.5, 4), self.around(BOUNDS_S[1])))

    async def swapped(self):
        """Two executors lose power and come back with each other's address."""
        pair = self.pick(self.world.executors)
        pair += self.pick(self.world.executors)
        for executor in pair:
            executor.lose_power()
        await asyncio.sleep(self.off_s())
        if len(pair) == 2:
            pair[0].trade_addresses(pair[1])
        for executor in pair:
            executor.regain_power(self.rng.choice(REGISTRY_LAGS_MS))
            self.disturbed.discard(executor)

    async def reconfigure(self):
        """A new version of the config: time-outs change, and a route comes or goes."""
        self.world.change_config(self.rng)
        await asyncio.sleep(self.rng.uniform(0.5, 4))
