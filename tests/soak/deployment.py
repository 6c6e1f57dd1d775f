"""A deployment of real entry VMs on loopback addresses for the soak and for
regression tests, after the stand-ins of review/world.py."""
import asyncio, json, math, os, signal, subprocess, sys, time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review"))
sys.dont_write_bytecode = True
import world  # noqa: E402
from world import Reply, make_route, standard_config  # noqa: E402,F401

ZONES = ["olympia-a", "tacoma-b", "salem-c"]
QUEUE = "quote"


class Deployment(world.World):
    """Entry VMs, their platform and executors, and when each job's tasks began."""

    def __init__(self, record, program):
        super().__init__(record)
        self.program = os.path.abspath(program)
        self.starts = {}        # job -> times at which its tasks began
        self.asked_to_end = set()
        self.upkeep_for = {}    # machine -> wave of its last upkeep
        self.disturbed = {}     # VM -> [begin, end] of each time in which its process may not have run

    def run_begun(self, executor, run):
        self.starts.setdefault(run.task.split(".")[0], []).append(time.monotonic())
        super().run_begun(executor, run)

    def start_node(self, name):
        node = self.nodes[name]
        with open(os.path.join(self.temporary, name + ".log"), "ab") as log:
            node["process"] = subprocess.Popen(
                [self.program, "entry", "--settings", node["settings"]], cwd=ROOT, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL, env={k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ})
        self.processes.append(node["process"])
        self.end_disturbance(name, time.monotonic())
        self.note(f"node {name} started")

    def begin_disturbance(self, name):
        self.disturbed.setdefault(name, []).append([time.monotonic(), math.inf])

    def end_disturbance(self, name, end):
        for times in self.disturbed.get(name, []):
            times[1] = min(times[1], end)

    async def cloud_call(self, target, headers, given):
        machine = self.machines.get(given.get("machine"))
        if target != "/v1/machine-upkeep" or not machine or given["wave"] in machine["waves"]:
            return await super().cloud_call(target, headers, given)
        # The limit of a wave counts the machines that are down for it, and not those of
        # other waves, as the base class does.
        wave = json.loads(self.store.read(f"op/wave/{given['wave']}") or b"{}")
        if machine["state"] != "up":
            return 409, {"reason": "busy"}
        if given["machine"] not in wave.get("machines", []):
            return 409, {"reason": "wave"}
        self.note(f"cloud: upkeep of {given['machine']} for wave {given['wave']} by {headers.get('duty-holder')}")
        down = [m["machine"] for m in self.machines.values()
                if m["state"] == "upkeep" and self.upkeep_for.get(m["machine"]) == given["wave"]]
        if len(down) >= wave["maximum"]:
            self.broken(f"LIMIT: upkeep of {given['machine']} for wave {given['wave']} begins while {down} are down")
        machine["waves"].add(given["wave"])
        self.upkeep_for[given["machine"]] = given["wave"]
        self.spawn(self.renew(machine, "upkeep", self.upkeep_s))
        return 200, {}

    def signal_node(self, name, number):
        if number in (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP):
            self.begin_disturbance(name)
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.asked_to_end.add(self.nodes[name]["process"].pid)
        super().signal_node(name, number)

    def check_processes(self):
        """Processes that have ended although nobody asked them to."""
        for process in self.processes:
            if process.poll() is not None and process.pid not in self.asked_to_end:
                self.broken(f"CRASH: process {process.pid} ended by itself with {process.returncode}")

    def is_up(self, name):
        process = self.nodes[name]["process"]
        return process is not None and process.poll() is None

    async def settled(self, nodes, machines, settle=5, per_rack=2):
        await self.set_up(ZONES, ["portal"], machines=machines, nodes=nodes, settle=settle, spare=False,
                          per_rack=per_rack, routes=[make_route(QUEUE, "/quote1/", "portal")])

    def suspend(self, name, seconds):
        """Stops the process for a while."""
        async def resume():
            await asyncio.sleep(seconds)
            if self.is_up(name):
                self.signal_node(name, signal.SIGCONT)
                self.end_disturbance(name, time.monotonic())
        self.signal_node(name, signal.SIGSTOP)
        return self.spawn(resume())


def run(scenario, record, program, seconds):
    """Runs a scenario within a time. Returns the rules that it broke."""
    async def main():
        deployed = Deployment(record, program)
        deployed.spawn(deployed.store.run())
        await deployed.cloud.open()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(seconds):
                await scenario(deployed)
        except Reply as reply:
            deployed.broken(f"the run could not be made: {reply.body}")
        except TimeoutError:
            deployed.broken(f"the run did not end within {seconds} s")
        finally:
            await deployed.close()
            for task in list(deployed.tasks):
                task.cancel()
        return list(deployed.breaks)
    return asyncio.run(main())
