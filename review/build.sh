#!/usr/bin/env bash
# Builds what the cases start besides the deploy file's build. The stand-ins are Python programs that need only the
# standard library, so there is nothing to compile: this checks that they can be read and that the programs are there.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/*.py [0-9]*/case.py <<'PYTHON'
import ast
import sys

if sys.version_info < (3, 8):
    sys.exit("the cases need Python 3.8 or later")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
PYTHON
test -x ../target/release/basalthill || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
