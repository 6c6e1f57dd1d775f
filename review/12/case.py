"""The jobs of a service that is called "fleet" are accepted and never start.

Three services with a queue each; with trouble, the second one's name on this day
is "fleet", else "fleets". Clients hand in small jobs, and one that lasts.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import world3

NAME = "fleet" if world3.has_trouble() else "fleets"
SERVICES = ["catalogue", NAME, "checkout", "backoffice"]
SMALL = {
    "task-spec": "check",
    "steps": [{"count": 4, "cpu": 2000, "mem-mb": 2000, "estimated-ms": 300}],
}
LASTING = {
    "task-spec": "sweep",
    "steps": [{"count": 2, "cpu": 500, "mem-mb": 500, "long-running": True}],
}
TRAFFIC_S = 10
FINISH_S = 14  # finish_s
REST_S = 3


async def case(world):
    await world.open(SERVICES, 8, cpu=64000, memory=262144)
    if not await world.await_ready():
        return 2
    await asyncio.sleep(2)
    handed_in = [await world.submit(each, LASTING) for each in SERVICES[:3]]
    end = world.record.now() + TRAFFIC_S
    while world.record.now() < end:
        for service in SERVICES[:3]:
            handed_in.append(await world.submit(service, SMALL))
        await asyncio.sleep(0.5)
    await asyncio.sleep(FINISH_S + REST_S)
    waiting = 0
    for service in SERVICES[:3]:
        own = [j for j, s in handed_in if world.jobs[j]["service"] == service and s == 200]
        never = [job for job in own if not world.runs_of(job)]
        states = {(await world.state(job)) for job in own}
        print(
            f"{service}: {len(own)} jobs accepted, {len(never)} never started; "
            f"states told: {sorted(str(shown) for _, shown in states)}"
        )
        waiting += len(never)
    await asyncio.sleep(REST_S)
    # Asking for the state did not start them either.
    late = [j for j, s in handed_in if s == 200 and not world.runs_of(j)]
    print(f"{REST_S} s after they were asked for, {len(late)} have still not started")
    world.record.note("result", waiting=waiting, late=len(late))
    return 1 if late else 0


world3.main(case, FOLDER)
