"""A cell whose paths can be cut one by one, on the stand-ins of review/.

The store shows each daemon its own addresses of the workers and of the other daemons, so a call
tells who sent it. Each worker listens at all of its addresses; between two daemons stands a relay.
"""

import asyncio
import base64
import contextvars
import functools
import json
import os
import re
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "standins"))

import standins
from standins import Reset, Silent, call, serve

SOUND, NO_ANSWERS, CUT = "sound", "no answers", "cut"
PEER_PORT = 7420
# The row of the daemons that this program reads.
CLAIM = "title", "0", "claim"  # table, part and key

READER = contextvars.ContextVar("reader", default="")


class Paths:
    """The state of the path from each daemon to each worker, to the store and to its peers."""

    def __init__(self):
        self.states = {}  # (daemon, target) -> state, if it isn't sound
        self.changed = asyncio.Event()

    def state(self, daemon, target):
        return self.states.get((daemon, target), SOUND)

    def set(self, daemon, targets, state):
        for target in targets:
            self.states[daemon, target] = state
        self.wake()

    def heal(self):
        self.states.clear()
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_for_sound(self, daemon, target):
        while self.state(daemon, target) != SOUND:
            await self.changed.wait()


class Addresses:
    """The addresses under which each daemon knows the workers and its peers."""

    PATTERN = re.compile(r"127\.\d+\.\d+\.\d+:\d+")

    def __init__(self):
        self.real = {}  # address that a daemon knows -> real address
        self.known = {}  # (daemon, real address) -> address that it knows

    def add(self, daemon, real, known):
        self.real[known] = real
        self.known[daemon, real] = known

    def translate(self, daemon, value):
        """Rewrites the addresses in the value of a row for its reader."""

        def own(match):
            real = self.real.get(match[0], match[0])
            return self.known.get((daemon, real), real)

        text = base64.b64decode(value).decode("utf-8", "surrogateescape")
        text = self.PATTERN.sub(own, text)
        return base64.b64encode(text.encode("utf-8", "surrogateescape")).decode()


class Store(standins.Store):
    def __init__(self, paths, addresses, record):
        super().__init__()
        self.paths, self.addresses, self.record = paths, addresses, record
        self.claims = []  # (seconds, holder, epoch)
        self.before, self.after = self.ask, self.reply

    def ask(self, node, path, body):
        READER.set(node)
        if self.paths.state(node, "store") == CUT:
            raise Silent

    def reply(self, node, path, body):
        if self.paths.state(node, "store") != SOUND or (
            path == "/rows-feed" and self.paths.state(node, "feed") != SOUND
        ):
            raise Silent

    def stamp(self, answer):
        rows = [
            row | {"value": self.addresses.translate(READER.get(), row["value"])}
            if "value" in row
            else row
            for row in answer.get("rows", [])
        ]
        return super().stamp(answer | {"rows": rows} if "rows" in answer else answer)

    def apply(self, puts, removes):
        super().apply(puts, removes)
        for *name, value in puts:
            if tuple(name) == CLAIM:
                claim = json.loads(base64.b64decode(value))
                self.claims.append((self.record.now(), claim["holder"], self.ver))
                self.record.write(f"claim of {claim['holder']}, version {self.ver}: {claim}")


class Worker(standins.Worker):
    async def start(self, ip, port=0):
        cell = self.fleet.cell
        self.address = await serve(ip, self.answer, port, self.opened)
        port = int(self.address.split(":")[1])
        for index in range(cell.count):
            answer = functools.partial(self.answer_to, f"front-{index}")
            known = await serve(f"{cell.net}.{100 + index}", answer, port, self.opened)
            cell.addresses.add(f"front-{index}", self.address, known)
        if self.beats:
            self.register()
        return self

    async def again(self):
        ip, port = self.address.split(":")
        life = Worker(self.fleet, self.name, self.capacity, self.rack)
        self.fleet.workers[self.name] = life
        return await life.start(ip, int(port))

    async def answer_to(self, node, method, path, query, headers, body):
        paths = self.fleet.cell.paths
        if self.up and paths.state(node, self.name) == CUT:
            raise Silent
        self.fleet.called(self, node, body)
        answer = await self.answer(method, path, query, headers, body)
        if paths.state(node, self.name) != SOUND:
            raise Silent
        return answer


