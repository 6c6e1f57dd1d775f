"""Waves over the same machines while the cloud API has faults, and what is told of
them."""
import asyncio, json, random, time

from storefaults import CloudFaults, Fault

MAX_OPEN = 3
MAX_MACHINES = 4
DURATION_S = 60
SETTLE_S = 90           # for the waves that are open when the faults end


class Waves:
    def __init__(self, deployed, seed):
        self.deployed, self.draw = deployed, random.Random(seed)
        self.faults = CloudFaults(deployed, self.draw)
        self.faults.attach()
        self.open = {}          # number -> machines
        self.completed = 0

    async def request_series(self, is_over):
        number = 0
        while not is_over():
            await asyncio.sleep(self.draw.uniform(0.3, 3))
            if len(self.open) >= MAX_OPEN:
                continue
            number += 1
            names = sorted(self.deployed.machines)
            self.open[number] = self.draw.sample(names[:MAX_MACHINES + 2], self.draw.randint(1, MAX_MACHINES))
            self.deployed.note(f"operator requests wave {number} of {self.open[number]}")
            self.deployed.store.write(f"op/wave/{number}", {
                "wave": number, "machines": self.open[number], "duration-s": DURATION_S,
                "maximum": self.draw.randint(1, 2)})

    async def fault_series(self, is_over):
        while not is_over():
            await asyncio.sleep(self.draw.uniform(0.3, 2))
            fault = self.draw.choice(list(Fault))
            self.deployed.note(f"cloud {fault.value}")
            self.faults.set(["cloud"], fault)
            await asyncio.sleep(self.draw.uniform(0.3, 2))
            self.faults.clear()

    async def check_series(self, is_over):
        while not is_over():
            self.check()
            await asyncio.sleep(0.05)

    def check(self):
        """MIXED: a wave is said to be completed, and a machine has not begun its upkeep."""
        for number, names in list(self.open.items()):
            status = json.loads(self.deployed.store.read(f"status/wave/{number}") or b"{}")
            if status.get("state") != "completed":
                continue
            self.completed += 1
            del self.open[number]
            left = [n for n in names if number not in self.deployed.machines[n]["waves"]]
            if left:
                self.deployed.broken(f"MIXED: wave {number} is said to be completed, and {left} has had no upkeep")

    async def settle(self):
        self.faults.clear()
        end = time.monotonic() + SETTLE_S
        await self.check_series(lambda: not self.open or time.monotonic() > end)
        for number, names in self.open.items():
            self.deployed.broken(f"wave {number} of {names} has not ended")
        print(f"{self.completed} waves completed")
