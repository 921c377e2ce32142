#!/bin/sh
# Builds the stand-ins of the second review, which are Python of the standard library alone.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/stand_ins_2
