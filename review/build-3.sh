#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python programs of the standard library; those of the store,
# of an HTTP service and of a process are the project's own. This only checks that they compile.
set -e
cd "$(dirname "$0")"
for file in kit-3/*.py 11/*.py 12/*.py 13/*.py 14/*.py 15/*.py \
        ../testsuite/soak/http_service.py ../testsuite/soak/store.py ../testsuite/soak/process.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
