#!/bin/sh
# Builds the stand-ins of the review: checks that each module compiles and can
# be imported with the standard library alone. Needs no network.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import importlib
import pathlib

for path in sorted(pathlib.Path('standins').glob('*.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
for name in ('client', 'model_server', 'plain_server', 'site', 'store'):
    importlib.import_module(f'standins.{name}')
for path in sorted(pathlib.Path('.').glob('[0-9]/case.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
print('the stand-ins are built')
END
