#!/bin/bash
# Runs one test many times, unchanged: half of the runs with nothing beside them, half beside load, which is two copies of
# all tests of the test bed. Prints one line with the command, the commit, the runs and the failures, and exits with 1 if
# a run has failed. The output of each failed run is kept in target/repeat.
#
# Usage: tests/repeat.sh [--copies N] PACKAGE BINARY TEST COUNT
#   BINARY is the name of the test binary (cluster for crates/testbed/tests/cluster), TEST the whole name of the test.
#   --copies N runs N copies of the test at once beside load (1); without load they run one after the other.
set -euo pipefail
cd "$(dirname "$0")/.."
copies=1
if [ "${1:-}" = --copies ]; then copies=$2; shift 2; fi
if [ $# -ne 4 ]; then sed -n '2,/^set/p' "$0" | grep '^#' >&2; exit 2; fi
package=$1 binary=$2 test=$3 count=$4
load_package=reelfall-testbed
kept=target/repeat
mkdir -p "$kept"

# The paths of the built test binaries of a package, one a line.
binaries() {
    cargo test --locked -p "$1" --no-run --message-format=json 2>/dev/null |
        sed -n 's/.*"executable":"\([^"]*\)".*/\1/p' | grep '/deps/'
}
test_binary=$(binaries "$package" | grep "/$binary-[0-9a-f]*$" | head -n 1)
[ -n "$test_binary" ] || { echo "$package has no test binary $binary" >&2; exit 2; }
"$test_binary" --list --exact "$test" | grep -qxF "$test: test" || { echo "no test is called $test" >&2; exit 2; }
mapfile -t load_binaries < <(binaries "$load_package")
# Tests expect the folder of their package.
package_folder=crates/${package#reelfall-}
load_folder=crates/${load_package#reelfall-}

load_pids=()
stop_load() {
    local pid
    for pid in ${load_pids[@]+"${load_pids[@]}"}; do kill -- "-$pid" 2>/dev/null || true; done
    load_pids=()
}
trap stop_load EXIT
# One copy of all tests of the test bed, again and again, in a process group of its own.
start_load() {
    set -m
    (
        cd "$load_folder"
        while true; do
            for load in "${load_binaries[@]}"; do "$load" >/dev/null 2>&1 || true; done
        done
    ) &
    load_pids+=($!)
    set +m
}

# Runs the test so many times, and adds the failed runs to the variable `failed`.
run_times() {
    local label=$1 runs=$2 at_once=$3 done=0 pids batch
    failed=0
    while [ "$done" -lt "$runs" ]; do
        pids=()
        batch=$((runs - done < at_once ? runs - done : at_once))
        for ((copy = 0; copy < batch; copy++)); do
            (cd "$package_folder" && exec "$test_binary" --exact "$test" --nocapture) >"$kept/$label-$((done + copy)).log" 2>&1 &
            pids+=($!)
        done
        for ((copy = 0; copy < batch; copy++)); do
            if wait "${pids[$copy]}"; then
                rm "$kept/$label-$((done + copy)).log"
            else
                failed=$((failed + 1))
                mv "$kept/$label-$((done + copy)).log" "$kept/$(date +%H%M%S)-$binary-$label-$((done + copy)).failed.log"
            fi
        done
        done=$((done + batch))
    done
}

alone=$((count / 2)) beside=$((count - count / 2))
run_times alone "$alone" 1
failed_alone=$failed
start_load
start_load
run_times beside-load "$beside" "$copies"
failed_beside=$failed
stop_load
commit=$(git rev-parse --short HEAD)$(git diff --quiet HEAD -- crates || echo ' with changes')
echo "$test | tests/repeat.sh --copies $copies $package $binary $test $count | commit $commit | $count runs, $((failed_alone + failed_beside)) red: alone $failed_alone of $alone, beside two copies of the tests of $load_package $failed_beside of $beside"
[ $((failed_alone + failed_beside)) -eq 0 ]
