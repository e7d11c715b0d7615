"""Starts and stops the programs on loopback, for the demo and the process tests."""

import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.error
import urllib.request

LOOPBACK = "127.0.0.1"
# Below those that Linux gives to programs that ask for any port, and to outgoing connections.
FIXED_PORTS = range(10_000, 32_000)


def wait_until(condition, timeout_s, what):
    """Returns the first true result of condition(); raises TimeoutError that names `what`."""
    deadline = time.monotonic() + timeout_s
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {timeout_s} s: {what}")
        time.sleep(0.05)


def free_ports(count):
    """Ports that nothing listens on now. Held together, so that they differ."""
    sockets = []
    try:
        while len(sockets) < count:
            one = socket.socket()
            try:
                one.bind((LOOPBACK, random.choice(FIXED_PORTS)))
                sockets.append(one)
            except OSError:
                one.close()  # in use
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def call(port, method, path, body=None, timeout_s=5):
    """HTTP status and decoded JSON body; status 0 if there was no response."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{LOOPBACK}:{port}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, decode(response.read())
    except urllib.error.HTTPError as failure:
        return failure.code, decode(failure.read())
    except OSError:
        return 0, None


def decode(text):
    try:
        return json.loads(text)
    except ValueError:
        return text.decode(errors="replace")


class Program:
    """One process that this module started; signals go to its process id only."""

    def __init__(self, name, arguments, directory):
        self.name = name
        self.arguments = arguments
        self.log_path = os.path.join(directory, name + ".log")
        self.process = None
        self.listening_port = None
        self._listening = threading.Event()

    def start(self):
        self._listening.clear()
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.arguments, stdout=subprocess.PIPE, stderr=log, stdin=subprocess.DEVNULL)
        threading.Thread(
            target=self._read_output, args=(self.process,), daemon=True).start()
        return self

    def _read_output(self, process):
        with open(self.log_path, "ab") as log, process.stdout:
            for line in process.stdout:
                log.write(line)
                log.flush()
                if line.startswith(b"listening port="):
                    self.listening_port = int(line.split(b"=")[1])
                    self._listening.set()

    def wait_listening(self, timeout_s=10):
        """Port of a stand-in, which prints it."""
        if not self._listening.wait(timeout_s):
            raise TimeoutError(f"{self.name} does not listen, see {self.log_path}")
        return self.listening_port

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait(10)

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def stop(self, timeout_s=30):
        """SIGTERM and the exit code; raises TimeoutError if the program does not end."""
        self.signal(signal.SIGTERM)
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            raise TimeoutError(f"{self.name} did not end, see {self.log_path}") from None


def sanitizer_reports(directory, most_lines=60):
    """First lines of each report of a sanitizer in the logs of a directory."""
    found = []
    for name in sorted(os.listdir(directory)):
        if not name.endswith(".log"):
            continue
        with open(os.path.join(directory, name), encoding="utf-8", errors="replace") as log:
            lines = log.read().splitlines()
        start = next((number for number, line in enumerate(lines)
                      if "Sanitizer" in line or "runtime error:" in line), None)
        if start is not None:
            found += [f"{name}: {line}" for line in lines[start:start + most_lines]]
    return found


class Entry:
    def __init__(self, program, caller_port, admin_port, peer_port):
        self.program = program
        self.caller_port = caller_port
        self.admin_port = admin_port
        self.peer_port = peer_port

    def ready(self):
        return call(self.admin_port, "GET", "/readyz")[0] == 200

    def status(self):
        code, body = call(self.admin_port, "GET", "/v1/status")
        return body if code == 200 else None


class Vm:
    """A VM with its worker, service and agent."""

    def __init__(self, name, worker, service, agent, status_port, worker_journal,
                 service_journal):
        self.name = name
        self.worker = worker
        self.service = service
        self.agent = agent
        self.status_port = status_port
        self.worker_journal = worker_journal
        self.service_journal = service_journal


class Cluster:
    """A log, entries and VMs of one cell. Use as a context manager: it ends what it started."""

    def __init__(self, build, log_flags=()):
        self.build = build
        self.directory = tempfile.mkdtemp(prefix="plantain-")
        self.programs = []
        self.entries = []
        self.vms = []
        self.log = self.start_program("log", "standin-log", "--port=0", *log_flags)
        self.log_port = self.log.wait_listening()

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.close()

    def start_program(self, name, binary, *flags):
        program = Program(name, [os.path.join(self.build, binary), *flags], self.directory)
        self.programs.append(program)
        return program.start()

    def start_entries(self, count, data_centre="dc1"):
        ports = free_ports(3 * count)
        callers, admins, peers = ports[:count], ports[count:2 * count], ports[2 * count:]
        for i in range(count):
            others = ",".join(f"{LOOPBACK}:{p}" for p in peers if p != peers[i])
            program = self.start_program(
                f"entry{i + 1}", "plantain-entry", f"--name=entry{i + 1}",
                f"--data_centre={data_centre}", "--cell=test",
                f"--caller_address={LOOPBACK}", f"--caller_port={callers[i]}",
                f"--admin_address={LOOPBACK}", f"--admin_port={admins[i]}",
                f"--peer_address={LOOPBACK}", f"--peer_port={peers[i]}", f"--peers={others}",
                f"--log_address={LOOPBACK}", f"--log_port={self.log_port}", "--threads=2")
            self.entries.append(Entry(program, callers[i], admins[i], peers[i]))
        for entry in self.entries:
            wait_until(entry.ready, 20, f"{entry.program.name} is ready")

    def start_vm(self, template, data_centre="dc1", service_ms=5, worker_flags=()):
        index = len(self.vms) + 1
        name = f"vm{index}"
        rack = f"rack{(index + 2) // 3}"
        worker_journal = os.path.join(self.directory, name + "-worker.journal")
        service_journal = os.path.join(self.directory, name + "-service.journal")
        worker = self.start_program(
            name + "-worker", "standin-worker", "--port=0", f"--vm={name}", f"--rack={rack}",
            f"--journal={worker_journal}", *worker_flags)
        service = self.start_program(
            name + "-service", "standin-service", "--port=0", f"--vm={name}",
            f"--service_ms={service_ms}", f"--journal={service_journal}")
        entries = ",".join(f"{LOOPBACK}:{e.peer_port}" for e in self.entries)
        status_port = free_ports(1)[0]
        agent = self.start_program(
            name + "-agent", "plantain-agent", f"--vm={name}", f"--data_centre={data_centre}",
            f"--rack={rack}", f"--entries={entries}",
            f"--worker_address={LOOPBACK}", f"--worker_port={worker.wait_listening()}",
            f"--service_address={LOOPBACK}", f"--service_port={service.wait_listening()}",
            f"--service_template={template}", "--slots=8", "--connections=64",
            f"--status_port={status_port}", "--threads=2")
        self.vms.append(
            Vm(name, worker, service, agent, status_port, worker_journal, service_journal))
        return self.vms[-1]

    def servers(self):
        """Callers' addresses of all entries, as plantain-load takes them."""
        return ",".join(f"{LOOPBACK}:{e.caller_port}" for e in self.entries)

    def control(self, *arguments, entry=0, check=True):
        """Runs plantainctl with JSON output and returns its decoded output."""
        server = f"--server={LOOPBACK}:{self.entries[entry].admin_port}"
        run = subprocess.run(
            [os.path.join(self.build, "plantainctl"), *arguments, server, "--output=json"],
            capture_output=True, text=True, timeout=30, check=False)
        if check and run.returncode != 0:
            raise RuntimeError(f"plantainctl {' '.join(arguments)}: {run.stdout}{run.stderr}")
        return decode(run.stdout.encode()) if run.stdout else None

    def request(self, account, template, path="/balance/1", entry=0, method="GET"):
        """Status of one request through an entry; 0 if there was no response."""
        return call(self.entries[entry].caller_port, method,
                    f"/v1/accounts/{account}/services/{template}{path}")[0]

    def wait_served(self, account, template, timeout_s=20):
        """Waits until every entry answers requests for the service."""
        for i, entry in enumerate(self.entries):
            wait_until(lambda number=i: self.request(account, template, entry=number) == 200,
                       timeout_s, f"{entry.program.name} answers for {template}")

    def wait_all_connected(self, timeout_s=20):
        """Waits until every entry has all VMs, without drain and with the newest configuration."""
        def connected(entry):
            status = entry.status()
            if status is None:
                return False
            usable = {vm["vm"] for vm in status["vms"]
                      if not vm["draining"] and vm["config_revision"] >= status["config_revision"]}
            return usable >= {vm.name for vm in self.vms}
        for entry in self.entries:
            wait_until(lambda each=entry: connected(each), timeout_s,
                       f"all VMs are connected to {entry.program.name}")

    def running_tasks(self, vm, state="running"):
        """Ids of the tasks in that state on the worker of a VM."""
        status, body = call(vm.worker.listening_port, "GET", "/v1/worker")
        return [t["id"] for t in body["tasks"] if t["state"] == state] if status == 200 else []

    def wait_job_finished(self, job, tasks, timeout_s):
        """Waits until the administration API shows all tasks of a job as finished."""
        def finished():
            answer = self.control("job", job, check=False)
            states = [t["phase"] for t in answer["job"]["tasks"]] if "job" in answer else []
            return len(states) == tasks and set(states) == {"finished"}
        wait_until(finished, timeout_s, f"all {tasks} tasks of job {job} are finished")

    def start_load(self, *arguments):
        """Starts plantain-load with JSON output in the background."""
        process = subprocess.Popen(
            [os.path.join(self.build, "plantain-load"), f"--server={self.servers()}",
             "--output=json", "--check_answers", *arguments],
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        program = Program("load", [], self.directory)
        program.process = process
        self.programs.append(program)
        return process

    def load(self, *arguments):
        """Runs plantain-load to its end and returns the decoded report."""
        return finish_load(self.start_load(*arguments))

    def close(self):
        """Ends every program that still runs: SIGTERM, then SIGKILL."""
        running = [p for p in self.programs if p.running()]
        for program in running:
            program.resume()
            program.signal(signal.SIGTERM)
        deadline = time.monotonic() + 10
        for program in running:
            try:
                program.process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                program.kill()


def finish_load(process):
    output, errors = process.communicate(timeout=120)
    if process.returncode not in (0, 1) or not output:
        raise RuntimeError(f"plantain-load failed: {errors}")
    return json.loads(output)


def read_journal(path):
    """Lines of a journal; the last line may still be incomplete."""
    if not os.path.exists(path):
        return []
    with open(path, encoding="utf-8") as lines:
        return [json.loads(line) for line in lines if line.endswith("\n")]


def ended(vm, state):
    """Lines of a worker's journal for attempts that ended in that state."""
    return [line for line in read_journal(vm.worker_journal)
            if line["event"] == "end" and line["state"] == state]


def overlapping_runs(vms, now_us):
    """Pairs of runs of one task that overlap in time, from the workers' journals."""
    runs = {}
    for vm in vms:
        open_runs = {}
        for line in read_journal(vm.worker_journal):
            key = (line["task"], line["attempt"])
            if line["event"] == "start":
                open_runs[key] = line["at_us"]
            elif key in open_runs:
                runs.setdefault(line["task"], []).append((open_runs.pop(key), line["at_us"], vm.name))
        for (task, _), start in open_runs.items():
            runs.setdefault(task, []).append((start, now_us, vm.name))
    overlaps = []
    for task, spans in runs.items():
        spans.sort()
        for first, second in zip(spans, spans[1:]):
            if second[0] < first[1]:
                overlaps.append((task, first, second))
    return overlaps


def boot_clock_us():
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
