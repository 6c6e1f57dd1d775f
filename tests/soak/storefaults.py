"""Faults of the platform's store as one entry VM sees it, and of its cloud API: their
pages allow each of them, to one VM or to all."""
import asyncio, base64, enum, json

JOB_KEY = "whintack/job-service/"


class Fault(enum.Enum):
    NONE = "none"
    REFUSED = "refused"             # 503, nothing is done
    RESET_BEFORE = "reset-before"   # the connection is closed, nothing is done
    RESET_AFTER = "reset-after"     # it is carried out and the connection closed
    LATE = "late"                   # no answer; it is carried out later
    LOST = "lost"                   # no answer, and nothing is done
    UNANSWERED = "unanswered"       # carried out, no answer
    SLOW = "slow"


def accepts_job(method, target, body):
    """Whether the call is a commit that would accept a job."""
    if method != "POST" or target != "/v1/kv-txn" or not body:
        return False
    puts = json.loads(body).get("puts", [])
    if not puts or not puts[0]["key"].startswith(JOB_KEY):
        return False
    return "end" not in json.loads(base64.b64decode(puts[1]["value"]))


class StoreFaults:
    """Decides how the calls of each VM end. `concerns` limits the faults to some
    calls."""

    def __init__(self, deployed, draw, concerns=None):
        self.deployed, self.draw, self.concerns = deployed, draw, concerns
        self.faults = {}
        self.late = (0.5, 6.0)

    def attach(self):
        for name, node in self.deployed.nodes.items():
            node["hook"] = self.hook(name)

    def set(self, names, fault):
        for name in names:
            self.faults[name] = fault

    def clear(self):
        self.faults.clear()

    def hook(self, name):
        async def handle(method, target, body):
            fault = self.faults.get(name, Fault.NONE)
            if fault is Fault.NONE or (self.concerns and not self.concerns(method, target, body)):
                return None
            return await self.apply(fault, method, target, body)
        return handle

    async def apply(self, fault, method, target, body):
        store = self.deployed.store
        if fault is Fault.REFUSED:
            return 503, {}
        if fault is Fault.SLOW:
            await asyncio.sleep(self.draw.uniform(0.05, 0.4))
            return None
        if fault is Fault.RESET_BEFORE:
            raise ConnectionError
        if fault is Fault.LATE:
            self.deployed.spawn(self.carry_out(self.draw.uniform(*self.late), method, target, body))
        elif fault in (Fault.RESET_AFTER, Fault.UNANSWERED):
            self.deployed.spawn(self.carry_out(0, method, target, body))
        if fault is Fault.RESET_AFTER:
            await asyncio.sleep(0.01)
            raise ConnectionError
        await asyncio.sleep(3600)

    async def carry_out(self, delay, method, target, body):
        await asyncio.sleep(delay)
        status, _ = await self.deployed.store.handle(method, target, {}, body)
        self.deployed.note(f"store carries out {method} {target.split('?')[0]} {delay:.2f} s late: {status}")


class CloudFaults(StoreFaults):
    """The same faults of the cloud API, for all VMs."""

    def attach(self):
        async def handle(method, target, headers, given):
            fault = self.faults.get("cloud", Fault.NONE)
            if fault is Fault.NONE:
                return None
            return await self.apply(fault, method, target, (headers, given))
        self.deployed.cloud_hook = handle

    async def carry_out(self, delay, method, target, call):
        await asyncio.sleep(delay)
        status, _ = await self.deployed.cloud_call(target, *call)
        self.deployed.note(f"cloud carries out {target} {call[1]} {delay:.2f} s late: {status}")
