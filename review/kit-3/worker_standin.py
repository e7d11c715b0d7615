"""Stand-in for a worker, as PROTOCOL.md describes it. It runs what it is told to start."""

import http.client
import json
import random
import threading
import time

from http_service import HttpService, NoAnswer

STOP_S = 0.15
LATE_S = (2.0, 4.0)
TICK_S = 0.01


class Run:
    def __init__(self, task, number, work_s, now):
        self.task, self.number, self.work_s = task, number, work_s
        self.begun = now
        self.stop_at = None


class Worker:
    """`work_s(task)` tells how long a task works; every run that is left alone ends `done`. A task
    that lasts has 0."""

    def __init__(self, name, labels, address, node_address, record, work_s, heartbeat_s=1.0,
                 longest_lease_s=6.0, service="svc", cpu=8000, has_ticket=None):
        self.name, self.labels, self.service = name, labels, service
        self.address, self.node_address = address, node_address
        self.capacity = {"cpu": cpu, "mem_mb": 16000, "gpu": 0}
        self._record, self._work_s = record, work_s
        self._has_ticket = has_ticket  # None: starts need none
        self._heartbeat_s, self._longest_lease_s = heartbeat_s, longest_lease_s
        self.late_share = 0.0  # of the orders: no answer, and carried out seconds later
        self._random = random.Random(name)
        self._lock = threading.Condition()
        self._http = None
        self._closed = False
        self._born = 0
        self.boot()
        threading.Thread(target=self._work, daemon=True).start()

    def boot(self):
        """A new incarnation under the same id, which knows nothing of before."""
        with self._lock:
            self._born = max(self._born + 1, int(time.time() * 1000))
            self._started = time.monotonic()
            self._running, self._ends, self._count = {}, [], 0
            self._highest, self._fence, self._lease_until, self._sequence = {}, 0, 0.0, 0
            self._http = HttpService(self.address, self._handle)
            self._record.write("worker_up", worker=self.name, born=self._born)
        threading.Thread(target=self._announce, args=(self._born,), daemon=True).start()

    def crash(self):
        with self._lock:
            if not self._http:
                return
            http_service, self._http = self._http, None
            for run in self._running.values():
                self._record.write("run_lost_with_worker", worker=self.name, task=run.task,
                                   run=run.number, age_ms=int(1000 * (time.monotonic() - run.begun)))
            self._running = {}
            self._record.write("worker_down", worker=self.name)
        http_service.close()

    def close(self):
        self._closed = True
        self.crash()

    def is_up(self):
        return self._http is not None

    @property
    def born(self):
        return self._born

    def running(self):
        with self._lock:
            return list(self._running)

    def _clock_ms(self):
        return int((time.monotonic() - self._started) * 1000) + 1

    def _handle(self, _method, target, headers, body):
        service = self._http
        if not service:
            raise NoAnswer
        request = json.loads(body)
        if headers.get("X-Plantainpitch-Expect-Instance", self.name) != self.name:
            return 421, {}
        call = {"/-/run-start": self._start, "/-/run-stop": self._stop, "/-/hold": self._hold,
                "/-/pace": self._pace}[target]
        if call in (self._start, self._stop) and self._random.random() < self.late_share:
            self._record.write("order_delayed", worker=self.name, call=target, task=request["task"],
                               run=request["run"])
            threading.Timer(self._random.uniform(*LATE_S), self._carry_out_late,
                            (call, request)).start()
            raise NoAnswer
        with self._lock:
            if self._http is not service:
                raise NoAnswer
            fence = request.get("fence", 0)
            if fence < self._fence:
                return self._refused("fence")
            self._fence = fence
            answer = call(request)
            if self._http is not service:
                raise NoAnswer  # has crashed while the call waited
            return answer

    def _carry_out_late(self, call, request):
        """The order was on its way for some seconds; it names this worker's id."""
        with self._lock:
            fence = request.get("fence", 0)
            if not self._http or self._closed or fence < self._fence:
                return
            self._fence = fence
            status, _ = call(request)
            self._record.write("order_carried_out_late", worker=self.name, call=call.__name__,
                               task=request["task"], run=request["run"], status=status)

    def _refused(self, reason):
        return 409, {"clock_ms": self._clock_ms(), "reason": reason}

    def _accepted(self):
        return 200, {"clock_ms": self._clock_ms()}

    def _extend(self, request):
        if request.get("until_ms"):
            until = self._started + request["until_ms"] / 1000
            self._lease_until = max(self._lease_until,
                                    min(until, time.monotonic() + self._longest_lease_s))

    def _start(self, request):
        task, number = request["task"], request["run"]
        held = self._running.get(task)
        if held and held.number == number:
            return self._accepted()
        if request["until_ms"] <= self._clock_ms():
            return self._refused("late")
        if self._has_ticket and not self._has_ticket(self.name, self._born, request):
            self._record.write("start_refused", worker=self.name, task=task, run=number,
                               reason="ticket")
            return self._refused("ticket")
        self._extend(request)
        if held or number <= self._highest.get(task, 0):
            return self._refused("old")
        self._running[task] = Run(task, number, self._work_s(task), time.monotonic())
        self._record.write("run_started", worker=self.name, task=task, run=number)
        return self._accepted()

    def _stop(self, request):
        task, number = request["task"], request["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._running.get(task)
        if run and run.number <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S
        return self._accepted()

    def _pace(self, _request):
        return self._accepted()

    def _hold(self, request):
        self._extend(request)
        self._ends = [end for end in self._ends if end[0] > request["last_seen"]]
        deadline = time.monotonic() + min(request.get("wait_ms", 0), 2000) / 1000
        while not self._ends and time.monotonic() < deadline and self._http:
            self._lock.wait(max(0.0, deadline - time.monotonic()))
        now = time.monotonic()
        rows = [[run.task, run.number, "",
                 min(100, int(100 * (now - run.begun) / run.work_s)) if run.work_s else 100, 100]
                for run in self._running.values()]
        return 200, {"clock_ms": self._clock_ms(), "born": self._born, "running": rows,
                     "ended": self._ends[:500]}

    def _end(self, run, how):
        del self._running[run.task]
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.number)
        self._count += 1
        self._ends.append([self._count, run.task, run.number, how, ""])
        self._record.write("run_ended", worker=self.name, task=run.task, run=run.number, how=how)
        self._lock.notify_all()

    def _work(self):
        while not self._closed:
            time.sleep(TICK_S)
            with self._lock:
                now = time.monotonic()
                for run in list(self._running.values()):
                    if now > self._lease_until:
                        self._end(run, "lapsed")
                    elif run.stop_at is not None and now >= run.stop_at:
                        self._end(run, "stopped")
                    elif run.work_s and now - run.begun >= run.work_s:
                        self._end(run, "done")

    def _announce(self, born):
        """Sends heartbeats for as long as this incarnation lives."""
        while not self._closed and self._http and self._born == born:
            with self._lock:
                self._sequence += 1
                report = {"service": self.service, "address": "%s:%d" % self.address, "zone": "z0",
                          "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                          "capacity": self.capacity, "labels": self.labels,
                          "clock_ms": self._clock_ms(), "seq_no": self._sequence, "born": born}
            connection = http.client.HTTPConnection(*self.node_address, timeout=1)
            try:
                connection.request("PUT", f"/-/instances/{self.name}", json.dumps(report))
                connection.getresponse().read()
            except (OSError, http.client.HTTPException):
                pass  # the node is down; the next heartbeat follows
            finally:
                connection.close()
            time.sleep(self._heartbeat_s)
