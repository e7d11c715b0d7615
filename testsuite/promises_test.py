"""Tests of the soak's checks: a wrong check would hide faults or report allowed conduct."""

import http.client
import json
import os
import sys
import time
import unittest
from types import SimpleNamespace
from unittest import mock

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "soak"))

from jobs import MAX_ATTEMPTS, SHORT  # noqa: E402
from promises import Promises, ROOM_S, RUNS_AGAIN_S  # noqa: E402
from worker import CAPACITY, Worker  # noqa: E402

LOOPBACK = "127.0.0.1"
TASK = "job.0.0.0"
SHORT_LEASE_MS = 300
LONG_LEASE_MS = 5000


class PromisesTest(unittest.TestCase):
    def setUp(self):
        document = {"spec": "payload", "steps": [dict(SHORT, count=1)]}
        self._promises = Promises({"job": SimpleNamespace(document=document, started=False)})
        self._worker = SimpleNamespace(name="worker-0", born=1, running={TASK: None},
                                       capacities=[(0.0, CAPACITY)])
        self._runs = 0

    def _fail(self):
        """Starts the next run of the task and ends it as failed."""
        self._runs += 1
        run = SimpleNamespace(task=TASK, number=self._runs)
        self._promises.run_started(self._worker, run, {"spec": "payload"})
        self._promises.run_ended(self._worker, run, "failed", self._runs)

    def _fail_noted(self, count):
        for _ in range(count):
            self._fail()
            self._promises.ends_noted(self._worker, self._runs)

    def _broken(self):
        self._promises.check_end(MAX_ATTEMPTS)
        return [line.split()[0] for line in self._promises.broken]

    def test_a_start_after_the_last_attempt_is_reported(self):
        # Guards against attempts beyond the limit that nobody notices.
        self._fail_noted(MAX_ATTEMPTS)
        self.assertEqual(self._broken(), [])
        self._fail_noted(1)
        self.assertEqual(self._broken(), ["BUDGET"])

    def test_an_end_whose_lease_lapsed_before_its_note_is_no_attempt(self):
        # Guards against a report of the attempt that replaces one which does not count.
        self._fail()
        self._promises.lease_lapsed(self._worker)
        self._promises.ends_noted(self._worker, self._runs)
        self._fail_noted(MAX_ATTEMPTS)
        self.assertEqual(self._broken(), [])
        self._fail_noted(1)
        self.assertEqual(self._broken(), ["BUDGET"])

    def test_an_end_that_was_noted_before_the_lease_lapsed_is_an_attempt(self):
        # Guards against a lapse that takes away attempts that count.
        self._fail_noted(1)
        self._promises.lease_lapsed(self._worker)
        self._fail_noted(MAX_ATTEMPTS)
        self.assertEqual(self._broken(), ["BUDGET"])

    def test_a_lapse_on_another_incarnation_leaves_the_attempt(self):
        # Guards against a lapse that takes away attempts on other workers.
        self._fail()
        self._promises.lease_lapsed(SimpleNamespace(name="worker-0", born=2))
        self._promises.lease_lapsed(SimpleNamespace(name="worker-1", born=1))
        self._promises.ends_noted(self._worker, self._runs)
        self._fail_noted(MAX_ATTEMPTS)
        self.assertEqual(self._broken(), ["BUDGET"])

    def _find_idle(self, clock, until):
        """Looks every 0.1 s until then; the task runs from each full 4 s of the clock for 50 ms, if
        it runs at all."""
        job = self._promises._jobs["job"]
        job.name = "job"
        worker = SimpleNamespace(service=True, hangs=False, draining=False, running={},
                                 capacity=CAPACITY)
        found = []
        while clock.return_value < until:
            found += self._promises.find_idle([job], [worker])
            clock.return_value += 0.1
            if self._runs_briefly and clock.return_value // 4 > self._runs:
                self._runs += 1
                run = SimpleNamespace(task=TASK, number=self._runs)
                self._promises.run_started(self._worker, run, {"spec": "payload"})
                clock.return_value += 0.05
                self._promises.run_gone(self._worker, run)
        return found

    @mock.patch("promises.time.monotonic", return_value=0.0)
    def test_a_job_whose_runs_end_between_two_looks_is_not_idle(self, clock):
        # Guards against a report of a job whose task crashes its workers as soon as it runs.
        self._runs_briefly = True
        self.assertEqual(self._find_idle(clock, 30.0), [])
        self.assertEqual(self._runs, 7)

    @mock.patch("promises.time.monotonic", return_value=0.0)
    def test_a_job_without_a_run_is_idle(self, clock):
        # Guards against a job that stands still for too long unnoticed.
        self._runs_briefly = False
        self.assertEqual(self._find_idle(clock, RUNS_AGAIN_S + ROOM_S), [])
        self.assertNotEqual(self._find_idle(clock, RUNS_AGAIN_S + ROOM_S + 0.3), [])

    @mock.patch("promises.time.monotonic", return_value=0.0)
    def test_a_job_whose_last_run_is_too_long_ago_is_idle(self, clock):
        # Guards against a run that excuses its job for good.
        self._runs_briefly = True
        self._find_idle(clock, 9.0)
        self._runs_briefly = False
        last = 8.2
        self.assertEqual(self._find_idle(clock, last + RUNS_AGAIN_S + ROOM_S - 0.3), [])
        self.assertNotEqual(self._find_idle(clock, last + RUNS_AGAIN_S + ROOM_S + 0.3), [])

    def test_the_stand_in_for_a_worker_reports_lapses_of_its_lease(self):
        # Guards against a lapse that the check above is not told of.
        plan = {"run_s": lambda run: 0.01, "fails": lambda run: True, "crash_after_s": None}
        worker = Worker("worker-1", "r0", (LOOPBACK, 0), (LOOPBACK, 1), self._promises,
                        lambda task: dict(plan, step=SHORT), seed=1)
        self.addCleanup(worker.close)

        def call(target, request, lease_ms=LONG_LEASE_MS):
            connection = http.client.HTTPConnection(LOOPBACK, worker.service.port, timeout=5)
            request["until_ms"] = worker.clock_ms() + lease_ms
            connection.request("PUT", target, json.dumps(request))
            response = connection.getresponse()
            self.assertEqual(response.status, 200)
            answer = json.loads(response.read())
            connection.close()
            return answer

        def end_run(number, lease_ms=LONG_LEASE_MS):
            call("/-/run-start", {"task": TASK, "run": number, "spec": "payload"}, lease_ms)
            ended = call("/-/hold", {"last_seen": number - 1, "wait_ms": 2000}, lease_ms)["ended"]
            self.assertEqual([end[0] for end in ended], [number])

        end_run(1, SHORT_LEASE_MS)
        time.sleep(2 * SHORT_LEASE_MS / 1000)
        call("/-/hold", {"last_seen": 1})
        for number in range(2, MAX_ATTEMPTS + 2):
            end_run(number)
            call("/-/hold", {"last_seen": number})
        self.assertEqual(self._broken(), [])
        end_run(MAX_ATTEMPTS + 2)
        call("/-/hold", {"last_seen": MAX_ATTEMPTS + 2})
        self.assertEqual(self._broken(), ["BUDGET"])

    def test_the_stand_in_for_a_worker_answers_nothing_after_its_crash(self):
        # Guards against listings without the runs that have crashed the worker: these came from
        # connections that were opened while the sockets were being closed.
        plan = {"run_s": lambda run: 60.0, "fails": lambda run: False, "crash_after_s": None}
        worker = Worker("worker-1", "r0", (LOOPBACK, 0), (LOOPBACK, 1), self._promises,
                        lambda task: dict(plan, step=SHORT), seed=1)
        self.addCleanup(worker.close)
        service = worker.service
        self.addCleanup(service.close)
        service.close = lambda: None  # the crash has not reached its sockets yet

        def status_of(target):
            connection = http.client.HTTPConnection(LOOPBACK, service.port, timeout=5)
            self.addCleanup(connection.close)
            connection.request("PUT", target, json.dumps(
                {"task": TASK, "run": 1, "spec": "payload", "percent": 50, "last_seen": 0,
                 "until_ms": worker.clock_ms() + LONG_LEASE_MS}))
            return connection.getresponse().status

        targets = ["/-/run-start", "/-/hold", "/-/pace", "/-/run-stop"]
        self.assertEqual([status_of(target) for target in targets], [200] * len(targets))
        self.assertTrue(worker.crash())
        for target in targets:
            with self.assertRaises((http.client.HTTPException, OSError), msg=target):
                status_of(target)


if __name__ == "__main__":
    unittest.main()
