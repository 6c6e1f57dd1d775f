"""Clients that hand jobs in, ask for them and cancel them, on connections that
they keep open, and what they were told."""
import asyncio, dataclasses, json, re, secrets, time

from deployment import QUEUE


@dataclasses.dataclass
class Told:
    """One request of a client and its answer; a status of 0 means none."""
    method: str
    node: str
    sent: float
    deadline: float
    status: int = 0
    is_sent: bool = False
    answered: float = 0.0
    state: str = ""


@dataclasses.dataclass
class Job:
    id: str
    told: list = dataclasses.field(default_factory=list)

    def of(self, *methods):
        return [t for t in self.told if t.method in methods]


class Connection:
    """A connection to one entry VM. It is used until it is broken."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None
        self.is_sent = False

    def is_ended(self):
        """Whether the other end has closed it, as when its process is gone."""
        return self.reader is not None and (self.reader.at_eof() or self.reader.exception() is not None)

    async def request(self, method, target, host, deadline_ms, body, timeout):
        self.is_sent = False
        if self.is_ended():
            self.close()
        try:
            async with asyncio.timeout(timeout):
                if self.writer is None:
                    ip, port = self.address.split(":")
                    self.reader, self.writer = await asyncio.open_connection(ip, int(port))
                data = b"" if body is None else json.dumps(body).encode()
                self.is_sent = True
                self.writer.write((f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: {deadline_ms}\r\n"
                                   f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n").encode()
                                  + data)
                await self.writer.drain()
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = re.search(r"(?i)content-length: *(\d+)", head)
                text = await self.reader.readexactly(int(length[1])) if length else b""
                return int(head.split(" ")[1]), text
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, b""

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


class Client:
    def __init__(self, deployed, draw):
        self.deployed, self.draw = deployed, draw
        self.connections = {}
        self.jobs = []

    def new_job(self, steps, more=None):
        job = Job(f"{self.draw.getrandbits(64):016x}")
        body = {"task-spec": "x", "steps": [{k: v for k, v in s.items() if k != "work-ms"} for s in steps]}
        body.update(more or {})
        self.deployed.jobs[job.id] = {"body": dict(body, steps=steps), "queue": QUEUE, "accepted": None, "sent": body}
        self.jobs.append(job)
        return job

    def close(self):
        for connection in self.connections.values():
            connection.close()

    async def call(self, job, method, node, deadline_ms):
        """Makes one request and notes what the client was told of the job."""
        route = self.deployed.route(QUEUE)
        told = Told(method, node, time.monotonic(), time.monotonic() + deadline_ms / 1000)
        job.told.append(told)
        connection = self.connections.setdefault(node, Connection(self.deployed.nodes[node]["front"]))
        body = self.deployed.jobs[job.id]["sent"] if method == "POST" else None
        told.status, text = await connection.request(method, route["prefix"] + job.id, route["host"], deadline_ms, body,
                                                     deadline_ms / 1000 + 0.4)
        told.answered = time.monotonic()
        told.is_sent = connection.is_sent
        if method == "GET" and told.status == 200:
            told.state = json.loads(text)["state"]
        self.deployed.note(f"client {method} {job.id} at {node}: {told.status} {told.state} after "
                           f"{(told.answered - told.sent) * 1000:.0f} of {deadline_ms} ms")
        return told
