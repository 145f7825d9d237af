#!/usr/bin/env bash
# Builds every stand-in that the cases 11 to 15 start. All are in Python and need no more than its standard library, so
# this only checks that the interpreter reads them; the project's own are standins/platform and tests/entry.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - standins/platform/standin.py standins/platform/proxy.py tests/entry/entryworld.py review/common-3/*.py review/1[1-5]/*.py <<'PYTHON'
import ast
import pathlib
import sys

for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(encoding="utf-8"), name)
PYTHON
