"""Small stand-ins of the platform for the cases of this review.

They follow PROTOCOL.md of the users' platform: the table store, the executors
and the clients, all on loopback addresses and the real clock. The processes
under test are started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
ZONES = ["zone-a", "zone-b", "zone-c"]
HEARTBEAT_MS = 1500
HOLD_MAX_MS = 6000
STOP_MS = 200
TX_MS = 4
HISTORY_S = 20
QUEUE = {"name": "q-batch", "host": "batch.example", "path_prefix": "/batch/"}


def ms():
    return time.monotonic() * 1000


class Record:
    """Everything that was sent, answered and run, with the time since start."""

    def __init__(self, folder):
        self.begun = ms()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, kind, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{(ms() - self.begun) / 1000:9.3f} {kind} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


class Reset(Exception):
    """The connection is reset and no answer is sent."""


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            # Linger time 0: close() sends RST.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.transport.abort()


class Server:
    """An HTTP/1.1 server with keep-alive. `handle` returns (status, object)."""

    def __init__(self, handle, port=0):
        self.handle = handle
        self.port = port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Closes the listener and resets all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, colon, value = line.partition(":")
                    if colon:
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = await self.handle(Request(method, target, headers, body))
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except Reset:
            reset(writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's table store. Each machine has an entrance of its own."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()
        self.dropped_before = 0

    def write(self, puts, removals=()):
        self.version += 1
        for key, value in puts:
            self.rows[key] = (value, self.version)
            self.history.append((self.version, ms(), key, value, False))
        for key in removals:
            if self.rows.pop(key, None) is not None:
                self.history.append((self.version, ms(), key, "", True))
        while self.history and self.history[0][1] < ms() - HISTORY_S * 1000:
            self.dropped_before = self.history.pop(0)[0]
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put(self, table, key, obj, part=""):
        value = base64.b64encode(json.dumps(obj).encode()).decode()
        return self.write([((table, part, key), value)])

    def remove(self, table, key, part=""):
        return self.write([], [(table, part, key)])

    def text(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None else base64.b64decode(row[0]).decode()

    @staticmethod
    def show(key, value, version, deleted=False):
        row = {"table": key[0], "part": key[1], "key": key[2], "value": value,
               "row_version": version}
        if deleted:
            row["deleted"] = True
        return row

    def stamp(self, answer):
        answer["row_version"] = self.version
        answer["now_ms"] = int(ms())
        return answer

    async def handle(self, request):
        if request.path == "/api/rows-tx":
            body = request.json()
            await asyncio.sleep(TX_MS * (2 if body.get("across") else 1) / 1000)
            return self.transact(body)
        if request.path == "/api/rows-get":
            await asyncio.sleep(TX_MS / 1000)
            return 200, self.read(request.query)
        if request.path == "/api/rows-feed":
            return await self.feed(request.query)
        return 404, {}

    def transact(self, body):
        def key_of(row):
            return (row["table"], row.get("part", ""), row["key"])

        conditions = body.get("if_revision") or []
        held = all(self.rows.get(key_of(c), ("", 0))[1] == c["row_version"] for c in conditions)
        if not held:
            present = [self.show(key_of(c), *self.rows[key_of(c)])
                       for c in conditions if key_of(c) in self.rows]
            return 412, self.stamp({"rows": present})
        self.write([(key_of(p), p["value"]) for p in body.get("puts") or []],
                   [key_of(r) for r in body.get("remove") or []])
        return 200, self.stamp({})

    def read(self, query):
        low, high = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", "500")), 500)
        keys = sorted(k for k in self.rows
                      if k[0] == query["table"] and k[1] == query.get("part", "")
                      and k[2] >= low and (not high or k[2] < high))
        rows = [self.show(k, *self.rows[k]) for k in keys[:limit]]
        return self.stamp({"rows": rows, "more_pages": len(keys) > limit})

    async def feed(self, query):
        after = int(query["after"])
        until = ms() + min(int(query.get("wait_ms", "0")), 30000)
        while True:
            if after < self.dropped_before:
                return 410, self.stamp({})
            newest = {}
            for version, _, key, value, deleted in self.history:
                if version > after and key[0] == query["table"]:
                    newest.pop(key, None)
                    newest[key] = (value, version, deleted)
            if newest or ms() >= until:
                return 200, self.stamp({"rows": [self.show(k, *v) for k, v in newest.items()]})
            waiter = self.changed
            try:
                await asyncio.wait_for(waiter.wait(), max(0.001, (until - ms()) / 1000))
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, number, spec, life):
        self.task, self.number, self.life = task, number, life
        self.begun = ms()
        self.ended = None
        self.how = None
        self.work_ms = spec.get("ms", 1000)
        self.fails = spec.get("fails", False)
        self.cpu = spec.get("cpu", 0)
        self.stopping = False


class Executor:
    """One executor behind one address. `Life` data are reset by a restart."""

    def __init__(self, store, record, name, zone, cpu, service="work"):
        self.store, self.record = store, record
        self.id, self.zone, self.cpu, self.service = name, zone, cpu, service
        self.runs = []  # All runs of all lives.
        self.noted = set()  # Runs whose ends `acked_upto` has reached.
        self.server = Server(self.handle)
        self.up = False
        self.reachable = True
        self.state = "ready"
        self.kind = "a"
        self.beats = None
        self.sequence = 0
        self.new_life()

    def new_life(self):
        self.born = int(time.time() * 1000)
        self.clock_begun = ms()
        self.token = 0
        self.deadline = 0
        self.running = {}
        self.ended = []
        self.next_end = 1
        self.stopped = {}
        self.end_event = asyncio.Event()
        self.life = object()

    def clock(self):
        return int(ms() - self.clock_begun)

    @property
    def address(self):
        return f"{HOST}:{self.server.port}"

    async def start(self, register_after_ms=0):
        self.new_life()
        self.up = True
        await self.server.start()
        self.record("executor_up", id=self.id, born=self.born, address=self.address)
        self.beats = asyncio.create_task(self.beat(register_after_ms))

    async def crash(self):
        """The process is killed: nothing of this life is left."""
        self.record("executor_killed", id=self.id, born=self.born)
        self.up = False
        self.beats.cancel()
        await self.server.stop()
        for run in self.running.values():
            run.ended, run.how = ms(), "crashed"
        self.running = {}
        self.life = object()

    async def leave(self):
        await self.crash()
        self.store.remove("servers", self.id)

    def cut(self):
        """No connection reaches the executor; it reaches nobody."""
        self.reachable = False
        self.record("cut", id=self.id)
        return self.server.stop()

    async def heal(self):
        self.record("healed", id=self.id)
        self.reachable = True
        await self.server.start()

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born,
                "capacity": {"cpu": self.cpu, "mem_mb": 128000}, "labels": [self.kind, "r-" + self.zone]}

    def announce(self):
        self.store.put("servers", self.id, self.entry())
        self.last_beat = ms()

    async def beat(self, first_after_ms):
        await asyncio.sleep(first_after_ms / 1000)
        while True:
            if self.reachable:
                self.announce()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def expire_lease(self):
        if self.running and self.clock() >= self.deadline:
            for key in list(self.running):
                self.end(key, "lapsed")

    def end(self, key, how):
        run = self.running.pop(key, None)
        if run is None:
            return
        run.ended, run.how = ms(), how
        self.stopped[run.task] = max(self.stopped.get(run.task, 0), run.number)
        self.ended.append([self.next_end, run.task, run.number, how, ""])
        self.next_end += 1
        self.record("run_ended", task=run.task, run=run.number, on=self.id, how=how)
        self.end_event.set()
        self.end_event = asyncio.Event()

    async def work(self, key, run, life):
        until = run.begun + run.work_ms
        while ms() < until:
            await asyncio.sleep(min(0.02, max(0.001, (until - ms()) / 1000)))
            if life is not self.life or key not in self.running:
                return
            self.expire_lease()
        if life is self.life and not run.stopping:
            self.end(key, "failed" if run.fails else "done")

    async def finish_stop(self, key, life):
        await asyncio.sleep(STOP_MS * 0.5 / 1000)
        if life is self.life:
            self.end(key, "stopped")

    def say(self, **fields):
        fields["clock_ms"] = self.clock()
        fields["born"] = self.born
        return fields

    async def handle(self, request):
        if request.headers.get("target-instance") != self.id:
            return 421, self.say()
        body = request.json()
        self.expire_lease()
        token = body.get("fencing_token", 0)
        if token < self.token:
            return 409, self.say(reason="fence")
        self.token = token
        life = self.life
        if request.path == "/api/run-start":
            return self.run_start(body, life)
        if request.path == "/api/run-stop":
            key = (body["task"], body["run"])
            self.stopped[body["task"]] = max(self.stopped.get(body["task"], 0), body["run"])
            self.record("stop_order", task=body["task"], run=body["run"], on=self.id)
            if key in self.running and not self.running[key].stopping:
                self.running[key].stopping = True
                asyncio.create_task(self.finish_stop(key, life))
            return 200, self.say()
        if request.path == "/api/pace":
            return 200, self.say()
        return await self.hold(body, life)

    def extend(self, body):
        if "deadline_ms" in body:
            self.deadline = max(self.deadline,
                                min(body["deadline_ms"], self.clock() + HOLD_MAX_MS))

    def run_start(self, body, life):
        key = (body["task"], body["run"])
        if key in self.running:
            return 200, self.say()
        if body["run"] <= self.stopped.get(body["task"], 0):
            self.extend(body)
            return 409, self.say(reason="old")
        if body["deadline_ms"] <= self.clock():
            return 409, self.say(reason="late")
        spec = json.loads(body["spec"])
        self.extend(body)
        if sum(r.cpu for r in self.running.values()) + spec.get("cpu", 0) > self.cpu:
            return 409, self.say(reason="room")
        step = int(body["task"].split(".")[2])
        run = Run(body["task"], body["run"], {**spec, **spec.get("steps", {}).get(str(step), {})},
                  self.born)
        self.running[key] = run
        self.runs.append(run)
        self.record("run_started", task=run.task, run=run.number, on=self.id, born=self.born,
                    token=body["fencing_token"])
        asyncio.create_task(self.work(key, run, life))
        return 200, self.say()

    async def hold(self, body, life):
        self.extend(body)
        acked = body.get("acked_upto", 0)
        for end in self.ended:
            if end[0] <= acked:
                self.noted.add((end[1], end[2]))
                self.record("end_noted", task=end[1], run=end[2], on=self.id)
        self.ended = [e for e in self.ended if e[0] > acked]
        until = ms() + min(body.get("wait_ms", 0), 2000)
        while not self.ended and ms() < until:
            try:
                await asyncio.wait_for(self.end_event.wait(), max(0.001, (until - ms()) / 1000))
            except asyncio.TimeoutError:
                pass
            if life is not self.life:
                raise Reset
        running = []
        for run in self.running.values():
            percent = 100 if run.work_ms > 1e7 else int(100 * (ms() - run.begun) / run.work_ms)
            running.append([run.task, run.number, "", min(percent, 100), run.cpu])
        return 200, self.say(running=running, ended=self.ended[:500])


async def call(port, method, path, body=None, host=QUEUE["host"], deadline_ms=3000):
    """One request on a connection of its own. @returns (status, object); status 0 if none."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(HOST, port)
        data = b"" if body is None else json.dumps(body).encode()
        writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Deadline: {deadline_ms}\r\n"
                      f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                      "Connection: close\r\n\r\n").encode() + data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        length = 0
        for line in head.split("\r\n")[1:]:
            if line.lower().startswith("content-length:"):
                length = int(line.split(":")[1])
        return status, json.loads(await reader.readexactly(length) or b"{}")

    try:
        return await asyncio.wait_for(exchange(), deadline_ms / 1000)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.transport.abort()


