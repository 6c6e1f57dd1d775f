#!/usr/bin/env python3
"""Tells where the time of jobs goes, from the logs of entry VMs.

Usage: job-stages.py FILE

FILE holds log lines, each after a time in seconds and the name of its VM, as
`fleetbench run SITE DAY --log all` prints them. Prints for each stage of a job
the median and the 95th percentile in milliseconds, and for each second the
machines that were moved and the runs that were placed. Damaged lines are
counted.
"""
import re
import sys
from collections import Counter, defaultdict

LINE = re.compile(r"^\s*(-?\d+\.\d+) (\S+) .*?event=(\S+)(.*)$")
FIELD = re.compile(r"(\S+?)=(\S+)")


def read_events(path):
    """Yields time, event name and fields of each line that is an event."""
    with open(path, errors="replace") as log:
        for line in log:
            match = LINE.match(line)
            if match:
                yield (float(match[1]), match[3], dict(FIELD.findall(match[4])))


def step_of(task):
    """The job and the step of a task named JOB.OCCURRENCE.STEP.INDEX."""
    job, occurrence, step, _ = task.rsplit(".", 3)
    return job, int(step)


class Stages:
    """Collects the durations of each stage."""

    def __init__(self):
        self.durations = defaultdict(list)
        self.accepted = {}
        self.taken = {}
        self.objectives = {}
        self.placed = {}
        self.first_placed = set()
        self.last_end = {}
        self.begun_steps = set()
        self.moves = Counter()
        self.placements = Counter()
        self.outcomes = Counter()
        self.damaged = 0

    def add(self, stage, seconds):
        self.durations[stage].append(seconds * 1000)

    def handle(self, now, event, fields):
        handler = getattr(self, "on_" + event.replace("-", "_"), None)
        if not handler:
            return
        try:
            handler(now, fields)
        except (KeyError, ValueError):
            self.damaged += 1

    def on_job_accepted(self, now, fields):
        self.accepted.setdefault(fields["job"], now)

    def on_job_taken(self, now, fields):
        job = fields["job"]
        if job in self.accepted and job not in self.taken:
            self.add("accepted to known by the planner", now - self.accepted[job])
        self.taken[job] = now
        self.objectives[job] = float(fields.get("objective-ms", "nan"))

    def on_run_placed(self, now, fields):
        job, step = step_of(fields["task"])
        self.placements[int(now // 1)] += 1
        self.placed[fields["task"], fields["run"]] = now
        if (job, step) in self.begun_steps:
            return
        self.begun_steps.add((job, step))
        if job not in self.first_placed:
            self.first_placed.add(job)
            if job in self.taken:
                self.add("known to first task placed", now - self.taken[job])
        elif job in self.last_end:
            self.add("end of a step to next step placed", now - self.last_end[job])

    def on_run_ended(self, now, fields):
        job, _ = step_of(fields["task"])
        self.last_end[job] = now
        if float(fields.get("order-ms", -1)) >= 0:
            self.add("placed to start answered", float(fields["order-ms"]) / 1000)
            self.add("start answered to end reported", float(fields["run-ms"]) / 1000)
        elif (fields["task"], fields["run"]) in self.placed:
            begun = self.placed[fields["task"], fields["run"]]
            self.add("placed to end reported", now - begun)

    def on_job_ended(self, now, fields):
        job = fields["job"]
        if job not in self.taken:
            return
        spent = now - self.taken[job]
        self.add("known to ended", spent)
        limit = self.objectives.get(job, float("nan"))
        if limit == limit and fields["state"] == "completed":
            self.outcomes["on time" if spent * 1000 <= limit else "late"] += 1

    def on_machine_moved(self, now, fields):
        self.moves[int(now // 1), fields["to"]] += 1

    def report(self):
        print(f"{'stage':40} {'count':>7} {'p50 ms':>9} {'p95 ms':>9}")
        for stage, values in self.durations.items():
            values.sort()
            middle = values[len(values) // 2]
            high = values[int(len(values) * 0.95)]
            print(f"{stage:40} {len(values):7} {middle:9.1f} {high:9.1f}")
        print("damaged lines:", self.damaged)
        print("jobs that completed, by their estimated objective:", dict(self.outcomes))
        pools = sorted({pool for _, pool in self.moves})
        print("second  placed  moved to " + ", ".join(pools))
        for second in range(min(self.placements, default=0), max(self.placements, default=0) + 1):
            counts = [self.moves[second, pool] for pool in pools]
            print(f"{second:6} {self.placements[second]:7}  " + " ".join(f"{count:5}" for count in counts))


def main():
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    stages = Stages()
    for now, event, fields in read_events(sys.argv[1]):
        stages.handle(now, event, fields)
    stages.report()


if __name__ == "__main__":
    main()
