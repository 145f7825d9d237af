#!/usr/bin/env bash
# Prepares the stand-ins that the run.sh scripts start. They are all Python: the project's own in standins/platform/ and
# those in review/common/. There is nothing to compile; this checks that they load and that the program is built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import sys
sys.dont_write_bytecode = True
sys.path[:0] = ["review/common", "standins/platform"]
import standin, world
print("stand-ins load")
PY
test -x target/programs/sassafrasvaned/sassafrasvaned || echo "note: target/ is not built yet (see deploy/system.toml)"
