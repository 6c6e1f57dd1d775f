"""Executors are added to a service whose queue takes advice."""
import asyncio, os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from world import *

STEPS = [{"count": 3, "cpu": 2300, "mem-mb": 4700, "estimated-ms": 640, "work-ms": 640}]
# 10 executors: an answer after 1.35 s; 13 executors: after 1.665 s.
ADVICE = {"decision-ms": 300, "each-ms": 105, "validity-ms": 10000}
EXECUTORS, ADDED = 10, 3


class Advice:
    """The service at `advice`: one call at a time, in turn. Three of four executors may run any step."""
    def __init__(self, world):
        self.world, self.turn, self.waiting, self.granted = world, asyncio.Lock(), 0, {}

    def is_good(self, worker):
        return int(worker[2:], 16) % 4 != 0

    async def handle(self, method, target, headers, given):
        if target != "/v1/advise":
            return None
        if self.waiting >= 32:
            return 429, {}
        self.waiting += 1
        async with self.turn:
            self.waiting -= 1
            took = ADVICE["decision-ms"] + ADVICE["each-ms"] * len(given["workers"])
            await asyncio.sleep(took / 1000)
        good = []
        for worker in given["workers"]:
            if self.is_good(worker):
                ticket = secrets.token_hex(6)
                self.granted[(given["step"], worker, ticket)] = time.monotonic() + ADVICE["validity-ms"] / 1000
                good.append([worker, ticket])
        self.world.note(f"advice on {given['step']} and {len(given['workers'])} executors after {took} ms: "
                        f"{len(good)} good")
        return 200, {"good": good, "validity-ms": ADVICE["validity-ms"]}

    def is_valid(self, task, executor, ticket):
        return self.granted.get((task.rsplit(".", 1)[0], executor.id, ticket), 0) >= time.monotonic()


async def scenario(world):
    advice = Advice(world)
    world.cloud_hook = advice.handle
    world.tickets = advice
    world.needs_ticket = lambda task: True
    world.ticket_valid = advice.is_valid
    await world.set_up(["olympia-a", "tacoma-b", "salem-c"], ["portal"], machines=EXECUTORS, nodes=3, spare=False,
                       routes=[make_route("quote", "/quote1/", "portal", advice=ADVICE)])
    first, status = await world.submit("front-1", "quote", STEPS)
    if status != 200 or not await ends(world, first, 12):
        raise Reply(2, "a job did not end before the disruption")
    if world.trouble:
        for index in range(ADDED):
            world.add_machine(f"m-new-{index}", "portal", "olympia-a", ["a", "portal-new"])
            await world.start_executor(f"m-new-{index}")
    await asyncio.sleep(5)
    jobs = []
    for index in range(3):
        job, status = await world.submit("front-2", "quote", STEPS)
        if status == 200:
            jobs.append(job)
        await asyncio.sleep(3)
    await asyncio.sleep(BOUNDS["finish_s"])
    await asyncio.gather(*(stalled(world, advice, job) for job in jobs))
    for job in jobs:
        _, body = await world.request("front-2", "GET", "quote", job)
        if not world.trouble and body != {"state": "completed"}:
            raise Reply(2, "a job did not end without the disruption")
    if world.trouble:
        # How long it lasts.
        for _ in range(4):
            await asyncio.sleep(5)
            for job in jobs:
                await world.request("front-2", "GET", "quote", job)


async def ends(world, job, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        await asyncio.sleep(0.5)
        _, body = await world.request("front-2", "GET", "quote", job)
        if body == {"state": "completed"}:
            return True
    return False


async def stalled(world, advice, job):
    """The job has nothing running for 3 s, and the executors that may run it
    have room for it twice over and are under half in use."""
    end = time.monotonic() + 3.2
    while time.monotonic() < end:
        good = [e for e in world.executors.values() if advice.is_good(e.id)]
        used = sum(e.used("cpu") for e in good)
        room = sum(e.capacity["cpu"] for e in good)
        fits = sum((e.capacity["cpu"] - e.used("cpu")) // STEPS[0]["cpu"] for e in good)
        if any(task.startswith(job) for e in good for task in e.running) or used * 2 >= room or \
           fits < 2 * STEPS[0]["count"]:
            return
        await asyncio.sleep(0.1)
    _, body = await world.request("front-2", "GET", "quote", job)
    if body in ({"state": "completed"}, {"state": "failed"}):
        return
    age = time.monotonic() - world.jobs[job]["accepted"]
    world.broken(f"LOST: job {job}, accepted {age:.0f} s ago and shown as {json.dumps(body)}, has nothing running for "
                 f"3 s; the {len(good)} executors that may run it have room for {fits} of its tasks, {used} of {room} "
                 "mCPU are in use")


play(scenario, sys.argv[1])
