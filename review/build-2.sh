#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the programs of the deploy file: the project's stand-ins. The
# other stand-ins are the Python files of the cases.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked -p reelfall-testbed
