"""Compares what clients were told of each job with what the executors ran."""
import collections, math

CANCEL_S = 3.0          # time after which a cancelled job starts nothing
VISIBLE_S = 3.0         # time after which an accepted job is known to each VM
REFUSALS = (400, 401, 404, 410, 413, 429, 503)


def is_calm(deployed, told):
    """Whether the process of the VM ran all through the request."""
    return not any(begin <= told.answered and told.sent <= end
                   for begin, end in deployed.disturbed.get(told.node, []))


def check_job(deployed, job):
    """Returns the broken promises of one job."""
    starts = deployed.starts.get(job.id, [])
    posts = job.of("POST")
    broken = []
    if starts and posts and all(t.status in REFUSALS for t in posts):
        broken.append("REFUSED: all submissions were refused, and it ran")
    elif starts and posts[-1].status in (429, 503) and max(starts) > posts[-1].answered:
        broken.append("REFUSED: the last submission was refused, and it ran afterwards")
    for told in job.of("GET", "DELETE"):
        later = [t for t in posts if t.answered > told.sent]
        if told.status == 410 and not later and any(s > told.answered for s in starts):
            broken.append(f"REFUSED: 410 to {told.method}, and it ran afterwards")
    for told in job.of("DELETE"):
        if told.status == 200 and any(s > told.answered + CANCEL_S for s in starts):
            broken.append("UNASKED: it was cancelled, and started later")
    broken += check_shown(job, min((t.answered for t in posts if t.status == 200), default=math.inf))
    return broken


def check_shown(job, accepted):
    """Tasks of the soak never fail, and only clients cancel jobs."""
    is_cancelled = bool(job.of("DELETE"))
    broken = []
    for told in job.of("GET"):
        if told.state == "failed" or told.state == "cancelled" and not is_cancelled:
            broken.append(f"LOST: it was shown as {told.state} without cause")
        if told.status == 410 and not is_cancelled and told.sent > accepted + VISIBLE_S:
            broken.append("LOST: it was accepted, and a GET was answered 410")
    return broken


def late_answers(deployed, job):
    """The requests that a running VM did not answer by their deadline."""
    return [t for t in job.told if t.is_sent and is_calm(deployed, t) and t.answered > t.deadline]


def broken_off(deployed, job):
    """The requests whose connection a running VM closed without an answer."""
    return [t for t in job.told
            if t.is_sent and is_calm(deployed, t) and t.status == 0 and t.answered <= t.deadline]


def summary(jobs):
    """Number of answers by method and status."""
    counts = collections.Counter((t.method, t.status) for job in jobs for t in job.told)
    return " ".join(f"{method}:{status}={count}" for (method, status), count in sorted(counts.items()))
