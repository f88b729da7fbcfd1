#!/bin/sh
# Lays the gateway and what it runs on under target/deps, compiled.
set -eu
deps=target/deps
if [ ! -e target/installed ] || [ deploy/requirements.txt -nt target/installed ]; then
    python3 -m pip install --quiet --upgrade --target "$deps" --requirement deploy/requirements.txt
    touch target/installed
fi
for package in packages/scaleloom-core/scaleloom_core packages/scaleloom-fleet/scaleloom_fleet \
    platform/scaleloom_platform; do
    rm -rf "$deps/$(basename "$package")"
    cp -R "$package" "$deps/"
done
python3 deploy/compile.py "$deps"
