"""A small deployment on loopback: the project's programs with the commands of the deploy file, and
stand-ins of the platform and of the workers."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from standins import Store, Worker

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GATEWAY, NODE = "target/plantain-gateway", "target/plantain-node"  # as in deploy/system.toml
STORE_PORT, APP_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT = 8100, 8200, 8300, 8400, 8500
HOST, PREFIX, SERVICE = "caja.example", "/pagos/", "caja"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    pass


class Record:
    """What was sent, answered and run, with the times since the start."""

    def __init__(self, folder):
        self._lock = threading.RLock()
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._zero = time.monotonic()
        self.runs = []  # dictionaries
        self._present = {}  # by task: the runs that are there, by their identity
        self.doubles = []  # (earlier run, later run) of one task at the same time

    def now(self):
        return time.monotonic() - self._zero

    def add(self, who, what):
        with self._lock:
            self._file.write(f"{self.now():8.3f} {who}: {what}\n")
            self._file.flush()

    def run_started(self, worker, run):
        with self._lock:
            entry = {"task": run.task, "run": run.number, "worker": worker.name,
                     "start": self.now(), "end": None, "how": None}
            present = self._present.setdefault(run.task, {})
            for other in present.values():
                self.doubles.append((other, entry))
                self.add("check", f"{run.task} run {run.number} starts on {worker.name} while run "
                                  f"{other['run']} runs on {other['worker']}")
            present[id(run)] = entry
            self.runs.append(entry)
            self.add(worker.name, f"starts {run.task} run {run.number}")

    def run_gone(self, worker, run, how):
        with self._lock:
            entry = self._present[run.task].pop(id(run))
            entry["end"], entry["how"] = self.now(), how
            self.add(worker.name, f"ends {run.task} run {run.number}: {how}")


class Process:
    """One of the real programs. Signals go to the process that was started here only."""

    def __init__(self, command, settings, folder, record):
        self.name, self._command, self._record = settings["node"], command, record
        self._log = os.path.join(folder, self.name + ".log")
        self._settings = os.path.join(folder, self.name + ".conf")
        with open(self._settings, "w", encoding="utf-8") as file:
            file.writelines(f"{key}={value}\n" for key, value in settings.items())
        self._process = None

    def start(self):
        environment = dict(os.environ, PLANTAINPITCH_SETTINGS=self._settings)
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen([self._command], stdout=log, stderr=log, cwd=ROOT,
                                             stdin=subprocess.DEVNULL, env=environment)
        self._record.add(self.name, f"process {self._process.pid} started")

    def is_running(self):
        return self._process is not None and self._process.poll() is None

    def signal(self, number):
        if self.is_running():
            self._process.send_signal(number)
            self._record.add(self.name, f"gets {signal.Signals(number).name}")

    def kill(self):
        self.signal(signal.SIGKILL)
        if self._process:
            self._process.wait()

    def log_text(self):
        with open(self._log, encoding="utf-8", errors="replace") as file:
            return file.read()


def reserve_network():
    for number in range(100, 250):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{number}.0.250", STORE_PORT))
            return number, reservation
        except OSError:
            reservation.close()
    raise CannotRun("no free loopback network")


class Deployment:
    def __init__(self, folder, plan, gateways=1, nodes=3, hold_max_ms=6000, racks=1, steady_s=1.5,
                 capacity=None, max_attempts=4):
        for program in (GATEWAY, NODE):
            if not os.access(os.path.join(ROOT, program), os.X_OK):
                raise CannotRun(f"{program} is not built")
        self.record = Record(folder)
        self._network, self._reservation = reserve_network()
        self._temporary = tempfile.TemporaryDirectory()
        self._hold_max_ms = hold_max_ms
        self._calls = threading.Lock()
        self.store = Store((self.ip(0, 0), STORE_PORT), self.record)
        route = {"name": "pagos", "host": HOST, "path_prefix": PREFIX, "service": SERVICE,
                 "priority": 0, "max_attempts": max_attempts, "stretch": 2.0,
                 "target_latency_ms": 1000}
        self.store.publish("config", json.dumps(
            {"version": 1, "routes": [route],
             "services": [{"name": SERVICE, "admission_check": False}], "limits": {}}).encode())
        self.gateways, self.nodes, self.workers = [], [], []
        for number in range(gateways):
            settings = self._settings(f"front-{number}", "front", self.ip(1, number))
            settings["listen.front"] = f"{self.ip(1, number)}:{FRONT_PORT}"
            settings["listen.readiness"] = f"{self.ip(1, number)}:{READY_PORT}"
            self.gateways.append(Process(GATEWAY, settings, self._temporary.name, self.record))
        for number in range(nodes):
            ip = self.ip(2, number)
            settings = self._settings(f"side-{number}", "side", ip)
            settings["listen.control"] = f"{ip}:{CONTROL_PORT}"
            settings["app"] = f"{ip}:{APP_PORT}"
            self.nodes.append(Process(NODE, settings, self._temporary.name, self.record))
            self.workers.append(Worker(
                f"i-{number}", SERVICE, f"r{number * racks // nodes}", (ip, APP_PORT),
                (ip, CONTROL_PORT), self.record, plan, hold_max_ms, 0.5,
                capacity or {"cpu": 8000, "mem_mb": 16000, "gpu": 0}))
        for process in self.gateways + self.nodes:
            process.start()
        self.wait_until_ready()
        time.sleep(steady_s)

    def ip(self, kind, number):
        return f"127.{self._network}.{kind}.{number + 1}"

    def _settings(self, name, kind, ip):
        return {"node": name, "role": kind, "class": kind, "ip": ip, "zone": "z-a", "region": "z",
                "port_range": "8600,8610", "bootstrap": "true", "limits.cpu_share": 0.15,
                "limits.memory_mb": 128, "discovery": "local", "entry": "vip",
                "heartbeat_ms": 500, "bounds.grace_s": 6,
                "bounds.hold_max_ms": self._hold_max_ms, "bounds.visible_ms": 3000,
                "bounds.lease_ms": 3000, "bounds.stop_ms": 200, "orders": "call",
                "platform.address": f"{self.ip(0, 0)}:{STORE_PORT}", "platform.form": "log",
                "platform.append_ms": 4.0, "platform.record_bytes": 262144,
                "platform.call_bytes": 2097152}

    def call(self, method, path, body=None, gateway=0, deadline_s=3.0, quiet=False):
        """Status and body of the answer to one call on a connection of its own; status 0 without
        an answer."""
        connection = http.client.HTTPConnection(self.ip(1, gateway), FRONT_PORT, timeout=deadline_s)
        if not quiet:
            self.record.add("client", f"sends {method} {path} to front-{gateway}")
        try:
            connection.request(method, path, json.dumps(body) if body else None,
                               {"Host": HOST, "Content-Type": "application/json",
                                "X-Plantainpitch-Deadline-Ms": str(int(deadline_s * 1000))})
            response = connection.getresponse()
            status, content = response.status, json.loads(response.read() or b"{}")
        except (OSError, ValueError, http.client.HTTPException) as failure:
            status, content = 0, {"no_answer": type(failure).__name__}
        finally:
            connection.close()
        if not quiet:
            self.record.add("client", f"gets {status} {json.dumps(content)} to {method} {path}")
        return status, content

    def submit(self, job, steps, **options):
        return self.call("POST", PREFIX + job, {"spec": "pago " + job, "steps": steps}, **options)

    def state(self, job, **options):
        return self.call("GET", PREFIX + job, **options)

    def wait_until_ready(self, limit_s=15.0):
        """Waits until every gateway answers a call about a queue, which needs an owner."""
        deadline = time.monotonic() + limit_s
        for number in range(len(self.gateways)):
            while self.call("GET", PREFIX, gateway=number, deadline_s=1.0, quiet=True)[0] != 200:
                if time.monotonic() > deadline:
                    raise CannotRun("the deployment did not become ready")
                time.sleep(0.02)

    def wait_for_readiness(self, gateway, limit_s=10.0):
        """Waits until the gateway says that it is ready, as the platform asks it."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            connection = http.client.HTTPConnection(self.ip(1, gateway), READY_PORT, timeout=1)
            try:
                connection.request("GET", "/-/ready")
                if connection.getresponse().status == 200:
                    self.record.add("platform", f"front-{gateway} is ready")
                    return
            except (OSError, http.client.HTTPException):
                pass  # not listening yet
            finally:
                connection.close()
            time.sleep(0.01)
        raise CannotRun(f"front-{gateway} did not become ready")

    def owner(self):
        """Number of the node whose process holds the partition, as the store's list shows it."""
        member = self.store.owner() or ""
        for number, node in enumerate(self.nodes):
            if member.startswith(node.name + "@"):
                return number
        raise CannotRun("no node holds the partition")

    def close(self):
        for process in self.gateways + self.nodes:
            process.kill()
        for worker in self.workers:
            worker.close()
        self.store.service.close()
        self._reservation.close()
        if os.environ.get("KEEP_LOGS"):
            os.system(f"cp {self._temporary.name}/*.log {os.environ['KEEP_LOGS']}/")
        self._temporary.cleanup()


def play(folder, body, **options):
    """Runs `body(deployment)`, which returns a list of what broke the rule, and exits."""
    deployment, code = None, COULD_NOT_RUN
    try:
        deployment = Deployment(folder, **options)
        broken = body(deployment)
        for text in broken:
            deployment.record.add("check", "BROKEN " + text)
            print("BROKEN", text)
        code = BROKEN if broken else HELD
        print("rule broken" if broken else "rule held")
    except CannotRun as problem:
        print("could not run:", problem)
    finally:
        if deployment:
            deployment.close()
        sys.stdout.flush()
        os._exit(code)
