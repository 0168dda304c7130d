#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv-run/bin/python || exit 2
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 exec .venv-run/bin/python review/3/case.py
