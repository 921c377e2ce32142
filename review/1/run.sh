#!/bin/sh
# Runs the case: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the
# disruption out.
HERE=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$HERE/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review:target/deps exec python3 "$HERE/case.py"
