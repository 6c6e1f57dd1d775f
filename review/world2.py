"""Stand-ins for the scripts of review/6 to review/10.

One process plays the platform (store, cloud API, operator), the executors and
the clients, as the pages of the users describe them. The entry VMs are the
project's own program, started as the deploy file says, one process each.
"""
import asyncio
import base64
import bisect
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "whintack")

HOLD_MAX_MS = 6000
HEARTBEAT_S = 1.5
STORE_LATENCY_S = 0.004


class NoAnswer(Exception):
    """Raised by a handler: the connection is kept open and nothing is sent."""


class Reset(Exception):
    """Raised by a handler: the connection is reset."""


class Record:
    """Writes record.txt; times are seconds since the start of the script."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.begin

    def line(self, text):
        self.file.write("%9.3f  %s\n" % (self.now(), text))
        self.file.flush()


# HTTP -----------------------------------------------------------------------


class Server:
    """A small HTTP/1.1 server; handle(method, path, query, headers, body)
    returns (status, object)."""

    def __init__(self, handle, latency=0.0):
        self.handle = handle
        self.latency = latency
        self.writers = set()
        self.server = None

    async def open(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    def close(self, reset=False):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
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
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, True))
                if self.latency:
                    await asyncio.sleep(self.latency)
                try:
                    answer = await self.handle(method, path, query, headers,
                                               body)
                except NoAnswer:
                    await reader.read()
                    return
                except Reset:
                    writer.transport.abort()
                    return
                status, content = answer
                payload = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(payload)) +
                    payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(ip, port, method, path, headers=None, body=None, timeout=3.0):
    """One HTTP call on a connection of its own. Returns (status, object), or
    (None, None) without an answer."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            payload = b"" if body is None else json.dumps(body).encode()
            head = "%s %s HTTP/1.1\r\n" % (method, path)
            fields = {"Host": "%s:%d" % (ip, port),
                      "Content-Length": str(len(payload)),
                      "Content-Type": "application/json"}
            fields.update(headers or {})
            for name, value in fields.items():
                head += "%s: %s\r\n" % (name, value)
            writer.write(head.encode() + b"\r\n" + payload)
            answer = await reader.readuntil(b"\r\n\r\n")
            lines = answer.decode("latin-1").split("\r\n")
            status = int(lines[0].split()[1])
            size = 0
            for line in lines[1:]:
                if line.lower().startswith("content-length:"):
                    size = int(line.split(":")[1])
            data = await reader.readexactly(size)
            return status, json.loads(data) if data else {}
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (asyncio.TimeoutError, OSError, ValueError, IndexError,
            asyncio.IncompleteReadError):
        return None, None


class Link:
    """The link of one entry VM to the platform: proxies that pass bytes on, or
    hold them as a partition does, until the link is open again. Bytes of a
    connection that the VM has reset meanwhile are lost."""

    def __init__(self):
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.seen = None  # seen(bytes) is called with what the VM sends

    async def listen(self, ip, port, target):
        async def serve(reader, writer):
            try:
                await self.is_open.wait()
                other_reader, other_writer = await asyncio.open_connection(
                    *target)
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(
                self.pump(reader, other_writer, writer, True),
                self.pump(other_reader, writer, writer, False))
        await asyncio.start_server(serve, ip, port)

    async def pump(self, reader, writer, vm, is_from_vm):
        try:
            while True:
                data = await reader.read(65536)
                if data and is_from_vm and self.seen:
                    self.seen(data)
                await self.is_open.wait()
                if vm.transport.is_closing() or not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()


# The platform's store ---------------------------------------------------------


