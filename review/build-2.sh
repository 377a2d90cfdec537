#!/usr/bin/env bash
# Builds what the scripts of review 2 start besides the programs of the deploy
# file: the project's stand-ins and those of review/harness2. Run it after the
# build of the deploy file, whose packages they use.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q pomelostair pomelostair_standins review/harness2 \
  review/6 review/7 review/8 review/9 review/10
PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/harness2" \
  python3 -c "import smallsite, smallworker"
