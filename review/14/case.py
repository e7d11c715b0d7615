"""A worker goes down and up for some seconds; the only task that needs it must not be given up."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "kit-3"))
import kit  # noqa: E402

NODES = 7  # one worker of seven: 0.143 of the service
PERIOD_S = 1.0
FOR_S = 6.5
JOB = "14aa14aa14aa14aa"
STEP = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 2000, "required_label": "b"}


def play(record, trouble):
    deployment = kit.Deployment(record, gateways=1, nodes=NODES, work_s=lambda task: 2.0,
                                labels=lambda number: ["b" if number == 0 else "a",
                                                       f"r{number // 3}"])
    try:
        if not deployment.wait_until_served():
            return kit.NOT_RUN
        time.sleep(4.0)
        if not deployment.submit("/work/" + JOB, {"spec": "case 14", "steps": [STEP]}):
            return kit.NOT_RUN
        worker = deployment.workers[0]
        if not kit.wait_for(lambda: record.find("run_started", worker=worker.name), 10.0):
            return kit.NOT_RUN
        time.sleep(1.0)
        if trouble:
            flap(worker, record)
        state = None
        deadline = time.monotonic() + 40.0
        while time.monotonic() < deadline and state not in ("completed", "failed", "cancelled"):
            time.sleep(0.5)
            state = deployment.call("GET", "/work/" + JOB)[1].get("state", state)
        failed_ends = record.find("run_ended", how="failed")
        record.write("judged", state=state, ends_failed=len(failed_ends))
        if state == "completed":
            return kit.HELD
        return kit.BROKEN if state in ("failed", "cancelled") and not failed_ends else kit.NOT_RUN
    finally:
        deployment.close()


def flap(worker, record):
    record.write("flap_begins", worker=worker.name)
    begin = time.monotonic()
    while time.monotonic() - begin < FOR_S:
        worker.crash()
        time.sleep(PERIOD_S / 2)
        worker.boot()
        time.sleep(PERIOD_S / 2)
    record.write("flap_ends", worker=worker.name)


kit.main(HERE, play)
