#!/usr/bin/env python3
"""Guards against promises to clients that do not hold (issue 61): 410 for a job
whose commit the store carries out later, and requests without an answer by their
deadline while the store is silent. Real entry VMs, a store with faults."""
import asyncio, random, sys

import deployment, oracle
from clients import Client
from storefaults import Fault, StoreFaults, accepts_job

NODES, MACHINES = 3, 4
STEPS = [{"count": 2, "cpu": 500, "mem-mb": 100, "estimated-ms": 300, "work-ms": 300}]
LATE_S = 4.0
UPTIME_S = 17    # a VM that has just started cannot deny anything


async def unanswered_submission(deployed, faults, client, method):
    """A submission is answered without an outcome and carried out later; in between
    another VM is asked for the job."""
    faults.late = (LATE_S, LATE_S)
    faults.set(deployed.nodes, Fault.LATE)
    job = client.new_job(STEPS)
    posted = await client.call(job, "POST", "front-1", 1200)
    if posted.status == 200:
        deployed.broken(f"the run could not be made: {job.id} was accepted")
    await client.call(job, method, "front-2", 1200)
    faults.clear()
    await asyncio.sleep(LATE_S + 1)
    # The planner learns of the job when a VM finds its record.
    await client.call(job, "GET", "front-3", 3000)
    await asyncio.sleep(3)
    for text in oracle.check_job(deployed, job):
        deployed.broken(f"{job.id}: {text}")


async def silent_store(deployed, faults, draw):
    faults.set(deployed.nodes, Fault.LOST)
    clients = []
    for deadline_ms in (500, 1000, 1500, 2500):
        for node in deployed.nodes:
            clients.append(Client(deployed, draw))
            job = clients[-1].new_job(STEPS)
            deployed.spawn(clients[-1].call(job, "POST", node, deadline_ms))
    await asyncio.sleep(4)
    faults.clear()
    for job in (job for client in clients for job in client.jobs):
        for told in oracle.late_answers(deployed, job):
            deployed.broken(f"LATE: {told.method} at {told.node} had no answer within "
                            f"{(told.deadline - told.sent) * 1000:.0f} ms")


async def unknown_job(deployed, client):
    """A job that nobody has submitted is still called unknown."""
    job = client.new_job(STEPS)
    told = await client.call(job, "GET", "front-2", 1200)
    if told.status != 410:
        deployed.broken(f"{told.status} to GET for a job that was never submitted")


async def scenario(deployed):
    await deployed.settled(NODES, MACHINES, settle=UPTIME_S)
    draw = random.Random(61)
    faults = StoreFaults(deployed, draw, accepts_job)
    faults.attach()
    client = Client(deployed, draw)
    await unknown_job(deployed, client)
    for method in ("GET", "DELETE"):
        await unanswered_submission(deployed, faults, client, method)
    await silent_store(deployed, faults, draw)


def main():
    program, record = sys.argv[1:3]
    broken = deployment.run(scenario, record, program, 90)
    for text in broken:
        print(text)
    print("broken" if broken else "held")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
