#!/usr/bin/env python3
"""Clients that send without end, more than the limits allow, or ahead of the answers that they do
not read, against the real programs on loopback.

Each test guards against a process that such clients end or that has no room for others: it has to
live, its memory and its open descriptors have to stay within bounds, and it has to answer one
ordinary request while the clients are still connected. Nothing depends on the machine's speed: no
times and no share of answered requests are checked. Run one test at a time."""

import contextlib
import http.client
import os
import selectors
import shutil
import socket
import sys
import tempfile
import time
import unittest

ROOT = os.path.dirname(os.path.abspath(__file__))
BUILD = os.environ.get("PLANTAIN_BUILD", os.path.join(os.path.dirname(ROOT), "build"))
sys.path.insert(0, ROOT)
sys.path.insert(0, os.path.join(ROOT, "soak"))

import cluster  # noqa: E402
from deployment import (CLIENT_PORT, CONTROL_PORT, HOST, PEER_PORTS, QUEUE, READY_PORT,  # noqa: E402
                        Deployment)
from promises import Promises  # noqa: E402

METRICS_PORT = 9464
PEER_PORT = int(PEER_PORTS.split(",")[0])

# Lowered, so that a small number of clients shows the fault.
LIMITS = {"PLANTAIN_MAX_CONNECTIONS": "64", "PLANTAIN_MAX_HELD_REQUEST_BYTES": "4194304"}
# Without them, the sanitizers keep freed memory for a while and it would count as used.
SANITIZERS = {"ASAN_OPTIONS": "quarantine_size_mb=1:thread_local_quarantine_size_kb=64"}

MAX_GROWTH_MB = 24
MAX_DESCRIPTORS = 200
CROWD = 8  # clients that send without end
BYTES_EACH = 6 * 1024 * 1024  # CROWD times this is twice the bound
LARGE_CROWD = 300  # clients that hold a connection and send little
HELD_CROWD = 64  # clients that hold an incomplete body within the limit
STEP_BYTES = 64 * 1024
SENDING_ENDS_S = 20.0  # a bound for a process that reads slowly; nothing is checked by it
HANDLING_ENDS_S = 20.0  # the same for a process that handles slowly what it has been sent
IDLE_FOR_S = 0.5
IDLE_TICKS = 5  # processor time that periodic work may take meanwhile
ANSWER_WITHIN_S = 20.0

POST = b"POST /nowhere/0123456789abcdef HTTP/1.1\r\nHost: nowhere.example\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
GET = b"GET /nowhere/ HTTP/1.1\r\nHost: nowhere.example\r\n\r\n"
FIELD = b"X-Field: " + b"v" * 100 + b"\r\n"
SMALL_POST = POST + b"Content-Length: 100\r\n\r\n" + b"x" * 100


