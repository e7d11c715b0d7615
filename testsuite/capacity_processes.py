"""Processor time and memory of the real processes, with sockets and HTTP, for docs/CAPACITY.md.

Counts what plantain-bench --only=capacity leaves out. All processes run on this machine.
"""

import os
import sys
import time

from cluster import Cluster, call, wait_until

BUILD = os.environ.get("PLANTAIN_BUILD", "build")
MEASURED_S = 10


def processor_seconds(program):
    """User and system time of a process, see proc(5)."""
    with open(f"/proc/{program.process.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(program):
    with open(f"/proc/{program.process.pid}/status", encoding="ascii") as status:
        line = next(text for text in status if text.startswith("VmRSS:"))
    return int(line.split()[1]) / 1024


def start_tasks(cluster, tasks):
    """Publishes a template of small tasks through the API and waits until all tasks run."""
    admin = cluster.entries[0].admin_port
    documents = (
        ("/v1/templates/payout", {
            "version": 1, "name": "payout", "kind": "batch", "command": "run_ms=600000",
            "task_resources": {"processors_milli": 100, "memory_bytes": 1000000}}),
        ("/v1/accounts/acme/parameters/payout", {
            "version": 1, "account": "acme", "template": "payout", "task_count": tasks}))
    for path, document in documents:
        status, body = call(admin, "PUT", path + "?base_revision=0", document)
        if status != 200:
            raise RuntimeError(f"{path}: {status} {body}")
    status, body = call(admin, "POST", "/v1/jobs",
                        {"version": 1, "account": "acme", "template": "payout",
                         "id": "capacity"})
    if status not in (200, 201):
        raise RuntimeError(f"/v1/jobs: {status} {body}")
    wait_until(lambda: len(cluster.running_tasks(cluster.vms[0])) == tasks, 30, "all tasks run")


def measure(entries, vms, tasks=0):
    with Cluster(BUILD) as cluster:
        cluster.start_entries(entries)
        for _ in range(vms):
            cluster.start_vm("strike-payout")
        wait_until(lambda: len(cluster.entries[0].status()["vms"]) == vms, 20, "VMs are known")
        if tasks:
            start_tasks(cluster, tasks)
        programs = [cluster.entries[0].program, cluster.vms[0].agent]
        before = [processor_seconds(program) for program in programs]
        time.sleep(MEASURED_S)
        for kind, program, start in zip(("entry", "agent"), programs, before):
            used = (processor_seconds(program) - start) / MEASURED_S
            print(f"{entries} entries, {vms} VMs, {tasks} tasks: {kind} {used * 100:.2f} % of a "
                  f"core, {resident_mb(program):.1f} MB resident", flush=True)


def main():
    for entries, vms in ((1, 1), (3, 1), (6, 1), (1, 4), (1, 16)):
        measure(entries, vms)
    for tasks in (10, 20, 40):
        measure(1, 1, tasks)


if __name__ == "__main__":
    sys.exit(main())
