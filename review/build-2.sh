#!/bin/sh
# Puts the stand-ins that the scripts of the second review start, the
# project's own among them, under target/review-2. Needs no network.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out/tests"
cp -r platform/soak packages/burdockchute-testing/burdockchute_testing "$out/"
cp platform/tests/__init__.py platform/tests/builders.py \
    platform/tests/fakes.py "$out/tests/"
cp review/standins-2/*.py "$out/"
PYTHONPATH="target/deps:$out" python3 -m compileall -q "$out"
