#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and later start. They are written in Python and use its standard
# library only: there is nothing to build, so this only checks that they are there and can be read by the interpreter.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/stand.py 1[1-5]/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
