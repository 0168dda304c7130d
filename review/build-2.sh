#!/bin/sh
# Builds the stand-ins of review/6 to review/10: Python of the standard library alone, run by the deploy file's
# environment. Byte code is compiled here; nothing is installed or fetched.
set -eu
cd "$(dirname "$0")/.."
test -x .venv-run/bin/python || { echo "build the deploy file first: sh deploy/build" >&2; exit 1; }
.venv-run/bin/python -m compileall -q review/common2
