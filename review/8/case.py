"""A wave is said to be completed, and a machine has had no upkeep for it: two
waves name the same machines, and the cloud API is away for a second."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
from world2 import Reset, asyncio, main  # noqa: E402

AWAY_S = 1.0  # how long the cloud API resets calls
MACHINES = 3


async def script(world, trouble):
    await world.add_executor("pay0", "pay")
    for index in range(MACHINES):
        await world.add_executor("off%d" % index, "off")
    away = {"from": None}

    async def cloud(path, headers, body):
        now = world.record.now()
        if away["from"] is not None and \
                away["from"] <= now < away["from"] + AWAY_S:
            world.record.line("cloud: is away, resets " + path)
            raise Reset()

    world.cloud_hook = cloud
    world.configure(["pay"], spare="off")
    for index in (1, 2, 3):
        world.start_vm("vm-%d" % index, 10 + index)
    await world.ready(["vm-1", "vm-2", "vm-3"])
    await world.holder("fleet")
    await asyncio.sleep(2)
    names = [each.machine for each in world.executors if each.pool == "off"]
    for wave in (1, 2):
        world.store.put("op/wave/%d" % wave, {
            "wave": wave, "machines": names, "duration-s": 40, "maximum": 1})
    if not await world.until(lambda: world.upkeeps, 20):
        raise RuntimeError("no upkeep begins")
    # The cloud API goes away shortly after the first upkeep has begun.
    await asyncio.sleep(0.1)
    if trouble:
        away["from"] = world.record.now()
    said = set()

    def missing():
        for wave in (1, 2):
            status = world.store.get("status/wave/%d" % wave)
            if not status or status["state"] != "completed" or wave in said:
                continue
            said.add(wave)
            world.record.line("status/wave/%d says completed; upkeeps begun "
                              "for it: %s" % (wave, sorted(
                                  m for w, m in world.upkeeps if w == wave)))
            left = [m for m in names if (wave, m) not in world.upkeeps]
            if left:
                return "MIXED: wave %d is said to be completed, and %s has " \
                    "not begun its upkeep" % (wave, ", ".join(left))
        return ""

    end = world.record.now() + 60
    while world.record.now() < end and len(said) < 2:
        broken = missing()
        if broken:
            # The upkeep does not come later either.
            await asyncio.sleep(8)
            world.record.line("8 s later, upkeeps: %s" % sorted(world.upkeeps))
            return broken
        await asyncio.sleep(0.05)
    return ""


main(script, os.path.dirname(os.path.abspath(__file__)))
