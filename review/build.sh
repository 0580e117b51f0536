#!/bin/sh
# The stand-ins of the cases are Python programs, which need no build: checks that Python can read them.
set -eu
cd "$(dirname "$0")"
python3 - lib/*.py [1-5]/*.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
echo "review: the stand-ins can be read"
