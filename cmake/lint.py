#!/usr/bin/env python3
"""Runs clang-tidy on source files, except on those that have passed with the same input.

The input of a file is its text and that of all headers that it includes, its compile command, the
linter's settings and the version of the tool. A hash of it is kept outside the checkout once the
file has passed; nothing is kept of one that fails. The path of the checkout is not part of it, so
that all checkouts on a machine share the results."""

import argparse
import concurrent.futures
import hashlib
import json
import os
import shlex
import subprocess
import sys
import threading

SETTINGS = ".clang-tidy"
# Options of a compile command, with their argument, that name outputs.
OUTPUT_OPTIONS = {"-o", "-MT", "-MF", "-MQ"}
OUTPUT_FLAGS = {"-c", "-MD", "-MMD"}
COMPILERS = ("c++", "g++", "clang++")


class Linter:
    def __init__(self, build, cache):
        self._build = build
        self._cache = cache
        self._root = os.getcwd()
        self._lock = threading.Lock()
        self._digests = {}  # of files, by path
        self._commands = {}
        with open(os.path.join(build, "compile_commands.json"), encoding="utf-8") as file:
            for entry in json.load(file):
                path = os.path.realpath(os.path.join(entry["directory"], entry["file"]))
                self._commands.setdefault(path, []).append(entry)
        version = subprocess.run(["clang-tidy", "--version"], stdout=subprocess.PIPE, check=True)
        self._tool = version.stdout + self._digest(os.path.realpath(__file__)) \
            + self._digest(os.path.join(self._root, SETTINGS))
        os.makedirs(cache, exist_ok=True)

    def lint(self, path):
        """Returns whether the file passes, and what clang-tidy says if it does not."""
        passed = self._passed_path(path)
        if passed and os.path.exists(passed):
            return True, ""
        run = subprocess.run(["clang-tidy", "--quiet", "-p", self._build, path],
                             stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, check=False)
        if run.returncode != 0:
            return False, run.stdout or run.stderr
        # A header that has changed meanwhile was perhaps not the one that was checked.
        self._forget()
        if passed and passed == self._passed_path(path):
            with open(passed, "w", encoding="utf-8"):
                pass
        return True, run.stdout

    def _passed_path(self, path):
        """Where it is kept that the present input has passed; None if the input is not known."""
        key = hashlib.sha256(self._tool)
        entries = self._commands.get(os.path.realpath(path), [])
        for entry in entries:
            arguments = self._arguments(entry)
            listed = subprocess.run(["clang++", "-M", *arguments], cwd=entry["directory"],
                                    stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, check=False)
            if listed.returncode != 0:
                return None
            key.update("\0".join(arguments).replace(self._root, "").encode())
            names = listed.stdout.decode().replace("\\\n", " ").split(": ", 1)[1]
            for name in shlex.split(names):
                header = os.path.realpath(os.path.join(entry["directory"], name))
                key.update(header.removeprefix(self._root).encode() + self._digest(header))
        return os.path.join(self._cache, key.hexdigest()) if entries else None

    @staticmethod
    def _arguments(entry):
        """The compile command without launcher, compiler and outputs."""
        words = shlex.split(entry["command"])
        while os.path.basename(words[0]) not in COMPILERS:
            words.pop(0)
        arguments, rest = [], iter(words[1:])
        for word in rest:
            if word in OUTPUT_OPTIONS:
                next(rest)
            elif word not in OUTPUT_FLAGS:
                arguments.append(word)
        return arguments

    def _digest(self, path):
        with self._lock:
            if path in self._digests:
                return self._digests[path]
        with open(path, "rb") as file:
            digest = hashlib.sha256(file.read()).digest()
        with self._lock:
            self._digests[path] = digest
        return digest

    def _forget(self):
        """Drops digests of the files of the checkout, which may have changed."""
        with self._lock:
            for path in [each for each in self._digests if each.startswith(self._root)]:
                del self._digests[path]


def default_cache():
    home = os.environ.get("XDG_CACHE_HOME") or os.path.join(os.path.expanduser("~"), ".cache")
    return os.path.join(home, "plantainpitch-lint")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, help="directory with compile_commands.json")
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    parser.add_argument("--cache", default=default_cache(), help="directory of the results")
    parser.add_argument("files", nargs="+")
    options = parser.parse_args()
    linter = Linter(options.build, options.cache)
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for path, (passed, text) in zip(options.files, pool.map(linter.lint, options.files)):
            if text:
                print(text, end="", flush=True)
            if not passed:
                failed += 1
                print(f"clang-tidy fails for {path}", flush=True)
    print(f"lint: {len(options.files) - failed} files passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
