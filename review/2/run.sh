#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 3 115 python3 "$here/case.py"
