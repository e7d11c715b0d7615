"""Tests of plantainctl against a small administration server."""

import http.server
import json
import os
import re
import subprocess
import sys
import tempfile
import threading
import unittest

BUILD = os.environ.get("PLANTAIN_BUILD", "build")
TEMPLATE = {"version": 1, "name": "balance", "kind": "service", "slots": 4}


class FakeEntry(http.server.BaseHTTPRequestHandler):
    """Holds one template with compare-and-set, and records the requests."""

    protocol_version = "HTTP/1.1"
    revision = 0
    document = None
    requests = []
    cut_next = False

    def log_message(self, *_):
        pass

    def answer(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def refuse(self, status, kind):
        self.answer(status, {"error": {"kind": kind, "message": f"it is {kind}", "remedy": "wait"}})

    def handle_call(self):
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        cls = FakeEntry
        cls.requests.append((self.command, self.path, body))
        if cls.cut_next:
            cls.cut_next = False
            self.close_connection = True
            return
        if self.path.startswith("/v1/templates/"):
            self.handle_template(body)
        elif self.path == "/v1/jobs/slow":
            self.refuse(504, "timeout")
        elif self.path == "/v1/jobs":
            self.answer(200, {"job": {"id": "j1", "tasks": [{"index": 0, "state": "pending"}]}})
        else:
            self.answer(200, {"path": self.path})

    def handle_template(self, body):
        cls = FakeEntry
        if self.command == "GET" and cls.document is None:
            self.refuse(404, "not_found")
        elif self.command == "GET":
            self.answer(200, {"revision": cls.revision, "document": cls.document})
        elif self.path.split("base_revision=")[1] != str(cls.revision):
            self.refuse(409, "revision_conflict")
        else:
            cls.document = json.loads(body)
            cls.revision += 65536
            self.answer(200, {"revision": cls.revision})

    do_GET = do_PUT = do_POST = do_DELETE = handle_call


class PlantainctlTest(unittest.TestCase):
    def setUp(self):
        FakeEntry.revision, FakeEntry.document, FakeEntry.requests = 0, None, []
        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), FakeEntry)
        thread = threading.Thread(target=self.server.serve_forever, daemon=True)
        thread.start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.port = self.server.server_address[1]

    def run_ctl(self, *arguments, server=None, environment=None):
        flags = [] if environment else [f"--server=127.0.0.1:{server or self.port}"]
        return subprocess.run(
            [os.path.join(BUILD, "plantainctl"), *arguments, *flags], capture_output=True,
            text=True, timeout=30, check=False, env={**os.environ, **(environment or {})})

    def document(self, value):
        file = tempfile.NamedTemporaryFile("w", suffix=".json", delete=False)
        self.addCleanup(os.unlink, file.name)
        with file:
            file.write(value if isinstance(value, str) else json.dumps(value))
        return file.name

    def test_publish_reads_the_revision_first(self):
        # Guards against an overwrite of a change of another operator.
        path = self.document(TEMPLATE)
        self.assertEqual(self.run_ctl("publish", path).returncode, 0)
        self.assertEqual(self.run_ctl("publish", path).returncode, 0)
        self.assertEqual(FakeEntry.requests[-1][1], "/v1/templates/balance?base_revision=65536")
        self.assertEqual(json.loads(FakeEntry.requests[-1][2]), TEMPLATE)
        old = self.run_ctl("publish", path, "--base_revision=0")
        self.assertEqual(old.returncode, 3)
        self.assertIn("it is revision_conflict; wait", old.stderr)

    def test_invalid_document_is_not_sent(self):
        # Guards against a fault in a document that shows only after it was published.
        for text in ('{"version": 1, "name": "x", "kind": "service", "slot": 4}', "{", '{"version": 2}'):
            path = self.document(text)
            for command in ("validate", "publish", "diff"):
                run = self.run_ctl(command, path)
                self.assertEqual(run.returncode, 1, run)
                self.assertIn(path, run.stderr)
        self.assertEqual(FakeEntry.requests, [])

    def test_a_configuration_is_checked_and_compared_before_it_is_sent(self):
        # Guards against a faulty configuration, or an unintended change, that is found when it is
        # in force.
        route = {"name": "r", "host": "a.example", "path_prefix": "/r/", "service": "s",
                 "priority": 0, "max_attempts": 2, "stretch": 2, "target_latency_ms": 250,
                 "timeout_ms": 3000}
        sound = {"version": 7, "routes": [route], "services": [{"name": "s"}]}
        in_force = self.document(sound)
        run = self.run_ctl("check-config", in_force)
        self.assertEqual(run.returncode, 0, run.stderr)
        changed = self.document({**sound, "version": 8, "routes": [{**route, "stretch": 1.5}]})
        run = self.run_ctl("compare-config", changed, in_force, "--output=json")
        self.assertEqual(run.returncode, 6, run.stderr)
        self.assertEqual([each["path"] for each in json.loads(run.stdout)["differences"]],
                         ["routes[r].stretch", "version"])
        faulty = self.document({**sound, "routes": [{**route, "service": "t", "stretch": 0}]})
        run = self.run_ctl("check-config", faulty, "--output=json")
        self.assertEqual(run.returncode, 1, run.stderr)
        self.assertEqual([each["path"] for each in json.loads(run.stdout)["findings"]],
                         ["routes[0].service", "routes[0].stretch", "services[s]"])
        self.assertEqual(self.run_ctl("check-config", self.document("{")).returncode, 2)

    def test_diff_shows_fields_with_defaults(self):
        # Guards against differences that are only a default written out.
        path = self.document(TEMPLATE)
        self.assertEqual(self.run_ctl("diff", path).returncode, 6)
        self.run_ctl("publish", path)
        self.assertEqual(
            self.run_ctl("diff", self.document({**TEMPLATE, "queue_limit": 32})).returncode, 0)
        changed = self.run_ctl("diff", self.document({**TEMPLATE, "slots": 5}), "--output=json")
        self.assertEqual(changed.returncode, 6)
        self.assertEqual(json.loads(changed.stdout)["differences"],
                         [{"field": "slots", "in_force": 4, "file": 5}])

    def test_wrong_command_lines_name_the_right_one(self):
        # Guards against an error that leaves the operator without the next step.
        for arguments, hint in ((("publsh", "f"), "type plantainctl publish FILE"),
                                (("job",), "type plantainctl job ID"),
                                (("get", "templates", "x"), "type get template NAME"),
                                (("status", "--ouput=json"), "--output"),
                                (("explain", "vm", "x"), "explain endpoint VM"),
                                (("get", "parameters", "x"), "write ACCOUNT/TEMPLATE")):
            run = self.run_ctl(*arguments)
            self.assertEqual(run.returncode, 2, arguments)
            self.assertIn(hint, run.stderr)

    def test_calls_match_the_administration_api(self):
        # Guards against a command that calls another path than the page says.
        for arguments, call in (
                (("job", "j1"), ("GET", "/v1/jobs/j1")),
                (("cancel", "j1"), ("DELETE", "/v1/jobs/j1")),
                (("status",), ("GET", "/v1/status")),
                (("drain", "vm1"), ("POST", "/v1/vms/vm1/drain")),
                (("explain", "task", "j1/0"), ("GET", "/v1/explain/task/j1/0")),
                (("get", "parameters", "acme/pay"), ("GET", "/v1/accounts/acme/parameters/pay"))):
            self.assertEqual(self.run_ctl(*arguments).returncode, 0, arguments)
            self.assertEqual(FakeEntry.requests[-1][:2], call)
        submitted = self.run_ctl("submit", "acme", "pay", "--id=week1")
        self.assertIn("pending", submitted.stdout)
        self.assertEqual(json.loads(FakeEntry.requests[-1][2]),
                         {"version": 1, "account": "acme", "template": "pay", "id": "week1"})

    def test_failures_tell_whether_something_may_have_happened(self):
        # Guards against a lost answer that looks like a call that was never made.
        FakeEntry.cut_next = True
        lost = self.run_ctl("cancel", "j1", "--output=json")
        self.assertEqual(lost.returncode, 5)
        self.assertEqual(json.loads(lost.stdout)["error"]["kind"], "no_answer")
        self.assertEqual(self.run_ctl("cancel", "slow").returncode, 5)
        self.server.shutdown()
        self.server.server_close()
        self.assertEqual(self.run_ctl("cancel", "j1").returncode, 4)

    def test_server_from_the_environment(self):
        # Guards against a variable that is documented and not read.
        run = self.run_ctl("status", environment={"PLANTAIN_SERVER": f"127.0.0.1:{self.port}"})
        self.assertEqual((run.returncode, len(FakeEntry.requests)), (0, 1))

    def test_default_server_is_the_default_administration_port(self):
        # Guards against a plantainctl that does not reach an entry with default settings.
        def default_of(program, flag):
            text = subprocess.run([os.path.join(BUILD, program), "--help"], capture_output=True,
                                  text=True, timeout=20, check=True).stdout
            return re.search(rf"--{flag}\n.*\(default: (.*)\)", text)[1]

        self.assertEqual(default_of("plantainctl", "server"),
                         default_of("plantain-entry", "admin_address") + ":"
                         + default_of("plantain-entry", "admin_port"))

    def test_wrong_number_of_arguments_names_the_command(self):
        # Guards against a remedy that cannot be typed as it is shown.
        run = self.run_ctl("drain")
        self.assertEqual((run.returncode, run.stderr),
                         (2, "plantainctl: drain takes 1 argument, not 0; "
                             "type plantainctl drain VM\n"))
        run = self.run_ctl("status", "extra")
        self.assertEqual((run.returncode, run.stderr),
                         (2, "plantainctl: status takes 0 arguments, not 1; "
                             "type plantainctl status\n"))


if __name__ == "__main__":
    unittest.main(argv=sys.argv, verbosity=2)
