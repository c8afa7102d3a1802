#!/usr/bin/env bash
# Runs a case, a Python module; ends it, and what it started, after a time.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:."
python3 -c "import importlib; importlib.import_module('$1')" || exit 2
timeout --signal=INT --kill-after=5 110 python3 -m "$1"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
