#!/usr/bin/env bash
# Prepares the scripts of the second review, after the build of the deploy file.
# Their stand-ins are Python modules in this folder that need only the standard
# library, so nothing is built from them; this checks that they and the program load.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX=target/review-2
python3 -m py_compile review/harness_2.py review/quotas_2.py review/[6-9]/case.py
PYTHONPATH=target/deps python3 -m pimentospool node --help > /dev/null
