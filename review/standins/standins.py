"""Stand-ins for the platform of the users' pages: a store, workers, an operator and clients.

Only the standard library is used. The store and the workers run in this process, the daemons are
processes of their own, all on loopback addresses of one random 127.x.y net.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
ROW_BYTES = 65536
TX_BYTES = 1_000_000
TX_ENTRIES = 100
HOST = "review.example"


class Record:
    """What was sent, answered and run, with the seconds since the start. A task ID.K.STEP.INDEX is
    written as ID/K/STEP/INDEX, so that it doesn't look like an address."""

    TASK = re.compile(r"([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)")

    def __init__(self, path):
        self.begun = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begun

    def write(self, text):
        text = self.TASK.sub(r"\1/\2/\3/\4", text)
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads an HTTP/1.1 message. Returns its first line, its headers and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif int(headers.get("content-length", 0)):
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


class Silent(Exception):
    """The request gets no answer, and its connection delivers nothing further."""


class Reset(Exception):
    """The connection is reset."""


async def serve(ip, handler, port=0, opened=None):
    """Serves HTTP/1.1 at `port`, or a free one. `handler(method, path, query, headers, body)`
    returns a status and a document, or raises Silent or Reset. Returns the address. Adds what it
    opens to `opened`, so that a process can be shown to end."""
    opened = [] if opened is None else opened

    async def connection(reader, writer):
        opened.append(writer.transport.abort)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                document = json.loads(body) if body else {}
                try:
                    status, answer = await handler(method, path, query, headers, document)
                except Silent:
                    await reader.read()
                    return
                except Reset:
                    writer.transport.abort()
                    return
                answer = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(answer)}\r\n\r\n".encode() + answer
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(connection, ip, port)
    opened.append(server.close)
    return "%s:%d" % server.sockets[0].getsockname()[:2]


async def call(address, method, path, document=None, headers=(), timeout=3.0):
    """Sends a request on a connection of its own. Returns the status and the document of the
    answer, or None if there is none in time."""

    async def exchange():
        ip, port = address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            body = b"" if document is None else json.dumps(document).encode()
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(body)}"]
            if body:
                lines.append("content-type: application/json")
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, _, answer = await read_message(reader)
            try:
                return int(first.split(" ")[1]), json.loads(answer or b"{}")
            except ValueError:
                return int(first.split(" ")[1]), {}
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None


