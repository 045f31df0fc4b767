#!/bin/sh
# Builds the stand-ins of the scripts: they are Python without dependencies, so it only checks that they compile.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path(".").glob("**/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
