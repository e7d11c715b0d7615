#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library, some of them from testsuite/soak. They
# need no build; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path.insert(0, "common")
import fleet, link'
