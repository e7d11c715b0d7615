"""Workers crash and come back one after the other while clients hand in jobs."""

import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
from deployment import PREFIX, TROUBLE, play

NODES = 7  # one of them is 0.143 of the workers
CRASHES, CRASH_EVERY_S, DOWN_S = 120, 0.5, 0.3
BEFORE_S = 3.0
JOBS_PER_S = 5.0
STEPS = [{"count": 24, "cpu": 250, "mem_mb": 200, "estimate_ms": 800}]


def plan(_task, _run):
    return 0.8, "done"  # no run ever ends `failed`


def body(deployment):
    record = deployment.record
    jobs, accepted, stop = [], set(), threading.Event()

    def submit(job):
        for attempt in range(5):
            status, _ = deployment.submit(job, STEPS, quiet=attempt > 0)
            if 200 <= status < 300:
                accepted.add(job)
                return
            time.sleep(0.5)

    def clients():
        while not stop.is_set():
            job = "%016x" % random.getrandbits(64)
            jobs.append(job)
            threading.Thread(target=submit, args=(job,), daemon=True).start()
            time.sleep(1 / JOBS_PER_S)

    traffic = threading.Thread(target=clients, daemon=True)
    traffic.start()
    time.sleep(BEFORE_S)
    for _ in range(CRASHES):
        worker = random.choice(deployment.workers)
        if TROUBLE:
            worker.crash()
        time.sleep(DOWN_S)
        if TROUBLE:
            worker.boot()
        time.sleep(CRASH_EVERY_S - DOWN_S)
    stop.set()
    traffic.join()
    time.sleep(12.0)
    broken, states = [], {}
    failed_ends = {run["task"] for run in record.runs if run["how"] == "failed"}
    for job in sorted(accepted):
        status, content = deployment.state(job, quiet=True)
        state = content.get("state", str(status))
        states[state] = states.get(state, 0) + 1
        if state not in ("failed", "cancelled"):
            continue
        record.add("client", f"gets {status} {content} to GET {PREFIX}{job}")
        ends = sum(task.startswith(job) for task in failed_ends)
        broken.append(f"LOST: job {job} is shown as {state}; {ends} of its runs ended failed, and "
                      "nobody has cancelled it")
    record.add("check", f"{len(jobs)} jobs, {len(accepted)} accepted, states {states}, "
                        f"{sum(run['how'] == 'crash' for run in record.runs)} runs lost in crashes, "
                        f"{len(failed_ends)} ended failed")
    print(states)
    return broken


play(os.path.dirname(os.path.abspath(__file__)), body, plan=plan, nodes=NODES, racks=3)
