"""The owner's machine freezes and wakes again in a rolling restart. A job that was accepted meanwhile
must stay known."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "kit-3"))
import kit  # noqa: E402

NODES = 2
EARLIER_JOB = "11aa11aa11aa11aa"
JOB = "11bb11bb11bb11bb"
SHORT_S, LONG_S = 0.3, 40.0
FREEZE_S = 4.0
SUBMIT_AT_S = 2.4  # from the beginning of the freeze
STOP_AT_S = 3.4
DOWN_S = 1.2  # from the SIGTERM of the node to its next start
GATEWAY_DOWN_S = 0.5  # from its end to its next start
CALM_S = 8.0  # from the last start to the first question
ASKED = 10


def play(record, trouble):
    deployment = kit.Deployment(
        record, gateways=1, nodes=NODES,
        work_s=lambda task: LONG_S if task.startswith(JOB) else SHORT_S)
    try:
        if not deployment.wait_until_served():
            return kit.NOT_RUN
        time.sleep(3.0)
        if not hand_in(deployment, EARLIER_JOB, SHORT_S) or not kit.wait_for(
                lambda: record.find("run_ended", how="done"), 5.0):
            return kit.NOT_RUN
        time.sleep(1.0)
        first = deployment.node_of_owner()
        frozen, other = deployment.nodes[first], deployment.nodes[1 - first]
        begin = time.monotonic()

        def sleep_until(at):
            time.sleep(max(0.0, begin + at - time.monotonic()))

        if trouble:
            frozen.suspend()
            record.write("frozen", node=frozen.name)
        sleep_until(SUBMIT_AT_S)
        if not hand_in(deployment, JOB, LONG_S) or not kit.wait_for(
                lambda: record.find("run_started", task=JOB + ".0.0.0"), 0.8):
            return kit.NOT_RUN
        if trouble:
            sleep_until(STOP_AT_S)
            restarts = [threading.Thread(target=restart, args=(process, record, down_s))
                        for process, down_s in ((other, DOWN_S),
                                                (deployment.gateways[0], GATEWAY_DOWN_S))]
            for each in restarts:
                each.start()
            sleep_until(FREEZE_S)
            frozen.resume()
            record.write("woken", node=frozen.name)
            for each in restarts:
                each.join()
        time.sleep(CALM_S)
        answers = []
        for _ in range(ASKED):
            answers.append(deployment.call("GET", "/jobs/" + JOB))
            time.sleep(0.5)
        gone = sum(1 for status, _ in answers if status == 410)
        known = sum(1 for status, body in answers
                    if status == 200 and body.get("state") == "running")
        stopped = record.find("run_ended", task=JOB + ".0.0.0", how="stopped")
        record.write("judged", answered_410=gone, running=known, runs_stopped=len(stopped),
                     owner_by_the_store=deployment.node_of_owner())
        if gone:
            return kit.BROKEN
        return kit.HELD if known else kit.NOT_RUN
    finally:
        deployment.close()


def hand_in(deployment, job, work_s):
    step = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": int(work_s * 1000)}
    return deployment.submit("/jobs/" + job, {"spec": job, "steps": [step]})


def restart(process, record, down_s):
    record.write("sigterm", process=process.name)
    record.write("ended", process=process.name, exit=process.terminate())
    time.sleep(down_s)
    process.start()
    record.write("started", process=process.name)


kit.main(HERE, play)
