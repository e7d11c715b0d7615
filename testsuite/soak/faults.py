"""The faults of one run: drawn from its seed, in series and overlapping."""

import random
import threading
import time

from other_writers import OtherWriters
from worker import CAPACITY, LATE_S

LONGEST_FAULT_S = 4.0
MOST_SHRINKS = 2  # in a run
MOST_HEARTBEATS = 6  # series of other writers in a run
MOST_CONTRADICTIONS = 3  # series of other writers under the workers' own ids and starts
SHRINK_S = (6.0, 9.0)  # longer than the grace after which starts have to respect a capacity
SHRUNK_SHARE = (0.1, 0.6)  # of the full capacity


class Faults:
    """Carries out `count` faults within `span_s`, each in a thread of its own. A few shrinking
    workers and heartbeats of other writers come on top; `shrinks`, `heartbeats` and
    `contradictions` draw them, so that earlier seeds keep their other faults."""

    def __init__(self, deployment, promises, generator, shrinks, heartbeats, contradictions, span_s,
                 count):
        self._deployment = deployment
        self._promises = promises
        self._lock = threading.Lock()
        self.log = []
        self._active = 0
        self._last_end = time.monotonic()
        kinds = [self.kill, self.terminate, self.freeze, self.herd, self.reload, self.store_outage,
                 self.store_slow, self.store_lost, self.store_compact, self.store_rebalance,
                 self.store_cut, self.client_cut, self.worker_crash, self.worker_hang,
                 self.worker_slow, self.worker_late, self.worker_link, self.publish]
        plan = [(generator.uniform(0, span_s), generator.randrange(len(kinds)),
                 generator.uniform(0.5, LONGEST_FAULT_S), generator.getrandbits(32))
                for _ in range(count)]
        plan += [(shrinks.uniform(0, span_s / 2), len(kinds), shrinks.uniform(*SHRINK_S),
                  shrinks.getrandbits(32)) for _ in range(shrinks.randint(0, MOST_SHRINKS))]
        self._writers = OtherWriters(deployment.workers)
        self._kinds = kinds + [self.worker_shrink, self.heartbeats, self.first_heartbeat,
                               self.contradictions, self.first_contradiction]
        plan += [(heartbeats.uniform(0, span_s),
                  self._kinds.index(heartbeats.choice([self.heartbeats, self.heartbeats,
                                                       self.first_heartbeat])),
                  heartbeats.uniform(0.5, LONGEST_FAULT_S), heartbeats.getrandbits(32))
                 for _ in range(heartbeats.randint(2, MOST_HEARTBEATS))]
        plan += [(contradictions.uniform(0, span_s),
                  self._kinds.index(contradictions.choice([self.contradictions,
                                                           self.first_contradiction])),
                  contradictions.uniform(0.5, LONGEST_FAULT_S), contradictions.getrandbits(32))
                 for _ in range(contradictions.randint(1, MOST_CONTRADICTIONS))]
        self._plan = sorted(plan)

    def play(self):
        """Returns once the last fault is over."""
        begin = time.monotonic()
        threads = []
        for at, kind, for_s, seed in self._plan:
            time.sleep(max(0.0, begin + at - time.monotonic()))
            fault = self._kinds[kind]
            self.log.append(f"{time.monotonic():.3f} {fault.__name__} {for_s:.1f} s")
            threads.append(threading.Thread(target=self._carry_out,
                                            args=(fault, for_s, random.Random(seed)),
                                            daemon=True))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def _carry_out(self, fault, for_s, generator):
        with self._lock:
            self._active += 1
        try:
            fault(for_s, generator)
        finally:
            with self._lock:
                self._active -= 1
                self._last_end = max(self._last_end, time.monotonic())

    def quiet_s(self):
        """Seconds since the last fault and its late effects; 0 while one lasts."""
        with self._lock:
            return 0.0 if self._active else max(0.0, time.monotonic() - self._last_end)

    def _take(self, generator):
        """A process that no other fault works on, or None."""
        with self._lock:
            free = [each for each in self._deployment.processes if not each.busy]
            if not free:
                return None
            process = generator.choice(free)
            process.busy = True
            self.log.append(f"{time.monotonic():.3f} hits {process.name}")
            return process

    def kill(self, for_s, generator):
        process = self._take(generator)
        if process:
            process.kill()
            time.sleep(for_s / 2)
            process.start()
            process.busy = False

    def terminate(self, for_s, generator):
        """A rolling restart of up to three processes, one after the other."""
        for _ in range(generator.randint(1, 3)):
            process = self._take(generator)
            if not process:
                return
            code = process.terminate()
            if code is None:
                self._promises.broke("STOP", f"{process.name} had to be killed after its SIGTERM")
            elif code != 0:
                self._promises.broke("STOP", f"{process.name} ended with {code} after SIGTERM")
            process.start()
            process.busy = False

    def freeze(self, for_s, generator):
        process = self._take(generator)
        if process:
            process.freeze(for_s)
            process.busy = False

    def herd(self, for_s, generator):
        """All processes are killed at the same moment."""
        taken = []
        while process := self._take(generator):
            taken.append(process)
        for process in taken:
            process.kill()
        time.sleep(for_s / 4)
        for process in taken:
            process.start()
            process.busy = False

    def reload(self, _for_s, generator):
        process = self._take(generator)
        if process:
            process.reload()
            time.sleep(0.1)
            process.busy = False

    def store_outage(self, for_s, generator):
        self._deployment.store.outage = generator.choice(["silent", "busy"])
        time.sleep(for_s)
        self._deployment.store.outage = None

    def store_slow(self, for_s, generator):
        self._deployment.store.slow_s = generator.uniform(0.05, 0.4)
        time.sleep(for_s)
        self._deployment.store.slow_s = 0.0

    def store_lost(self, for_s, generator):
        self._deployment.store.lost_answers = generator.uniform(0.2, 0.7)
        time.sleep(for_s)
        self._deployment.store.lost_answers = 0.0

    def store_compact(self, _for_s, _generator):
        self._deployment.store.forget_history()

    def store_rebalance(self, _for_s, _generator):
        self._deployment.store.rebalance()

    def store_cut(self, for_s, generator):
        proxies = list(self._deployment.store_links.values())
        self._trouble_link(generator.choice(proxies), for_s, generator)

    def client_cut(self, for_s, generator):
        self._trouble_link(generator.choice(self._deployment.client_links), for_s, generator)

    def worker_link(self, for_s, generator):
        self._trouble_link(generator.choice(self._deployment.worker_links), for_s, generator)

    @staticmethod
    def _trouble_link(link, for_s, generator):
        how = generator.choice(["silent", "to_target", "from_target", "reset", "delay"])
        link.cut_to_target = how in ("silent", "to_target")
        link.cut_from_target = how in ("silent", "from_target")
        link.delay_s = generator.uniform(0.05, 0.5) if how == "delay" else 0.0
        if how == "reset":
            link.reset()
            return
        time.sleep(for_s)
        link.heal()

    def worker_crash(self, for_s, generator):
        worker = generator.choice(self._deployment.workers)
        if not worker.crash():
            return
        time.sleep(for_s / 2)
        worker.boot()

    def worker_hang(self, for_s, generator):
        worker = generator.choice(self._deployment.workers)
        worker.hangs = True
        time.sleep(for_s)
        worker.hangs = False

    def worker_slow(self, for_s, generator):
        worker = generator.choice(self._deployment.workers)
        worker.speed = generator.uniform(0.1, 0.5)
        time.sleep(for_s)
        worker.speed = 1.0

    def worker_late(self, for_s, generator):
        for worker in self._deployment.workers:
            worker.late_orders = generator.uniform(0.1, 0.5)
        time.sleep(for_s)
        for worker in self._deployment.workers:
            worker.late_orders = 0.0
        with self._lock:  # the last late order is carried out then
            self._last_end = max(self._last_end, time.monotonic() + LATE_S[1])

    def worker_shrink(self, for_s, generator):
        worker = generator.choice(self._deployment.workers)
        share = generator.uniform(*SHRUNK_SHARE)
        worker.capacity = {kind: int(amount * share) for kind, amount in CAPACITY.items()}
        time.sleep(for_s)
        worker.capacity = dict(CAPACITY)

    def heartbeats(self, for_s, generator):
        """Another writer's, to the node of one worker."""
        self._writers.write(for_s, generator)

    def first_heartbeat(self, for_s, generator):
        """A node is killed, and the first heartbeat that it gets then is another writer's."""
        self._restart_with_heartbeat(for_s, generator, self._writers.be_first)

    def contradictions(self, for_s, generator):
        """Another writer's, under the ids and starts of most workers."""
        self._writers.contradict(for_s, generator)

    def first_contradiction(self, for_s, generator):
        """A node is killed, and the first heartbeat that it gets contradicts its worker."""
        self._restart_with_heartbeat(for_s, generator, self._writers.contradict_first)

    def _restart_with_heartbeat(self, for_s, generator, send_first):
        process = self._take(generator)
        if not process:
            return
        worker = next((each for each in self._deployment.workers if each.node is process), None)
        process.kill()
        time.sleep(for_s / 8)
        process.start()
        if worker:
            send_first(worker, generator)
        process.busy = False

    def publish(self, _for_s, _generator):
        self._deployment.publish_config()
