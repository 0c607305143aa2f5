"""Stand-ins for the platform of basilbridge: its store, its workers and its callers.

They follow PROTOCOL.md and answer like sound ones, but for the faults that a case asks for. All of
them run in one event loop; the daemons are processes of their own. Times are seconds since the start.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BEGUN = time.monotonic()
# How a handler tells that a call gets no answer; the connection delivers nothing more.
SILENT = object()
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_S = 0.1
SERVICE, HOST, PREFIX, KEY = "planner", "queue.example", "/checks/", "key-of-tenant"
TENANT = "tenant"


def now():
    return time.monotonic() - BEGUN


class Record:
    """The file of a case with what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{now():8.3f}  {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads a request or a response; returns its first line, headers and body."""
    first = (await reader.readline()).decode("latin-1").strip()
    if not first:
        return None
    headers = {}
    while line := (await reader.readline()).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def serve(handler, host, port=0):
    """Serves HTTP; `handler(method, path, query, headers, body)` returns a status and a document."""

    async def connected(reader, writer):
        try:
            while message := await read_message(reader):
                first, headers, body = message
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                answer = await handler(method, path, query, headers, json.loads(body or b"{}"))
                if answer is SILENT:
                    await reader.read()
                    break
                status, document = answer
                text = json.dumps(document).encode()
                head = f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                writer.write(f"{head}content-length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connected, host, port)
    return server.sockets[0].getsockname()


async def call(address, method, path, body=None, headers=(), limit_s=3.0):
    """Calls a server. Returns the status and the document, or (None, the error) without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            text = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(text)}", *headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                raise ConnectionResetError("closed without an answer")
            first, _, text = message
            return int(first.split(" ")[1]), json.loads(text or b"{}")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit_s)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        return None, type(error).__name__


