#!/bin/bash
# Runs one unmodified test many times to find flaky failures: half of the runs without load, half under load
# (two copies of the whole test suite of the testbed package). Prints one line with the command, the commit, the number of
# runs and the failures, and exits with 1 if a run failed. The output of each failed run is kept in target/repeat.
#
# Usage: tests/repeat.sh [--copies N] PACKAGE BINARY TEST COUNT
#   BINARY is the name of the test binary (cluster for crates/testbed/tests/cluster), TEST the full name of the test.
#   --copies N runs N copies of the test at once under load (default 1); without load, runs are sequential.
set -euo pipefail
cd "$(dirname "$0")/.."
copies=1
if [ "${1:-}" = --copies ]; then copies=$2; shift 2; fi
if [ $# -ne 4 ]; then sed -n '2,/^set/p' "$0" | grep '^#' >&2; exit 2; fi
package=$1 binary=$2 test=$3 count=$4
load_package=reelfall-testbed
log_folder=target/repeat
mkdir -p "$log_folder"

# Prints the paths of the built test binaries of a package, one per line.
test_binaries() {
    cargo test --locked -p "$1" --no-run --message-format=json 2>/dev/null |
        sed -n 's/.*"executable":"\([^"]*\)".*/\1/p' | grep '/deps/'
}
test_binary=$(test_binaries "$package" | grep "/$binary-[0-9a-f]*$" | head -n 1)
[ -n "$test_binary" ] || { echo "$package has no test binary $binary" >&2; exit 2; }
"$test_binary" --list --exact "$test" | grep -qxF "$test: test" || { echo "no test is named $test" >&2; exit 2; }
mapfile -t load_binaries < <(test_binaries "$load_package")
# Tests expect their package's folder as the working directory.
package_folder=crates/${package#reelfall-}
load_folder=crates/${load_package#reelfall-}

load_pids=()
stop_load() {
    local pid
    for pid in ${load_pids[@]+"${load_pids[@]}"}; do kill -- "-$pid" 2>/dev/null || true; done
    load_pids=()
}
trap stop_load EXIT
# Runs the whole test suite of the testbed package in an endless loop, in its own process group so that it can be stopped.
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

# Runs the test `runs` times, `at_once` in parallel, and sets the variable `failed` to the number of failed runs.
run_times() {
    local label=$1 runs=$2 at_once=$3 completed=0 pids batch
    failed=0
    while [ "$completed" -lt "$runs" ]; do
        pids=()
        batch=$((runs - completed < at_once ? runs - completed : at_once))
        for ((copy = 0; copy < batch; copy++)); do
            (cd "$package_folder" && exec "$test_binary" --exact "$test" --nocapture) >"$log_folder/$label-$((completed + copy)).log" 2>&1 &
            pids+=($!)
        done
        for ((copy = 0; copy < batch; copy++)); do
            if wait "${pids[$copy]}"; then
                rm "$log_folder/$label-$((completed + copy)).log"
            else
                failed=$((failed + 1))
                mv "$log_folder/$label-$((completed + copy)).log" "$log_folder/$(date +%H%M%S)-$binary-$label-$((completed + copy)).failed.log"
            fi
        done
        completed=$((completed + batch))
    done
}

idle_runs=$((count / 2)) load_runs=$((count - count / 2))
run_times alone "$idle_runs" 1
failed_idle=$failed
start_load
start_load
run_times beside-load "$load_runs" "$copies"
failed_under_load=$failed
stop_load
commit=$(git rev-parse --short HEAD)$(git diff --quiet HEAD -- crates || echo ' with changes')
echo "$test | tests/repeat.sh --copies $copies $package $binary $test $count | commit $commit | $count runs, $((failed_idle + failed_under_load)) failed: alone $failed_idle of $idle_runs, under load (two copies of the tests of $load_package) $failed_under_load of $load_runs"
[ $((failed_idle + failed_under_load)) -eq 0 ]
