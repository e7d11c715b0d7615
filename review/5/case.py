"""More than half of the side machines are lost for good at the same moment: the lasting tasks that
were there are not started on the others, which have room, for more than 20 seconds."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
sys.dont_write_bytecode = True

from fleet import CannotRun, play  # noqa: E402

MACHINES, LOST = 5, 3
JOB = "5c0e7a21d94b36f8"
# Four of a worker's tasks take 25.6 of its 32 cores, so two workers have room for all eight.
STEP = {"count": 8, "cpu": 6400, "mem_mb": 13000, "estimate_ms": 320, "long_running": True,
        "target_ms": 60, "image": "conciliacion-1", "max_per_server": 4}
# LOST: from 6 s after the last run of a task that lasts, it has nothing running for 3 s although
# there is room, and these 3 s and the 4 s before them are calm.
AFTER_LAST_RUN_S, IDLE_S, CALM_S = 6.0, 3.0, 4.0


def body(fleet, trouble):
    def open_tasks():
        return {run["task"] for run in fleet.record.runs_of(JOB) if run["ended"] is None}

    fleet.plans[JOB] = lambda task, run: (float("inf"), "failed")  # lasts
    fleet.submit(JOB, [STEP])
    if not fleet.wait(lambda: len(open_tasks()) == STEP["count"], 10):
        raise CannotRun("the lasting tasks are not at work")
    time.sleep(2)
    # Machines with lasting tasks first; the owner of the jobs stays.
    lost = sorted((number for number in range(MACHINES) if number != fleet.owner()),
                  key=lambda number: -len(fleet.workers[number].running))[:LOST]
    if not fleet.workers[lost[0]].running:
        raise CannotRun("all lasting tasks are on the machine that stays")
    if trouble:
        for number in lost:
            fleet.nodes[number].kill()
            fleet.workers[number].crash()
        fleet.record.write(f"LOST for good: {[fleet.nodes[number].name for number in lost]} and "
                           "their workers")
    began = fleet.record.now()
    tasks = {f"{JOB}.0.0.{index}" for index in range(STEP["count"])}
    waited = {}
    while fleet.record.now() - began < 40:
        time.sleep(0.1)
        now, running = fleet.record.now(), open_tasks()
        for task in tasks - running:
            since = max(run["ended"] for run in fleet.record.runs_of(JOB) if run["task"] == task)
            waited[task] = now - since
            bound = max(since + AFTER_LAST_RUN_S, began + CALM_S) + IDLE_S
            if now > bound and not any(task in text for text in fleet.record.broken):
                fleet.record.broke("LOST", f"{task} is to last and has not run for "
                                   f"{now - since:.1f} s; {MACHINES - LOST} workers have room for "
                                   "it, and nothing has been disturbed since")
        if trouble and running == tasks:
            break
    fleet.record.write("seconds without a run: "
                       + str({task: round(seconds, 1) for task, seconds in waited.items()}))
    for process in fleet.nodes:
        for line in fleet.log_lines(process, ["event=runs_lost", "event=member_removed"]):
            fleet.record.write(f"{process.name}: {line}")


if __name__ == "__main__":
    play(FOLDER, body, nodes=MACHINES)
