"""A worker restarts under its id and, a little later, answers no calls for some seconds."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
from deployment import TROUBLE, play

NODES = 8  # one of them is 0.125 of the workers
HOLD_MAX_MS = 10_000  # hold_max_ms of the site
DOWN_S, MUTE_S = 0.5, 7.0
JOB = "7c1e0000000000a1"
STEPS = [{"count": 24, "cpu": 1000, "mem_mb": 200, "estimate_ms": 30_000}]


def plan(_task, _run):
    return 30.0, "done"


def body(deployment):
    record, worker = deployment.record, deployment.workers[0]
    time.sleep(8.0)
    if TROUBLE:
        worker.crash()
        time.sleep(DOWN_S)
        worker.boot()
    time.sleep(2.0)
    deployment.submit(JOB, STEPS)
    time.sleep(1.0)
    record.add("check", f"lease of {worker.name} ends in "
                        f"{worker.lease_until - time.monotonic():.1f} s")
    if TROUBLE:
        record.add(worker.name, f"answers no call for {MUTE_S} s; its runs go on")
        worker.mute = True
        time.sleep(MUTE_S)
        worker.mute = False
    time.sleep(6.0)
    return [f"TWICE: {late['task']} run {late['run']} started on {late['worker']} at "
            f"{late['start']:.2f} s beside run {early['run']} on {early['worker']}, which ended at "
            f"{early['end'] or record.now():.2f} s ({early['how'] or 'still running'})"
            for early, late in record.doubles]


play(os.path.dirname(os.path.abspath(__file__)), body, plan=plan, nodes=NODES,
     hold_max_ms=HOLD_MAX_MS)
