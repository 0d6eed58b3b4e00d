#!/usr/bin/env bash
# Builds what the scripts of this review start: it byte-compiles the stand-ins and the
# programs, and checks that they can be imported with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q pimentospool review
python3 -c "import pimentospool.standins, pimentospool.faults"
