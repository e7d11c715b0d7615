"""A small deployment on loopback: a store, gateways and nodes as the deploy file starts them, and a
worker beside each node. Uses the project's stand-ins of the store and of an HTTP service."""

import http.client
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "testsuite", "soak"))

import process  # noqa: E402
from store import Store  # noqa: E402
from http_service import HttpService  # noqa: E402
from worker_standin import Worker  # noqa: E402

HOST = "review.example"
SERVICE = "svc"
DEADLINE_S = 3.0
STORE_PORT, WORKER_PORT, CLIENT_PORT, READY_PORT, CONTROL_PORT = 8100, 8200, 8300, 8400, 8500
ADVICE_PORT = 8700

HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 112.0


class Process(process.Process):
    """A program of the project, which can also be suspended."""

    def suspend(self):
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        self._process.send_signal(signal.SIGCONT)


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the beginning."""

    def __init__(self, directory):
        self._file = open(os.path.join(directory, "record.txt"), "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._begin = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self._begin

    def write(self, event, **fields):
        with self._lock:
            at = self.now()
            self.lines.append((at, event, fields))
            text = " ".join(f"{name}={value}" for name, value in fields.items())
            self._file.write(f"{at:8.3f} {event} {text}\n")
            self._file.flush()

    def find(self, event, **fields):
        with self._lock:
            return [(at, found) for at, name, found in self.lines if name == event
                    and all(found.get(key) == value for key, value in fields.items())]


def reserve_network():
    for network in range(16, 250):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{network}.0.250", STORE_PORT))
            return network, reservation
        except OSError:
            reservation.close()
    raise RuntimeError("all loopback networks are in use")


class Advice:
    """Stand-in for the advice service: all workers may run all steps."""

    def __init__(self, record, decision_ms, each_ms, validity_ms):
        self.figures = {"decision_ms": decision_ms, "each_ms": each_ms, "validity_ms": validity_ms}
        self._record = record
        self._lock = threading.Lock()
        self._tickets = {}  # ticket: (step, worker, born, end of its validity)

    def listen(self, address, deployment):
        self._deployment = deployment
        self._http = HttpService(address, self._handle)

    def _handle(self, _method, _target, _headers, body):
        request = json.loads(body)
        with self._lock:  # one call at a time
            time.sleep((self.figures["decision_ms"]
                        + self.figures["each_ms"] * len(request["workers"])) / 1000)
            rows = []
            lives = {worker.name: worker.born for worker in self._deployment.workers}
            for name in request["workers"]:
                ticket = f"ticket-{len(self._tickets)}"
                self._tickets[ticket] = (request["step"], name, lives.get(name),
                                         time.monotonic() + self.figures["validity_ms"] / 1000)
                rows.append([name, ticket])
        self._record.write("advised", step=request["step"], workers=",".join(request["workers"]))
        return 200, {"good": rows, "validity_ms": self.figures["validity_ms"]}

    def has_ticket(self, worker, born, start):
        step, name, life, end = self._tickets.get(start.get("ticket"), (None, None, None, 0.0))
        return step == start["task"].rsplit(".", 1)[0] and (name, life) == (worker, born) \
            and time.monotonic() < end

    def close(self):
        self._http.close()


class Deployment:
    open = []  # ended by the watchdog if the case takes too long

    def __init__(self, record, gateways, nodes, work_s, labels=None, settings=None, seed=1,
                 routes=None, advice=None):
        self.record = record
        self.directory = tempfile.mkdtemp(prefix="review-")
        self._network, self._reservation = reserve_network()
        Deployment.open.append(self)
        self.store = Store((self.ip(0, 1), STORE_PORT), seed)
        self._version = 0
        self._advice = advice
        if advice:
            advice.listen((self.ip(4, 0), ADVICE_PORT), self)
            settings = dict(settings or {}, advice=f"{self.ip(4, 0)}:{ADVICE_PORT}")
        self.publish(routes or {"work": "/jobs/"})
        self.gateways, self.nodes, self.workers = [], [], []
        program = os.path.join(ROOT, "target")
        for number in range(gateways):
            ip = self.ip(1, number)
            values = self._settings(f"gateway-{number}", "gateway", "front", ip, settings)
            values["listen.front"] = f"{ip}:{CLIENT_PORT}"
            values["listen.readiness"] = f"{ip}:{READY_PORT}"
            self.gateways.append(
                Process(os.path.join(program, "plantain-gateway"), values, self.directory))
            self.gateways[-1].client_address = (ip, CLIENT_PORT)
        for number in range(nodes):
            ip = self.ip(2, number)
            worker_address = (self.ip(3, number), WORKER_PORT)
            values = self._settings(f"node-{number}", "node", "side", ip, settings)
            values["listen.control"] = f"{ip}:{CONTROL_PORT}"
            values["app"] = "%s:%d" % worker_address
            self.nodes.append(
                Process(os.path.join(program, "plantain-node"), values, self.directory))
            own = labels(number) if labels else ["a", f"r{number // 3}"]
            self.workers.append(Worker(f"worker-{number}", own, worker_address, (ip, CONTROL_PORT),
                                       record, work_s,
                                       has_ticket=advice.has_ticket if advice else None))

    def ip(self, kind, number):
        return f"127.{self._network}.{kind}.{number + 1}"

    def _settings(self, name, role, machine_class, ip, more):
        values = {"node": name, "role": role, "class": machine_class, "ip": ip, "zone": "z0",
                  "region": "r", "zones.z0": "r", "port_range": "8600,8610", "bootstrap": "true",
                  "heartbeat_ms": 1000, "orders": "call", "discovery": "local", "entry": "vip",
                  "platform.address": f"{self.ip(0, 1)}:{STORE_PORT}", "platform.form": "log",
                  "bounds.hold_max_ms": 6000, "bounds.grace_s": 6, "bounds.stop_ms": 900,
                  "bounds.lease_ms": 3000}
        values.update(more or {})
        return values

    def publish(self, routes):
        """Writes the configuration as the operator does. `routes`: path prefixes by name."""
        self._version += 7
        more = {"advice": self._advice.figures} if self._advice else {}
        document = {
            "version": self._version,
            "routes": [{"name": name, "host": HOST, "path_prefix": prefix, "service": SERVICE,
                        "priority": 0, "max_attempts": 3, "stretch": 2.0,
                        "target_latency_ms": 1000, "timeout_ms": 3000, **more}
                       for name, prefix in routes.items()],
            "services": [{"name": SERVICE, "admission_check": False}], "limits": {}}
        self.store.publish("config", json.dumps(document).encode())
        self.record.write("config_acknowledged", version=self._version, routes=",".join(routes))

    def call(self, method, path, body=None, gateway=0):
        """Status and decoded body of a client's call; status 0 if there was no answer."""
        connection = http.client.HTTPConnection(*self.gateways[gateway].client_address,
                                                timeout=DEADLINE_S)
        sent = self.record.now()
        try:
            connection.request(method, path, json.dumps(body) if body else None,
                               {"Host": HOST, "Content-Type": "application/json",
                                "X-Plantainpitch-Deadline-Ms": str(int(DEADLINE_S * 1000))})
            response = connection.getresponse()
            status, content = response.status, json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            status, content = 0, {}
        finally:
            connection.close()
        self.record.write("call", method=method, path=path, sent_at=f"{sent:.3f}", status=status,
                          body=json.dumps(content))
        return status, content

    def submit(self, path, body, gateway=0, attempts=5):
        """Hands a job in as a client does, with retries. Returns whether it was accepted."""
        for _ in range(attempts):
            status, _ = self.call("POST", path, body, gateway)
            if 200 <= status < 300:
                return True
            time.sleep(0.3)
        return False

    def wait_until_served(self, prefix="/jobs/", timeout_s=20.0):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if self.call("GET", prefix)[0] == 200:
                return True
            time.sleep(0.3)
        return False

    def node_of_owner(self):
        """Number of the node whose process owns the partition, as the store knows."""
        with self.store._lock:
            owner = self.store._groups["owners"].owner if "owners" in self.store._groups else None
        names = [node.name for node in self.nodes]
        return names.index(owner.split("@")[0]) if owner else None

    def close(self):
        if self not in Deployment.open:
            return
        Deployment.open.remove(self)
        for process in self.gateways + self.nodes:
            process.resume()
            process.kill()
        for worker in self.workers:
            worker.close()
        self.store.service.close()
        if self._advice:
            self._advice.close()
        self._reservation.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def wait_for(condition, timeout_s, pause_s=0.05):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(pause_s)
    return False


def end_processes():
    for deployment in Deployment.open:
        for each in getattr(deployment, "gateways", []) + getattr(deployment, "nodes", []):
            each._process.kill()
    os._exit(NOT_RUN)


def stop_all(record):
    record.write("end", result="not_run", problem="the case took too long")
    for deployment in list(Deployment.open):
        deployment.close()
    os._exit(NOT_RUN)


def main(directory, play):
    """Runs `play(record, trouble)`, which returns HELD, BROKEN or NOT_RUN."""
    record = Record(directory)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("begin", trouble=int(trouble))
    signal.signal(signal.SIGTERM, lambda *_: end_processes())
    watchdog = threading.Timer(LONGEST_S, stop_all, (record,))
    watchdog.daemon = True
    watchdog.start()
    try:
        result = play(record, trouble)
    except Exception as failure:  # the case could not run
        record.write("case_failed", problem=repr(failure))
        result = NOT_RUN
    for deployment in list(Deployment.open):
        deployment.close()
    record.write("end", result={HELD: "held", BROKEN: "broken", NOT_RUN: "not_run"}[result])
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[result])
    sys.stdout.flush()
    os._exit(result)
