"""All processes are killed right after a client's job was accepted; is the job known then?"""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
from deployment import TROUBLE, play

SLOW_X = 94.0  # largest dose of platform_slow in the site file
CLIENTS = 10  # of a zone
RESTART_S = 0.2  # until a killed process is started again
DOWN_S = 1.5  # of kill_all
VISIBLE_S = 3.0
STEPS = [{"count": 1, "cpu": 500, "mem_mb": 200, "estimate_ms": 300}]


def plan(_task, _run):
    return 0.3, "done"


def body(deployment):
    record, front = deployment.record, deployment.gateways[0]
    accepted, first_ack = {}, threading.Event()

    def submit(job, watch):
        status, _ = deployment.submit(job, STEPS)
        if 200 <= status < 300:
            accepted[job] = record.now()
            if watch:
                first_ack.set()

    def burst(group, watch):
        threads = [threading.Thread(target=submit, args=("7c1e%04x000000c1" % (group + number),
                                                         watch)) for number in range(CLIENTS)]
        for thread in threads:
            thread.start()
        return threads

    if TROUBLE:
        deployment.store.slow_x = SLOW_X
        record.add("store", f"answers take {SLOW_X:.0f} times as long")
    burst(0x100, False)
    time.sleep(0.1)
    if TROUBLE:
        front.kill()
        time.sleep(RESTART_S)
        front.start()
        deployment.wait_for_readiness(0)
    burst(0x200, True)
    first_ack.wait(5.0)
    if TROUBLE:
        record.add("check", "all processes are killed, right after a client's work was accepted")
        for process in deployment.gateways + deployment.nodes:
            process.signal(signal.SIGKILL)
        for process in deployment.gateways + deployment.nodes:
            process.kill()
        deployment.store.slow_x = 1.0
        time.sleep(DOWN_S)
        for process in deployment.gateways + deployment.nodes:
            process.start()
        deployment.wait_until_ready(25.0)
    time.sleep(VISIBLE_S + 6.0)
    broken = []
    for job, at in sorted(accepted.items()):
        status, content = deployment.state(job)
        if status == 410:
            broken.append(f"LOST: job {job}, accepted with 2xx at {at:.3f} s, is answered 410 "
                          f"{record.now() - at:.1f} s later; runs of it: "
                          f"{sum(run['task'].startswith(job) for run in record.runs)}")
    record.add("check", f"{len(accepted)} jobs accepted")
    return broken


play(os.path.dirname(os.path.abspath(__file__)), body, plan=plan, nodes=3)
