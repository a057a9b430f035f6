#!/usr/bin/env python3
"""Guards against a soak that passes although a lasting task stays down, a task
starts in an evacuated zone or a process has ended by itself: each check is run on a record with that fault."""

import types
import unittest

import rules

NOW = 100000
ANSWERS = {"a": [503, 200]}
LASTING = {"a": (1, [1, 2])}  # Step 1 lasts and has two tasks.


def run(task, ended=None, begun=0):
    return types.SimpleNamespace(task=task, ended=ended, begun=begun, number=1)


def lost(*runs, answers=None):
    return [line.split()[1] for line in
            rules.lost_tasks(runs, answers or ANSWERS, LASTING, NOW)]


class LostTasks(unittest.TestCase):
    def test_task_runs(self):
        self.assertEqual(lost(run("a.0.0.0", 50000), run("a.0.1.0"), run("a.0.1.1")), [])

    def test_task_never_ran(self):
        self.assertEqual(lost(run("a.0.0.0", 50000), run("a.0.1.0")), ["a.0.1.1"])

    def test_task_ended_and_was_not_started_again(self):
        before = (run("a.0.0.0", 50000), run("a.0.1.0"))
        self.assertEqual(lost(*before, run("a.0.1.1", NOW - 9001)), ["a.0.1.1"])
        self.assertEqual(lost(*before, run("a.0.1.1", NOW - 9000)), [])
        self.assertEqual(lost(*before, run("a.0.1.1", NOW - 20000), run("a.0.1.1")), [])

    def test_turn_has_not_come(self):
        self.assertEqual(lost(run("a.0.0.0")), [])
        self.assertEqual(lost(run("a.0.0.0", NOW - 9000)), [])

    def test_step_before_never_ran(self):
        self.assertEqual(lost(), ["a.0.1.0", "a.0.1.1"])

    def test_job_was_not_accepted(self):
        self.assertEqual(lost(answers={"a": [503, 0]}), [])


class LongGaps(unittest.TestCase):
    @staticmethod
    def gaps(begun, answers=None, task="a.0.1.0"):
        runs = [run(task, begun=begun), run(task, 20000, 10000), run(task, 15000, 12000)]
        return len(list(rules.long_gaps(runs, answers or ANSWERS, LASTING)))

    def test_down_between_runs(self):
        self.assertEqual(self.gaps(29000), 0)
        self.assertEqual(self.gaps(29001), 1)

    def test_only_lasting_tasks_of_accepted_jobs(self):
        self.assertEqual(self.gaps(29001, task="a.0.0.0"), 0)
        self.assertEqual(self.gaps(29001, task="b.0.1.0"), 0)
        self.assertEqual(self.gaps(29001, answers={"a": [503]}), 0)


class EvacuatedStarts(unittest.TestCase):
    @staticmethod
    def starts(begun, zone="zone-a", late_ms=0, removed=30000):
        evacuation = types.SimpleNamespace(zone="zone-a", acknowledged=10000, removed=removed)
        started = types.SimpleNamespace(task="a.0.0.0", number=1, begun=begun, late_ms=late_ms)
        return len(list(rules.evacuated_starts([(started, zone)], [evacuation])))

    def test_start_while_evacuated(self):
        self.assertEqual(self.starts(15000), 0)
        self.assertEqual(self.starts(15001), 1)
        self.assertEqual(self.starts(29999), 1)
        self.assertEqual(self.starts(30000), 0)

    def test_start_before_the_evacuation(self):
        self.assertEqual(self.starts(9000), 0)

    def test_evacuation_without_end(self):
        self.assertEqual(self.starts(rules.ms() - 1, removed=None), 1)

    def test_other_zone(self):
        self.assertEqual(self.starts(20000, zone="zone-b"), 0)

    def test_order_that_was_carried_out_late(self):
        self.assertEqual(self.starts(20000, late_ms=5000), 0)
        self.assertEqual(self.starts(20000, late_ms=4999), 1)
        # Ordered while evacuated and carried out after it.
        self.assertEqual(self.starts(31000, late_ms=2000), 1)


