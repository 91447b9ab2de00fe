#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python without
# dependencies and run from their sources, so this only checks that they
# compile here and that the build of the deploy file has run.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("ok", path)
if not pathlib.Path("target/deps").is_dir():
    sys.exit("target/deps is missing: run the build of deploy/system.toml")
PYTHON
