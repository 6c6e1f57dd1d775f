"""One large job with anti-affinity stops every service, for good.

Clients hand in small jobs on three queues, two a second. With trouble, one of
them hands in one large job first: 5,000 one-core tasks, at most 64 of them on an
executor, for a pool of 85 executors with 64 cores each, which has room for all
of them at once.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import world3

SMALL = {
    "task-spec": "check",
    "steps": [{"count": 4, "cpu": 2000, "mem-mb": 2000, "estimated-ms": 300}],
}
LARGE = {
    "task-spec": "sweep",
    "steps": [
        {
            "count": int(os.environ.get("COUNT", "5000")),
            "cpu": 1000,
            "mem-mb": 1000,
            "estimated-ms": 1000,
            "anti-affinity": 64,
        }
    ],
}
if os.environ.get("PLAIN") == "1":
    # The same job without anti-affinity, for comparison.
    del LARGE["steps"][0]["anti-affinity"]
SERVICES = ["auction", "checkout", "catalogue", "backoffice"]
TRAFFIC_S = 30
FINISH_S = 14  # finish_s
REST_S = 3


async def case(world):
    await world.open(SERVICES, [85, 8, 8], cpu=64000, memory=262144)
    if not await world.await_ready():
        return 2
    await asyncio.sleep(2)
    warm = [(await world.submit(each, SMALL)) for each in SERVICES[:3]]
    await asyncio.sleep(3)
    if any(not world.runs_of(job) for job, _ in warm):
        print("the small jobs before the large one have not run")
        return 2
    large = None
    if world3.has_trouble():
        large, status = await world.submit("auction", LARGE)
        print(f"large job: answered {status}")
        if status != 200:
            return 2
    sent = []
    end = world.record.now() + TRAFFIC_S
    while world.record.now() < end:
        service = SERVICES[len(sent) % 3]
        sent.append(asyncio.create_task(world.submit(service, SMALL)))
        await asyncio.sleep(0.5)
    handed_in = await asyncio.gather(*sent)
    await asyncio.sleep(FINISH_S + REST_S)
    accepted = [job for job, status in handed_in if status == 200]
    waiting = [job for job in accepted if not world.runs_of(job)]
    if large:
        print(f"large job: {len(world.runs_of(large))} tasks have run")
        if not world.runs_of(large):
            waiting.append(large)
    silent = 0
    for job in accepted[-6:]:
        status, _ = await world.state(job)
        silent += status != 200
    use = max(sum(e.used("cpu") for e in world.executors) / 1000, 0)
    room = sum(e.capacity["cpu"] for e in world.executors) / 1000
    print(f"small jobs: {len(sent)} handed in, {len(accepted)} accepted")
    print(
        f"accepted and never started, {FINISH_S + REST_S} s after the traffic, with "
        f"{use:.0f} of {room:.0f} cores in use: {len(waiting)}"
    )
    print(f"state not told: {silent} of {len(accepted[-6:])} asked")
    world.record.note("result", accepted=len(accepted), waiting=len(waiting))
    return 1 if waiting else 0


world3.main(case, FOLDER)
