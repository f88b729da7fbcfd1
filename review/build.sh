#!/bin/sh
# Lays the stand-ins that the scripts of the cases start under target/review, compiled.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -R review/standins target/review/
python3 -m compileall -q target/review
