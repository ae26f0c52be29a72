#!/usr/bin/env bash
# The stand-ins are plain Python and need nothing but the packages of the deploy file's
# build; this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standins.py review/*/case.py; do
    PYTHONPATH=target/deps python3 -S - "$file" <<'CHECK'
import pathlib
import sys

compile(pathlib.Path(sys.argv[1]).read_text(), sys.argv[1], "exec")
CHECK
done
PYTHONPATH=target/deps python3 -S -c "import trio"
