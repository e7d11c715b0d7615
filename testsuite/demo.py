"""Shows the system at work on one VM: both client accounts are served through two entries, and a
batch job runs to its end although an agent is killed on the way."""

import os
import sys
import time

import cluster

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("PLANTAIN_BUILD", os.path.join(ROOT, "build"))
EXAMPLES = os.path.join(ROOT, "examples")
FONDO = "fondo-solidario-digital"
COOPERATIVA = "cooperativa-regalos"
STARTED = time.monotonic()


def say(text):
    print(f"{time.monotonic() - STARTED:6.1f} s  {text}", flush=True)


def start(system):
    system.start_entries(2)
    for template in ("strike-payout", "strike-payout", "gift-pooling"):
        vm = system.start_vm(template)
        say(f"{vm.name}: worker, service {template} and agent started")
    say("2 entries are ready")


def publish(system):
    for account in (FONDO, COOPERATIVA):
        directory = os.path.join(EXAMPLES, account)
        documents = sorted(os.listdir(directory), key=lambda name: ".parameters." in name)
        for name in documents:
            answer = system.control("publish", os.path.join(directory, name))
            say(f"published {account}/{name} as revision {answer['revision']}")


def serve(system):
    for account, template, path, method in (
            (FONDO, "strike-payout", "/balance/{n}", "GET"),
            (COOPERATIVA, "gift-pooling", "/contribution/{n}", "POST")):
        system.wait_served(account, template)
        report = system.load(
            f"--account={account}", f"--template={template}", f"--path={path}",
            f"--method={method}", "--rate=200", "--duration_s=3",
            *(["--key=demo"] if method == "POST" else []))
        answered = report["outcomes"]["answered"].get("200", 0)
        say(f"{template}: {answered} of {report['requests']} requests answered through both "
            f"entries, {report['wrong_answers']} wrong answers, "
            f"p50 {report['latency_us']['p50'] / 1000:.1f} ms, "
            f"p99 {report['latency_us']['p99'] / 1000:.1f} ms")
        if answered != report["requests"] or report["wrong_answers"]:
            raise RuntimeError(f"requests failed: {report}")


def run_batch(system):
    submitted = system.control("submit", FONDO, "disbursement", "--id=demo-week-49")["job"]
    tasks = len(submitted["tasks"])
    say(f"submitted the batch job {submitted['id']} with {tasks} tasks")
    victim = cluster.wait_until(
        lambda: next((vm for vm in system.vms[1:] if system.running_tasks(vm)), None),
        30, "a task of the job runs on vm2 or vm3")
    held = system.running_tasks(victim)
    victim.agent.kill()
    say(f"killed the agent of {victim.name}, which held {', '.join(held)}")
    system.wait_job_finished("demo-week-49", tasks, 120)
    say("all tasks are finished: " + ", ".join(
        f"{vm.name} {sum(1 for line in cluster.ended(vm, 'finished'))}" for vm in system.vms))
    overlaps = cluster.overlapping_runs(system.vms, cluster.boot_clock_us())
    if overlaps:
        raise RuntimeError(f"tasks ran in two places at once: {overlaps}")
    say("no task ran in two places at once")


def main():
    with cluster.Cluster(BUILD) as system:
        say(f"logs of all programs: {system.directory}")
        try:
            start(system)
            publish(system)
            serve(system)
            run_batch(system)
        except (TimeoutError, RuntimeError) as failure:
            say(f"failed: {failure}")
            return 1
    say("stopped all programs")
    return 0


if __name__ == "__main__":
    sys.exit(main())
