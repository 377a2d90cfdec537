#!/usr/bin/env bash
# Checks that all stand-ins of the scripts can be loaded. They are Python
# without dependencies, so nothing else has to be built.
set -eu
cd "$(dirname "$0")/.."
exec python3 -m compileall -q review
