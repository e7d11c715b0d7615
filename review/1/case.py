"""More than 500 ends on a worker while the store is down: those beyond the first 500 are taken for
runs that never existed, and their tasks run a second time."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
sys.dont_write_bytecode = True

from fleet import CannotRun, play  # noqa: E402

WORKERS = 2
JOBS, JOBS_PER_S = 34, 11.0  # the site's 7.2 a second; a burst of 2.6 times would be 18.8
STEP = {"count": 36, "cpu": 50, "mem_mb": 150, "estimate_ms": 4000}
WORK_S = 4.0
OUTAGE_S = 4.2
LISTED = 500  # ends that a worker returns at a time


def body(fleet, trouble):
    jobs = [f"{0x5c0e7a21d94b3600 + number:016x}" for number in range(JOBS)]
    began = time.monotonic()

    def client(first):
        for number in range(first, JOBS, 4):
            time.sleep(max(0.0, began + number / JOBS_PER_S - time.monotonic()))
            fleet.submit(jobs[number], [STEP])

    for job in jobs:
        fleet.plans[job] = lambda task, run: (WORK_S, "done")
    clients = [threading.Thread(target=client, args=(first,)) for first in range(4)]
    for each in clients:
        each.start()
    for each in clients:
        each.join()
    tasks = JOBS * STEP["count"]
    fleet.wait(lambda: len(fleet.record.runs) >= tasks, 1.0, 0.02)
    at_work = {worker.name: len(worker.running) for worker in fleet.workers}
    if max(at_work.values()) < LISTED + 20:
        raise CannotRun(f"too few tasks are at work at the same time: {at_work}")
    if trouble:
        fleet.record.write(f"STORE busy (503); at work: {at_work}")
        fleet.store.be_down("busy", OUTAGE_S)
        fleet.record.write("STORE back")
    if not fleet.wait(lambda: all(fleet.state(job, quiet=True) == "completed" for job in jobs),
                      40, 0.5):
        fleet.record.write("not all jobs have completed")
    time.sleep(2)
    fleet.record.write(f"{len(fleet.record.runs)} runs of {tasks} tasks")
    fleet.record.check_twice()
    for node in fleet.nodes:
        lines = fleet.log_lines(node, ["reason=not_there"])
        fleet.record.write(f"{node.name}: {len(lines)} lines like: {lines[:1]}")


if __name__ == "__main__":
    play(FOLDER, body, nodes=WORKERS)
