"""A small platform for the scripts of the third review: the store, the list of
machines, executors, and clients, as the users' pages describe them.

Everything runs in one process and one asyncio loop, on loopback addresses and
free ports. The entry VMs are real processes of target/whintack.
"""

import asyncio
import base64
import bisect
import collections
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
PROGRAM = os.path.join(ROOT, "target", "whintack")

STOP_MS = 200  # stop-ms
ANSWER_S = 0.004  # the store's time to answer
HISTORY_S = 20  # history-s


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def note(self, what, **fields):
        at = time.monotonic() - self.begin
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{at:8.3f} {what} {text}\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.begin


def free_port(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Server:
    """An HTTP/1.1 server; the handler is called with method, path, query,
    headers and body, and returns a status and a JSON value, or its text."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.address = ""
        self.connections = set()

    async def open(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        ip, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                answer = await self.handler(method, url.path, query, headers, body)
                if answer is None:
                    # No answer comes on this connection any more.
                    await asyncio.sleep(3600)
                status, content = answer
                text = content
                if not isinstance(content, bytes):
                    text = json.dumps(content, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


class Store:
    """The platform's metadata store. hooks['commit'] may delay or drop the
    answer to a commit: it is called with the transaction after it took effect,
    and returns seconds to wait or None for no answer."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.keys = []
        self.is_sorted = True
        self.revision = 100
        # Time, revision, key and item of each change of the last HISTORY_S.
        self.history = collections.deque()
        self.forgotten = 100
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.hooks = {}
        self.server = Server(self.handle)

    async def open(self):
        await self.server.open()
        asyncio.get_running_loop().create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v["until"] <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        keys = [k for k, v in self.items.items() if v["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.erase(key)
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def note(self, key, item):
        now = time.monotonic()
        self.history.append((now, self.revision, key, item))
        while self.history[0][0] < now - HISTORY_S:
            self.forgotten = self.history.popleft()[1]

    def erase(self, key):
        if self.items.pop(key, None) is not None:
            self.note(key, None)

    def sorted_keys(self):
        """All keys, among them some that are gone."""
        if not self.is_sorted:
            self.keys = sorted(self.items)
            self.is_sorted = True
        return self.keys

    def put(self, key, value, lease=0):
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        if not old:
            self.is_sorted = False
        self.note(key, item)

    def write(self, key, value):
        """A write of the operator or of an executor."""
        self.revision += 1
        self.put(key, json.dumps(value).encode())
        self.wake()

    def remove(self, key):
        self.revision += 1
        self.erase(key)
        self.wake()

    def value(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    async def handle(self, method, path, query, headers, body):
        if path == "/v1/kv-watch":
            return await self.watch(query)
        await asyncio.sleep(ANSWER_S)
        if path == "/v1/kv-range":
            return self.range(query)
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if not item:
                return 404, {}
            return 200, dict(item, **{"as-of": self.revision})
        if path == "/v1/kv-txn":
            return await self.commit(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = json.loads(body)["ttl-ms"]
            self.next_lease += 1
            until = time.monotonic() + ttl / 1000
            self.leases[self.next_lease] = {"ttl": ttl, "until": until}
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/v1/kv-keep/"):
            known = self.leases.get(lease)
            if not known:
                return 404, {}
            known["until"] = time.monotonic() + known["ttl"] / 1000
            return 200, {"ttl-ms": known["ttl"]}
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        return 400, {}

    def range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = self.sorted_keys()
        begin = max(bisect.bisect_left(keys, prefix), bisect.bisect_right(keys, after))
        found, size, has_more = [], 0, False
        for index in range(begin, len(keys)):
            if not keys[index].startswith(prefix):
                break
            item = self.items.get(keys[index])
            if not item:
                continue
            if len(found) >= 500 or size >= 1000000:
                has_more = True
                break
            found.append(item)
            size += len(item["value"])
        # Pages are large and many, so their text is put together here.
        rows = ",".join(
            f'{{"key":"{row["key"]}","value":"{row["value"]}",'
            f'"revision":{row["revision"]},"created":{row["created"]},'
            f'"lease":{row["lease"]}}}'
            for row in found
        )
        more = "true" if has_more else "false"
        text = f'{{"items":[{rows}],"has-more":{more},"as-of":{self.revision}}}'
        return 200, text.encode()

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + min(int(query.get("wait-ms", "0")), 30000) / 1000
        while True:
            if after < self.forgotten:
                return 410, {}
            events = []
            for _, revision, key, item in reversed(self.history):
                if revision <= after:
                    break
                if key.startswith(prefix):
                    events.append(
                        item or {"key": key, "revision": revision, "deleted": True}
                    )
            as_of = self.revision
            left = end - time.monotonic()
            if events or left <= 0:
                await asyncio.sleep(ANSWER_S)
                return 200, {"events": events[::-1], "as-of": as_of}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def commit(self, change):
        expect = change.get("expect", [])
        puts = change.get("puts", [])
        removals = change.get("remove", [])
        if len(expect) + len(puts) + len(removals) > 32:
            return 400, {}
        for put in puts:
            if len(put["key"]) > 200 or put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if len(put["value"]) > 1048576 * 4 // 3 + 4:
                return 400, {}
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        current = []
        holds = True
        for row in expect:
            item = self.items.get(row["key"])
            if item:
                current.append(item)
            holds = holds and (item["revision"] if item else 0) == row["revision"]
        if not holds:
            return 412, {"items": current}
        self.revision += 1
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in removals:
            self.erase(key)
        revision = self.revision
        self.wake()
        if "commit" in self.hooks:
            delay = await self.hooks["commit"](change)
            if delay is None:
                return None
            await asyncio.sleep(delay)
        return 200, {"revision": revision}


class Executor:
    """One executor, on a machine of its own."""

    def __init__(self, world, number, service, cpu, memory, rack):
        self.world = world
        self.id = f"i-{os.urandom(4).hex()}"
        self.machine = f"m-{number:05x}"
        self.service = service
        self.zone = world.zones[number % len(world.zones)]
        self.capacity = {"cpu": cpu, "mem-mb": memory, "gpu": 0}
        self.labels = ["a", rack]
        self.is_up = True
        self.port = 0
        self.begin_life()
        self.server = Server(self.handle)

    def begin_life(self):
        self.token = 0
        self.born = int(time.time() * 1000)
        self.start = time.monotonic()
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.last_end = 0
        self.lease = 0
        self.lapsed_at = 0.0
        self.changed = asyncio.Event()
        self.sequence = 0

    async def open(self):
        await self.server.open()
        self.port = int(self.server.address.split(":")[1])
        self.register()
        loop = asyncio.get_running_loop()
        loop.create_task(self.beat())
        loop.create_task(self.work())

    async def crash(self, down_s):
        """Crashes, and starts again under its id and address."""
        self.world.record.note("crash", executor=self.id, runs=len(self.runs))
        self.is_up = False
        self.server.close()
        self.begin_life()
        await asyncio.sleep(down_s)
        self.begin_life()
        await self.server.open(port=self.port)
        self.is_up = True
        self.register()
        self.world.record.note("restart", executor=self.id, born=self.born)

    def clock(self):
        return int((time.monotonic() - self.start) * 1000) + 1

    def register(self):
        self.sequence += 1
        self.world.store.write(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": self.server.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold-remaining-ms": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "clock-ms": self.clock(),
                "born": self.born,
                "sequence": self.sequence,
            },
        )

    async def beat(self):
        while True:
            await asyncio.sleep(1.5)
            if self.is_up:
                self.register()

    async def work(self):
        """Ends what is done and what has no lease any more."""
        while True:
            await asyncio.sleep(0.02)
            now = self.clock()
            if now > self.lease:
                self.lapsed_at = self.world.record.now()
                for name in list(self.runs):
                    self.end(name, "lapsed")
            for name, run in list(self.runs.items()):
                if run["until"] is not None and now >= run["until"]:
                    self.end(name, "done")

    def end(self, name, how):
        run = self.runs.pop(name)
        self.last_end += 1
        self.ended.append([self.last_end, name, run["run"], how, ""])
        if how == "done":
            self.world.done(name, run["run"], self)
        self.changed.set()
        self.changed = asyncio.Event()

    def used(self, field):
        return sum(run["need"].get(field, 0) for run in self.runs.values())

    def body(self, **fields):
        return dict(fields, **{"clock-ms": self.clock(), "born": self.born})

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        delay = self.world.lateness(self, path)
        if delay is None:
            return await self.execute(path, headers, body)
        if path == "/v1/hold":
            self.world.record.note("hold-late", executor=self.id, body=body.decode())
        asyncio.get_running_loop().create_task(
            self.execute_late(delay, path, headers, body)
        )
        return None

    async def execute_late(self, delay, path, headers, body):
        await asyncio.sleep(delay)
        if not self.is_up:
            return
        if path == "/v1/hold":
            self.world.record.note(
                "hold-carried-out", executor=self.id, late=f"{delay:.1f}s",
                ends=[row[:4] for row in self.ended], body=body.decode(),
            )
        status, _ = await self.execute(path, headers, body)
        if path == "/v1/run-start" and status == 200:
            order = json.loads(body)
            self.world.late_starts.add((order["task"], order["run"]))

    async def execute(self, path, headers, body):
        expected = headers.get("expected-instance")
        if expected and expected != self.id:
            return 421, {}
        order = json.loads(body)
        if order.get("fencing-token", 0) < self.token:
            return 409, self.body(reason="fence")
        self.token = order.get("fencing-token", 0)
        if order.get("deadline-ms"):
            bound = self.clock() + self.world.hold_max_ms
            self.lease = max(self.lease, min(order["deadline-ms"], bound))
        if path == "/v1/run-start":
            return self.run_start(order)
        if path == "/v1/run-stop":
            return self.run_stop(order)
        if path == "/v1/hold":
            return await self.hold(order)
        return 200, self.body()

    def run_start(self, order):
        name, number = order["task"], order["run"]
        if name in self.runs and self.runs[name]["run"] == number:
            return 200, self.body()
        if name in self.runs or number <= self.highest.get(name, 0):
            return 409, self.body(reason="old")
        if order["deadline-ms"] <= self.clock():
            return 409, self.body(reason="late")
        need = self.world.need(name)
        for field in ("cpu", "mem-mb"):
            if self.used(field) + need.get(field, 0) > self.capacity[field]:
                return 409, self.body(reason="room")
        work = self.world.work_ms(name)
        self.runs[name] = {
            "run": number,
            "need": need,
            "until": None if work is None else self.clock() + work,
        }
        self.highest[name] = number
        self.world.started(name, number, self, order)
        return 200, self.body()

    def run_stop(self, order):
        name = order["task"]
        self.highest[name] = max(self.highest.get(name, 0), order["run"])
        if name in self.runs and self.runs[name]["run"] <= order["run"]:
            self.end(name, "stopped")
        return 200, self.body()

    async def hold(self, order):
        seen = order.get("last-seen", 0)
        for number, name, run, how, _ in self.ended:
            if number <= seen and how == "done":
                self.world.noted(name, run, self.lapsed_at)
        self.ended = [row for row in self.ended if row[0] > seen]
        end = time.monotonic() + min(order.get("wait-ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < end:
            try:
                await asyncio.wait_for(
                    self.changed.wait(), max(0.001, end - time.monotonic())
                )
            except asyncio.TimeoutError:
                break
        running = [
            [name, run["run"], "", 100 if run["until"] is None else 50, 0]
            for name, run in self.runs.items()
        ]
        return 200, self.body(running=running, ended=self.ended[:500])


class Vm:
    """An entry VM: its addresses and its process."""

    def __init__(self, world, name, zone, ip):
        self.world = world
        self.name = name
        self.zone = zone
        ports = [free_port(ip) for _ in range(4)]
        self.front, self.ready, self.operators, self.peers = (
            f"{ip}:{port}" for port in ports
        )
        self.file = os.path.join(world.folder, f"{name}.yaml")
        self.log = os.path.join(world.folder, f"{name}.log")
        self.process = None
        self.is_stopping = False

    def settings(self):
        # deploy/entry.yaml, filled in.
        return (
            f"name: {self.name}\ndata-centre: {self.zone}\nlisten:\n"
            f'  callers: "{self.front}"\n  operators: "{self.operators}"\n'
            f'  peers: "{self.peers}"\nplatform: "{self.world.store.server.address}"\n'
            f'fleet:\n  ready: "{self.ready}"\n'
            f'  machines: "{self.world.cloud.address}"\n'
            f'  advice: "{self.world.cloud.address}"\n'
            f"  longest-lease: {self.world.hold_max_ms}ms\n"
            "  processor-share: 0.25\n  bandwidth: 1000.0\n"
            "  configuration-time: 2000ms\nlimits:\n  http-threads: 2\n"
            "stop-timeout: 6s\n"
        )

    async def start(self):
        with open(self.file, "w") as file:
            file.write(self.settings())
        self.is_stopping = False
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM,
            "entry",
            "--settings",
            self.file,
            stdout=open(self.log, "ab"),
            stderr=asyncio.subprocess.STDOUT,
            cwd=ROOT,
            env={k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ},
        )
        self.world.record.note("vm-started", vm=self.name, pid=self.process.pid)

    def signal(self, number):
        self.world.record.note("vm-signal", vm=self.name, signal=number.name)
        self.is_stopping = self.is_stopping or number == signal.SIGTERM
        self.process.send_signal(number)


class World:
    def __init__(self, folder, zones=("zone-a", "zone-b", "zone-c")):
        self.zones = zones
        # Loopback addresses of this play's own, for the VMs of plays at once.
        self.net = "127.{}.{}".format(*(1 + byte % 254 for byte in os.urandom(2)))
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="whintack-review-")
        self.store = Store(self.record)
        self.cloud = Server(self.handle_cloud)
        self.executors = []
        self.vms = []
        self.jobs = {}
        self.starts = {}
        self.dones = {}
        self.seen_done = {}
        self.late_starts = set()
        self.next_client = 0
        self.lateness = lambda executor, path: None
        self.hold_max_ms = 6000  # hold-max-ms of the sheet

    async def open(self, services, executors, cpu=32000, memory=131072, vms=3):
        """services: names, the last one is the spare pool without executors.
        executors: how many each of the others has, or a list of that."""
        await self.store.open()
        await self.cloud.open()
        self.services = services
        number = 0
        if isinstance(executors, int):
            executors = [executors] * (len(services) - 1)
        for service, count in zip(services, executors):
            for index in range(count):
                number += 1
                executor = Executor(
                    self, number, service, cpu, memory, f"r1-{index // 4}"
                )
                await executor.open()
                self.executors.append(executor)
        self.version = 7
        self.put_config()
        for index in range(vms):
            vm = Vm(
                self,
                f"front-{self.zones[index % len(self.zones)]}-{index + 1}",
                self.zones[index % len(self.zones)],
                f"{self.net}.{index + 1}",
            )
            self.vms.append(vm)
            await vm.start()

    def put_config(self):
        """One queue for each service: host NAME.example, prefix /q-NAME/."""
        self.store.write(
            "op/config",
            {
                "version": self.version,
                "routes": [
                    {
                        "name": f"r-{name}",
                        "host": f"{name}.example",
                        "prefix": f"/q-{name}/",
                        "kind": "non_idempotent",
                        "timeout-ms": 3000,
                        "target-latency-ms": 600,
                        "priority": 0,
                        "service": name,
                        "max-attempts": 3,
                        "stretch": 1.6,
                    }
                    for name in self.services[:-1]
                ],
                "services": [
                    {
                        "name": name,
                        "health-check-path": "/health",
                        "max-connections": 64,
                        "protocol": "h1",
                        "tls": False,
                        "admission-check": True,
                        "spare": name == self.services[-1],
                    }
                    for name in self.services
                ],
                "limits": {
                    "max-header-bytes": 16384,
                    "max-body-bytes": 262144,
                    "header-timeout-ms": 3000,
                    "idle-timeout-ms": 15000,
                },
            },
        )

    async def handle_cloud(self, method, path, query, headers, body):
        await asyncio.sleep(ANSWER_S)
        if path == "/v1/machines":
            return 200, {
                "machines": [
                    {
                        "machine": each.machine,
                        "pool": each.service,
                        "state": "up" if each.is_up else "down",
                        "zone": each.zone,
                        "labels": each.labels,
                        "capacity": each.capacity,
                        "id": each.id,
                    }
                    for each in self.executors
                ],
                "next-page-token": None,
            }
        self.record.note("machine-order", path=path, body=body.decode())
        # Machines here neither move nor get upkeep.
        return 409, {"reason": "busy"}

    # What executors ask and tell.

    def step(self, name):
        job, _, step, _ = name.split(".")
        return self.jobs[job]["spec"]["steps"][int(step)]

    def need(self, name):
        return self.step(name)

    def work_ms(self, name):
        step = self.step(name)
        return None if step.get("long-running") else step.get("estimated-ms", 100)

    def started(self, name, number, executor, order):
        self.starts.setdefault(name, []).append((self.record.now(), number))
        if len(self.starts) <= 200 or len(self.starts) % 500 == 0:
            self.record.note(
                "run-start", task=name, run=number, executor=executor.id,
                token=order["fencing-token"],
            )

    def done(self, name, number, executor):
        self.dones.setdefault(name, []).append((self.record.now(), number))

    def noted(self, name, run, lapsed_at):
        """An executor was told that the end `done` of this run has been seen. It
        counts unless the executor's lease has lapsed since that end."""
        if all(at > lapsed_at for at, number in self.dones[name] if number == run):
            self.seen_done.setdefault((name, run), self.record.now())

    def started_after_done(self):
        """Tasks with a start after a run had ended `done`, whose end was taken
        note of then or later: task, the run that had ended and when, the run
        that was started and when, and whether that order was carried out late."""
        found = []
        for name, dones in self.dones.items():
            ends = [(at, run) for at, run in dones if (name, run) in self.seen_done]
            if not ends:
                continue
            at, run = min(ends)
            found += [
                (name, run, round(at, 2), later, round(start, 2), (name, later) in self.late_starts)
                for start, later in self.starts[name]
                if start > at
            ]
        return found

    def runs_of(self, job):
        return [t for t in self.starts if t.startswith(job + ".")]

    # Clients.

    async def call(self, method, path, host, body=None, vm=None, deadline_ms=3000):
        """One call of a client; returns the status, or 0 for none."""
        if vm is None:
            ready = [v for v in self.vms if v.process.returncode is None]
            self.next_client += 1
            vm = ready[self.next_client % len(ready)]
        ip, port = vm.front.split(":")
        content = json.dumps(body).encode() if body is not None else b""
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                    f"Deadline-Ms: {deadline_ms}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                head = await reader.readuntil(b"\r\n\r\n")
                status = int(head.split(b" ")[1])
                length = 0
                for line in head.decode("latin-1").split("\r\n"):
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                answer = await reader.readexactly(length) if length else b""
                return status, answer.decode("utf-8", "replace")
        except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError):
            return 0, ""
        finally:
            if writer:
                writer.close()

    async def submit(self, service, spec, retries=4, job=None, vm=None):
        """Hands a job in as a client does; returns its id and the last status."""
        job = job or os.urandom(8).hex()
        self.jobs[job] = {"spec": spec, "service": service, "sent": self.record.now()}
        status = 0
        for attempt in range(1 + retries):
            status, _ = await self.call(
                "POST", f"/q-{service}/{job}", f"{service}.example", spec, vm
            )
            if attempt == 0 or status == 200:
                self.record.note("post", job=job, service=service, status=status)
            if 200 <= status < 300:
                self.jobs[job]["accepted"] = self.record.now()
                break
            if status in (400, 404, 413):
                break
            await asyncio.sleep(0.3)
        self.jobs[job]["status"] = status
        return job, status

    async def state(self, job, vm=None):
        service = self.jobs[job]["service"]
        status, text = await self.call(
            "GET", f"/q-{service}/{job}", f"{service}.example", None, vm
        )
        shown = json.loads(text).get("state") if status == 200 else None
        self.record.note("get", job=job, status=status, state=shown)
        return status, shown

    async def await_ready(self, timeout=30):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            ready = 0
            for vm in self.vms:
                ip, port = vm.ready.split(":")
                try:
                    reader, writer = await asyncio.open_connection(ip, int(port))
                    writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    head = await asyncio.wait_for(reader.readuntil(b"\r\n"), 1)
                    ready += b" 200 " in head
                    writer.close()
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
            if ready == len(self.vms):
                self.record.note("all-ready")
                return True
            await asyncio.sleep(0.2)
        print(f"not all entry VMs are ready after {timeout} s")
        return False

    async def close(self):
        for vm in self.vms:
            if vm.process and vm.process.returncode is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
        for vm in self.vms:
            if vm.process:
                await vm.process.wait()
        self.record.note("ended")
        # KEEP=1 keeps the settings and the logs of the entry VMs.
        if os.environ.get("KEEP") == "1":
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder):
    """Runs the coroutine function and exits with what it returns: 0 held, 1
    broken, 2 could not run."""

    async def run():
        if not os.access(PROGRAM, os.X_OK):
            print("target/whintack is missing: run the build of the deploy file")
            return 2
        world = World(folder)
        play = asyncio.ensure_future(case(world))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, play.cancel)
        try:
            return await asyncio.wait_for(play, 110)
        except (asyncio.TimeoutError, asyncio.CancelledError):
            print("the case did not end in time")
            return 2
        finally:
            await world.close()

    sys.exit(asyncio.run(run()))


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"
