"""Tests of the stand-ins: a wrong stand-in would hide faults of the programs."""

import base64
import http.client
import os
import sys
import tempfile
import unittest

import cluster

BUILD = os.environ.get("PLANTAIN_BUILD", "build")


class StandinTest(unittest.TestCase):
    def start(self, binary, *flags):
        directory = tempfile.mkdtemp(prefix="plantain-")
        program = cluster.Program(
            binary, [os.path.join(BUILD, binary), "--port=0", *flags], directory).start()
        self.addCleanup(program.stop)
        return program.wait_listening()

    def test_log_keeps_order_and_loses_answers_only(self):
        # Guards against an append that is lost with its answer, and a read that skips batches.
        port = self.start("standin-log", "--retention_batches=3")

        def append(data):
            connection = http.client.HTTPConnection(cluster.LOOPBACK, port, timeout=5)
            connection.request("POST", "/v1/streams/config/append", body=data)
            try:
                return cluster.decode(connection.getresponse().read())
            finally:
                connection.close()

        self.assertEqual(append(b"a"), {"offset": 0})
        cluster.call(port, "POST", "/control", {"lose_append_answers": 1})
        with self.assertRaises(http.client.RemoteDisconnected):
            append(b"b")
        for data in (b"c", b"d"):
            append(data)
        _, read = cluster.call(port, "GET", "/v1/streams/config/records?from=0&max=10")
        self.assertEqual((read["earliest"], read["next"]), (1, 4))
        self.assertEqual([base64.b64decode(r["data"]) for r in read["records"]], [b"b", b"c", b"d"])
        cluster.call(port, "POST", "/control", {"outage": True})
        self.assertEqual(cluster.call(port, "GET", "/v1/streams/config/records?from=0")[0], 503)

    def put(self, port, task, **members):
        body = {"attempt": 1, "processors_milli": 1000, "command": "run_ms=0", "checkpoint": "",
                "lease_until_us": cluster.boot_clock_us() + 10_000_000}
        return cluster.call(port, "PUT", "/v1/tasks/" + task, {**body, **members})

    def task_state(self, port, task):
        _, body = cluster.call(port, "GET", "/v1/worker")
        return {t["id"]: t for t in body["tasks"]}[task]

    def test_worker_runs_tasks_by_progress(self):
        # Guards against a resumed task that starts over or a finished attempt that runs again.
        port = self.start("standin-worker")
        status, body = self.put(port, "j/0", command="run_ms=300", checkpoint="progress_ms=200")
        self.assertEqual(status, 200)
        self.assertIn("clock_us", body)
        cluster.wait_until(
            lambda: self.task_state(port, "j/0")["state"] == "finished", 5, "task finished")
        self.assertEqual(self.task_state(port, "j/0")["result"], "done progress_ms=300")
        self.assertEqual(self.put(port, "j%2F0", command="run_ms=300")[0], 409)
        self.assertEqual(self.put(port, "j/0", attempt=2)[0], 200)

    def test_worker_ends_tasks_at_their_lease(self):
        # Guards against a worker that lets a task run on without its agent.
        port = self.start("standin-worker")
        lease = cluster.boot_clock_us() + 150_000
        self.put(port, "j/0", lease_until_us=lease)
        self.put(port, "j/1", lease_until_us=lease)
        cluster.call(port, "POST", "/v1/tasks/j/1/renew",
                     {"attempt": 1, "lease_until_us": lease + 60_000_000})
        cluster.wait_until(
            lambda: self.task_state(port, "j/0")["state"] == "lease_expired", 5, "lease expired")
        self.assertGreaterEqual(cluster.boot_clock_us(), lease)
        self.assertEqual(self.task_state(port, "j/1")["state"], "running")
        status, body = cluster.call(port, "POST", "/v1/tasks/j/1/stop", {"attempt": 1})
        self.assertEqual(status, 200)
        self.assertTrue(body["checkpoint"].startswith("progress_ms="))
        self.assertEqual(cluster.call(port, "POST", "/v1/tasks/j/1/renew", {"attempt": 9})[0], 404)

    def test_worker_throttle_slows_progress_and_usage_lags(self):
        # Guards against a throttle without effect and against samples of the present.
        port = self.start("standin-worker", "--usage_lag_ms=100")
        self.put(port, "j/0", command="run_ms=0;usage_milli=800")
        cluster.call(port, "POST", "/v1/tasks/j/0/throttle", {"attempt": 1, "percent": 100})

        def throttled_sample():
            _, body = cluster.call(port, "GET", "/v1/usage")
            return [s for s in body["samples"] if s["processors_milli"] == 0]

        sample = cluster.wait_until(throttled_sample, 5, "a sample with the throttle in force")[0]
        self.assertLessEqual(sample["to_us"], cluster.boot_clock_us() - 100_000)
        first = cluster.call(port, "POST", "/v1/tasks/j/0/checkpoint", {"attempt": 1})[1]
        second = cluster.call(port, "POST", "/v1/tasks/j/0/checkpoint", {"attempt": 1})[1]
        self.assertEqual(first["checkpoint"], second["checkpoint"])

    def test_worker_fails_everything_on_request(self):
        # Guards against a fault test that runs on a healthy worker.
        port = self.start("standin-worker", "--fail_all")
        self.put(port, "j/0")
        cluster.wait_until(lambda: self.task_state(port, "j/0")["state"] == "failed", 5, "failed")

    def test_service_answers_with_its_own_request(self):
        # Guards against answers that cannot be told apart, and a truncation that is whole.
        port = self.start("standin-service", "--service_ms=1")
        status, body = cluster.call(port, "GET", "/balance/17?request=5")
        self.assertEqual((status, body["path"]), (200, "/balance/17?request=5"))
        cluster.call(port, "POST", "/control", {"truncate_next": 1, "fail": True})
        connection = http.client.HTTPConnection(cluster.LOOPBACK, port, timeout=5)
        connection.request("GET", "/balance/18")
        with self.assertRaises((http.client.HTTPException, OSError)):
            connection.getresponse().read()
        connection.close()
        self.assertEqual(cluster.call(port, "GET", "/balance/19")[0], 500)


class PortsTest(unittest.TestCase):
    def test_free_ports_are_given_to_no_program_that_asks_for_any_port(self):
        # Guards against a program that cannot listen on its port, because another one was given it
        # after it had been found free.
        with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="utf-8") as file:
            first, last = (int(number) for number in file.read().split())
        ports = cluster.free_ports(100)
        self.assertEqual(len(set(ports)), len(ports))
        self.assertEqual([port for port in ports if first <= port <= last], [])


if __name__ == "__main__":
    unittest.main(argv=sys.argv, verbosity=2)
