#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python modules that use only what deploy/build has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -m compileall -q review
PYTHONPATH=target/deps:. python3 -c "
import review.frame
import review.clients
import review.extra_answer_worker
import review.shedding_worker
import review.worker
"
