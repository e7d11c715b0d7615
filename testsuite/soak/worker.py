"""Stand-in for a worker: runs tasks for as long as their leases last and lists their ends."""

import http.client
import json
import random
import threading
import time

from http_service import HttpService, NoAnswer

HEARTBEAT_S = 0.5
STOP_S = 0.15
LONGEST_LEASE_S = 6.0
LATE_S = (2.0, 4.0)  # after which an order without an answer is carried out
CRASHED_S = (2.0, 4.0)  # until a worker that a task has crashed is back
REPORTED_S = 2.0  # from then on, until its node has seen the crash and reported it
CAPACITY = {"cpu": 8000, "mem_mb": 16000, "gpu": 0}
LATENCY_MS = 8  # of a serving task
FILLING_LATENCY_MS = 10  # more for each filling run at full pace, so that these get paced


class Run:
    def __init__(self, task, number, checkpoint, work_s, now):
        self.task, self.number = task, number
        self.checkpoint = checkpoint
        self.left_s = max(0.0, work_s - saved_s(checkpoint))
        self.saved_s = saved_s(checkpoint)
        self.percent = 100
        self.advanced = now
        self.stop_at = None
        self.work_s = work_s


def saved_s(checkpoint):
    return int(checkpoint) / 1000 if checkpoint else 0.0


