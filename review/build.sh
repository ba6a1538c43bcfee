#!/usr/bin/env bash
# Checks that everything the scripts start can be loaded. The stand-ins are plain Python files that
# use the standard library and the libraries under target/deps; there is nothing to compile.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/common" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import crashing, fleet, standins.rows'
