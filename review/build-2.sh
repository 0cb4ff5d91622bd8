#!/bin/sh
# Builds the stand-ins of the scripts 6 to 10. They are Python without dependencies, so this checks
# that the interpreter can run them and that the build of the deploy file is there.
set -e
cd "$(dirname "$0")/.."
python3 -B - <<'PY'
import ast
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for file in [Path("review/lib-2/small_site.py"), *Path("review").glob("*/case.py")]:
    ast.parse(file.read_text(encoding="utf-8"), str(file))
if not Path("target/deps").is_dir():
    sys.exit("target/deps is missing: run the build of deploy/system.toml first")
PY
