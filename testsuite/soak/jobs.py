"""The jobs that the soak's clients hand in."""

import random

MAX_ATTEMPTS = 3
FAILING_FIRST_RUNS = 0.05  # share of the tasks whose first run fails
HOPELESS = 0.04  # share of the jobs that can never be done
CANCELLED = 0.1

SHORT = {"cpu": 500, "mem_mb": 500, "estimate_ms": 400}
FILLING = {"cpu": 2000, "mem_mb": 1000, "estimate_ms": 1200, "fills": True, "checkpointing": True,
           "image": "fill-1"}
LASTING = {"cpu": 1500, "mem_mb": 1000, "estimate_ms": 300, "long_running": True, "target_ms": 60,
           "image": "serve-1", "max_per_server": 1}
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
        self.accepted = False
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
        if self.lasting:
            return {"work_s": float("inf"), "fails": lambda run: False, "step": spec}
        spread = random.Random(f"{self.seed} {task} work").uniform(0.6, 1.4)
        return {"work_s": spec["estimate_ms"] / 1000 * spread, "fails": self.fails(task),
                "step": spec}


def random_job(generator):
    weights = [weight for weight, _ in SHAPES]
    steps = generator.choices([steps for _, steps in SHAPES], weights)[0]
    return Job(generator, steps)


def lasting_job(generator):
    return Job(generator, [dict(LASTING, count=2)])
