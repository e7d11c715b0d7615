"""A client that hands in jobs, asks for their state and cancels some."""

import http.client
import json
import random
import threading
import time

from jobs import crashing_job, lasting_jobs, load_job, random_job

DEADLINE_S = 3.0
ATTEMPTS = 5
HOST = "soak.example"


class Client:
    """Uses one connection until it breaks, as clients with keep-alive do."""

    def __init__(self, number, gateways, jobs, promises, queue, rate, seed):
        self._gateways = gateways  # addresses
        self._jobs = jobs
        self._promises = promises
        self._queue = queue
        self._rate = rate
        self._random = random.Random(seed)
        self._connection = None
        self._mine = []
        self._stop = False
        self._lasting = number == 0
        self.answers = {}
        self._thread = threading.Thread(target=self._work, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        """Ends the traffic and waits for the last call."""
        self._stop = True
        if self._thread.ident:
            self._thread.join()

    def call(self, method, path, body=None):
        """Status and decoded body; status 0 if there was no answer."""
        try:
            if not self._connection:
                address = self._random.choice(self._gateways)
                self._connection = http.client.HTTPConnection(*address, timeout=DEADLINE_S)
            self._connection.request(
                method, path, json.dumps(body) if body else None,
                {"Host": HOST, "X-Plantainpitch-Deadline-Ms": str(int(DEADLINE_S * 1000))})
            response = self._connection.getresponse()
            content = response.read()
            status, retry_after = response.status, response.getheader("Retry-After")
            if response.will_close:
                self.disconnect()
        except (OSError, http.client.HTTPException):
            self.disconnect()
            status, content, retry_after = 0, b"", None
        self.answers[method, status] = self.answers.get((method, status), 0) + 1
        return status, json.loads(content) if content else {}, retry_after

    def disconnect(self):
        if self._connection:
            self._connection.close()
        self._connection = None

    def _work(self):
        for job in lasting_jobs(self._random) if self._lasting else []:
            self._submit(job)
        while not self._stop:
            job = random_job(self._random)
            self._submit(job)
            time.sleep(self._random.expovariate(self._rate))
            if self._mine:
                self.look(self._random.choice(self._mine))
            if job.to_cancel and job.accepted:
                self._cancel(job)

    def _submit(self, job):
        self._jobs[job.name] = job
        statuses = []
        for _ in range(ATTEMPTS):
            status, _, retry_after = self.call("POST", self._queue + job.name, job.document)
            statuses.append(status)
            if 200 <= status < 300:
                job.accepted_at = time.monotonic()
                job.accepted = True
                self._mine.append(job)
                return
            if self._stop:
                break
            time.sleep(min(float(retry_after or 0.2), 1.0))
        job.refused_only = all(status in (429, 503) for status in statuses)

    def _cancel(self, job):
        status, _, _ = self.call("DELETE", self._queue + job.name)
        # Without an answer the cancelling may have happened.
        job.cancelled = job.cancelled or status in (0, 200, 502, 504)

    def look(self, job):
        """Asks for the state of a job and checks what is shown."""
        cancelled = job.cancelled
        status, body, _ = self.call("GET", self._queue + job.name)
        if status == 200:
            job.state = body["state"]
            self._promises.check_state(job, job.state)
        elif status == 410 and not cancelled:
            job.state = "unknown"
            self._promises.check_state(job, "unknown")
        return job.state if status in (200, 410) else None


class LoadClient(Client):
    """Keeps more small tasks waiting than the workers have capacity for."""

    OPEN_JOBS = 10  # with 8 tasks each, 80 processors of 32

    def _work(self):
        while not self._stop:
            waiting = [job for job in self._mine
                       if not job.hopeless and self._promises.unfinished(job)]
            if len(waiting) < self.OPEN_JOBS:
                self._submit(load_job(self._random))
            else:
                time.sleep(0.1)


class CrashClient(Client):
    """Hands in a few jobs with a task that crashes its workers."""

    JOBS = (1, 2)
    PAUSE_S = (1.0, 8.0)  # before each of them

    def _work(self):
        for _ in range(self._random.randint(*self.JOBS)):
            self._wait(self._random.uniform(*self.PAUSE_S))
            if not self._stop:
                self._submit(crashing_job(self._random))
        while not self._stop:
            for job in self._mine:
                self.look(job)
            self._wait(0.5)

    def _wait(self, for_s):
        deadline = time.monotonic() + for_s
        while not self._stop and time.monotonic() < deadline:
            time.sleep(0.05)
