#!/bin/sh
# Builds every stand-in that the scripts of the cases 11 to 15 start, after the
# build of the deploy file. All of them are Python; this compiles them and looks
# whether what they import is there.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="target/deps:."
python3 -m compileall -q pomelostair pomelostair_standins review/harness3 \
	review/1[1-5] || exit 1
python3 - <<'END'
import importlib
import sys

sys.path.insert(0, "review/harness3")
for name in (
    "pomelostair.platform.__main__",
    "pomelostair_standins.platform",
    "deployment",
    "link",
    "minion",
):
    importlib.import_module(name)
END
