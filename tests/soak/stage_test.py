#!/usr/bin/env python3
"""Guards against stand-ins that are kinder than docs/soak.md says, and against a
record that takes the same run of two lives for one."""

import asyncio
import base64
import json
import os
import tempfile
import types
import unittest

import rules
import stage
from cuts import AllFaults

TASK = "a.0.0.0"


def call(executor, path, **body):
    return executor.receive(types.SimpleNamespace(
        path=path, headers={"target-instance": executor.id}, json=lambda: body))


def start(executor, run=1, deadline_ms=5000, task=TASK, **spec):
    return call(executor, "/api/run-start", task=task, run=run, fencing_token=7,
                deadline_ms=deadline_ms, spec=json.dumps({"ms": 10000, **spec}))


class Stage(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.world = stage.World(folder, 1, 1000)
        self.addCleanup(os.rmdir, self.world.folder)
        self.addCleanup(self.world.record.file.close)
        self.executor, self.other = self.world.executors[:2]
        for executor in (self.executor, self.other):
            executor.new_life()
            executor.up, executor.beats = True, asyncio.Future()

    async def test_rejected_starts_extend_the_lease(self):
        await start(self.executor, deadline_ms=1000)
        await call(self.executor, "/api/run-stop", task=TASK, run=3, fencing_token=7)
        for deadline_ms, arguments, reason in ((2000, {"run": 2}, "old"),
                                               (3000, {"run": 4, "cpu": 2000}, "room"),
                                               (4000, {"run": 1}, None)):
            _, answer = await start(self.executor, deadline_ms=deadline_ms, **arguments)
            self.assertEqual(answer.get("reason"), reason)
            self.assertEqual(self.executor.deadline, deadline_ms)
        self.assertEqual((await start(self.executor, run=5, deadline_ms=0))[1]["reason"], "late")

    async def test_run_tells_the_life_that_its_start_was_sent_to(self):
        request = types.SimpleNamespace(
            path="/api/run-start", headers={"target-instance": self.executor.id}, sent_life=1,
            sent_ms=stage.ms() - 3000, json=lambda: {
                "task": TASK, "run": 1, "spec": "{}", "deadline_ms": 5000, "fencing_token": 7})
        self.executor.start_again(0)
        await self.executor.handle(request)
        run, = self.executor.runs
        self.assertEqual((run.life_number, run.sent_life, run.token), (2, 1, 7))
        self.assertAlmostEqual(run.late_ms, 3000, delta=500)

    async def test_end_of_another_life_is_not_noted(self):
        for _ in range(2):
            await start(self.executor)
            self.executor.end((TASK, 1), "done")
            self.executor.start_again(0)
            await asyncio.sleep(0.002)
        first, second = self.executor.runs
        self.executor.noted[(TASK, 1, second.life)] = second.ended
        self.assertFalse(rules.counts_as_noted(first, self.executor))
        self.assertTrue(rules.counts_as_noted(second, self.executor))

    async def test_evacuation_is_a_row_until_its_removal(self):
        key = ("op", "", "evacuate/zone-b")
        evacuation = self.world.evacuate("zone-b")
        self.assertEqual(self.world.store.text(*key), "{}")
        self.assertIsNone(evacuation.removed)
        self.world.end_evacuation(evacuation)
        self.assertNotIn(key, self.world.store.rows)
        self.assertLessEqual(evacuation.acknowledged, evacuation.removed)

    async def test_domain_gone_replaces_all_executors_of_one_zone(self):
        others = [e for e in self.world.executors if e.zone != "zone-a"]
        faults = AllFaults(self.world, 1, set(), [])
        faults.rng = types.SimpleNamespace(choice=lambda options: options[0], uniform=lambda a, _: 0)
        for executor in self.world.executors:
            await executor.start()
        ids = {e.id for e in self.world.executors}
        await faults.domain_gone()
        self.assertEqual([e.id in ids for e in others], [True] * len(others))
        self.assertEqual(sum(e.id not in ids for e in self.world.executors), 4)
        self.assertEqual(faults.disturbed, set())
        for executor in self.world.executors:
            await executor.crash()

    async def test_killed_executor_carries_out_nothing(self):
        self.executor.up = False
        with self.assertRaises(stage.Reset):
            await start(self.executor)

    async def test_held_start_reaches_the_next_life(self):
        faults = AllFaults(self.world, 1, set(self.world.executors[1:]), [])
        faults.rng = faults.world.executors[0].rng
        fault = asyncio.create_task(faults.held_all())
        await asyncio.sleep(0.05)
        held = asyncio.create_task(start(self.executor, deadline_ms=60000))
        await asyncio.sleep(0.05)
        held.cancel()  # The caller gives up.
        await fault
        await asyncio.sleep(4.1)
        run, = self.executor.runs
        self.assertEqual((run.sent_life, run.life_number), (1, self.executor.lives))
        self.assertGreater(self.executor.lives, 1)

    async def gang(self, **spec):
        for index, executor in enumerate((self.executor, self.other)):
            await start(executor, task=f"a.0.0.{index}", gang=2, **spec)
        await asyncio.sleep(0.05)
        return self.executor.runs + self.other.runs

    async def test_gang_ends_as_done_together(self):
        runs = await self.gang(ms=100)
        self.assertEqual([run.how for run in runs], [None, None])
        await asyncio.sleep(0.15)
        self.assertEqual([run.how for run in runs], ["done", "done"])

    async def test_end_of_one_member_breaks_the_gang(self):
        runs = await self.gang()
        self.executor.end(("a.0.0.0", 1), "stopped")
        await asyncio.sleep(0.05)
        self.assertEqual([run.how for run in runs], ["stopped", "broken"])

    async def test_member_without_the_others_ends_alone(self):
        await start(self.executor, gang=2)
        self.executor.runs[0].begun -= 1500
        await asyncio.sleep(0.05)
        self.assertIsNone(self.executor.runs[0].how)
        self.executor.runs[0].begun -= 1500
        await asyncio.sleep(0.1)
        self.assertEqual(self.executor.runs[0].how, "alone")

    async def test_step_that_fills_takes_no_capacity(self):
        for number, (fills, reason) in enumerate(((True, None), (False, None), (True, None),
                                                  (False, "room"))):
            _, answer = await start(self.executor, task=f"a.0.0.{number}", cpu=1000,
                                    fills=fills)
            self.assertEqual(answer.get("reason"), reason)

    async def test_calls_stay_silent_while_power_is_lost(self):
        await start(self.executor)
        waiting = asyncio.create_task(call(self.executor, "/api/hold", wait_ms=2000,
                                           fencing_token=7))
        await asyncio.sleep(0.05)
        self.executor.lose_power()
        later = asyncio.create_task(start(self.executor, run=2))
        await asyncio.sleep(2.1)
        self.assertEqual(self.executor.runs[0].how, "crashed")
        self.assertFalse(waiting.done() or later.done())
        self.executor.regain_power(0)
        for silent in (waiting, later):
            with self.assertRaises(stage.Reset):
                await silent
        self.assertEqual(len(self.executor.runs), 1)

    async def test_held_link_carries_out_calls_when_it_is_healed(self):
        link = self.executor.server.links[self.world.entries[0].name]
        link.cut("held")
        request = types.SimpleNamespace(
            path="/api/run-start", headers={"target-instance": self.executor.id}, json=lambda: {
                "task": TASK, "run": 1, "spec": "{}", "deadline_ms": 5000, "fencing_token": 7})
        held = asyncio.create_task(link.receive(request))
        await asyncio.sleep(0.2)
        self.assertEqual(self.executor.runs, [])
        self.executor.start_again(0)
        held.cancel()  # The caller gives up.
        link.heal()
        await asyncio.sleep(1.1)
        self.assertEqual([run.sent_life for run in self.executor.runs], [self.executor.lives - 1])

    async def test_owner_is_the_process_in_the_row(self):
        self.assertIsNone(self.world.owner_of("zone-a-0"))
        owner = self.world.entries[1]
        value = base64.b64encode(f"2 {owner.name}/127.0.0.1 7f 250 0 0 0\nload".encode())
        self.world.store.write([(("slices", "", "zone-a-0"), value.decode())])
        self.assertIs(self.world.owner_of("zone-a-0"), owner)

    async def test_each_process_reads_the_addresses_of_its_links(self):
        self.executor.trade_addresses(self.other)
        self.executor.announce()
        self.world.store.put("servers", "foreign", [])
        query = {"table": "servers"}
        seen = set()
        for entry in self.world.entries:
            _, answer = await self.world.pass_on(entry, types.SimpleNamespace(
                path="/api/rows-get", query=query))
            values = [json.loads(base64.b64decode(row["value"])) for row in answer["rows"]]
            self.assertEqual(values[0], [])
            seen.add(values[1]["address"])
            link = self.executor.server.links[entry.name]
            self.assertIs(link.end.executor, self.executor)
            self.assertTrue(values[1]["address"].endswith(f":{link.server.port}"))
        self.assertEqual(len(seen), len(self.world.entries))


if __name__ == "__main__":
    unittest.main()
