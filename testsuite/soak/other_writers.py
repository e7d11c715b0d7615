"""Heartbeats that a worker's node gets from others than the worker, or long after they were sent."""

import http.client
import json
import time

PAUSE_S = (0.1, 0.5)  # between two of them
FIRST_S = 3.0  # until a restarted node has answered its first one
AHEAD = (1, 50, 10**9)  # of the worker's own sequence number
# What a worker that is to be used does not say.
CLAIMS = ({"state": "draining"}, {"capacity": {"cpu": 0, "mem_mb": 0, "gpu": 0}},
          {"service": "unnamed"}, {"labels": ["b", "elsewhere"], "state": "draining"})


class OtherWriters:
    """Sends heartbeats in the name of workers. None of them says what a worker says of itself."""

    def __init__(self, workers):
        self._workers = workers

    def write(self, for_s, generator):
        """A series to the node of one worker."""
        worker = generator.choice(self._workers)
        end = time.monotonic() + for_s
        while time.monotonic() < end:
            self._send(worker, *self._heartbeat(worker, generator))
            time.sleep(generator.uniform(*PAUSE_S))

    def contradict(self, for_s, generator):
        """A series to the nodes of most workers, under their own ids and starts. The same claim,
        so that no worker is left for tasks if their nodes believe it."""
        workers = generator.sample(self._workers, max(1, len(self._workers) - 1))
        claim = generator.choice(CLAIMS)
        ahead = generator.choice(AHEAD)
        end = time.monotonic() + for_s
        while time.monotonic() < end:
            for worker in workers:
                self._send(worker, *self._contradiction(worker, claim, ahead))
            time.sleep(generator.uniform(*PAUSE_S))

    def be_first(self, worker, generator):
        """One that reaches a node before its worker's own do."""
        self._be_first(worker, self._heartbeat(worker, generator))

    def contradict_first(self, worker, generator):
        """The same, under the worker's own id and start."""
        self._be_first(worker, self._contradiction(worker, generator.choice(CLAIMS),
                                                   generator.choice(AHEAD)))

    def _be_first(self, worker, heartbeat):
        end = time.monotonic() + FIRST_S
        while time.monotonic() < end and not self._send(worker, *heartbeat):
            time.sleep(0.005)

    def _heartbeat(self, worker, generator):
        """Method, id and body."""
        kind = generator.choice([self._other_id, self._other_id, self._other_start,
                                 self._other_start, self._late, self._lacking, self._odd,
                                 self._unreadable, self._leaving])
        return kind(worker, generator)

    def _other_id(self, worker, generator):
        others = [each.name for each in self._workers if each is not worker]
        body = worker.peek()
        body.update(generator.choice([{}, {"born": worker.born + 1000}, {"service": "unnamed"}]))
        if generator.random() < 0.3:
            del body["born"]
        return "PUT", generator.choice(others + ["other-worker"]), body

    def _other_start(self, worker, generator):
        body = worker.peek()
        body["born"] += generator.choice([-60_000, -1, 1, 60_000])
        if generator.random() < 0.4:
            del body["born"]
        return "PUT", worker.name, body

    def _late(self, worker, generator):
        """One of a former incarnation, if there was one."""
        body = generator.choice(worker.former) if worker.former else worker.peek()
        return "PUT", worker.name, body

    @staticmethod
    def _contradiction(worker, claim, ahead):
        body = worker.peek()
        body.update(claim)
        body["seq_no"] += ahead
        return "PUT", worker.name, body

    def _lacking(self, worker, generator):
        body = worker.peek()
        if generator.random() < 0.3:
            return "PUT", worker.name, {key: body[key] for key in ("service", "state")}
        del body[generator.choice(["service", "zone", "state", "capacity", "labels", "seq_no"])]
        return "PUT", worker.name, body

    def _odd(self, worker, generator):
        body = worker.peek()
        body.update(generator.choice([
            {"service": "unnamed"}, {"zone": 7}, {"zone": None}, {"capacity": "all"}, {"capacity": {"cpu": "8"}},
            {"labels": 7}, {"state": "resting"}, {"born": "soon"}, {"born": None},
            {"seq_no": -1}, {"clock_ms": "late"}]))
        return "PUT", generator.choice([worker.name, "other-worker"]), body

    def _unreadable(self, worker, generator):
        return "PUT", worker.name, generator.choice([b"", b"\xff\xfe", b"{", b"[" * 5000])

    def _leaving(self, worker, generator):
        return "DELETE", generator.choice([worker.name, "other-worker"]), b""

    @staticmethod
    def _send(worker, method, name, body):
        """Returns whether the node has answered."""
        connection = http.client.HTTPConnection(*worker.node_address, timeout=1)
        try:
            connection.request(method, f"/-/instances/{name}",
                               body if isinstance(body, bytes) else json.dumps(body))
            connection.getresponse().read()
            return True
        except (OSError, http.client.HTTPException):
            return False  # the node is down
        finally:
            connection.close()
