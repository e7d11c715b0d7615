"""One worker goes down and up by turns: the lasting job whose task belongs there is given up as
failed, and its sound tasks on all other workers are stopped."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
sys.dont_write_bytecode = True

from fleet import CannotRun, play  # noqa: E402

WORKERS = 10
FLAPPING = 3  # one worker of ten: a share of 0.1
PERIOD_S, FLAP_S = 1.4, 6.5
JOB = "5c0e7a21d94b36f8"
STEP = {"count": WORKERS, "cpu": 6400, "mem_mb": 13000, "estimate_ms": 320, "long_running": True,
        "target_ms": 60, "image": "conciliacion-1", "max_per_server": 1}


def body(fleet, trouble):
    def at_work():
        return sum(1 for run in fleet.record.runs_of(JOB) if run["ended"] is None)

    fleet.plans[JOB] = lambda task, run: (float("inf"), "failed")  # lasts
    fleet.submit(JOB, [STEP])
    if not fleet.wait(lambda: at_work() == WORKERS, 10):
        raise CannotRun("the lasting tasks are not at work")
    time.sleep(2)
    if trouble:
        worker = fleet.workers[FLAPPING]
        end = time.monotonic() + FLAP_S
        while time.monotonic() < end:
            worker.crash()
            fleet.record.write(f"DOWN {worker.name}")
            time.sleep(PERIOD_S / 2)
            worker.boot()
            fleet.record.write(f"UP {worker.name}")
            time.sleep(PERIOD_S / 2)
    time.sleep(10)  # calm
    state = fleet.state(JOB)
    ends = [run["how"] for run in fleet.record.runs_of(JOB) if run["how"]]
    fleet.record.write(f"state {state}, tasks at work: {at_work()} of {WORKERS}; ends of runs: "
                       + ", ".join(f"{ends.count(how)} {how}" for how in sorted(set(ends))))
    if state in ("failed", "cancelled") and "failed" not in ends:
        fleet.record.broke("LOST", f"{JOB} is shown as {state}; nobody cancelled it, and no run of "
                                   "it has ended `failed`")
    for node in fleet.nodes:
        for line in fleet.log_lines(node, ["task_given_up"]):
            fleet.record.write(f"{node.name}: {line}")


if __name__ == "__main__":
    play(FOLDER, body, nodes=WORKERS)
