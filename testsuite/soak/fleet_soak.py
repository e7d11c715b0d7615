#!/usr/bin/env python3
"""Runs the real programs on loopback under faults drawn from a seed, and checks the promises to
callers, workers and operators meanwhile and afterwards.

Prints one line for each seed; ends with 1 if a promise was broken. The logs of such a run are
kept, and `--first SEED` plays its faults again; their effects also depend on the machine's timing.

Links between the programs themselves are not proxied: pauses and kills silence and reset them. Wall
clocks cannot be set without privileges and are left alone."""

import argparse
import concurrent.futures
import os
import random
import shutil
import subprocess
import sys
import tempfile
import threading
import time

from client import Client, CrashClient, LoadClient
from deployment import QUEUE, Deployment
from faults import Faults
from promises import Promises
from jobs import MAX_ATTEMPTS

START_S = 15.0  # until the system answers for the first time
CALM_TRAFFIC_S = 11.0  # after the last fault, until the traffic ends
CALM_S = 3.0  # after the last fault, before bounds in time hold again
PLATFORM_FINISH_S = 14.0  # until all jobs have ended, beside the backlog
FINISH_S = 30.0  # the same, with a backlog that is not longer than 16 s
LASTING_S = 6.0  # until lasting tasks are at work
CONFIG_S = 2.0  # until a new version is in force
KEPT_LOG_LINES = 40
REGRESSIONS_AT_ONCE = 2  # a run mostly waits


class SoakRun:
    def __init__(self, options, seed):
        self._options = options
        self._random = random.Random(seed)
        # Of their own, so that the seeds keep their faults.
        self._load_seed = f"{seed} load"
        self._crash_seed = f"{seed} crashes"
        self._shrink_seed = f"{seed} shrink"
        self._heartbeat_seed = f"{seed} heartbeats"
        self._contradiction_seed = f"{seed} contradictions"
        self._watching = True
        self._jobs = {}
        self.promises = Promises(self._jobs)
        self.directory = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        self._deployment = Deployment(
            options.build, self.directory, self.promises, self._jobs, seed, options.gateways,
            options.nodes)
        self.faults = None
        self._backlog_s = 0.0  # when the traffic ended
        self._idle = []  # jobs that were found to stand still
        self._clients = []

    def _client(self, number, rate):
        return Client(number, self._deployment.gateway_addresses, self._jobs, self.promises, QUEUE,
                      rate, self._random.getrandbits(32))

    def _wait(self, condition, timeout_s):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if condition():
                return True
            time.sleep(0.1)
        return False

    def _served(self, probe):
        return probe.call("GET", QUEUE)[0] == 200

    def play(self):
        probe = self._client(-1, 1)
        if not self._wait(lambda: self._served(probe), START_S):
            self.promises.broke("START", f"no answer within {START_S} s")
            return
        self._clients = [self._client(number, self._options.rate)
                         for number in range(self._options.clients)]
        self._clients.append(LoadClient(len(self._clients), self._deployment.gateway_addresses,
                                        self._jobs, self.promises, QUEUE, 0,
                                        self._load_seed))
        self._clients.append(CrashClient(len(self._clients), self._deployment.gateway_addresses,
                                         self._jobs, self.promises, QUEUE, 0, self._crash_seed))
        for client in self._clients:
            client.start()
        self.faults = Faults(self._deployment, self.promises, self._random,
                             random.Random(self._shrink_seed),
                             random.Random(self._heartbeat_seed),
                             random.Random(self._contradiction_seed), self._options.span_s,
                             self._options.faults)
        watcher = threading.Thread(target=self._watch_lasting, daemon=True)
        watcher.start()
        self.faults.play()
        self._deployment.heal()
        time.sleep(CALM_TRAFFIC_S)
        self._watching = False
        watcher.join()
        for client in self._clients:
            client.stop()
        open_jobs = [job for job in self._jobs.values() if job.accepted and not job.lasting
                     and job.state not in ("completed", "failed", "cancelled")]
        self._backlog_s = self.promises.backlog_s(open_jobs, self._deployment.workers)
        time.sleep(CALM_S)
        self._check_calm(probe)

    def _watch_lasting(self):
        while self._watching:
            self.promises.check_lasting(self._deployment.workers, self.faults.quiet_s())
            time.sleep(0.1)

    def _check_calm(self, probe):
        version = self._deployment.publish_config()
        time.sleep(CONFIG_S)
        probe.disconnect()  # its gateway may have been killed since its last call
        status, _, _ = probe.call("GET", self._deployment.queue_path(version))
        if status != 200:
            self.promises.broke("CONFIG", f"version {version} is not in force: status {status}")
        owed = [job for job in self._jobs.values() if job.accepted and not job.lasting]
        self._wait(lambda: self._are_over(probe, owed),
                   max(FINISH_S, PLATFORM_FINISH_S + self._backlog_s))
        for job in owed:
            if not self._is_over(probe, job):
                self.promises.broke("LOST", f"{job.name} is {job.state} at the end")
            elif job.crashing and job.state != "failed":
                self.promises.broke("BUDGET", f"{job.name} crashes its workers and is {job.state}")
        for job in self._jobs.values():
            self.promises.check_refused(job)
            if job.lasting and job.accepted and not self._wait(
                    lambda one=job: self.promises.working(one)
                    == one.document["steps"][0]["count"], LASTING_S):
                self.promises.broke("LOST", f"lasting tasks of {job.name} are not at work")
            if job.cancelled and job.state == "cancelled" and self.promises.working(job):
                self.promises.broke("UNASKED", f"tasks of {job.name} run on after its cancelling")
        self.promises.check_end(MAX_ATTEMPTS)
        for process in self._deployment.processes:
            if process.ended_by_itself() is not None:
                self.promises.broke("EXIT", f"{process.name} ended by itself")

    def _are_over(self, probe, jobs):
        """Whether all jobs have ended. Checks that none of the others stands still."""
        still_open = [job for job in jobs if not self._is_over(probe, job)]
        for job in self.promises.find_idle(still_open, self._deployment.workers):
            if job not in self._idle and not self._is_over(probe, job):
                self._idle.append(job)
                self.promises.broke("LOST", f"{job.name} is {job.state} and stands still, with "
                                            "room for it")
        return not still_open

    def _is_over(self, probe, job):
        return job.state in ("completed", "failed", "cancelled") \
            or probe.look(job) in ("completed", "failed", "cancelled")

    def close(self):
        for client in self._clients:
            client.stop()
        self._deployment.close()

    def summary(self):
        accepted = sum(1 for job in self._jobs.values() if job.accepted)
        completed = sum(1 for job in self._jobs.values() if job.state == "completed")
        crashes = sum(worker.crashes for worker in self._deployment.workers)
        return f"{len(self._jobs)} jobs, {accepted} accepted, {completed} seen completed, " \
               f"{crashes} workers crashed by tasks, " \
               f"lasting tasks waited up to {self.promises.longest_wait_s:.1f} s, " \
               f"backlog {self._backlog_s:.1f} s, " \
               f"{len(self.promises.broken)} promises broken"


