#!/bin/sh
# Builds the stand-ins of the second review's scripts: plain Python of the standard
# library, compiled beside its sources.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standins_2/*.py