class Store:
    def __init__(self, record):
        self.record = record
        self.items = {}
        self.keys = []  # all keys, in order
        self.floor = 0  # changes up to this revision are forgotten
        self.revision = 1
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.hook = None  # async hook(method, path, query, body), may raise
        self.server = Server(self.handle, STORE_LATENCY_S)

    def wake(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def write(self, puts, removals, lease_of=None):
        self.revision += 1
        for key, value, lease in puts:
            old = self.items.get(key)
            if not old:
                bisect.insort(self.keys, key)
            self.items[key] = {
                "key": key, "value": value, "revision": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": lease}
            self.history.append((self.revision, dict(self.items[key])))
        for key in removals:
            if self.items.pop(key, None):
                del self.keys[bisect.bisect_left(self.keys, key)]
                self.history.append((self.revision, {
                    "key": key, "revision": self.revision, "deleted": True}))
        self.wake()
        return self.revision

    def put(self, key, content):
        """A write of the operator or of an executor."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        return self.write([(key, value, 0)], [])

    def remove(self, key):
        if key in self.items:
            self.write([], [key])

    def get(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [k for k, i in self.items.items() if i["lease"] == lease]
        if keys:
            self.write([], keys)
        return True

    async def expire(self):
        while True:
            now = time.monotonic()
            for lease, (_, end) in list(self.leases.items()):
                if end <= now:
                    self.record.line("store: lease %d has run out" % lease)
                    self.end_lease(lease)
            await asyncio.sleep(0.02)

    async def handle(self, method, path, query, headers, body):
        if self.hook:
            await self.hook(method, path, query, body)
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, **{"as-of": self.revision})) if item \
                else (404, {"as-of": self.revision})
        if path == "/v1/kv-range":
            after = query.get("after", "")
            prefix = query["prefix"]
            begin = max(bisect.bisect_left(self.keys, prefix),
                        bisect.bisect_right(self.keys, after))
            keys = [k for k in self.keys[begin:begin + 501]
                    if k.startswith(prefix)]
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has-more": len(keys) > 500, "as-of": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]),
                                    int(query["wait-ms"]) / 1000.0)
        if path == "/v1/kv-txn":
            return self.commit(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = max(1000, json.loads(body)["ttl-ms"])
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1e3)
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/v1/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1e3)
            return 200, {"ttl-ms": ttl}
        return (200 if self.end_lease(lease) else 404), {}

    def add_old(self, keys, value):
        """Adds items that were written long ago, without events."""
        self.revision += 1
        for key in keys:
            self.items[key] = {"key": key, "value": value,
                               "revision": self.revision,
                               "created": self.revision, "lease": 0}
        self.keys = sorted(self.items)
        self.floor = self.revision
        self.history = []
        self.wake()

    async def watch(self, prefix, after, wait):
        if after < self.floor:
            return 410, {}
        end = time.monotonic() + wait
        while True:
            events = [event for revision, event in self.history
                      if revision > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if after < self.floor:
                return 410, {}
            if events or left <= 0:
                return 200, {"events": events, "as-of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, change):
        rows = change.get("expect", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in rows
                                       if r["key"] in self.items]}
        puts = [(p["key"], p["value"], p.get("lease", 0))
                for p in change.get("puts", [])]
        for key, _, lease in puts:
            if key.startswith(("op/", "servers/")):
                return 403, {}
            if lease and lease not in self.leases:
                return 404, {}
        return 200, {"revision": self.write(puts, change.get("remove", []))}


# Executors --------------------------------------------------------------------


class Executor:
    """One life of a machine. A task's text is JSON: "ms" is how long a run
    takes; a task without it lasts."""

    def __init__(self, world, name, pool, index, cores=32000):
        self.world = world
        self.machine = "m-" + name
        self.id = "i-" + name
        self.pool = pool
        self.ip, self.port = world.ip(100 + index), 8000
        self.capacity = {"cpu": cores, "mem-mb": 131072, "gpu": 0}
        self.labels = ["a", "r%d" % index]
        self.state = "up"
        self.sequence = 0
        self.hook = None  # async hook(executor, path, body), may raise
        self.is_cut = False
        self.begin_life()
        self.server = None

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.begun = time.monotonic()
        self.token = 0
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.count = 0
        self.deadline = 0
        self.news = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000)

    async def open(self):
        self.server = Server(self.handle)
        await self.server.open(self.ip, self.port)
        self.state = "up"
        self.register()

    def register(self):
        self.sequence += 1
        self.world.store.put("servers/" + self.id, {
            "service": self.pool, "address": "%s:%d" % (self.ip, self.port),
            "zone": "za", "version": "1", "slots": 8, "state": "ready",
            "cold-remaining-ms": 0, "sequence": self.sequence,
            "capacity": self.capacity, "labels": self.labels,
            "born": self.born})

    def line(self, text):
        self.world.record.line("%s: %s" % (self.id, text))

    def end(self, task, how):
        run = self.runs.pop(task)
        if run.get("timer"):
            run["timer"].cancel()
        self.count += 1
        self.ended.append([self.count, task, run["run"], how, ""])
        self.world.noted.append((self.world.record.now(), "end", self.id,
                                 self.born, task, run["run"], how))
        self.line("run %d of %s ends %s" % (run["run"], task, how))
        event, self.news = self.news, asyncio.Event()
        event.set()

    def crash(self):
        """Everything that runs here ends; nothing is said of it."""
        for task, run in self.runs.items():
            if run.get("timer"):
                run["timer"].cancel()
            self.world.noted.append((self.world.record.now(), "end", self.id,
                                     self.born, task, run["run"], "crashed"))
        self.line("crashes with %d runs" % len(self.runs))
        self.state = "down"
        if self.server:
            self.server.close(reset=True)
            self.server = None
        self.begin_life()

    def extend(self, until):
        if until is None:
            return
        limit = self.clock() + HOLD_MAX_MS
        self.deadline = max(self.deadline, min(until, limit))

    async def expire(self):
        if self.runs and self.clock() > self.deadline:
            for task in list(self.runs):
                self.end(task, "lapsed")

    def answer(self, status, **fields):
        return status, dict({"clock-ms": self.clock(), "born": self.born},
                            **fields)

    async def handle(self, method, path, query, headers, body):
        body = json.loads(body)
        if self.hook:
            await self.hook(self, path, body)
        if self.is_cut:
            raise NoAnswer()
        if headers.get("expected-instance", self.id) != self.id:
            return self.answer(421)
        return await self.carry_out(path, body)

    async def carry_out(self, path, body):
        token = body.get("fencing-token", 0)
        if token < self.token:
            return self.answer(409, reason="fence")
        self.token = token
        if path == "/v1/run-start":
            return self.start(body)
        if path == "/v1/run-stop":
            task, run = body["task"], body["run"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            if task in self.runs and self.runs[task]["run"] <= run:
                self.end(task, "stopped")
            return self.answer(200)
        if path == "/v1/hold":
            return await self.hold(body)
        return self.answer(200)

    def start(self, body):
        task, run = body["task"], body["run"]
        self.extend(body["deadline-ms"])
        if body["deadline-ms"] < self.clock():
            return self.answer(409, reason="late")
        if task in self.runs and self.runs[task]["run"] == run:
            return self.answer(200)
        if task in self.runs or run <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        need = self.world.need(task)
        used = sum(self.world.need(t) for t in self.runs)
        if need + used > self.capacity["cpu"]:
            return self.answer(409, reason="room")
        self.highest[task] = run
        entry = {"run": run, "begun": time.monotonic()}
        spec = json.loads(body["task-spec"])
        if "ms" in spec:
            entry["timer"] = asyncio.get_running_loop().call_later(
                spec["ms"] / 1000.0, lambda: task in self.runs and
                self.runs[task] is entry and self.end(task, "done"))
        self.runs[task] = entry
        self.world.noted.append((self.world.record.now(), "start", self.id,
                                 self.born, task, run, ""))
        self.line("run %d of %s starts" % (run, task))
        return self.answer(200)

    async def hold(self, body):
        seen = body.get("last-seen", 0)
        self.world.seen.update((self.id, self.born, row[1], row[2])
                               for row in self.ended if row[0] <= seen)
        self.ended = [row for row in self.ended if row[0] > seen]
        self.extend(body.get("deadline-ms"))
        wait = min(2000, body.get("wait-ms", 0)) / 1000.0
        if not self.ended and wait > 0:
            try:
                await asyncio.wait_for(self.news.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = [[task, run["run"], "",
                    100 if time.monotonic() - run["begun"] > 0.5 else 50, 0]
                   for task, run in self.runs.items()]
        return self.answer(200, running=running, ended=self.ended[:500])


# The world --------------------------------------------------------------------


class World:
    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.base = "127.%d.%d." % (70 + os.getpid() % 150,
                                    1 + os.getpid() // 150 % 250)
        self.temporary = tempfile.TemporaryDirectory(prefix="whintack-review-")
        self.store = Store(self.record)
        self.executors = []
        self.machines = {}
        self.vms = {}
        self.links = {}
        self.paths = {}
        self.noted = []
        self.seen = set()  # ends that last-seen has reached
        self.jobs = {}
        self.cloud_hook = None
        self.upkeeps = []
        self.moves = []
        self.upkeep_s = 2.0
        self.move_s = 1.5
        self.duty = {}

    def ip(self, last):
        return self.base + str(last)

    def need(self, task):
        job, _, step, _ = task.rsplit(".", 3)
        return self.jobs.get(job, {"steps": [{"cpu": 0}] * 99})[
            "steps"][int(step)].get("cpu", 0)

    async def open(self):
        self.cloud = Server(self.handle_cloud, 0.005)
        await self.store.server.open(self.ip(2), 8600)
        await self.cloud.open(self.ip(3), 8600)
        self.tasks = [asyncio.ensure_future(self.store.expire()),
                      asyncio.ensure_future(self.beat())]

    async def beat(self):
        last = 0.0
        while True:
            for each in self.executors:
                await each.expire()
            if time.monotonic() - last > HEARTBEAT_S:
                last = time.monotonic()
                for each in self.executors:
                    if each.state == "up" and not each.is_cut:
                        each.register()
            await asyncio.sleep(0.02)

    async def add_executor(self, name, pool, cores=32000):
        each = Executor(self, name, pool, len(self.executors), cores)
        self.executors.append(each)
        await each.open()
        return each

    async def handle_cloud(self, method, path, query, headers, body):
        body = json.loads(body) if body else {}
        if self.cloud_hook:
            await self.cloud_hook(path, headers, body)
        if path == "/v1/machines":
            rows = []
            for each in self.executors:
                row = {"machine": each.machine, "pool": each.pool,
                       "state": each.state, "zone": "za",
                       "labels": each.labels, "capacity": each.capacity}
                if each.state == "up":
                    row["id"] = each.id
                rows.append(row)
            return 200, {"machines": rows, "next-page-token": ""}
        found = [e for e in self.executors if e.machine == body["machine"]]
        if not found:
            return 400, {}
        each = found[0]
        self.record.line("cloud: %s %s by %s, token %s, machine is %s" % (
            path, json.dumps(body), headers.get("duty-holder"),
            headers.get("fencing-token"), each.state))
        if path == "/v1/machine-upkeep":
            if (body["wave"], each.machine) in self.upkeeps:
                return 200, {}
            wave = self.store.get("op/wave/%d" % body["wave"])
            if not wave or each.machine not in wave["machines"]:
                return 409, {"reason": "wave"}
            if each.state != "up":
                return 409, {"reason": "busy"}
            self.upkeeps.append((body["wave"], each.machine))
            self.record.line("cloud: upkeep of %s for wave %d begins" %
                             (each.machine, body["wave"]))
            asyncio.ensure_future(self.replace(each, "upkeep", self.upkeep_s))
            return 200, {}
        if each.pool == body["pool"]:
            return 200, {}
        if each.state != "up":
            return 409, {"reason": "busy"}
        self.moves.append((each.machine, body["pool"]))
        asyncio.ensure_future(self.replace(each, "moving", self.move_s,
                                           body["pool"]))
        return 200, {}

    async def replace(self, each, state, seconds, pool=None):
        """The machine is away; then a new executor is there."""
        each.crash()
        each.state = state
        self.store.remove("servers/" + each.id)
        await asyncio.sleep(seconds)
        each.begin_life()
        each.id += "x"
        each.pool = pool or each.pool
        await each.open()
        self.record.line("cloud: %s is up as %s in %s" %
                         (each.machine, each.id, each.pool))

    def configure(self, services, spare=None, admission=True, extra=None):
        routes = []
        for name in services:
            route = {"name": "q-" + name, "host": name + ".example",
                     "prefix": "/%s/" % name, "service": name, "priority": 0,
                     "max-attempts": 3, "timeout-ms": 3000, "stretch": 3.0,
                     "target-latency-ms": 600}
            route.update((extra or {}).get(name, {}))
            routes.append(route)
        rows = [{"name": name, "admission-check": admission}
                for name in services]
        if spare:
            rows.append({"name": spare, "admission-check": admission,
                         "spare": True})
        self.version = getattr(self, "version", 0) + 3
        self.store.put("op/config", {"version": self.version, "routes": routes,
                                     "services": rows, "limits": {}})

    # Entry VMs

    async def add_link(self, name, last):
        """Lets the VM reach the platform through a link of its own."""
        link = Link()
        store, cloud = (self.ip(last + 20), 8600), (self.ip(last + 40), 8600)
        await link.listen(*store, (self.ip(2), 8600))
        await link.listen(*cloud, (self.ip(3), 8600))
        self.links[name] = link
        self.paths[name] = ["%s:%d" % store, "%s:%d" % cloud]
        return link

    def start_vm(self, name, last):
        store, cloud = self.paths.get(
            name, [self.ip(2) + ":8600", self.ip(3) + ":8600"])
        path = os.path.join(self.temporary.name, name + ".yaml")
        fields = {
            "{{node}}": name, "{{zone}}": "za", "{{ip}}": self.ip(last),
            "{{internal-port-range.0}}": "7060",
            "{{internal-port-range.1}}": "7061",
            "{{listen-addresses.front}}": self.ip(last) + ":8624",
            "{{listen-addresses.ready}}": self.ip(last) + ":8622",
            "{{platform.address}}": store,
            "{{cloud-api.address}}": cloud,
            "{{advice}}": self.ip(4) + ":8600",
            "{{bounds.hold-max-ms}}": str(HOLD_MAX_MS),
            "{{limits.cpu-share}}": "0.25",
            "{{#limits.link-mbps}}": "", "{{/limits.link-mbps}}": "",
            "{{.}}": "1000.0",
            "{{bounds.config-apply-ms}}": "2000", "{{bounds.grace-s}}": "6"}
        text = ""
        with open(os.path.join(ROOT, "deploy", "entry.yaml")) as template:
            for row in template:
                # Bounds that the deployments here do not have.
                if "bounds.revoke-ms" in row or "bounds.fail-closed" in row:
                    continue
                for field, value in fields.items():
                    row = row.replace(field, value)
                text += row
        with open(path, "w") as settings:
            settings.write(text)
        log = open(os.path.join(self.temporary.name, name + ".log"), "a")
        process = subprocess.Popen(
            [PROGRAM, "entry", "--settings", path], cwd=ROOT, stdout=log,
            stderr=log, env={"PATH": os.environ.get("PATH", "")})
        self.vms[name] = {"process": process, "last": last}
        self.record.line("%s is started" % name)

    def signal_vm(self, name, number):
        self.record.line("%s gets %s" % (name, signal.Signals(number).name))
        self.vms[name]["process"].send_signal(number)

    def log_of(self, name):
        with open(os.path.join(self.temporary.name, name + ".log")) as log:
            return log.read()

    async def ready(self, names, timeout=20.0):
        end = time.monotonic() + timeout
        for name in names:
            while True:
                status, _ = await call(self.ip(self.vms[name]["last"]), 8622,
                                       "GET", "/v1/ready", timeout=1.0)
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise RuntimeError(name + " does not get ready")
                await asyncio.sleep(0.1)
        self.record.line("ready: " + " ".join(names))

    async def holder(self, shard, timeout=15.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            claim = self.store.get("whintack/claim/" + shard)
            if claim:
                return claim["holder"]
            await asyncio.sleep(0.05)
        raise RuntimeError("nobody plans " + shard)

    async def request(self, name, method, service, job, body=None,
                      deadline=3000):
        """A client's request to one entry VM."""
        status, content = await call(
            self.ip(self.vms[name]["last"]), 8624, method,
            "/%s/%s" % (service, job),
            {"Host": service + ".example", "Deadline-Ms": str(deadline)}, body,
            deadline / 1000.0)
        self.record.line("client: %s %s at %s -> %s %s" % (
            method, job, name, status, json.dumps(content)))
        return status, content

    async def submit(self, name, service, job, body):
        self.jobs[job] = body
        return await self.request(name, "POST", service, job, body)

    async def until(self, condition, timeout):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.01)
        return False

    def close(self):
        for each in self.vms.values():
            process = each["process"]
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            for name in self.vms:
                with open(os.path.join(os.environ["KEEP_LOGS"],
                                       name + ".log"), "w") as copy:
                    copy.write(self.log_of(name))
        self.temporary.cleanup()


def main(script, folder):
    """Runs the script; exits with 1 if it returns a broken rule, with 0 if the
    rule held, with 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder)
        code = 2
        try:
            await world.open()
            broken = await asyncio.wait_for(script(world, trouble), 110)
            world.record.line("BROKEN: " + broken if broken
                              else "the rule held")
            code = 1 if broken else 0
        except Exception as error:
            world.record.line("the case could not run: %r" % error)
        finally:
            world.close()
        # Ends the open connections of the stand-ins, too.
        os._exit(code)
    if not os.path.exists(PROGRAM):
        print("target/whintack is not built", file=sys.stderr)
        sys.exit(2)
    asyncio.run(run())