def endless(head, part):
    """What a client sends: `head`, and then `part` again and again."""
    return head, part * max(1, STEP_BYTES // len(part))


ENDLESS = {
    "trailers": endless(CHUNKED + b"0\r\n", FIELD),
    "chunk_extension": endless(CHUNKED + b"5;", b"a"),
    "header_fields": endless(b"GET / HTTP/1.1\r\n", FIELD),
    "request_line": endless(b"GET /", b"a"),
    "announced_body": endless(POST + b"Content-Length: 1000000000000\r\n\r\n", b"x"),
    "chunked_body": endless(CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "gets_ahead": endless(b"", GET),
    "posts_ahead": endless(b"", SMALL_POST),
    "upgrade": endless(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n"
                       b"Upgrade: websocket\r\n\r\n", b"\x00\xff"),
}


class Crowd:
    """Clients that send what they are told to and read nothing."""

    def __init__(self, address, count):
        self._selector = selectors.DefaultSelector()
        self.sockets = []
        for _ in range(count):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(address)
            self.sockets.append(client)
            self._selector.register(client, selectors.EVENT_WRITE, [b"", 0])

    def send(self, head, part, bytes_each, watch=lambda: True):
        """Each client sends `head` and then `part` repeatedly, until it has sent that much, its
        connection has ended, or `watch` returns false."""
        for client in self.sockets:
            self._selector.modify(client, selectors.EVENT_WRITE, [head, 0])
        deadline = time.monotonic() + SENDING_ENDS_S
        sending = len(self.sockets)
        while sending > 0 and time.monotonic() < deadline and watch():
            ready = self._selector.select(0.2)
            if not ready:
                return  # the process reads no more
            for key, _ in ready:
                state = key.data
                if not state[0]:
                    state[0] = part
                try:
                    sent = key.fileobj.send(state[0]) if state[0] else 0
                except BlockingIOError:
                    continue
                except OSError:
                    sent = bytes_each  # refused
                state[0] = state[0][sent:]
                state[1] += sent
                if state[1] >= bytes_each or (not part and not state[0]):
                    self._selector.unregister(key.fileobj)
                    sending -= 1

    def close(self):
        self._selector.close()
        for client in self.sockets:
            client.close()


def memory_mb(pid, field="VmRSS"):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith(field + ":"):
                return int(line.split()[1]) / 1024
    raise ValueError(f"the process {pid} has no {field}")


def descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


def processor_ticks(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return int(fields[11]) + int(fields[12])


def wait_until_idle(pid):
    """Returns once the process has handled what it was sent, or has ended."""
    deadline = time.monotonic() + HANDLING_ENDS_S
    try:
        before = processor_ticks(pid)
        idle_since = time.monotonic()
        while time.monotonic() < min(deadline, idle_since + IDLE_FOR_S):
            time.sleep(0.05)
            now = processor_ticks(pid)
            if now - before > IDLE_TICKS:
                before, idle_since = now, time.monotonic()
    except OSError:
        pass


def status_of(address, method, target, headers=None):
    """Status of one ordinary request; 0 without an answer."""
    connection = http.client.HTTPConnection(*address, timeout=ANSWER_WITHIN_S)
    try:
        connection.request(method, target, headers=headers or {})
        return connection.getresponse().status
    except OSError:
        return 0
    except http.client.HTTPException:
        return 0
    finally:
        connection.close()


class ServerTest(unittest.TestCase):
    """Sends to `address`, and checks the process `pid` with an ordinary request `ask`."""

    def check(self, pid, ask, baseline, phase):
        self.assertTrue(os.path.exists(f"/proc/{pid}/status"), f"the process ended {phase}")
        self.assertLess(memory_mb(pid, "VmHWM") - baseline, MAX_GROWTH_MB,
                        f"memory in MB above that at the start, {phase}")
        self.assertLess(descriptors(pid), MAX_DESCRIPTORS, f"open descriptors {phase}")
        self.assertEqual(ask(), 200, f"status of an ordinary request {phase}")

    def play(self, pid, address, ask, head, part, count=CROWD, bytes_each=BYTES_EACH):
        self.assertEqual(ask(), 200, "status of an ordinary request before")
        baseline = memory_mb(pid)
        # Ends early once a bound is passed: the rest would only take the machine's memory.
        def within_bounds():
            return os.path.exists(f"/proc/{pid}/status") and (
                memory_mb(pid) - baseline < 2 * MAX_GROWTH_MB)
        with contextlib.closing(Crowd(address, count)) as crowd:
            crowd.send(head, part, bytes_each, within_bounds)
            wait_until_idle(pid)
            self.check(pid, ask, baseline, "while the clients are connected")
        self.check(pid, ask, baseline, "after the clients have left")


class PlatformTest(ServerTest):
    """plantain-gateway and plantain-node with stand-ins of the store and a worker."""

    def setUp(self):
        self._environment = dict(os.environ)
        os.environ.update(LIMITS)
        os.environ.update(SANITIZERS)
        self._directory = tempfile.mkdtemp(prefix="untrusted-clients-")
        jobs = {}
        self._deployment = Deployment(BUILD, self._directory, Promises(jobs), jobs, 1, gateways=1,
                                      nodes=1)
        self.gateway, self.node = self._deployment.processes
        # Without the proxy, which would read for the process.
        self.gateway_ip = self._address_of(self.gateway)
        self.node_ip = self._address_of(self.node)
        cluster.wait_until(lambda: self.ask_gateway() == 200, 15, "the first answer")

    def tearDown(self):
        self._deployment.close()
        os.environ.clear()
        os.environ.update(self._environment)
        shutil.rmtree(self._directory)

    @staticmethod
    def _address_of(process):
        with open(process._settings_path, encoding="utf-8") as file:
            return dict(line.rstrip("\n").split("=", 1) for line in file)["ip"]

    def ask_gateway(self):
        return status_of((self.gateway_ip, CLIENT_PORT), "GET", QUEUE, {"Host": HOST})

    def ask_readiness(self):
        return status_of((self.gateway_ip, READY_PORT), "GET", "/-/ready")

    def ask_metrics(self):
        return status_of((self.gateway_ip, METRICS_PORT), "GET", "/metrics")

    def ask_node(self):
        return status_of((self.node_ip, METRICS_PORT), "GET", "/metrics")

    def play_on_gateway(self, name):
        self.play(self.gateway.pid(), (self.gateway_ip, CLIENT_PORT), self.ask_gateway,
                  *ENDLESS[name])

    def test_trailers_without_end(self):
        self.play_on_gateway("trailers")

    def test_a_chunk_extension_without_end(self):
        self.play_on_gateway("chunk_extension")

    def test_header_fields_without_end(self):
        self.play_on_gateway("header_fields")

    def test_a_request_line_without_end(self):
        self.play_on_gateway("request_line")

    def test_announced_bodies_over_the_limit(self):
        self.play_on_gateway("announced_body")

    def test_chunked_bodies_over_the_limit(self):
        self.play_on_gateway("chunked_body")

    def test_gets_ahead_with_their_answers_unread(self):
        self.play_on_gateway("gets_ahead")

    def test_posts_ahead_with_their_answers_unread(self):
        self.play_on_gateway("posts_ahead")

    def test_upgrade_requests(self):
        self.play_on_gateway("upgrade")

    def test_incomplete_bodies_within_the_limit_on_many_connections(self):
        head = POST + b"Content-Length: 1000000\r\n\r\n" + b"x" * 900_000
        self.play(self.gateway.pid(), (self.gateway_ip, CLIENT_PORT), self.ask_gateway, head, b"",
                  HELD_CROWD, len(head))

    def test_bodies_that_are_never_sent_after_100_continue(self):
        head = POST + b"Content-Length: 1000\r\nExpect: 100-continue\r\n\r\n"
        self.play(self.gateway.pid(), (self.gateway_ip, CLIENT_PORT), self.ask_gateway, head, b"",
                  LARGE_CROWD, len(head))

    def test_connections_that_send_nothing(self):
        self.play(self.gateway.pid(), (self.gateway_ip, CLIENT_PORT), self.ask_gateway, b"", b"",
                  LARGE_CROWD)

    def test_connections_that_send_a_part_of_a_request(self):
        self.play(self.gateway.pid(), (self.gateway_ip, CLIENT_PORT), self.ask_gateway, GET[:10],
                  b"", LARGE_CROWD, 10)

    def test_deeply_nested_bodies(self):
        body = b"[" * 200_000
        head = (f"POST {QUEUE}0123456789abcdef HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        self.play(self.gateway.pid(), (self.gateway_ip, CLIENT_PORT), self.ask_gateway, head, head)

    def test_states_of_many_jobs_on_one_connection_unread(self):
        requests = b"".join(f"GET {QUEUE}{number:016x} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
                            for number in range(1000))
        self.play(self.gateway.pid(), (self.gateway_ip, CLIENT_PORT), self.ask_gateway, b"",
                  requests)

    def test_trailers_without_end_at_the_readiness_address(self):
        self.play(self.gateway.pid(), (self.gateway_ip, READY_PORT), self.ask_readiness,
                  *ENDLESS["trailers"])

    def test_gets_ahead_at_the_readiness_address(self):
        self.play(self.gateway.pid(), (self.gateway_ip, READY_PORT), self.ask_readiness,
                  *ENDLESS["gets_ahead"])

    def test_gets_ahead_at_the_metrics_address(self):
        self.play(self.gateway.pid(), (self.gateway_ip, METRICS_PORT), self.ask_metrics,
                  *ENDLESS["gets_ahead"])

    def test_connections_that_send_nothing_to_the_metrics_address(self):
        self.play(self.gateway.pid(), (self.gateway_ip, METRICS_PORT), self.ask_metrics, b"", b"",
                  LARGE_CROWD)

    def test_trailers_without_end_at_the_announcement_address(self):
        self.play(self.node.pid(), (self.node_ip, CONTROL_PORT), self.ask_node,
                  *ENDLESS["trailers"])

    def test_posts_ahead_at_the_announcement_address(self):
        self.play(self.node.pid(), (self.node_ip, CONTROL_PORT), self.ask_node,
                  *ENDLESS["posts_ahead"])

    def test_connections_to_the_member_port_that_send_nothing(self):
        self.play(self.node.pid(), (self.node_ip, PEER_PORT), self.ask_node, b"", b"", LARGE_CROWD)

    def test_incomplete_frames_at_the_member_port(self):
        frame = (1_000_000).to_bytes(4, "little") + b"x" * 900_000
        self.play(self.node.pid(), (self.node_ip, PEER_PORT), self.ask_node, frame, b"",
                  HELD_CROWD, len(frame))


class EntryTest(ServerTest):
    """plantain-entry with a stand-in of the log service."""

    def setUp(self):
        self._directory = tempfile.mkdtemp(prefix="untrusted-clients-")
        self.log = cluster.Program("log", [os.path.join(BUILD, "standin-log"), "--port=0"],
                                   self._directory).start()
        log_port = self.log.wait_listening()
        self.callers, self.administration, self.peers = cluster.free_ports(3)
        environment = dict(os.environ)
        os.environ.update(LIMITS)
        os.environ.update(SANITIZERS)
        self.entry = cluster.Program(
            "entry", [os.path.join(BUILD, "plantain-entry"), "--name=entry", "--data_centre=dc",
                      f"--log_port={log_port}", "--caller_address=127.0.0.1",
                      "--peer_address=127.0.0.1", f"--caller_port={self.callers}",
                      f"--admin_port={self.administration}", f"--peer_port={self.peers}"],
            self._directory).start()
        os.environ.clear()
        os.environ.update(environment)
        cluster.wait_until(lambda: self.ask() == 200, 15, "the first answer")

    def tearDown(self):
        for program in (self.entry, self.log):
            program.process.kill()
            program.process.wait()
        shutil.rmtree(self._directory)

    def ask(self):
        return status_of((cluster.LOOPBACK, self.administration), "GET", "/metrics")

    def play_on_callers_port(self, name):
        self.play(self.entry.process.pid, (cluster.LOOPBACK, self.callers), self.ask,
                  *ENDLESS[name])

    def test_trailers_without_end(self):
        self.play_on_callers_port("trailers")

    def test_gets_ahead_with_their_answers_unread(self):
        self.play_on_callers_port("gets_ahead")

    def test_gets_ahead_at_the_administration_port(self):
        self.play(self.entry.process.pid, (cluster.LOOPBACK, self.administration), self.ask,
                  *ENDLESS["gets_ahead"])

    def test_incomplete_frames_at_the_port_for_agents(self):
        frame = (1_000_000).to_bytes(4, "little") + b"x" * 900_000
        self.play(self.entry.process.pid, (cluster.LOOPBACK, self.peers), self.ask, frame, b"",
                  HELD_CROWD, len(frame))


if __name__ == "__main__":
    unittest.main()
