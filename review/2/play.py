"""A configuration sends queues to another service while their jobs run."""
import asyncio, copy, os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from world import *

SHORT = [{"count": 3, "cpu": 2300, "mem-mb": 4700, "estimated-ms": 600, "work-ms": 600}]
LONG = [{"count": 3, "cpu": 2300, "mem-mb": 4700, "estimated-ms": 9000, "work-ms": 9000}]


async def scenario(world):
    zones = ["olympia-a", "tacoma-b", "salem-c"]
    await world.set_up(zones, ["portal", "payouts"], machines=4, nodes=3,
                       routes=[make_route("quote", "/quote1/", "portal"), make_route("lookup", "/lookup3/", "portal"),
                               make_route("redeem", "/redeem2/", "payouts")])
    jobs = []
    for queue in ("quote", "lookup"):
        for steps in [SHORT] * 2 + [LONG] * 2:
            job, status = await world.submit("front-1", queue, steps)
            if status != 200:
                raise Reply(2, f"a job was answered {status}")
            jobs.append((job, queue, steps))
    await asyncio.sleep(2.5)
    for job, queue, _ in jobs:
        status, body = await world.request("front-2", "GET", queue, job)
        if status != 200:
            raise Reply(2, f"a state was answered {status} before the change")

    # The operator's change. `quote` keeps its name and gets another service;
    # for `lookup` the route is removed, and one of another name, to another
    # service, is added for the same host and prefix. Without the disruption
    # the version changes time-outs only.
    config = copy.deepcopy(world.config)
    config["version"] += 4
    for route in config["routes"][:2]:
        if world.trouble:
            route["service"] = "payouts"
        else:
            route["timeout-ms"] = 4000
    if world.trouble:
        config["routes"][1]["name"] = "lookup-b"
    old = {route["name"]: route for route in world.config["routes"]}
    world.put_config(config)
    # One of the requests of each queue arrives again, seconds after its 2xx.
    await asyncio.sleep(BOUNDS["config-apply-ms"] / 1000 + 0.5)
    await asyncio.gather(*(ask(world, old[queue], job) for job, queue, _ in jobs))
    for job, queue, steps in (jobs[3], jobs[7]):
        sent = {"task-spec": "x", "steps": [{k: v for k, v in s.items() if k != "work-ms"} for s in steps]}
        await world.request("front-3", "POST", old[queue], job, sent)
    await asyncio.sleep(3)
    await asyncio.gather(*(ask(world, old[queue], job) for job, queue, _ in jobs))
    await asyncio.sleep(10)


async def ask(world, route, job):
    status, body = await world.request("front-2", "GET", route, job)
    if status == 410:
        late = time.monotonic() - world.jobs[job]["accepted"]
        if late > BOUNDS["visible_ms"] / 1000:
            world.broken(f"LOST: GET {route['prefix']}{job} of the accepted job is answered 410, {late:.1f} s "
                         f"after its 2xx")


play(scenario, sys.argv[1])
