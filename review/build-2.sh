#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python: compiled, and imported once.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins-2
cd review/standins-2 && ../../.venv/bin/python -c 'import standins, engines'