class Store:
    """The platform's metadata store, with one address for each machine that calls it."""

    def __init__(self, record):
        self.record = record
        self.ver, self.rows, self.history = 0, {}, []
        self.changed = asyncio.Event()
        # The machine that last wrote under a condition.
        self.last_writer = None
        # Says whether the answer to a transaction is lost, and the write is carried out late.
        self.is_lost = lambda machine, body: False
        self.late_s = 0.0
        self.writes = self.lost = 0

    async def open(self, machine, host):
        async def handler(method, path, query, headers, body):
            await asyncio.sleep(STORE_ANSWER_S)
            if path == "/rows-tx":
                return await self.transact(machine, body)
            if path == "/rows-get":
                return 200, self.read(query)
            if path == "/rows-feed":
                return await self.feed(query)
            return 404, {}

        return await serve(handler, host)

    def stamp(self, answer):
        return answer | {"ver": self.ver, "nowMs": int(time.monotonic() * 1000)}

    def put(self, table, part, key, value):
        """Writes a row as the operator and the workers do."""
        value = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self.apply([(table, part, key, value)])

    def apply(self, changes):
        self.ver += 1
        for table, part, key, value in changes:
            row = {"table": table, "part": part, "key": key, "ver": self.ver}
            if value is None:
                self.rows.pop((table, part, key), None)
                self.history.append(row | {"deleted": True})
            else:
                row["value"] = value
                self.rows[table, part, key] = row
                self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    async def transact(self, machine, body):
        self.writes += 1
        if self.is_lost(machine, body):
            self.lost += 1
            names = [f"{row['table']}/{row['part']}/{row['key']}" for row in body["puts"]]
            self.record.write(f"store: answer to {machine} lost, done {self.late_s} s later: {names}")
            await asyncio.sleep(self.late_s)
            status, _ = self.carry_out(machine, body)
            self.record.write(f"store: late write of {machine}: {status}")
            return SILENT
        return self.carry_out(machine, body)

    def carry_out(self, machine, body):
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        conditions = body.get("precondition", [])
        current = [self.rows.get(name(row)) for row in conditions]
        held = all(
            (found["ver"] if found else 0) == row["ver"] for row, found in zip(conditions, current)
        )
        if not held:
            return 412, self.stamp({"rows": [found for found in current if found]})
        if conditions:
            self.last_writer = machine
        changes = [(*name(row), row["value"]) for row in body.get("puts", [])]
        changes += [(*name(row), None) for row in body.get("remove", [])]
        self.apply(changes)
        return 200, self.stamp({})

    def read(self, query):
        low, high = query.get("from", ""), query.get("to")
        found = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= low
            and (high is None or key < high)
        ]
        limit = min(int(query.get("limit", 500)), 500)
        return self.stamp({"rows": found[:limit], "truncated": len(found) > limit})

    async def feed(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            rows = [
                row
                for row in self.history
                if row["ver"] > after and row["table"] == query["table"]
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self.stamp({"rows": rows})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, number, length_s):
        self.task, self.number = task, number
        self.begun, self.ends = now(), now() + length_s
        self.stopping = None


class Worker:
    """A worker. The spec of a task is its run time in milliseconds."""

    def __init__(self, fleet, name, cpu, rack):
        self.fleet, self.name, self.cpu, self.rack = fleet, name, cpu, rack
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.lease = self.fence = self.sequence = self.beats = 0
        self.runs, self.ended, self.highest = {}, [], {}
        self.mode = "sound"
        self.healed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def register(self):
        self.beats += 1
        entry = {
            "service": SERVICE, "addr": "%s:%d" % self.address, "zone": "zone-a", "version": "v1",
            "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": self.beats, "born": self.born,
            "capacity": {"cpu": self.cpu, "memMb": 32768, "gpu": 0}, "labels": ["a", self.rack],
        }  # fmt: skip
        self.fleet.store.put("servers", "", self.name, entry)

    def set_mode(self, mode):
        """`busy`: calls get 429 and do nothing. `cut`: neither calls nor answers arrive."""
        self.fleet.record.write(f"{self.name}: from now on {mode}")
        self.mode = mode
        if mode == "sound":
            self.healed.set()
            self.healed = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        if self.mode == "cut":
            return SILENT
        if self.mode == "busy":
            return 429, {}
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        if body.get("fence", 0) < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = body.get("fence", 0)
        if path == "/run-start":
            answer = self.start(body)
        elif path == "/run-stop":
            answer = self.stop(body)
        elif path == "/pace":
            answer = 200, {"clockMs": self.clock()}
        elif path == "/hold":
            answer = await self.hold(body)
        else:
            answer = 404, {}
        # What is answered while the path is cut does not arrive.
        return SILENT if self.mode == "cut" else answer

    def extend(self, body):
        if (until := body.get("untilMs")) is not None:
            self.lease = max(self.lease, min(until, self.clock() + HOLD_MAX_MS))

    def start(self, body):
        task, number = body["task"], body["run"]
        refuse = lambda reason: (409, {"clockMs": self.clock(), "reason": reason})
        self.extend(body)
        run = self.runs.get(task)
        if run and run.number == number:
            return 200, {"clockMs": self.clock()}
        if run or number <= self.highest.get(task, 0):
            return refuse("old")
        if body["untilMs"] <= self.clock():
            return refuse("late")
        self.runs[task] = Run(task, number, int(body["spec"]) / 1000)
        self.fleet.started(self, task, number)
        return 200, {"clockMs": self.clock()}

    def stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number == number and run.stopping is None:
            run.stopping = now() + STOP_S
        return 200, {"clockMs": self.clock()}

    async def hold(self, body):
        self.extend(body)
        upto = body.get("ackedUpto", 0)
        for end in [end for end in self.ended if end["row"][0] <= upto]:
            self.ended.remove(end)
            self.fleet.noted(self, end)
        until = now() + body.get("waitMs", 0) / 1000
        while not self.ended and now() < until and self.mode == "sound":
            await asyncio.sleep(0.005)
        running = [
            [task, run.number, "", min(99, int(100 * (now() - run.begun) / (run.ends - run.begun)))]
            for task, run in self.runs.items()
        ]
        rows = [end["row"] for end in self.ended[:500]]
        self.fleet.listed(self, rows)
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "ended": rows}

    def end(self, run, how):
        del self.runs[run.task]
        self.sequence += 1
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ended.append(
            {"row": [self.sequence, run.task, run.number, how, ""], "lapsed": False, "again": []}
        )
        self.fleet.ran(self, run, how)

    def tick(self):
        for run in list(self.runs.values()):
            if run.ends <= now():
                self.end(run, "done")
            elif run.stopping is not None and run.stopping <= now():
                self.end(run, "stopped")
        if self.lease < self.clock():
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
            for end in self.ended:
                end["lapsed"] = True


