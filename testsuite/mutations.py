#!/usr/bin/env python3
"""Shows that each invariant is proved by a test that fails without its mechanism.

Copies the tracked sources to a scratch folder, takes out one mechanism at a time, builds, and runs
the command that has to fail. Exits with 1 if a mutant survives.
"""

import argparse
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass

ROOT = pathlib.Path(__file__).resolve().parent.parent


@dataclass(frozen=True)
class Mutation:
    invariant: str
    removed: str  # the mechanism that is taken out
    file: str
    old: str
    new: str
    target: str
    command: tuple
    evidence: str  # text that the failing run has to print
    more_edits: tuple = ()  # further (file, old, new)


MUTATIONS = (
    Mutation("1", "the agent counts reservations", "src/librole/task_holder.cpp",
             "    if (refusal == nullptr && !m_state->ledger.reserve(proposal.task, "
             "proposal.job.taskResources))\n        refusal = \"no_room\";\n", "",
             "matrix", ("matrix", "--fault=cancel_burst"), "invariant 1"),
    Mutation("2", "the wait after a revocation", "src/librole/lease_calculator.h",
             "return term + duration(drift) + margin;",
             "return (term + duration(drift) + margin) * 0;",
             "matrix", ("matrix", "--fault=cut_both_ways"), "invariant 2"),
    Mutation("2", "the read marker before a grant", "src/librole/entry_control.cpp",
             "    submitMarker();\n}\n\nvoid entry_control::onRequestFromTask",
             "    m_authorities.onMarkerSubmitted(m_now);\n    grantAuthorities();\n}\n\n"
             "void entry_control::onRequestFromTask",
             "scenarios_test", ("scenarios_test",), "invariant 2"),
    Mutation("3", "the checkpoint of a release", "src/liblog/cell_state_tasks.cpp",
             "        task.checkpoint = record.checkpoint;", "        task.checkpoint.clear();",
             "matrix", ("matrix", "--fault=drain"), "invariant 3"),
    Mutation("4", "the check of an answer's length and checksum",
             "src/librole/answer_checksum.cpp",
             "value.bodyChecksum == bodyChecksum(value.content.body)", "true",
             "role_test", ("role_test",), "error: in"),
    Mutation("5", "the memory of cancellations", "src/librole/admission_state.cpp",
             "    history.add(now, key, { .refused = refusal_reason::cancelled, "
             ".storedAnswer = std::nullopt });\n", "    static_cast<void>(now);\n",
             "role_test", ("role_test",), "error: in"),
    Mutation("6", "non-idempotent requests wait for proof", "src/librole/router_requests.cpp",
             "    added.idempotent =\n", "    added.idempotent = true ||\n",
             "matrix", ("matrix", "--fault=kill_process", "--seeds=2"), "invariant 6"),
    Mutation("7", "refusals while draining", "src/librole/request_admission.cpp",
             "    m_state->draining = true;\n", "    m_state->draining = false;\n",
             "role_test", ("role_test",), "error: in"),
    Mutation("8", "an entry finishes what is in flight", "src/librole/entry_control.cpp",
             "    if (m_shared->requestsInFlight != 0 || !logIdle)\n        return;\n",
             "    static_cast<void>(logIdle);\n",
             "matrix", ("matrix", "--fault=service_slow", "--second_fault=drain", "--seeds=3"),
             "invariant 8"),
    Mutation("9", "changes are pushed to agents when they are folded",
             "src/librole/entry_control_streams.cpp",
             "        if (agent.sentConfigRevision >= revision)\n            continue;\n",
             "        if (!agent.sentConfigRevision.isNone())\n            continue;\n",
             "matrix", ("matrix", "--fault=race_operators"), "invariant 9"),
)


def run(command, folder):
    return subprocess.run(command, cwd=folder, text=True, stdout=subprocess.PIPE,
                          stderr=subprocess.STDOUT, timeout=600, check=False)


def copy_sources(folder):
    tracked = subprocess.run(["git", "ls-files"], cwd=ROOT, text=True, check=True,
                             stdout=subprocess.PIPE).stdout.split()
    for name in tracked:
        target = folder / name
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(ROOT / name, target)


def build(folder, target, jobs):
    result = run(["cmake", "--build", "build", "-j", str(jobs), "--target", target], folder)
    if result.returncode != 0:
        print(result.stdout[-3000:])
    return result.returncode == 0


def try_mutation(mutation, folder, jobs):
    """Returns a verdict: detected, survived, or why the trial is invalid."""
    edits = ((mutation.file, mutation.old, mutation.new), *mutation.more_edits)
    originals = {name: (folder / name).read_text() for name, _, _ in edits}
    if any(originals[name].count(old) != 1 for name, old, _ in edits):
        return "invalid: the source has changed"
    for name, old, new in edits:
        (folder / name).write_text(originals[name].replace(old, new))
    try:
        if not build(folder, mutation.target, jobs):
            return "invalid: does not build"
        result = run([str(folder / "build" / mutation.command[0]), *mutation.command[1:]], folder)
    finally:
        for name, text in originals.items():
            (folder / name).write_text(text)
    failed = result.returncode != 0 and mutation.evidence in result.stdout
    return "detected" if failed else "survived"


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    parser.add_argument("--only", default="", help="trials of this invariant only")
    options = parser.parse_args()
    survivors = 0
    with tempfile.TemporaryDirectory(prefix="plantain-mutations-") as name:
        folder = pathlib.Path(name)
        copy_sources(folder)
        run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja"], folder)
        for mutation in MUTATIONS:
            if options.only and mutation.invariant != options.only:
                continue
            verdict = try_mutation(mutation, folder, options.jobs)
            survivors += verdict != "detected"
            print(f"invariant {mutation.invariant}, without {mutation.removed}: {verdict} "
                  f"({' '.join(mutation.command)})", flush=True)
    return 1 if survivors else 0


if __name__ == "__main__":
    sys.exit(main())
