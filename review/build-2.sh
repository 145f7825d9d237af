#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. All of them are Python: compiles them to find what is missing.
set -eu
cd "$(dirname "$0")/.."
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile standins/platform/standin.py standins/platform/proxy.py review/common-2/*.py review/[6-9]/*.py review/10/*.py
