#!/bin/sh
# Prepares what the cases 11 to 15 start: their stand-ins are Python programs of
# review/lib-3 that need the standard library only, so there is nothing to
# compile; this checks that they can be run. The daemon comes from the build of
# the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - lib-3/*.py 1[1-5]/*.py <<'PY'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
PY
echo "stand-ins of review/lib-3 are ready"