class Ends(unittest.TestCase):
    """`runs` have the life 0 on an executor that has noted the ends in `noted`."""

    @staticmethod
    def runs(*rows, noted, gang=None, lapses=()):
        executor = types.SimpleNamespace(lapses=lapses, noted={
            (task, number, 0): at for task, number, at in noted})
        return [(types.SimpleNamespace(task=task, number=number, begun=begun, ended=ended,
                                       how=how, life=0, gang=gang, late_ms=0), executor)
                for task, number, begun, ended, how in rows]

    def after_done(self, task="a.0.0.0", begun=300, **arguments):
        runs = self.runs(("a.0.0.0", 1, 0, 200, "done"), (task, 2, begun, None, None),
                         **{"noted": [("a.0.0.0", 1, 250)], **arguments})
        return len(list(rules.starts_after_end(runs)))

    def test_start_after_an_end_that_was_noted(self):
        self.assertEqual(self.after_done(), 1)
        self.assertEqual(self.after_done(begun=100), 0)
        self.assertEqual(self.after_done(noted=[]), 0)
        self.assertEqual(self.after_done(lapses=[220]), 0)
        self.assertEqual(self.after_done(task="a.0.0.1"), 0)

    def test_end_of_one_member_stands_for_the_gang(self):
        self.assertEqual(self.after_done(task="a.0.0.1", gang=object()), 1)
        self.assertEqual(self.after_done(task="a.0.1.0", gang=object()), 0)

    def test_start_beyond_the_attempts(self):
        def beyond(begun, attempts=2, noted=(1, 2)):
            runs = self.runs(
                ("a.0.0.0", 1, 0, 100, "failed"), ("a.0.0.0", 2, 150, 200, "failed"),
                ("a.0.0.0", 3, begun, None, None), noted=[("a.0.0.0", n, 210) for n in noted])
            return len(list(rules.starts_beyond_attempts(runs, attempts)))
        self.assertEqual(beyond(300), 1)
        self.assertEqual(beyond(199), 0)
        self.assertEqual(beyond(300, attempts=3), 0)
        self.assertEqual(beyond(300, noted=(1,)), 0)

    def test_start_beyond_the_limit_of_a_step(self):
        def beyond(*rows, limit=1):
            runs = [run for run, _ in self.runs(*rows, noted=[])]
            executors = [types.SimpleNamespace(runs=runs), types.SimpleNamespace(runs=runs[:1])]
            return [run.task for run, _ in rules.starts_beyond_limit(
                executors, {("a", 0): limit})]
        first = ("a.0.0.0", 1, 0, 100, "stopped")
        self.assertEqual(beyond(first, ("a.0.0.1", 1, 50, None, None)), ["a.0.0.1"])
        self.assertEqual(beyond(first, ("a.0.0.1", 1, 100, None, None)), [])
        self.assertEqual(beyond(first, ("a.0.0.1", 1, 50, None, None), limit=2), [])
        self.assertEqual(beyond(first, ("a.1.0.1", 1, 50, None, None)), [])
        self.assertEqual(beyond(first, ("a.0.1.1", 1, 50, None, None)), [])

    def test_run_of_a_cancelled_job(self):
        def broken(begun, ended, late_ms=0, acknowledged=10000, calm_from=0):
            (run, _), = self.runs(("a.0.0.0", 1, begun, ended, "stopped"), noted=[])
            run.late_ms = late_ms
            return len(list(rules.cancelled_runs([run], {"a": acknowledged}, calm_from, NOW)))
        self.assertEqual(broken(0, 13200), 0)
        self.assertEqual(broken(0, 13400), 1)
        self.assertEqual(broken(0, None), 1)
        self.assertEqual(broken(13001, 13002), 1)
        self.assertEqual(broken(13001, 13002, late_ms=2000), 0)
        self.assertEqual(broken(13001, 30000, late_ms=2000), 1)
        self.assertEqual(broken(0, None, acknowledged=None), 0)
        self.assertEqual(broken(0, 20000, calm_from=13000), 0)


class OwnEnds(unittest.TestCase):
    def test_status(self):
        def ends(status, expected=None):
            process = types.SimpleNamespace(
                name="edge", process=types.SimpleNamespace(returncode=status))
            return len(rules.own_end(process, expected))
        self.assertEqual(ends(None), 0)
        self.assertEqual(ends(-9, -9), 0)
        self.assertEqual(ends(66, 0), 1)
        self.assertEqual(ends(-11), 1)


if __name__ == "__main__":
    unittest.main()
