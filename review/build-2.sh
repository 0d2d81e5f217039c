#!/bin/sh
# Builds what the scripts of the second review start beside the program: Python modules.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps:.
python3 -m compileall -q review/deployment review/6 review/7 review/8 standins &&
    python3 -c "import review.deployment.case, review.deployment.backend, review.deployment.store"
