"""A job with more tasks than its progress fits into a record of the store: the append is refused
and repeated for ever, and nothing else is stored, started or accepted any more."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
sys.dont_write_bytecode = True

from fleet import CannotRun, play  # noqa: E402

TASKS = int(os.environ.get("TASKS", "4000"))
USUAL_TASKS = 32
FINISH_S = 14.0  # bounds.finish_s
IDLE_S = 3.0

LARGE, EARLIER, LATER = "5c0e7a21d94b36f8", "0a11c0de5c0e7a21", "0b22c0de5c0e7a21"
SMALL_STEPS = [{"count": 6, "cpu": 480, "mem_mb": 960, "estimate_ms": 2000},
               {"count": 6, "cpu": 480, "mem_mb": 960, "estimate_ms": 2000, "depends_on": [0]}]


def body(fleet, trouble):
    step = {"count": TASKS if trouble else USUAL_TASKS, "cpu": 15, "mem_mb": 20,
            "estimate_ms": 2000}
    for job in (LARGE, EARLIER, LATER):
        fleet.plans[job] = lambda task, run: (2.0, "done")
    if fleet.submit(EARLIER, SMALL_STEPS)[-1] != 200:
        raise CannotRun("the first job was not accepted")
    time.sleep(1)
    fleet.submit(LARGE, [step], attempts=2)
    fleet.submit(LATER, SMALL_STEPS)
    fleet.record.write("end of the traffic")
    time.sleep(FINISH_S)
    # From here on the jobs are asked for.
    idle_since, state = time.monotonic(), None
    while time.monotonic() - idle_since < IDLE_S:
        state = fleet.state(EARLIER, quiet=True)
        if state == "completed" or any(worker.running for worker in fleet.workers):
            break
        time.sleep(0.2)
    fleet.record.write(f"{EARLIER}: {state}, at work on the workers: "
                       f"{[len(worker.running) for worker in fleet.workers]}")
    fleet.state(EARLIER)
    fleet.state(LARGE)
    fleet.state(LATER)
    second = fleet.record.runs_of(EARLIER + ".0.1.")
    if state != "completed" and time.monotonic() - idle_since >= IDLE_S and not second:
        fleet.record.broke("LOST", f"{EARLIER} was accepted; for {IDLE_S} s nothing of it runs, its"
                                   " second step has never started, and all workers are empty")
    owner = fleet.owner()
    if owner is not None:
        lines = fleet.log_lines(fleet.nodes[owner], ["store_call_failed call=append", "event=store"])
        fleet.record.write(f"owner: {len(lines)} lines like: {lines[-1:]}")


if __name__ == "__main__":
    play(FOLDER, body, nodes=3)
