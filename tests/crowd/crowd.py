#!/usr/bin/env python3
"""Plays one kind of crowd of docs/hard-load.md, section 2.1, against the platform program.

For each place a new process is started on the stand-ins of tests/soak. While the crowd is
connected, an ordinary readiness check must be answered and an ordinary job must be done;
the process must stay alive and within the memory and the descriptors of its settings file.

Usage: crowd.py KIND --program PATH [--charts FOLDER] [--place PLACE] [--folder FOLDER]
Exit code: 0 if the process withstood the crowd, 1 if it did not, 2 if the crowd could not
be played.
"""

import argparse
import asyncio
import os
import shutil
import signal
import sys
import tempfile

from clients import KINDS, STORE_S, Crowd, Place

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
import stage  # noqa: E402
from stage import ROOT, CannotRun, ms, standin  # noqa: E402

MEMORY_MB = 56
MAX_FDS = 400
# How long a crowd may send before the ordinary requests begin.
PLAY_S = 3
# Detects a hang only; ordinary requests are repeated until then.
ORDINARY_S = 60
WARM_UP_S = 20
PLACES = ("queue", "no_route", "readiness_path", "readiness_port")
CROWD_JOB, ORDINARY_JOB = "00000000c0de0001", "00000000c0de0002"


class World(stage.World):
    """One process, which owns the only slice, and two workers."""

    def __init__(self, folder):
        super().__init__(folder, seed=1, cpu=32000)
        self.entries = self.entries[:1]
        self.process = self.entries[0]
        self.held_back = 0

    def place(self, name):
        queue = standin.QUEUE
        front, ready = self.process.front, self.process.ready
        return {
            "queue": Place(name, front, queue["host"], queue["path_prefix"] + CROWD_JOB),
            "no_route": Place(name, front, queue["host"], "/no/route"),
            "readiness_path": Place(name, front, queue["host"], "/api/readiness"),
            "readiness_port": Place(name, ready, queue["host"], "/api/readiness"),
        }[name]

    def hold_back_crowd(self, seconds):
        """The store answers calls for the crowd's job late, and then carries none of them out."""
        async def wait(request):
            if CROWD_JOB in request.body.decode() or CROWD_JOB in request.query.get("from", ""):
                self.held_back += 1
                await asyncio.sleep(seconds)
                return 503, {}
            return None

        self.process.fault = wait

    async def finish_job(self, job):
        """Submits a job until it is accepted and done."""
        steps = [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 100}]
        while await self.submit(self.process, job, {"ms": 20, "cpu": 1000}, steps) != 200:
            await asyncio.sleep(0.1)
        while (await self.state(self.process, job))[1] != "completed":
            await asyncio.sleep(0.05)

    async def become_ready(self):
        while not await self.process.is_ready():
            await asyncio.sleep(0.1)


