#!/bin/sh
# Runs the case: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review:target/deps exec python3 "review/$(basename "$(dirname "$OLDPWD/$0")")/case.py"
