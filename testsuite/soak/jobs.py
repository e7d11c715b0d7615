"""The jobs that the soak's clients hand in."""

import random

MAX_ATTEMPTS = 3
FAILING_FIRST_RUNS = 0.05  # share of the tasks whose first run fails
HOPELESS = 0.04  # share of the jobs that can never be done
CANCELLED = 0.1
CRASH_AFTER_S = (0.02, 0.06)  # from the start of a task that crashes its workers

SHORT = {"cpu": 500, "mem_mb": 500, "estimate_ms": 400}
FILLING = {"cpu": 2000, "mem_mb": 1000, "estimate_ms": 1200, "fills": True, "checkpointing": True,
           "image": "fill-1"}
LASTING = {"cpu": 1500, "mem_mb": 1000, "estimate_ms": 300, "long_running": True, "target_ms": 60,
           "image": "serve-1", "max_per_server": 1}
LASTING_STEPS = [dict(LASTING, count=2), dict(LASTING, count=2),
                 dict(LASTING, count=2, cpu=3500, mem_mb=5000, image="serve-2"),
                 dict(LASTING, count=3, cpu=2500, mem_mb=3000),
                 dict(LASTING, count=4, cpu=500, image="serve-2", max_per_server=0)]
FAILING_LASTING_RUNS = 2  # of half of the lasting tasks, the first ones
LASTING_RUN_S = (3.0, 12.0)  # until such a run fails
# Small enough to take each piece of capacity that becomes free.
LOAD = dict(SHORT, cpu=1000, estimate_ms=1500, count=8)
SHAPES = [
    (5, [dict(SHORT, count=3), dict(SHORT, count=2, depends_on=[0])]),
    (3, [dict(FILLING, count=4)]),
    (2, [dict(SHORT, count=3, max_per_server=1)]),
    (1, [dict(SHORT, count=1), dict(FILLING, count=2, depends_on=[0]),
         dict(SHORT, count=2, depends_on=[1], required_label="a")]),
]


class Job:
    """What one client knows of its job."""

    def __init__(self, generator, steps):
        self.name = f"{generator.getrandbits(64):016x}"
        self.document = {"spec": f"payload of {self.name}", "steps": steps}
        self.lasting = any(step.get("long_running") for step in steps)
        self.hopeless = not self.lasting and generator.random() < HOPELESS
        self.to_cancel = not self.lasting and generator.random() < CANCELLED
        self.seed = generator.getrandbits(32)
        self.crashing = None  # the task that crashes each worker that starts it
        self.crash_after_s = None
        self.accepted = False
        self.accepted_at = None
        self.cancelled = False
        self.refused_only = False
        self.started = False
        self.state = None

    def fails(self, task):
        """Whether a run of the task with that number fails."""
        first = random.Random(f"{self.seed} {task}").random() < FAILING_FIRST_RUNS
        return lambda run: self.hopeless or (first and run == 1)

    def plan(self, task, step):
        spec = self.document["steps"][step]
        crash_after_s = self.crash_after_s if task == self.crashing else None
        if self.lasting:
            return {"run_s": lambda run: self.lasting_run_s(task, run), "fails": lambda run: True,
                    "step": spec, "crash_after_s": crash_after_s}
        spread = random.Random(f"{self.seed} {task} work").uniform(0.6, 1.4)
        return {"run_s": lambda run: spec["estimate_ms"] / 1000 * spread,
                "fails": self.fails(task), "step": spec, "crash_after_s": crash_after_s}

    def lasting_run_s(self, task, run):
        """Seconds until that run of a lasting task fails."""
        generator = random.Random(f"{self.seed} {task} {run}")
        failing = random.Random(f"{self.seed} {task}").random() < 0.5
        return generator.uniform(*LASTING_RUN_S) if failing and run <= FAILING_LASTING_RUNS \
            else float("inf")


def random_job(generator):
    weights = [weight for weight, _ in SHAPES]
    steps = generator.choices([steps for _, steps in SHAPES], weights)[0]
    return Job(generator, steps)


def crashing_job(generator):
    """A job with one task that crashes its workers. It can only end as failed."""
    job = random_job(generator)
    job.hopeless = job.to_cancel = False
    index = generator.randrange(job.document["steps"][0]["count"])
    job.crashing = f"{job.name}.0.0.{index}"
    job.crash_after_s = generator.uniform(*CRASH_AFTER_S)
    return job


def lasting_jobs(generator):
    return [Job(generator, [dict(step)]) for step in LASTING_STEPS]


def load_job(generator):
    job = Job(generator, [dict(LOAD)])
    job.to_cancel = False
    return job
