#!/bin/bash
# Runs the tests. Those that KNOWN-RED.txt names are run and printed like all others, but do not decide.
#
# A line of that file is `test | cause | issue`, the test by its whole name. Three at most; a name that no test has is a
# fault, and so is a line without its three parts. Absent or empty: every test decides.
set -euo pipefail
known=${KNOWN_RED:-KNOWN-RED.txt}
names=()
if [ -s "$known" ]; then
    while IFS='|' read -r name cause issue || [ -n "$name" ]; do
        name=$(tr -d '[:space:]' <<<"$name")
        if [ -z "$name" ] || [ -z "${cause//[[:space:]]/}" ] || [ -z "${issue//[[:space:]]/}" ]; then
            echo "$known: a line has not the three parts \`test | cause | issue\`" >&2
            exit 1
        fi
        names+=("$name")
    done <"$known"
fi
[ "${#names[@]}" -le 3 ] || { echo "$known: ${#names[@]} tests, three at most" >&2; exit 1; }
skip=()
if [ "${#names[@]}" -gt 0 ]; then
    all=$(cargo test --locked --workspace -- --list)
    for name in "${names[@]}"; do
        grep -qxF "$name: test" <<<"$all" || { echo "$known: no test is called $name" >&2; exit 1; }
        skip+=(--skip "$name")
    done
fi
cargo test --locked --workspace -- --exact "${skip[@]}"
if [ "${#names[@]}" -gt 0 ]; then
    echo "known to be red, these do not decide:"
    cat "$known"
    cargo test --locked --workspace --no-fail-fast -- --exact "${names[@]}" || echo "known red: still red"
fi
