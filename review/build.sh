#!/usr/bin/env bash
# Builds the stand-ins that the scripts start; they need the packages that the
# build of the deploy file has put under target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q review standins testkit
python3 - <<'PY'
import importlib

for name in ("deployments", "engines", "network", "requesters"):
    importlib.import_module(f"review.kit.{name}")
PY
