#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are Python programs without
# dependencies of their own, so this only compiles them. They run with what the build of the deploy file has
# put into target/deps.
set -eu
cd "$(dirname "$0")"
for file in rig.py [6-9]/case.py 10/case.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