class Fleet(standins.Fleet):
    def __init__(self, cell):
        super().__init__(cell.store, cell.record)
        self.cell = cell
        self.restarts, self.lapsed = [], []  # seconds
        self.callers = {}  # fence -> daemon

    async def add(self, ip, name, capacity, rack="r1"):
        self.workers[name] = await Worker(self, name, capacity, rack).start(ip)
        return self.workers[name]

    def called(self, worker, node, body):
        """Each fence belongs to one daemon, or the callers are confused."""
        fence = body.get("fence")
        if fence is not None and self.callers.setdefault(fence, node) != node:
            self.broke(f"CALLER: {node} uses fence {fence} of {self.callers[fence]}")

    def started(self, worker, task, run, body):
        if self.starts_of.get(task):
            self.restarts.append(self.record.now())
        super().started(worker, task, run, body)

    def ran(self, worker, task, run, how):
        super().ran(worker, task, run, how)
        if how == "lapsed":
            self.lapsed.append(self.record.now())

    def starts(self):
        return sum(len(starts) for starts in self.starts_of.values())


class Daemon(standins.Daemon):
    program = os.path.join(standins.ROOT, "target", "release", "basilbridged")

    def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["BASILBRIDGE_CONFIG"] = self.settings
        self.process = subprocess.Popen(
            [self.program], cwd=standins.ROOT, env=env, stdout=log, stderr=log
        )


class Cell(standins.Cell):
    def __init__(self, record, count):
        super().__init__(True, record)
        for task in self.tasks:
            task.cancel()
        self.count = count
        self.paths, self.addresses = Paths(), Addresses()
        self.store = Store(self.paths, self.addresses, self.record)
        self.fleet = Fleet(self)
        self.tasks = [asyncio.create_task(self.fleet.run())]

    async def start(self, count):
        for caller in range(count):
            for target in range(count):
                if caller != target:
                    await self.relay(caller, target)
        for index in range(count):
            name = f"front-{index}"
            address = await self.store.serve(f"{self.net}.1", name)
            self.daemons.append(Daemon(name, f"{self.net}.{10 + index}", self.folder, address))
        for daemon in self.daemons:
            end = self.record.now() + 10
            while (await call(f"{daemon.ip}:8184", "GET", "/ready") or [0])[0] != 200:
                if self.record.now() > end:
                    raise RuntimeError(f"{daemon.name} isn't ready")
                await asyncio.sleep(0.1)

    async def relay(self, caller, target):
        """Relays the calls from one daemon to another. What comes while the path is cut, in either
        direction, is held back until it is sound, as the network's retransmissions would be."""
        names = f"front-{caller}", f"front-{target}"
        real = f"{self.net}.{10 + target}", PEER_PORT

        async def copy(reader, writer):
            try:
                while data := await reader.read(65536):
                    await self.paths.wait_for_sound(*names)
                    writer.write(data)
                    await writer.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                await self.paths.wait_for_sound(*names)
                writer.transport.abort()

        async def connection(reader, writer):
            await self.paths.wait_for_sound(*names)
            try:
                far_reader, far_writer = await asyncio.open_connection(*real)
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(copy(reader, far_writer), copy(far_reader, writer))

        server = await asyncio.start_server(connection, f"{self.net}.{100 + caller}", 0)
        known = "%s:%d" % server.sockets[0].getsockname()[:2]
        self.addresses.add(names[0], "%s:%d" % real, known)

    def owner(self):
        return self.store.claims[-1][1]

    def names(self):
        return [daemon.name for daemon in self.daemons]

    def workers_by_load(self):
        """The names of the workers, those that run most tasks first."""
        workers = sorted(self.fleet.workers.values(), key=lambda worker: -len(worker.running))
        return [worker.name for worker in workers]

    def isolate(self, daemon, kept, state=SOUND, store=CUT, peers=CUT):
        """Cuts a daemon off from the store, its peers and all workers but `kept`, to which its paths
        get `state`."""
        others = [name for name in self.names() if name != daemon]
        self.paths.set(daemon, others, peers)
        for other in others:
            if self.paths.state(other, daemon) == SOUND:
                self.paths.set(other, [daemon], peers)
        self.paths.set(daemon, ["store"], store)
        self.paths.set(daemon, [name for name in self.fleet.workers if name not in kept], CUT)
        self.paths.set(daemon, kept, state)
        self.record.write(f"{daemon} keeps {kept} ({state}), store {store}, peers {peers}")

    def withhold(self, daemons, workers):
        """Cuts the paths from other daemons to workers."""
        for daemon in daemons:
            self.paths.set(daemon, workers, CUT)
        self.record.write(f"{daemons} don't reach {workers}")