class Store:
    """The platform's store. A case may replace the hooks."""

    def __init__(self):
        self.ver = 0
        self.rows = {}  # (table, part, key) -> (ver, value)
        self.log = []  # (ver, table, part, key, value or None)
        self.compacted = 0
        self.changed = asyncio.Event()
        self.last_condition = None  # the node that last wrote under a condition on a known row
        # The seconds until a call is carried out, and from then until its answer.
        self.latency = lambda path: (0.002, 0.002)
        # Called before and after each call of a node; may raise Silent or Reset, or return an answer.
        self.before = lambda node, path, body: None
        self.after = lambda node, path, body: None

    def apply(self, puts, removes):
        self.ver += 1
        for table, part, key, value in puts:
            self.rows[table, part, key] = (self.ver, value)
            self.log.append((self.ver, table, part, key, value))
        for table, part, key in removes:
            if self.rows.pop((table, part, key), None):
                self.log.append((self.ver, table, part, key, None))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, document):
        """Writes a row as the operator and the workers do."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.apply([(table, "", key, value)], [])

    def remove(self, table, keys):
        self.apply([], [(table, "", key) for key in keys])

    def forget_history(self):
        self.compacted = self.ver
        self.log.clear()
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, ip, node):
        async def handler(method, path, query, headers, body):
            early = self.before(node, path, body)
            if early:
                return early
            before, after = self.latency(path)
            await asyncio.sleep(before)
            if path == "/rows-tx":
                answer = self.transact(node, body)
            elif path == "/rows-get":
                answer = self.get(query)
            elif path == "/rows-feed":
                answer = await self.feed(query)
            else:
                answer = 404, {}
            await asyncio.sleep(after)
            return self.after(node, path, body) or answer

        return await serve(ip, handler)

    def stamp(self, answer):
        return {**answer, "ver": self.ver, "nowMs": int(time.monotonic() * 1000)}

    def transact(self, node, body):
        entries = [row for field in ("precondition", "puts", "remove") for row in body.get(field, [])]
        values = [base64.b64decode(row["value"]) for row in body.get("puts", [])]
        too_long = any(len(value) > ROW_BYTES for value in values)
        if too_long or len(entries) > TX_ENTRIES or len(json.dumps(body)) > TX_BYTES:
            return 400, {}
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        checks = body.get("precondition", [])
        if any(self.rows.get(name(row), (0, ""))[0] != row["ver"] for row in checks):
            rows = [self.wire(*name(row)) for row in checks if name(row) in self.rows]
            return 412, self.stamp({"rows": rows})
        if any(row["ver"] for row in checks):
            self.last_condition = node
        puts = [(*name(row), row["value"]) for row in body.get("puts", [])]
        self.apply(puts, [name(row) for row in body.get("remove", [])])
        return 200, self.stamp({})

    def wire(self, table, part, key):
        ver, value = self.rows[table, part, key]
        return {"table": table, "part": part, "key": key, "ver": ver, "value": value}

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        low, high = query.get("from", ""), query.get("to")
        found = sorted(
            key
            for known_table, known_part, key in self.rows
            if (known_table, known_part) == (table, part)
            and key >= low
            and (high is None or key < high)
        )
        rows = [self.wire(table, part, key) for key in found[:500]]
        return 200, self.stamp({"rows": rows, "truncated": len(found) > 500})

    async def feed(self, query):
        after = int(query.get("after", 0))
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if after < self.compacted:
                return 410, {}
            rows = [
                {"table": table, "part": part, "key": key, "ver": ver}
                | ({"value": value} if value is not None else {"deleted": True})
                for ver, table, part, key, value in self.log
                if ver > after and table == query["table"]
            ]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, self.stamp({"rows": rows})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """One life of a worker. A task's `spec` is its duration in milliseconds."""

    def __init__(self, fleet, name, capacity, rack):
        self.fleet, self.name, self.capacity, self.rack = fleet, name, capacity, rack
        self.begun = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence, self.lease_end, self.number, self.seq = 0, 0, 0, 0
        self.running, self.ended, self.highest = {}, [], {}
        self.ended_at, self.lapsed_at = {}, -1.0  # by the number of the end, in seconds of the record
        self.state, self.up, self.cut, self.beats = "ready", True, False, True
        self.remaining_ms = None
        self.changed = asyncio.Event()
        self.opened = []

    async def start(self, ip, port=0):
        self.address = await serve(ip, self.answer, port, self.opened)
        if self.beats:
            self.register()
        return self

    def crash(self):
        """The process ends: its address refuses connections, and nobody hears of its runs."""
        self.up = False
        for close in self.opened:
            close()
        for task, run in self.running.items():
            self.fleet.record.write(f"{self.name} loses {task} run {run['run']}")
        self.running.clear()

    async def again(self):
        """Starts the next life of the worker, at its address."""
        ip, port = self.address.split(":")
        life = Worker(self.fleet, self.name, self.capacity, self.rack)
        life.beats = self.beats
        self.fleet.workers[self.name] = life
        return await life.start(ip, int(port))

    def register(self):
        self.seq += 1
        entry = {
            "service": "planner", "addr": self.address, "zone": "a", "version": "1", "slots": 8,
            "state": self.state, "coldLeftMs": 0, "seq": self.seq, "born": self.born,
            "machine": "m-" + self.name, "labels": ["a", self.rack], "capacity": self.capacity,
        }  # fmt: skip
        if self.remaining_ms is not None:
            entry["remainingMs"] = self.remaining_ms
        self.fleet.store.put("servers", self.name, entry)

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000)

    def end(self, task, how):
        run = self.running.pop(task)
        self.number += 1
        self.ended.append([self.number, task, run["run"], how, ""])
        self.ended_at[self.number] = self.fleet.record.now()
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.fleet.ran(self, task, run["run"], how)
        self.changed.set()
        self.changed = asyncio.Event()

    def leave(self):
        """The worker exits; all that it runs ends with it."""
        self.up = False
        for task in list(self.running):
            self.end(task, "left")

    def tick(self):
        if self.clock() > self.lease_end:
            self.lapsed_at = self.fleet.record.now()
        for task, run in list(self.running.items()):
            if self.clock() > self.lease_end:
                self.end(task, "lapsed")
            elif time.monotonic() >= run["stops"]:
                self.end(task, "stopped")
            elif time.monotonic() >= run["ends"]:
                self.end(task, "done")

    def extend(self, body):
        until = min(body.get("untilMs", 0), self.clock() + HOLD_MAX_MS)
        self.lease_end = max(self.lease_end, until)

    async def answer(self, method, path, query, headers, body):
        if not self.up:
            raise Reset
        if self.cut:
            raise Silent
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock()}
        if body.get("fence", 0) < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = body.get("fence", 0)
        self.tick()
        if path == "/run-start":
            answer = self.start_run(body)
        elif path == "/run-stop":
            answer = self.stop_run(body)
        elif path == "/hold":
            answer = await self.hold(body)
        else:
            answer = 404, {}
        if self.cut:
            raise Silent
        return answer

    def start_run(self, body):
        task, number = body["task"], body["run"]
        self.extend(body)
        known = self.running.get(task)
        if known and known["run"] == number:
            return 200, {"clockMs": self.clock()}
        if known or number <= self.highest.get(task, 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if self.lease_end <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        ends = time.monotonic() + int(body["spec"]) / 1000
        self.running[task] = {
            "run": number, "begun": time.monotonic(), "ends": ends, "stops": float("inf"),
        }  # fmt: skip
        self.fleet.started(self, task, number, body)
        return 200, {"clockMs": self.clock()}

    def stop_run(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run and run["run"] <= number:
            run["stops"] = min(run["stops"], time.monotonic() + 0.1)
        return 200, {"clockMs": self.clock()}

    async def hold(self, body):
        self.extend(body)
        upto = body.get("ackedUpto", 0)
        for end in self.ended:
            if end[0] <= upto:
                self.fleet.noted(self, end)
        self.ended = [end for end in self.ended if end[0] > upto]
        if not self.ended and body.get("waitMs"):
            try:
                await asyncio.wait_for(self.changed.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        self.tick()
        running = []
        for task, run in self.running.items():
            share = (time.monotonic() - run["begun"]) / (run["ends"] - run["begun"])
            running.append([task, run["run"], "", int(100 * share)])
        lists = {"running": running, "ended": self.ended[:500]}
        return 200, {"clockMs": self.clock(), "born": self.born, **lists}


class Fleet:
    """All workers, and what they have seen."""

    def __init__(self, store, record):
        self.store, self.record = store, record
        self.workers, self.broken = {}, []
        self.done, self.acked = set(), set()
        self.starts_of = {}  # task -> [(seconds, worker, run)]
        self.on_start = lambda worker, task, body: None

    async def add(self, ip, name, capacity, rack="r1"):
        self.workers[name] = await Worker(self, name, capacity, rack).start(ip)
        return self.workers[name]

    def started(self, worker, task, run, body):
        self.record.write(f"{worker.name} starts {task} run {run}, fence {body['fence']}")
        self.starts_of.setdefault(task, []).append((self.record.now(), worker.name, run))
        for other in self.workers.values():
            if other is not worker and other.up and task in other.running:
                self.broke(f"TWICE: {task} starts on {worker.name} while it runs on {other.name}")
        if task in self.acked:
            self.broke(f"TWICE: {task} starts on {worker.name} after its end was taken note of")
        self.on_start(worker, task, body)

    def ran(self, worker, task, run, how):
        self.record.write(f"{worker.name} ends {task} run {run}: {how}")
        if how == "done":
            self.done.add(task)

    def noted(self, worker, end):
        """`ackedUpto` has reached an end. It doesn't count if the worker's lease lapsed meanwhile."""
        number, task, run, how, _ = end
        at = worker.ended_at[number]
        if how != "done" or worker.lapsed_at >= at:
            return
        self.acked.add(task)
        for started, other, later_run in self.starts_of[task]:
            if started > at and (other, later_run) != (worker.name, run):
                self.broke(
                    f"TWICE: {task} ended done on {worker.name} at {at:.3f}, which is taken note of,"
                    f" and run {later_run} started on {other} at {started:.3f}"
                )

    def broke(self, text):
        self.broken.append(text)
        self.record.write("BROKEN " + text)

    async def run(self):
        """Lets the workers run and send their heartbeats."""
        beats = {}
        while True:
            now = time.monotonic()
            for worker in list(self.workers.values()):
                if not worker.up:
                    continue
                worker.tick()
                due = beats.setdefault(worker.name, now + random.uniform(0, HEARTBEAT_S))
                if now >= due:
                    beats[worker.name] = now + HEARTBEAT_S
                    if worker.beats:
                        worker.register()
            await asyncio.sleep(0.01)


SETTINGS = """
node = "{name}"
role = "entry"
class = "front"
serves = ["front"]
ip = "{ip}"
zone = "a"
region = "r"
portRange = [7420, 7435]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "platform"]
orders = "invoke"
advice = ""
[zones]
a = "r"
[listen]
front = "{ip}:8183"
ready = "{ip}:8184"
control = "{ip}:8180"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
stableWindowMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
outerMs = 5000
quotaOver = 0.1
recoveryS = 12
holdMaxMs = 6000
stopMs = 900
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farX = 1.5
saveS = 1
restoreMs = 600
noticeMs = 4500
requireFence = true
leaseMs = 3000
[platform]
addr = "{store}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 3.0
partWritesS = 300
rowBytes = 65536
across = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
"""


class Daemon:
    """A process of the role `entry`, with the command of the deploy file."""

    def __init__(self, name, ip, folder, store):
        self.name, self.ip, self.folder, self.front = name, ip, folder, f"{ip}:8183"
        self.settings = os.path.join(folder, name + ".toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name=name, ip=ip, store=store))
        self.start()

    def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["BASILBRIDGE_CONFIG"] = self.settings
        program = os.path.join(ROOT, "target", "release", "basilbridged")
        self.process = subprocess.Popen([program], cwd=ROOT, env=env, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()


class Cell:
    """A store, workers and daemons, with the clients and the operator."""

    def __init__(self, trouble, record):
        self.record, self.trouble = Record(record), trouble
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.store = Store()
        self.fleet = Fleet(self.store, self.record)
        self.daemons = []
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.tasks = [asyncio.create_task(self.fleet.run())]
        self.config = {}

    async def workers(self, count, cpu, mem_mb=32768):
        for index in range(count):
            capacity = {"cpu": cpu, "memMb": mem_mb, "gpu": 0}
            await self.fleet.add(f"{self.net}.1", f"w{index}", capacity, f"r{index // 8}")

    def operate(self, **changes):
        """Writes a newer version of the configuration."""
        routes = [
            {
                "name": "q0", "host": HOST, "pathPrefix": "/q0/", "service": "planner",
                "priority": 0, "attempts": 3, "stretch": 2.0, "sloMs": 60000,
            }
        ]  # fmt: skip
        tenants = [{"name": "t0", "apiKeys": ["key-0"], "weight": 100.0, "cap": {}}]
        default = {"version": 3, "routes": routes, "services": [{"name": "planner"}]}
        default |= {"tenants": tenants, "limits": {}}
        self.config = (self.config or default) | changes
        self.config["version"] += 4
        self.store.put("op", "config", self.config)

    async def start(self, count):
        for index in range(count):
            name = f"front-{index}"
            address = await self.store.serve(f"{self.net}.1", name)
            daemon = Daemon(name, f"{self.net}.{10 + index}", self.folder, address)
            self.daemons.append(daemon)
        end = time.monotonic() + 10
        for daemon in self.daemons:
            while (await call(f"{daemon.ip}:8184", "GET", "/ready") or [0])[0] != 200:
                if time.monotonic() > end:
                    raise RuntimeError(f"{daemon.name} isn't ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2)
        self.record.write("the daemons are ready")

    def leader(self):
        """The daemon that last wrote to the store under a condition on a row that it knew."""
        return next(node for node in self.daemons if node.name == self.store.last_condition)

    async def request(self, method, job, document=None, daemon=None, queue="q0", key="key-0"):
        """Sends a client's request. Returns its answer, or None."""
        daemon = daemon or random.choice(self.daemons)
        headers = [("host", HOST), ("authorization", "Bearer " + key), ("deadline-ms", "3000")]
        path = f"/{queue}/{job}"
        answer = await call(daemon.front, method, path, document, headers)
        self.record.write(f"{method} {path} at {daemon.name}: {answer}")
        return answer

    async def submit(self, job, document, tries=5, **where):
        """Hands a job in, as a client that tries again. Returns whether it was accepted."""
        for _ in range(tries):
            answer = await self.request("POST", job, document, **where)
            if answer and answer[0] == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    def close(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
            daemon.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def job_id():
    return f"{random.getrandbits(64):016x}"


def job(duration_ms, count=1, cpu=1000, **step):
    step = {"count": count, "cpu": cpu, "memMb": 256, "estMs": duration_ms} | step
    return {"spec": str(duration_ms), "steps": [step]}


def main(case, trouble, record):
    """Runs `case(cell)`, which returns whether the rule held, and exits with 0, 1 or 2. Writes the
    record to the file `record`."""

    async def run():
        cell = Cell(trouble, record)
        try:
            held = await asyncio.wait_for(case(cell), 110)
            code = 0 if held else 1
        except Exception as error:  # the case couldn't run
            cell.record.write(f"could not run: {error!r}")
            code = 2
        cell.close()
        for broken in cell.fleet.broken[:5]:
            print(broken)
        print(["held", "broken", "could not run"][code], flush=True)
        # Open connections need no orderly end.
        os._exit(code)

    asyncio.run(run())
