#!/bin/sh
# The stand-ins are Python programs of the standard library alone: nothing is built but their compiled files.
cd "$(dirname "$0")" && exec ../.venv/bin/python -m compileall -q standins 1 2 3
