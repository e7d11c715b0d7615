"""The settings files of two machines change, and one bound is a fraction. The programs must start with
them in the rolling restart that follows."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "kit-3"))
import kit  # noqa: E402

NODES = 3
CHANGED = 2  # of four machines
KEY, FRACTION = "bounds.grace_s", "6.5"  # 6 before
DOWN_S = 0.5
UP_S = 2.0
STARTS = 3  # the rule counts three ends
JOB = "14aa14aa14aa14aa"
STEP = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 300}


def play(record, trouble):
    deployment = kit.Deployment(record, gateways=1, nodes=NODES, work_s=lambda task: 0.3)
    try:
        if not deployment.wait_until_served():
            return kit.NOT_RUN
        time.sleep(3.0)
        machines = deployment.nodes[:CHANGED]
        for machine in machines if trouble else []:
            change_settings(machine, record)
        ended = [ends_by_itself(machine, record) for machine in machines]
        served = deployment.submit("/jobs/" + JOB, {"spec": "case 14", "steps": [STEP]})
        broken = sum(1 for ends in ended if ends >= STARTS)
        record.write("judged", machines_that_do_not_start=broken, of_changed=CHANGED,
                     job_accepted=served)
        if broken >= CHANGED:
            return kit.BROKEN
        return kit.HELD if served and not any(ended) else kit.NOT_RUN
    finally:
        deployment.close()


def change_settings(machine, record):
    with open(machine._settings_path, encoding="utf-8") as file:
        lines = file.read().splitlines()
    lines = [f"{KEY}={FRACTION}" if line.startswith(KEY + "=") else line for line in lines]
    with open(machine._settings_path, "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")
    record.write("settings_changed", machine=machine.name, key=KEY, value=FRACTION)


def ends_by_itself(machine, record):
    """Stops and starts the machine's process, again after each end, as the platform does. Returns how
    often it has ended by itself."""
    record.write("ended", machine=machine.name, exit=machine.terminate())
    for ends in range(STARTS):
        time.sleep(DOWN_S)
        machine.start()
        record.write("started", machine=machine.name)
        time.sleep(UP_S)
        code = machine.ended_by_itself()
        if code is None:
            return ends
        record.write("ended_by_itself", machine=machine.name, exit=code)
    return STARTS


kit.main(HERE, play)
