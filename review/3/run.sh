#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1 python3 case.py
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