class Worker:
    """One worker. `promises` hears of each start and end; `plan(task)` says what a task is."""

    def __init__(self, name, rack, address, node_address, promises, plan, seed):
        self.name = name
        self.rack = rack
        self.address = address
        self.node_address = node_address
        self._promises = promises
        self._plan = plan
        self._random = random.Random(seed)
        self._crash_random = random.Random(f"{seed} crashes")
        self.crashes = 0  # under tasks that crash their workers
        self._lock = threading.Condition()
        self.late_orders = 0.0  # share of the orders without answer that are carried out later
        self.hangs = False
        self.speed = 1.0
        self.draining = False
        self.born = 0
        self.former = []  # a heartbeat of each former incarnation
        self.capacity = dict(CAPACITY)
        self.capacities = [(time.monotonic(), self.capacity)]  # announced ones, with their times
        self.service = None
        self.node = None  # the process beside the worker
        self._closed = False
        self.boot()
        threading.Thread(target=self._work, daemon=True).start()
        threading.Thread(target=self._announce, daemon=True).start()

    def boot(self):
        """Starts a new incarnation, which knows nothing of before."""
        with self._lock:
            if self.born:
                self.former.append(self.peek())
            self.born = int(time.time() * 1000)
            self.started = time.monotonic()
            self.running = {}
            self.ends = []
            self.ends_count = 0
            self.highest_run = {}
            self.fence = 0
            self.lease_until = 0.0
            self.sequence = 0
            self.late_orders, self.hangs, self.speed = 0.0, False, 1.0
            self.service = HttpService(self.address, self._handle)

    def crash(self, under=None):
        """Ends the process with all its runs. Returns False if there is none, or if the run
        `under` which it is to crash has ended."""
        with self._lock:
            if not self.service or under and self.running.get(under.task) is not under:
                return False
            service, self.service = self.service, None
            for run in self.running.values():
                self._promises.run_gone(self, run)
            self.running = {}
        service.close()
        return True

    def _crash_under(self, run):
        if not self.crash(run):
            return
        self.crashes += 1
        node_pid = self.node.pid()
        time.sleep(self._crash_random.uniform(*CRASHED_S))
        if self._closed:
            return
        self.boot()
        time.sleep(REPORTED_S)
        if node_pid and self.node.pid() == node_pid:
            self._promises.crash_seen(run)

    def close(self):
        self._closed = True
        self.crash()

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def _handle(self, method, target, headers, body):
        received = time.monotonic()
        service = self.service
        if not service:
            raise NoAnswer  # has crashed, and its sockets are about to be closed
        while self.hangs:
            time.sleep(0.05)
        if self.service is not service:
            raise NoAnswer  # the call has reached an incarnation that is gone
        request = json.loads(body)
        request["received"] = received
        if headers.get("X-Plantainpitch-Expect-Instance", self.name) != self.name:
            return 421, {}
        call = {"/-/run-start": self._start, "/-/run-stop": self._stop, "/-/hold": self._hold,
                "/-/pace": self._pace}[target]
        is_order = call in (self._start, self._stop)
        if is_order and self._random.random() < self.late_orders:
            born = self.born
            threading.Timer(self._random.uniform(*LATE_S), self._carry_out_late,
                            (call, request, born)).start()
            raise NoAnswer
        with self._lock:
            if self.service is not service:
                raise NoAnswer  # has crashed meanwhile
            answer = call(request)
            if self.service is not service:
                raise NoAnswer  # has crashed while the call waited for ends
        return answer

    def _carry_out_late(self, call, request, born):
        if self.born != born:
            return
        try:
            call(request)
        except NoAnswer:
            pass  # has crashed meanwhile

    def _check_lease(self):
        if self.ends and time.monotonic() > self.lease_until:
            self._promises.lease_lapsed(self)

    def _lease(self, request):
        self._check_lease()
        if request.get("until_ms"):
            until = self.started + request["until_ms"] / 1000
            longest = time.monotonic() + LONGEST_LEASE_S
            self.lease_until = max(self.lease_until, min(until, longest))

    def _refused(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def _fenced(self, request):
        fence = request.get("fence", 0)
        if fence < self.fence:
            return True
        self.fence = fence
        return False

    def _start(self, request):
        with self._lock:
            if not self.service:
                raise NoAnswer  # has crashed meanwhile
            if self._fenced(request):
                return self._refused("fence")
            task, number = request["task"], request["run"]
            held = self.running.get(task)
            if held and held.number == number:
                return 200, {"clock_ms": self.clock_ms()}
            if request["until_ms"] <= self.clock_ms():
                return self._refused("late")
            self._lease(request)
            if held or number <= self.highest_run.get(task, 0):
                return self._refused("old")
            plan = self._plan(task)
            run = Run(task, number, request.get("checkpoint", ""), plan["run_s"](number),
                      time.monotonic())
            self.running[task] = run
            self._promises.run_started(self, run, request)
            if plan["crash_after_s"] is not None:
                threading.Timer(plan["crash_after_s"], self._crash_under, (run,)).start()
            self._lock.notify_all()
            return 200, {"clock_ms": self.clock_ms()}

    def _stop(self, request):
        with self._lock:
            if self._fenced(request):
                return self._refused("fence")
            task, number = request["task"], request["run"]
            self.highest_run[task] = max(self.highest_run.get(task, 0), number)
            run = self.running.get(task)
            if run and run.number <= number and run.stop_at is None:
                run.stop_at = time.monotonic() + STOP_S
            return 200, {"clock_ms": self.clock_ms()}

    def _pace(self, request):
        with self._lock:
            run = self.running.get(request["task"])
            if self._fenced(request):
                return self._refused("fence")
            if run and run.number == request["run"]:
                self._advance(time.monotonic())
                run.percent = request["percent"]
            return 200, {"clock_ms": self.clock_ms()}

    def _hold(self, request):
        deadline = time.monotonic() + request.get("wait_ms", 0) / 1000
        with self._lock:
            if self._fenced(request):
                return self._refused("fence")
            self._lease(request)
            noted = request["last_seen"]
            self._promises.ends_noted(self, noted)
            self.ends = [end for end in self.ends if end[0] > noted]
            while not self.ends and time.monotonic() < deadline:
                self._lock.wait(deadline - time.monotonic())
            rows = [[run.task, run.number, run.checkpoint, self._percent(run), self._figure(run)]
                    for run in self.running.values()]
            return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": rows,
                         "ended": self.ends[:500]}

    def _percent(self, run):
        if run.work_s == float("inf"):
            return 100
        return min(100, int(100 * (run.work_s - run.left_s) / run.work_s))

    def _figure(self, run):
        spec = self._plan(run.task)["step"]
        filling = sum(each.percent / 100 for each in self.running.values()
                      if self._plan(each.task)["step"].get("fills"))
        return int(LATENCY_MS + FILLING_LATENCY_MS * filling) if spec.get("target_ms") \
            else spec["cpu"]

    def _end(self, run, how):
        del self.running[run.task]
        self.highest_run[run.task] = max(self.highest_run.get(run.task, 0), run.number)
        self.ends_count += 1
        self.ends.append([self.ends_count, run.task, run.number, how, run.checkpoint])
        self._promises.run_ended(self, run, how, self.ends_count)
        self._lock.notify_all()

    def _advance(self, now):
        lapsed = now > self.lease_until
        for run in list(self.running.values()):
            plan = self._plan(run.task)
            run.left_s -= (now - run.advanced) * self.speed * run.percent / 100
            run.advanced = now
            done_s = run.work_s - run.left_s
            if plan["step"].get("checkpointing") and done_s >= run.saved_s + 1:
                run.saved_s = done_s
                run.checkpoint = str(int(done_s * 1000))
            if lapsed:
                self._end(run, "lapsed")
            elif run.left_s <= 0 and plan["crash_after_s"] is None:
                self._end(run, "failed" if plan["fails"](run.number) else "done")
            elif run.stop_at is not None and now >= run.stop_at:
                self._end(run, "stopped")

    def _work(self):
        while not self._closed:
            time.sleep(0.02)
            with self._lock:
                self._check_lease()
                self._advance(time.monotonic())

    def announced(self, capacity):
        """The node has answered an announcement of that capacity."""
        with self._lock:
            if capacity != self.capacities[-1][1]:
                self.capacities.append((time.monotonic(), capacity))

    def report(self):
        self.sequence += 1
        return self.peek()

    def peek(self):
        """A copy of the last heartbeat."""
        return {"service": "soak", "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.rack, "version": "v1", "slots": 8,
                "state": "draining" if self.draining else "ready", "cold_left_ms": 0,
                "capacity": dict(self.capacity), "labels": ["a", self.rack], "clock_ms": self.clock_ms(),
                "seq_no": self.sequence, "born": self.born}

    def _announce(self):
        while not self._closed:
            time.sleep(HEARTBEAT_S)
            if not self.service or self.hangs:
                continue
            connection = http.client.HTTPConnection(*self.node_address, timeout=1)
            try:
                report = self.report()
                connection.request("PUT", f"/-/instances/{self.name}", json.dumps(report))
                connection.getresponse().read()
                self.announced(report["capacity"])
            except OSError:
                pass  # the node is down
            except http.client.HTTPException:
                pass  # the node was killed while it answered
            finally:
                connection.close()