class Observer:
    """Watches the descriptors and the memory of a process."""

    def __init__(self, process):
        self.process, self.fds = process, 0
        self.idle_mb = self.status_mb("VmRSS")
        self.task = asyncio.create_task(self.watch())

    def alive(self):
        return self.process.returncode is None

    def status_mb(self, field):
        """@returns 0 if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                return next((int(line.split()[1]) for line in file if line.startswith(field)),
                            0) / 1024
        except OSError:
            return 0

    def count_fds(self):
        try:
            self.fds = max(self.fds, len(os.listdir(f"/proc/{self.process.pid}/fd")))
        except OSError:
            pass  # The process has ended; alive() reports it.

    async def watch(self):
        while self.alive():
            self.count_fds()
            await asyncio.sleep(0.05)

    def stop(self):
        self.count_fds()
        self.task.cancel()


async def seconds_until(action):
    """@returns how long @p action took; nothing if it took ORDINARY_S."""
    begun = ms()
    try:
        await asyncio.wait_for(action, ORDINARY_S)
    except asyncio.TimeoutError:
        return None
    return (ms() - begun) / 1000


async def play_at(kind, name):
    """@returns what was broken."""
    world = World(tempfile.gettempdir())
    try:
        await world.start()
        try:
            await asyncio.wait_for(world.finish_job(CROWD_JOB), WARM_UP_S)
        except asyncio.TimeoutError as error:
            raise CannotRun(f"a job was not done within {WARM_UP_S} s before the crowd") from error
        place = world.place(name)
        crowd = Crowd(place, KINDS[kind](place))
        observer = Observer(world.process.process)
        if kind in STORE_S:
            world.hold_back_crowd(STORE_S[kind])
        await crowd.play(PLAY_S)
        ready_s, job_s = await asyncio.gather(
            seconds_until(world.become_ready()), seconds_until(world.finish_job(ORDINARY_JOB)))
        observer.stop()
        peak_mb = observer.status_mb("VmHWM")
        alive = observer.alive() and peak_mb > 0
        connected = len(crowd.sockets)
        await crowd.leave()
    finally:
        await world.stop()
    print(f"crowd={kind} place={name} alive={alive} idle_mb={observer.idle_mb:.1f} "
          f"peak_mb={peak_mb:.1f} fds={observer.fds} ready_s={show(ready_s)} "
          f"job_s={show(job_s)} connected={connected} sent_mb={crowd.sent_bytes / 1e6:.1f} "
          f"held_back={world.held_back}",
          flush=True)
    if alive and connected < len(crowd.clients):
        raise CannotRun(f"{len(crowd.clients) - connected} clients were not connected")
    checks = [
        (alive, "the process has ended"),
        (peak_mb <= MEMORY_MB, f"expected at most {MEMORY_MB} MB, found {peak_mb:.1f}"),
        (observer.fds <= MAX_FDS, f"expected at most {MAX_FDS} descriptors, found {observer.fds}"),
        (ready_s is not None, f"no readiness check was answered within {ORDINARY_S} s"),
        (job_s is not None, f"the ordinary job was not done within {ORDINARY_S} s"),
    ]
    return [f"{name}: {text}" for holds, text in checks if not holds]


def show(seconds):
    return "none" if seconds is None else f"{seconds:.2f}"


async def play(options):
    this = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, this.cancel)
    broken = []
    for name in options.place or PLACES:
        broken += await play_at(options.kind, name)
    for line in broken:
        print(line)
    return 1 if broken else 0


def prepare(options):
    """Sets up the stand-ins for one process with the limits of the test."""
    standin.deploy_command = lambda: [options.program, "--platform", "--charts", options.charts]
    standin.ZONES[:] = standin.ZONES[:1]
    stage.EXECUTORS_OF_ZONE = 2
    stands = "memory_mb: 260, max_fds: 4100"
    if stands not in standin.SETTINGS:
        raise CannotRun(f"expected '{stands}' in the settings of the stand-ins")
    standin.SETTINGS = standin.SETTINGS.replace(
        stands, f"memory_mb: {MEMORY_MB}, max_fds: {MAX_FDS}")
    if options.folder:
        shutil.rmtree(options.folder, ignore_errors=True)
        os.makedirs(options.folder)
        tempfile.tempdir = options.folder
        os.environ["KEEP"] = "1"


def parse():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("kind", choices=sorted(KINDS))
    parser.add_argument("--program", type=os.path.abspath, required=True)
    parser.add_argument("--charts", type=os.path.abspath, default=os.path.join(ROOT, "charts"))
    parser.add_argument("--place", choices=PLACES, action="append",
                        help="play at this place only; may be repeated")
    parser.add_argument("--folder", type=os.path.abspath,
                        help="where logs and records are kept; emptied first")
    return parser.parse_args()


def main():
    options = parse()
    if not os.path.exists(options.program):
        print("cannot run: expected the program at", options.program)
        return 2
    try:
        prepare(options)
        return asyncio.run(play(options))
    except (CannotRun, asyncio.CancelledError) as error:
        print("cannot run:", repr(error))
        return 2


if __name__ == "__main__":
    sys.exit(main())
