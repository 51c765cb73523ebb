#!/bin/sh
# Exits with 1 if OWNER was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps/medlarpass_daemon ] || exit 2
python3 -c 'import sys, tomllib; compile(open("case.py").read(), "case.py", "exec")' || exit 2
exec env PYTHONPATH=../../target/deps python3 case.py
