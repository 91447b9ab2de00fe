#!/usr/bin/env bash
# Builds the stand-ins of the second review: they need only Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib

root = pathlib.Path(".")
cases = [root / str(number) / "case.py" for number in range(6, 11)]
for path in [*root.glob("standins-2/*.py"), *root.glob("trials-2/*/case.py"), *cases]:
    compile(path.read_text(), str(path), "exec")
P
