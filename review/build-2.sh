#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they are Python programs without a dependency, which are only compiled here
# to see that they can run.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - lib-2/platform2.py 6/case.py 7/case.py 8/case.py 10/case.py trials-2/*.py <<'PY'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PY
