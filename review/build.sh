#!/bin/sh
# The stand-ins are Python without libraries: nothing is built but checked.
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import ast
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text("utf-8"), str(path))
    print("checked", path)
CHECK
