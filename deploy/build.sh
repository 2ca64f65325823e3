#!/bin/sh
# Puts the two programs and what they need under target/deps. Libraries are
# installed anew only when their list has changed, our packages always.
set -eu
cd "$(dirname "$0")/.."
pip="python3 -m pip install -q --disable-pip-version-check --no-deps"
deps=target/deps
if [ ! -e "$deps/.stamp" ] ||
    [ deploy/requirements.txt -nt "$deps/.stamp" ]; then
    rm -rf "$deps"
    $pip --target "$deps" -r deploy/requirements.txt
    touch "$deps/.stamp"
fi
rm -rf target/own
for package in packages/burdockchute packages/burdockchute-entry \
    packages/burdockchute-agent platform; do
    mkdir -p target/own
    cp -r "$package" target/own/
done
$pip --upgrade --target "$deps" target/own/*
rm -rf target/own