def play_seed(options, seed):
    run = SoakRun(options, seed)
    try:
        run.play()
    finally:
        run.close()
    print(f"seed {seed}: {run.summary()}", flush=True)
    if not run.promises.broken:
        shutil.rmtree(run.directory)
        return True
    for line in run.promises.broken[:KEPT_LOG_LINES]:
        print("  broken:", line)
    for line in run.faults.log if run.faults else []:
        print("  fault:", line)
    print("  logs:", run.directory, flush=True)
    return False


def regression_seeds():
    path = os.path.join(os.path.dirname(os.path.abspath(__file__)), "regressions.txt")
    with open(path, encoding="utf-8") as file:
        return [int(line.split()[0]) for line in file if line.strip() and line[0] != "#"]


def play_regression(options, seed):
    """In a process of its own, so that several can be played at once."""
    played = subprocess.run([sys.executable, os.path.abspath(__file__), f"--build={options.build}",
                             f"--first={seed}", "--seeds=1"], stdout=subprocess.PIPE, text=True,
                            check=False)
    print(played.stdout, end="", flush=True)
    return played.returncode == 0


def play_regressions(options):
    with concurrent.futures.ThreadPoolExecutor(REGRESSIONS_AT_ONCE) as pool:
        return list(pool.map(lambda seed: play_regression(options, seed), regression_seeds()))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=os.environ.get("PLANTAIN_BUILD", "build"),
                        help="directory of the programs")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--regressions", action="store_true",
                        help="play the seeds of regressions.txt instead")
    parser.add_argument("--faults", type=int, default=10, help="faults in a run")
    parser.add_argument("--span_s", type=float, default=12.0, help="seconds with faults")
    parser.add_argument("--clients", type=int, default=4)
    parser.add_argument("--rate", type=float, default=1.5, help="jobs a second of each client")
    parser.add_argument("--gateways", type=int, default=2)
    parser.add_argument("--nodes", type=int, default=4)
    options = parser.parse_args()
    results = play_regressions(options) if options.regressions else [
        play_seed(options, seed)
        for seed in range(options.first, options.first + options.seeds)]
    print(f"{results.count(True)} of {len(results)} seeds kept all promises")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