# Below the ports that the system gives to other sockets; plays that run at the
# same time take theirs from blocks of their own.
PORTS = iter(range(15000 + os.getpid() % 400 * 40, 32000))


def free_port():
    for port in PORTS:
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
                return port
            except OSError:
                pass
    raise CannotRun("no free port")


def deploy_command():
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith("run"):
                return line.split('"')[1].split()
    raise RuntimeError("deploy/system.toml: expected a line with `run`")


SETTINGS = """node: "{node}"
role: "entry"
machine_class: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: "{zone}"
region: "dakar"
zones:
{zones}
listen:
  front: "127.0.0.1:{front}"
  ready: "127.0.0.1:{ready}"
  control: "127.0.0.1:{control}"
bootstrap: true
limits: {{cpu_share: {cpu}, cores: 1, memory_mb: 260, max_fds: 4100}}
discovery: "platform"
heartbeat_ms: 1500
bounds: {{contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 6, config_apply_ms: 2000,
  hold_max_ms: 6000, stop_ms: 200, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000,
  early_ms: 250, finish_s: 14, status_s: 120, checkpoint_s: 2, restore_ms: 100}}
orders: "call"
platform: {{address: "127.0.0.1:{store}", form: "table", writes_per_s: 800, reads_per_s: 2000,
  tx_ms: 4.0, part_writes_s: 250, row_bytes: 65536, across: true, history_s: 20}}
"""


