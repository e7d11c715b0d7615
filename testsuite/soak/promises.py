"""What callers, workers and the store were promised, checked while the soak runs."""

import threading
import time
from collections import defaultdict

RUNS_AGAIN_S = 6.0  # after its last run: from then on a lasting task may not leave room unused
ROOM_S = 3.0  # for this long
QUIET_S = 7.0  # without faults, before the bound holds
MAX_CRASHES = 5  # under one task, of workers whose nodes saw them
SHRUNK_S = 4.5  # from the announcement of a smaller capacity until starts have to respect it


class Promises:
    def __init__(self, jobs):
        self._lock = threading.RLock()
        self._jobs = jobs
        self._runs = defaultdict(list)  # by task: records of all its runs
        self._crashes_seen = defaultdict(int)  # by task
        self._reported = set()  # lasting tasks that were found without a run
        self._room_since = {}  # by lasting task without a run: since when there is room for it
        self._idle_since = {}  # by job with a task whose turn has come: the same, if none runs
        self.longest_wait_s = 0.0  # of a lasting task with room for it, in spans without faults
        self.broken = []

    def _break(self, rule, text):
        self.broken.append(f"{rule} at {time.monotonic():.3f}: {text}")

    def run_started(self, worker, run, request):
        with self._lock:
            now = time.monotonic()
            name, occurrence, step, index = parse(run.task)
            job = self._jobs.get(name)
            if not job:
                self._break("UNASKED", f"{run.task} of an unknown job")
                return
            job.started = True
            if request["spec"] != job.document["spec"]:
                self._break("UNASKED", f"{run.task} with another payload")
            for earlier in self._runs[run.task]:
                if earlier["ended"] is None:
                    self._break("TWICE", f"{run.task}/{run.number} on {worker.name} beside run "
                                         f"{earlier['number']} on {earlier['worker']}, which "
                                         f"has run since {earlier['started']:.3f}")
            self._runs[run.task].append({"number": run.number, "worker": worker.name,
                                         "born": worker.born, "started": now, "ended": None,
                                         "how": None, "end_number": None, "noted": False,
                                         "lapsed": False})
            self._check_order(run, job, occurrence, step)
            self._check_room(worker, run, request.get("received", now))

    def _check_order(self, run, job, occurrence, step):
        for earlier in job.document["steps"][step].get("depends_on", []):
            for index in range(job.document["steps"][earlier]["count"]):
                task = f"{job.name}.{occurrence}.{earlier}.{index}"
                if not any(each["how"] == "done" for each in self._runs[task]):
                    self._break("ORDER", f"{run.task} before {task}")
                    return

    def _check_room(self, worker, run, received):
        """A worker may carry out an order long after it has received it."""
        steps_by_task = {task: self._jobs[parse(task)[0]].document["steps"][parse(task)[2]]
                         for task in worker.running}
        steps = list(steps_by_task.values())
        started = steps_by_task[run.task]
        reserved = sum(step["cpu"] for step in steps if not step.get("fills"))
        memory = sum(step["mem_mb"] for step in steps)
        ends = [since + SHRUNK_S for since, _ in worker.capacities[1:]] + [float("inf")]
        counted = [capacity for (_, capacity), end in zip(worker.capacities, ends)
                   if end > received]
        cpu = max(capacity["cpu"] for capacity in counted)
        mem_mb = max(capacity["mem_mb"] for capacity in counted)
        takes_cpu = started["cpu"] > 0 and not started.get("fills")
        if (takes_cpu and reserved > cpu) or (started["mem_mb"] > 0 and memory > mem_mb):
            self._break("LIMIT", f"{run.task} brings {worker.name} to {reserved} of {cpu} mcpu, "
                                 f"{memory} of {mem_mb} MB")

    def _find(self, worker, run):
        return next(each for each in self._runs[run.task] if each["number"] == run.number
                    and each["worker"] == worker.name and each["born"] == worker.born)

    def run_ended(self, worker, run, how, number):
        with self._lock:
            record = self._find(worker, run)
            record.update(ended=time.monotonic(), how=how, end_number=number)

    def run_gone(self, worker, run):
        """The worker has crashed."""
        with self._lock:
            record = self._find(worker, run)
            record.update(ended=time.monotonic(), how="crashed")

    def crash_seen(self, run):
        """The run has crashed its worker, and the node beside it has lived on and seen it. Crashes
        that no node saw are not counted: no machine in touch knows of them."""
        with self._lock:
            self._crashes_seen[run.task] += 1
            if self._crashes_seen[run.task] > MAX_CRASHES:
                self._break("BUDGET", f"{run.task}/{run.number} is the start "
                                      f"{self._crashes_seen[run.task]} that crashed a worker")

    def _ended_on(self, worker):
        return [each for runs in self._runs.values() for each in runs
                if each["worker"] == worker.name and each["born"] == worker.born
                and each["end_number"]]

    def ends_noted(self, worker, number):
        with self._lock:
            for each in self._ended_on(worker):
                if each["end_number"] <= number:
                    each["noted"] = True

    def lease_lapsed(self, worker):
        """Ends that have not been noted by then count as no attempts, even if they are noted
        later."""
        with self._lock:
            for each in self._ended_on(worker):
                if not each["noted"]:
                    each["lapsed"] = True

    def working(self, job):
        """Tasks of the job that run now."""
        with self._lock:
            return sum(1 for task, runs in self._runs.items() if parse(task)[0] == job.name
                       and any(each["ended"] is None for each in runs))

    def check_lasting(self, workers, quiet_s):
        """While traffic runs: lasting tasks without a run that workers have capacity for."""
        with self._lock:
            now = time.monotonic()
            for job in list(self._jobs.values()):
                if not job.lasting or not job.accepted:
                    continue
                step = job.document["steps"][0]
                for index in range(step["count"]):
                    task = f"{job.name}.0.0.{index}"
                    runs = self._runs[task]
                    if task in self._reported or any(each["ended"] is None for each in runs):
                        self._room_since.pop(task, None)
                        continue
                    since = max([job.accepted_at] + [each["ended"] for each in runs])
                    having = [worker.name for worker in workers
                              if self._has_room_twice(worker, job.name, step)]
                    if not having:
                        self._room_since.pop(task, None)
                        continue
                    room_since = self._room_since.setdefault(task, now)
                    if quiet_s < QUIET_S:
                        continue
                    self.longest_wait_s = max(self.longest_wait_s, now - max(room_since, since))
                    if now - max(room_since, since + RUNS_AGAIN_S) > ROOM_S:
                        self._reported.add(task)
                        self._break("LOST", f"{task} is to last and has not run for "
                                            f"{now - since:.1f} s, with room for it on {having}")

    def _has_room_twice(self, worker, name, step):
        """Whether the worker has capacity for two such tasks beside its lasting tasks."""
        if not worker.service or worker.hangs or worker.draining:
            return False
        lasting = []
        for task in list(worker.running):
            job, _, number, _ = parse(task)
            spec = self._jobs[job].document["steps"][number]
            if spec.get("long_running"):
                lasting.append((job, spec))
        limit = step.get("max_per_server")
        if limit and sum(1 for job, _ in lasting if job == name) >= limit:
            return False
        return all(worker.capacity[kind] - sum(spec[kind] for _, spec in lasting) >= 2 * step[kind]
                   for kind in ("cpu", "mem_mb"))

    def find_idle(self, jobs, workers):
        """Jobs that have had nothing running for longer than lasting tasks may, while a task's turn
        had come and a worker had room for it twice over."""
        idle = []
        with self._lock:
            now = time.monotonic()
            for job in jobs:
                if self._is_working(job) or not any(
                        self._has_free_capacity_twice(worker, step) for worker in workers
                        for step in self._steps_in_turn(job)):
                    self._idle_since.pop(job.name, None)
                    continue
                idle_since = max([self._idle_since.setdefault(job.name, now),
                                  *(each["ended"] for each in self._runs_of(job))])
                if now - idle_since > RUNS_AGAIN_S + ROOM_S:
                    idle.append(job)
        return idle

    def _runs_of(self, job):
        return [each for number, step in enumerate(job.document["steps"])
                for index in range(step["count"])
                for each in self._runs[f"{job.name}.0.{number}.{index}"]]

    def _is_working(self, job):
        return any(each["ended"] is None for each in self._runs_of(job))

    def _steps_in_turn(self, job):
        steps = job.document["steps"]

        def is_done(number):
            return all(self._is_done(job, number, index)
                       for index in range(steps[number]["count"]))
        return [step for number, step in enumerate(steps) if not is_done(number)
                and all(is_done(earlier) for earlier in step.get("depends_on", []))]

    def _has_free_capacity_twice(self, worker, step):
        """Whether the worker has capacity for two such tasks beside all its runs."""
        if not worker.service or worker.hangs or worker.draining:
            return False
        running = [self._jobs[parse(task)[0]].document["steps"][parse(task)[2]]
                   for task in list(worker.running)]
        return all(worker.capacity[kind] - sum(each[kind] for each in running) >= 2 * step[kind]
                   for kind in ("cpu", "mem_mb"))

    def backlog_s(self, jobs, workers):
        """Seconds of work of the jobs on the processors that no lasting task reserves, at least on
        those of one worker."""
        with self._lock:
            lasting = [job.document["steps"][0] for job in self._jobs.values()
                       if job.lasting and job.accepted]
            capacity = [worker.capacity["cpu"] for worker in workers]
            free = max(sum(capacity) - sum(step["count"] * step["cpu"] for step in lasting),
                       max(capacity))
            work = 0.0
            for job in jobs:
                for number, step in enumerate(job.document["steps"]):
                    open_tasks = sum(1 for index in range(step["count"])
                                     if not self._is_done(job, number, index))
                    work += open_tasks * step["cpu"] * step["estimate_ms"] / 1000
            return work / free

    def _is_done(self, job, step, index):
        return any(each["how"] == "done" for each in self._runs[f"{job.name}.0.{step}.{index}"])

    def unfinished(self, job):
        """Whether tasks of the job have no run that was done."""
        with self._lock:
            return any(not self._is_done(job, step, index)
                       for step, spec in enumerate(job.document["steps"])
                       for index in range(spec["count"]))

    def check_end(self, max_attempts):
        """After the last disruption is over and all jobs have ended."""
        with self._lock:
            for task, runs in self._runs.items():
                done = [each for each in runs if each["how"] == "done" and each["noted"]]
                later = [each for each in runs
                         if done and each["started"] > done[0]["ended"]]
                if later:
                    self._break("TWICE", f"{task} started again after its noted end")
                failed = [each for each in runs
                          if each["how"] == "failed" and each["noted"] and not each["lapsed"]]
                job = self._jobs[parse(task)[0]]
                lasting = job.document["steps"][parse(task)[2]].get("long_running")
                if not lasting and len(failed) > max_attempts:
                    self._break("BUDGET", f"{task} failed {len(failed)} times")

    def check_state(self, job, state):
        """`state` is what a daemon has shown of the job."""
        with self._lock:
            if state == "completed":
                for step, spec in enumerate(job.document["steps"]):
                    for index in range(spec["count"]):
                        task = f"{job.name}.0.{step}.{index}"
                        if not any(each["how"] == "done" for each in self._runs[task]):
                            self._break("MIXED", f"{job.name} is completed without {task}")
                            return
            if state == "failed" and not job.hopeless and not job.crashing:
                self._break("LOST", f"{job.name} is shown as failed")
            if state == "cancelled" and not job.cancelled:
                self._break("LOST", f"{job.name} is shown as cancelled")
            if state == "unknown" and job.accepted:
                self._break("LOST", f"{job.name} is unknown after its acceptance")

    def check_refused(self, job):
        with self._lock:
            if job.started and job.refused_only:
                self._break("REFUSED", f"{job.name} runs though it was refused")

    def broke(self, rule, text):
        with self._lock:
            self._break(rule, text)


def parse(task):
    job, occurrence, step, index = task.split(".")
    return job, int(occurrence), int(step), int(index)
