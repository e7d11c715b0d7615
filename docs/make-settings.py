#!/usr/bin/env python3
"""Writes docs/settings.md from the help texts of the built programs, or checks that it is current."""

import argparse
import difflib
import os
import re
import subprocess
import sys

DIRECTORY = os.path.dirname(os.path.abspath(__file__))
PAGE = os.path.join(DIRECTORY, "settings.md")
PROGRAMS = ("plantain-entry", "plantain-agent", "plantainctl", "plantain-load",
            "plantain-gateway", "plantain-node")
UPDATE = "make settings"
# Flags that need no variable: they say what the program is to do, not how it is set up.
WITHOUT_VARIABLE = ("check", "version", "help", "check_answers")

HEAD = """# Settings

Made from the programs' help texts by `make settings`; do not edit by hand.

- A flag is written `--name=value` or `--name value`. Each flag with an environment variable in the
  table can be set by that variable as well; the command line takes precedence.
- All settings are read once, at the start. A program with wrong settings lists every error with its
  remedy on standard error and ends with exit code 2. `--check` does the same without starting.
- Programs share variables of the same name, for example `PLANTAIN_SERVER` is the administration
  port for `plantainctl` and the callers' port for `plantain-load`. Set them per process.
"""


def read_help(build, program):
    """Help text of a program, run without PLANTAIN_ variables."""
    environment = {k: v for k, v in os.environ.items() if not k.startswith("PLANTAIN_")}
    run = subprocess.run([os.path.join(build, program), "--help"], capture_output=True, text=True,
                         timeout=20, env=environment, check=True)
    return run.stdout


def parse_flags(text, program):
    """Rows (group, flag, default, meaning, accepted) in the order of the help text."""
    rows = []
    group = ""
    for line in text.splitlines():
        if line and not line.startswith(" ") and line.endswith(":"):
            group = line[:-1]
        elif match := re.fullmatch(r"  --(\w+)", line):
            rows.append([group, match[1], "", "", ""])
        elif line.startswith("      accepted: "):
            rows[-1][4] = line.strip()[len("accepted: "):]
        elif line.startswith("      ") and rows and group == rows[-1][0] and not rows[-1][3]:
            meaning = line.strip()
            if match := re.fullmatch(r"(.*) \((required|default: .*)\)", meaning):
                meaning, rows[-1][2] = match[1], match[2].removeprefix("default: ")
            rows[-1][3] = meaning
    if not rows or any(not row[3] for row in rows):
        raise ValueError(f"{program} --help is not in the form that this script reads")
    return rows


def summary_of(text, program):
    """The line of the help text that names the program, without its name."""
    return next(line for line in text.splitlines()
                if line.startswith(program + ": ")).removeprefix(program + ": ")


def cell(text):
    return text.replace("|", "\\|").replace("<", "&lt;")


def default_cell(value):
    if value in ("", "empty", "required"):
        return value or "-"
    return f"`{value}`"


def section(build, program):
    text = read_help(build, program)
    lines = ["", f"## {program}", "", summary_of(text, program)[:1].upper()
             + summary_of(text, program)[1:] + "."]
    previous = None
    for group, flag, default, meaning, accepted in parse_flags(text, program):
        if group != previous:
            lines += ["", f"### {group}", "",
                      "| flag | environment variable | default | meaning | accepted |",
                      "| --- | --- | --- | --- | --- |"]
        previous = group
        variable = "-" if flag in WITHOUT_VARIABLE else f"`PLANTAIN_{flag.upper()}`"
        lines.append(f"| `--{flag}` | {variable} | {default_cell(default)} | {cell(meaning)} "
                     f"| {cell(accepted) or '-'} |")
    return "\n".join(lines) + "\n"


def make_page(build):
    return HEAD + "".join(section(build, program) for program in PROGRAMS)


def check(page):
    """Exit code 1 with the differences if the page in the repository is not the same."""
    committed = ""
    if os.path.exists(PAGE):
        with open(PAGE, encoding="utf-8") as file:
            committed = file.read()
    if committed == page:
        return 0
    sys.stdout.writelines(difflib.unified_diff(
        committed.splitlines(True), page.splitlines(True), "docs/settings.md", "help texts"))
    print(f"docs/settings.md differs from the help texts; update it with: {UPDATE}")
    return 1


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=os.path.join(os.path.dirname(DIRECTORY), "build"),
                        help="directory with the built programs")
    parser.add_argument("--check", action="store_true",
                        help="compare the page with a fresh one instead of writing it")
    options = parser.parse_args()
    page = make_page(os.path.abspath(options.build))
    if options.check:
        return check(page)
    with open(PAGE, "w", encoding="utf-8") as file:
        file.write(page)
    return 0


if __name__ == "__main__":
    sys.exit(main())