class Fleet:
    """All workers, and the rules that their starts are judged by."""

    def __init__(self, store, record):
        self.store, self.record = store, record
        self.workers, self.broken = [], []
        self.cap = self.task_cpu = None
        self.acknowledged = set()
        self.on_listed = lambda worker, rows: None

    async def add(self, name, cpu, rack, host):
        worker = Worker(self, name, cpu, rack)
        worker.address = await serve(worker.handle, host)
        self.workers.append(worker)

    async def work(self):
        beaten = -HEARTBEAT_S
        while True:
            for worker in self.workers:
                worker.tick()
            if now() - beaten >= HEARTBEAT_S:
                beaten = now()
                for worker in self.workers:
                    worker.register()
            await asyncio.sleep(0.005)

    def breaks(self, text):
        self.record.write(f"BROKEN {text}")
        self.broken.append(text)

    def running(self, job=None):
        runs = [(worker, run) for worker in self.workers for run in worker.runs.values()]
        return [(w, run) for w, run in runs if job is None or run.task.startswith(job)]

    def started(self, worker, task, number):
        self.record.write(f"{worker.name}: {task} run {number} starts")
        if self.cap:
            used = len(self.running()) * self.task_cpu
            if used > self.cap * 1.1 + self.task_cpu:
                self.breaks(f"QUOTA: the tenant has {used} of cpu running, its cap is {self.cap}")
        if task in self.acknowledged:
            self.breaks(f"TWICE: {task} starts after its end was taken note of")
        for other in self.workers:
            if other is not worker and task in other.runs:
                self.breaks(f"TWICE: {task} runs on {other.name} and {worker.name}")
            for end in other.ended:
                if end["row"][1] == task:
                    end["again"].append(f"run {number} on {worker.name}")

    def ran(self, worker, run, how):
        self.record.write(f"{worker.name}: {run.task} run {run.number} ends {how}")

    def listed(self, worker, rows):
        self.on_listed(worker, rows)

    def noted(self, worker, end):
        _, task, number, how, _ = end["row"]
        if how != "done" or end["lapsed"]:
            return
        self.record.write(f"{worker.name}: done of {task} run {number} is taken note of")
        self.acknowledged.add(task)
        if end["again"]:
            self.breaks(
                f"TWICE: {task} run {number} ended done on {worker.name}, its end is taken note of,"
                f" and it was started again: {', '.join(end['again'])}"
            )


