#!/usr/bin/env bash
# The stand-ins are Python (python3 of Debian 12, standard library only) and need no build; this checks that they load.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
export PYTHONDONTWRITEBYTECODE=1
for file in lib/fleet.py [1-5]/case.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
python3 -c 'import asyncio, tomllib; asyncio.timeout'
[ -x ../target/cuminjunctiond ] || { echo "build the deploy file first" >&2; exit 1; }
