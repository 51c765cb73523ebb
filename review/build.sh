#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python modules that use only what deploy/build has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -m compileall -q review
PYTHONPATH=target/deps:. python3 -c "
import review.standins.case
import review.standins.clients
import review.standins.extra_answer_worker
import review.standins.shedding_worker
import review.standins.worker
"