class Daemon:
    """A process of the deploy file on a loopback address of its own."""

    def __init__(self, cell, name, ip, store):
        self.cell, self.name, self.ip = cell, name, ip
        self.front = (ip, 8183)
        self.settings = os.path.join(cell.folder, f"{name}.toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name=name, ip=ip, store="%s:%d" % store))

    async def start(self):
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        log = open(os.path.join(self.cell.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target/release/basilbridged"), cwd=ROOT, stdout=log, stderr=log,
            env=env | {"BASILBRIDGE_CONFIG": self.settings},
        )  # fmt: skip
        self.cell.record.write(f"{self.name}: started")

    async def end(self, signal, down_s):
        """Sends a signal, waits for the end and starts the process again after `down_s`."""
        self.cell.record.write(f"{self.name}: signal {signal}")
        self.process.send_signal(signal)
        await self.process.wait()
        self.cell.record.write(f"{self.name}: ended with {self.process.returncode}")
        await asyncio.sleep(down_s)
        await self.start()

    async def is_ready(self):
        status, _ = await call((self.ip, 8184), "GET", "/ready", limit_s=0.5)
        return status == 200


SETTINGS = """node = "{name}"
role = "entry"
class = "front"
serves = ["front"]
ip = "{ip}"
zone = "zone-a"
region = "region"
portRange = [7420, 7435]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "invoke"
[listen]
front = "{ip}:8183"
ready = "{ip}:8184"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
[bounds]
stableWindowMs = 3000
drainMs = 2000
graceS = 6
configMs = 2000
quotaOver = 0.1
holdMaxMs = 6000
stopMs = 900
gangMs = 3000
status_s = 120
[platform]
addr = "{store}"
form = "table"
"""


class Cell:
    """A small deployment: three daemons, the store and twelve workers."""

    def __init__(self, folder, cap_cpu=0):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="basilbridge-review-")
        self.store = Store(self.record)
        self.fleet = Fleet(self.store, self.record)
        self.daemons = []
        self.store.put("op", "", "config", {
            "version": 7,
            "routes": [{"name": "checks", "host": HOST, "pathPrefix": PREFIX, "service": SERVICE,
                        "priority": 0, "attempts": 3, "stretch": 2.0, "sloMs": 1000}],
            "services": [{"name": SERVICE, "enforcesCapacity": False}],
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "weight": 12,
                         "cap": {"cpu": cap_cpu, "memMb": 0, "gpu": 0}}],
        })  # fmt: skip

    async def start(self):
        net = free_net()
        for index in range(12):
            rack = f"r{index // 4}"
            await self.fleet.add(f"i-{index:02}", 16000, rack, f"{net}.10")
        self.working = asyncio.create_task(self.fleet.work())
        for index in range(3):
            store = await self.store.open(f"front-{index}", f"{net}.9")
            daemon = Daemon(self, f"front-{index}", f"{net}.{index + 1}", store)
            self.daemons.append(daemon)
            await daemon.start()
        await self.wait_until("the daemons are ready", self.are_ready, 20)
        # The owner of the workers has met all of them by then.
        await asyncio.sleep(4)

    async def are_ready(self):
        return all([await daemon.is_ready() for daemon in self.daemons])

    async def wait_until(self, what, is_so, limit_s):
        until = now() + limit_s
        while now() < until:
            if await is_so():
                return
            await asyncio.sleep(0.02)
        raise Unfit(f"not within {limit_s} s: {what}")

    def owner(self):
        """Returns the daemon that last wrote to the store under a condition."""
        return next(daemon for daemon in self.daemons if daemon.name == self.store.last_writer)

    async def ask(self, method, job, body=None, without=None):
        """Sends a call, and sends it again at another daemon as long as it gets no answer."""
        headers = [f"host: {HOST}", f"authorization: Bearer {KEY}", "deadline-ms: 3000"]
        daemons = [daemon for daemon in self.daemons if daemon is not without]
        for attempt in range(6):
            daemon = daemons[attempt % len(daemons)]
            answer = await call(daemon.front, method, PREFIX + job, body, headers)
            self.record.write(f"client: {method} {job} at {daemon.name}: {answer}")
            if answer[0] not in (None, 429, 502, 503, 504):
                return answer
            await asyncio.sleep(0.3)
        return answer

    async def submit(self, job, count, cpu, run_ms, without=None):
        step = {"count": count, "cpu": cpu, "memMb": 256, "estMs": run_ms}
        body = {"spec": str(run_ms), "steps": [step]}
        status, _ = await self.ask("POST", job, body, without)
        if status != 200:
            raise Unfit(f"the job {job} was not accepted: {status}")

    async def stop(self):
        for daemon in self.daemons:
            if daemon.process.returncode is None:
                daemon.process.kill()
                await daemon.process.wait()
        self.working.cancel()
        shutil.rmtree(self.folder)


class Unfit(Exception):
    """The case could not run."""


def free_net():
    """Returns the first three numbers of loopback addresses whose ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        try:
            for host in range(1, 4):
                for port in (7420, 8183, 8184, 9180):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host}", port))
            return net
        except OSError:
            continue
    raise Unfit("no free loopback addresses")


def new_job():
    return f"{random.getrandbits(64):016x}"


def main(folder, scenario, cap_cpu=0):
    """Runs `scenario(cell, has_trouble)` and exits with 1 if a rule was broken, 0 if all held, and 2
    if the case could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        cell = Cell(folder, cap_cpu)
        try:
            await asyncio.wait_for(play(cell), 110)
        except (Unfit, asyncio.TimeoutError, OSError) as error:
            cell.record.write(f"the case could not run: {error!r}")
            return 2
        finally:
            await cell.stop()
        if cell.fleet.broken:
            print(f"broken: {len(cell.fleet.broken)}, the first: {cell.fleet.broken[0]}")
        return 1 if cell.fleet.broken else 0

    async def play(cell):
        await cell.start()
        await scenario(cell, has_trouble)

    sys.exit(asyncio.run(run()))
