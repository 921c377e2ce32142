#!/bin/sh
# Builds the stand-ins of the cases: they need only what the build of the deploy file installs.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=review python3 -c 'import stand_ins.deployment'
