"""Two of four machines are lost for good at once, the partition's owner among them."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
from deployment import TROUBLE, CannotRun, play

RUNS_AGAIN_S, CALM_BEFORE_S, ROOM_S, STABILITY_S = 6.0, 4.0, 3.0, 3.0
JOB = "7c1e0000000000b1"
STEPS = [{"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 300, "long_running": True,
          "max_per_server": 1}]
WATCHED_S = 40.0


def plan(_task, _run):
    return 1e6, "done"


def at_work(record):
    return {run["task"]: run for run in record.runs if run["end"] is None}


def body(deployment):
    record = deployment.record
    deployment.submit(JOB, STEPS)
    tasks = [f"{JOB}.0.0.{index}" for index in range(2)]
    deadline = time.monotonic() + 10
    while set(at_work(record)) != set(tasks):
        if time.monotonic() > deadline:
            raise CannotRun("the tasks did not start")
        time.sleep(0.05)
    time.sleep(4.0)
    owner = deployment.owner()
    hosts = {int(run["worker"].split("-")[1]) for run in at_work(record).values()}
    other = min(hosts - {owner})
    zero = record.now()
    if TROUBLE:
        record.add("check", f"side-{owner}, which holds the partition, and side-{other} lose power "
                            "for good, with their workers")
        lost = [threading.Thread(target=deployment.workers[number].crash)
                for number in (owner, other)]
        for number in (owner, other):
            deployment.nodes[number].signal(signal.SIGKILL)
        for thread in lost:
            thread.start()
    broken = []
    absent = {}
    end = time.monotonic() + WATCHED_S
    first = zero + max(RUNS_AGAIN_S, STABILITY_S + CALM_BEFORE_S)
    while time.monotonic() < end:
        now = record.now()
        for task in tasks:
            if task in at_work(record):
                if task in absent:
                    record.add("check", f"{task} runs again {now - zero:.1f} s after the loss")
                    del absent[task]
            else:
                absent.setdefault(task, now)
                text = (f"LOST: {task} has not run since the loss of its worker, {ROOM_S} s after "
                        "the 6 s and the calm that the rule grants")
                if now - first > ROOM_S and text not in broken:
                    broken.append(text)
        time.sleep(0.05)
    return broken


play(os.path.dirname(os.path.abspath(__file__)), body, plan=plan, nodes=4, racks=2)