class Entry:
    """One process under test, with its own entrance to the store."""

    def __init__(self, world, name, zone, cpu=0.25):
        self.world, self.name, self.zone, self.cpu = world, name, zone, cpu
        self.front, self.ready, self.control = free_port(), free_port(), free_port()
        self.entrance = Server(self.pass_on)
        self.fault = None  # async (request) -> answer; None passes the call on.
        self.process = None

    async def pass_on(self, request):
        if self.fault is not None:
            answer = await self.fault(request)
            if answer is not None:
                return answer
        return await self.world.store.handle(request)

    async def start(self):
        if self.entrance.server is None:
            await self.entrance.start()
        path = os.path.join(self.world.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(
                node=self.name, zone=self.zone, front=self.front, ready=self.ready,
                control=self.control, store=self.entrance.port, cpu=self.cpu,
                zones="\n".join(f'  {z}: "dakar"' for z in ZONES)))
        with open(os.path.join(self.world.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy_command(), cwd=ROOT, env={**os.environ, "HICKORYUSHER_CONFIG": path},
                stdout=log, stderr=log)
        self.world.record("process_started", name=self.name, pid=self.process.pid)

    async def is_ready(self):
        return (await call(self.ready, "GET", "/api/readiness", deadline_ms=1000))[0] == 200

    async def end(self, number=signal.SIGKILL):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()
            self.world.record("process_ended", name=self.name, signal=int(number))


class World:
    """A small deployment: three zones, with processes and executors in each."""

    def __init__(self, folder, cpus=(64000, 32000, 32000), max_attempts=3, queues=(QUEUE,),
                 labels=("a", "a", "a"), per_zone=1):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.entries = [Entry(self, f"edge-{z}-{n}", z)
                        for n in range(1, per_zone + 1) for z in ZONES]
        self.executors = [Executor(self.store, self.record, f"i-{z}-{n}", z, cpu)
                          for z in ZONES for n, cpu in enumerate(cpus)]
        for n, executor in enumerate(self.executors):
            executor.kind = labels[n % len(labels)]
        self.queues = queues
        self.max_attempts = max_attempts
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def put_config(self, version, queues=(QUEUE,)):
        """The operator writes a config. The store's answer is the ack."""
        self.store.put("op", "config", {
            "version": version,
            "routes": [{**queue, "service": "work", "priority": 0, "stretch": 2.0,
                        "max_attempts": self.max_attempts, "target_duration_ms": 3000}
                       for queue in queues],
            "services": [{"name": "work", "enforces_capacity": True}], "limits": {}})
        self.record("config", version=version, queues=",".join(q["name"] for q in queues))

    async def start(self):
        self.put_config(3, self.queues)
        for executor in self.executors:
            await executor.start()
        for entry in self.entries:
            await entry.start()
        for entry in self.entries:
            if not await until(entry.is_ready, 20):
                raise CannotRun(entry.name + " is not ready after 20 s")

    async def stop(self):
        for entry in self.entries:
            await entry.end()
        for executor in self.executors:
            if executor.beats is not None:
                executor.beats.cancel()
            await executor.server.stop()
        for entry in self.entries:
            await entry.entrance.stop()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def submit(self, entry, job, spec, steps, deadline_ms=3000, queue=QUEUE):
        status, answer = await call(entry.front, "POST", queue["path_prefix"] + job,
                                    {"spec": json.dumps(spec), "steps": steps},
                                    host=queue["host"], deadline_ms=deadline_ms)
        self.record("submitted", job=job, at=entry.name, status=status, answer=answer)
        return status

    async def state(self, entry, job):
        status, answer = await call(entry.front, "GET", QUEUE["path_prefix"] + job)
        return status, answer.get("state")

    async def completed(self, entry, jobs, seconds):
        async def all_done():
            for job in jobs:
                if (await self.state(entry, job))[1] != "completed":
                    return False
            return True
        return await until(all_done, seconds)

    def runs_of(self, job):
        return sorted((r for e in self.executors for r in e.runs if r.task.startswith(job + ".")),
                      key=lambda r: r.begun)

    def where(self, run):
        return next(e for e in self.executors if run in e.runs)

    def overlaps(self, least_ms=10):
        """@returns pairs of runs of one task that were there at the same time."""
        found = []
        runs = sorted((r for e in self.executors for r in e.runs), key=lambda r: r.begun)
        for i, first in enumerate(runs):
            for second in runs[i + 1:]:
                until_ms = min(first.ended or ms(), second.ended or ms())
                if first.task == second.task and until_ms - second.begun >= least_ms:
                    found.append((first, second, until_ms - second.begun))
        return found


async def until(holds, seconds):
    end = ms() + seconds * 1000
    while ms() < end:
        if await holds():
            return True
        await asyncio.sleep(0.05)
    return False


class CannotRun(Exception):
    pass


def main(case, folder):
    """Runs `case(world)`, which returns what broke the rule, or nothing."""

    async def play():
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        world = World(folder, **getattr(case, "world", {}))
        try:
            await world.start()
            broken = await case(world)
        except CannotRun as error:
            print("cannot run:", error)
            world.record("cannot_run", why=error)
            return 2
        finally:
            await world.stop()
        for line in broken:
            print(line)
            world.record("broken", what=line)
        world.record("result", broken=len(broken))
        print("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0

    if not os.path.exists(os.path.join(ROOT, deploy_command()[0])):
        print("cannot run: the program of the deploy file isn't built")
        sys.exit(2)
    try:
        sys.exit(asyncio.run(asyncio.wait_for(play(), 115)))
    except (asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        print("cannot run:", repr(error))
        sys.exit(2)
