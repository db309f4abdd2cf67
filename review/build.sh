#!/bin/bash
# Builds what the cases start beside the programs of the deploy file. Their stand-ins are Python sources, which need no
# build: this checks that the interpreter is there and that every source can be compiled. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]*/*.py <<'PYTHON'
import sys
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11"
for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
PYTHON
