#!/usr/bin/env python3
"""Plays series of overlapping faults on real entry VMs: the store refuses, holds
and loses calls, processes are killed, suspended, stopped and told to read their
settings, executors crash, the configuration changes, machines are maintained.
Clients keep their connections until the process is gone. Each seed is one play."""
import argparse, asyncio, os, random, signal, sys, tempfile, time

import deployment, oracle, waves
from clients import Client
from storefaults import Fault, StoreFaults

STEPS = [{"count": 2, "cpu": 500, "mem-mb": 100, "estimated-ms": 300, "work-ms": 300}]
SETTLE_S = 25
MAX_ATTEMPTS = 4
PROCESS_FAULTS = ["kill", "suspend", "stop", "settings", "pair"]


class Soak:
    def __init__(self, options, seed):
        self.options, self.draw, self.seed = options, random.Random(seed), seed
        self.until = 0.0
        self.restarts = []

    async def play(self, deployed):
        options = self.options
        await deployed.settled(options.vms, options.machines, settle=options.uptime)
        self.deployed = deployed
        self.faults = StoreFaults(deployed, self.draw)
        self.faults.attach()
        self.clients = [Client(deployed, random.Random(self.draw.random())) for _ in range(options.clients)]
        self.until = time.monotonic() + options.seconds
        series = [self.store_series(), self.process_series(), self.executor_series(), self.configuration_series()]
        requested = waves.Waves(deployed, self.seed) if options.waves else None
        if requested:
            series += [requested.request_series(self.is_over), requested.fault_series(self.is_over),
                       requested.check_series(self.is_over)]
        await asyncio.gather(*(s for s in series), *(self.client_series(c) for c in self.clients))
        self.faults.clear()
        # A process that is started twice would share its addresses with itself.
        await asyncio.gather(*self.restarts)
        for name in deployed.nodes:
            if not deployed.is_up(name):
                deployed.start_node(name)
        await deployed.wait_ready()
        if requested:
            await requested.settle()
        await self.check()
        deployed.check_processes()
        for client in self.clients:
            client.close()

    def is_over(self):
        return time.monotonic() >= self.until

    async def store_series(self):
        names = list(self.deployed.nodes)
        while not self.is_over():
            await asyncio.sleep(self.draw.uniform(0.5, 3))
            chosen = names if self.draw.random() < 0.5 else self.draw.sample(names, self.draw.randint(1, len(names)))
            fault = self.draw.choice(list(Fault))
            self.deployed.note(f"store {fault.value} for {chosen}")
            self.faults.set(chosen, fault)
            await asyncio.sleep(self.draw.uniform(0.5, 3))
            self.faults.set(names if self.draw.random() < 0.7 else chosen, Fault.NONE)

    async def process_series(self):
        names = list(self.deployed.nodes)
        while not self.is_over():
            await asyncio.sleep(self.draw.uniform(1, 8))
            name, kind = self.draw.choice(names), self.draw.choice(self.options.process_faults)
            if not self.deployed.is_up(name):
                continue
            if kind == "kill":
                self.kill(name)
            elif kind == "pair":
                for each in self.draw.sample(names, min(2, len(names))):
                    if self.deployed.is_up(each):
                        self.kill(each)
            elif kind == "suspend":
                self.restarts.append(self.deployed.suspend(name, self.draw.uniform(0.3, 5)))
            elif kind == "settings":
                self.deployed.signal_node(name, signal.SIGHUP)
            else:
                await self.deployed.stop_node(name)
                await asyncio.sleep(self.draw.uniform(0, 2))
                self.deployed.start_node(name)

    def kill(self, name):
        self.restarts.append(self.deployed.spawn(self.deployed.kill_node(name, self.draw.uniform(0, 2))))

    async def executor_series(self):
        while not self.is_over():
            await asyncio.sleep(self.draw.uniform(3, 12))
            executor = self.draw.choice(list(self.deployed.executors.values()))
            self.deployed.note(f"executor {executor.id} crashes")
            machine = executor.machine
            self.deployed.lose(executor)
            await asyncio.sleep(self.draw.uniform(0.5, 3))
            await self.deployed.start_executor(machine)

    async def configuration_series(self):
        while not self.is_over():
            await asyncio.sleep(self.draw.uniform(2, 10))
            config = dict(self.deployed.config, version=self.deployed.config["version"] + self.draw.randint(1, 5))
            self.deployed.put_config(config)

    async def client_series(self, client):
        while not self.is_over():
            job = client.new_job(STEPS)
            await self.hand_in(client, job)
            await asyncio.sleep(client.draw.uniform(0, 0.4))

    async def hand_in(self, client, job):
        """Submits a job until it has an outcome, and sometimes asks for it or cancels
        it at another VM in between."""
        names = list(self.deployed.nodes)
        for _ in range(MAX_ATTEMPTS):
            told = await client.call(job, "POST", client.draw.choice(names), 1200)
            if client.draw.random() < 0.15:
                await client.call(job, "GET", client.draw.choice(names), 1200)
            if client.draw.random() < 0.08:
                asked = await client.call(job, "DELETE", client.draw.choice(names), 1200)
                if asked.status in (200, 410):
                    return
            if told.status in oracle.REFUSALS or told.status == 200:
                return
            await asyncio.sleep(client.draw.uniform(0, 0.5))

    async def check(self):
        """Waits for the accepted jobs to end and compares what was told and run."""
        jobs = [job for client in self.clients for job in client.jobs]
        accepted = [j for j in jobs if any(t.status == 200 for t in j.of("POST"))]
        open_jobs, end = list(accepted), time.monotonic() + SETTLE_S
        node = next(iter(self.deployed.nodes))
        while open_jobs and time.monotonic() < end:
            left = []
            for job in open_jobs:
                told = await self.clients[0].call(job, "GET", node, 3000)
                if told.state not in ("completed", "cancelled", "failed"):
                    left.append(job)
            open_jobs = left
            await asyncio.sleep(0.5)
        for job in open_jobs:
            self.deployed.broken(f"{job.id}: LOST: it was accepted and has not ended")
        for job in jobs:
            for text in oracle.check_job(self.deployed, job):
                self.deployed.broken(f"{job.id}: {text}")
        late = [t for job in jobs for t in oracle.late_answers(self.deployed, job)]
        for told in late:
            self.deployed.broken(f"LATE: {told.method} at {told.node}: {told.status} after "
                                 f"{(told.answered - told.sent) * 1000:.0f} ms")
        cut = sum(len(oracle.broken_off(self.deployed, job)) for job in jobs)
        print(f"{len(jobs)} jobs, {len(accepted)} accepted, {len(late)} answered late, {cut} broken off; "
              f"{oracle.summary(jobs)}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program", help="the program whintack")
    parser.add_argument("--seeds", default="1-1", help="first and last seed")
    parser.add_argument("--seconds", type=float, default=30, help="length of the faults of one play")
    parser.add_argument("--uptime", type=float, default=5, help="seconds without faults before")
    parser.add_argument("--vms", type=int, default=4)
    parser.add_argument("--machines", type=int, default=8)
    parser.add_argument("--clients", type=int, default=6)
    # A process denies nothing in its first minute, so that plays in which many are
    # started again hold few refusals.
    parser.add_argument("--process-faults", nargs="+", choices=PROCESS_FAULTS, default=PROCESS_FAULTS)
    parser.add_argument("--waves", action="store_true",
                        help="request waves over the same machines while the cloud API has faults")
    parser.add_argument("--records", help="folder for the records of all plays; else only those of broken ones are kept")
    options = parser.parse_args()
    first, last = map(int, options.seeds.split("-"))
    folder = options.records or tempfile.mkdtemp(prefix="soak-")
    os.makedirs(folder, exist_ok=True)
    failed = 0
    for seed in range(first, last + 1):
        record = os.path.join(folder, f"seed-{seed}.txt")
        settling = SETTLE_S + (waves.SETTLE_S if options.waves else 0)
        broken = deployment.run(Soak(options, seed).play, record, options.program,
                                options.uptime + options.seconds + settling + 90)
        print(f"seed {seed}: {'broken, ' + record if broken else 'held'}", flush=True)
        for text in broken[:10]:
            print(f"  {text}", flush=True)
        failed += bool(broken)
        if not broken and not options.records:
            os.remove(record)
    print(f"{last - first + 1 - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
