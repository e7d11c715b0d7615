"""Tests of plantain-load against service stand-ins, which echo the path like a real answer."""

import http.server
import json
import os
import subprocess
import sys
import tempfile
import threading
import unittest

import cluster

BUILD = os.environ.get("PLANTAIN_BUILD", "build")


class ConstantAnswer(http.server.BaseHTTPRequestHandler):
    def log_message(self, *_):
        pass

    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"ok")


class LoadTest(unittest.TestCase):
    def start_service(self, *flags):
        directory = tempfile.mkdtemp(prefix="plantain-")
        journal = os.path.join(directory, "journal")
        program = cluster.Program(
            "standin-service",
            [os.path.join(BUILD, "standin-service"), "--port=0", f"--journal={journal}", *flags],
            directory).start()
        self.addCleanup(program.stop)
        return program.wait_listening(), journal

    def run_load(self, servers, *arguments):
        return subprocess.run(
            [os.path.join(BUILD, "plantain-load"), f"--server={servers}", "--account=acme",
             "--template=pay", "--rate=300", "--duration_s=1", "--check_answers", "--output=json",
             *arguments],
            capture_output=True, text=True, timeout=60, check=False)

    def test_each_request_has_one_outcome_and_leaves_once(self):
        # Guards against requests that are counted twice, lost, or sent twice.
        port, journal = self.start_service("--service_ms=20")
        run = self.run_load(f"127.0.0.1:{port}", "--path=/balance/{n}")
        report = json.loads(run.stdout)
        paths = [line["path"] for line in cluster.read_journal(journal)]
        self.assertEqual(run.returncode, 0, run.stderr)
        self.assertEqual(report["outcomes"]["answered"], {"200": report["requests"]})
        self.assertEqual((len(paths), len(set(paths))), (report["requests"], report["requests"]))
        self.assertIn("/v1/accounts/acme/services/pay/balance/1?load=1-1.", paths)
        self.assertGreaterEqual(report["latency_us"]["p50"], 20_000)
        self.assertGreater(report["requests"], 200)

    def test_same_seed_gives_the_same_requests(self):
        # Guards against runs that cannot be repeated.
        port, _ = self.start_service("--service_ms=1")
        counts = {json.loads(self.run_load(f"127.0.0.1:{port}", "--seed=7").stdout)["requests"]
                  for _ in range(2)}
        self.assertEqual(len(counts), 1)

    def test_wrong_answers_are_counted(self):
        # Guards against a check that passes whatever the answer is.
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), ConstantAnswer)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        run = self.run_load(f"127.0.0.1:{server.server_address[1]}", "--rate=20")
        report = json.loads(run.stdout)
        self.assertEqual(run.returncode, 1)
        self.assertEqual(report["wrong_answers"], report["requests"])

    def test_requests_pass_by_a_server_that_is_down(self):
        # Guards against requests that fail although nothing was sent and another server is there.
        port, _ = self.start_service("--service_ms=1")
        down = cluster.free_ports(1)[0]
        report = json.loads(self.run_load(f"127.0.0.1:{down},127.0.0.1:{port}").stdout)
        self.assertEqual(report["outcomes"]["answered"], {"200": report["requests"]})
        report = json.loads(self.run_load(f"127.0.0.1:{down}", "--rate=20").stdout)
        self.assertEqual(report["outcomes"]["not-run"], {"connect_failed": report["requests"]})

    def test_cut_answers_are_unknown(self):
        # Guards against a truncated answer that counts as answered.
        port, _ = self.start_service("--service_ms=1")
        cluster.call(port, "POST", "/control", {"truncate_next": 5})
        report = json.loads(self.run_load(f"127.0.0.1:{port}").stdout)
        self.assertEqual(report["outcomes"]["unknown"], {"connection_broken": 5})
        self.assertEqual(report["wrong_answers"], 0)


if __name__ == "__main__":
    unittest.main(argv=sys.argv, verbosity=2)
