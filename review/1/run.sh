#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1
python3 -S -c "import standins" || exit 2
exec python3 -S review/1/case.py
