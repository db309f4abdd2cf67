#!/bin/bash
# Shows that the soak finds faults of the node: builds the node with each violation of crates/testbed/violations in a copy
# of the checkout, and plays up to ten days. Prints a line for each, and exits with 1 if one is not found.
#
# Usage: tests/soak-violations.sh [VIOLATION ...]
#   A violation is the name of a patch without `.patch`; the lines before its diff say what it does, which kind of day has
#   to find it, and which rule the finding has to be about. What is shipped contains none of them.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
violations=$root/crates/testbed/violations
target=$root/target/violations
days=10 # within which a violation has to be found
at_once=5
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z -- ':!journal' | tar --null -T - -cf - | tar xf - -C "$copy"
cd "$copy"
git init -q .
git add -A
if [ $# -eq 0 ]; then
    for patch in "$violations"/*.patch; do set -- "$@" "$(basename "$patch" .patch)"; done
fi
missed=0
for name in "$@"; do
    patch=$violations/$name.patch
    kind=$(sed -n 's/^kind: //p' "$patch")
    rule=$(sed -n 's/^rule: //p' "$patch")
    git checkout -q -- .
    git apply "$patch"
    RUSTFLAGS="${RUSTFLAGS:-} -A warnings" CARGO_TARGET_DIR=$target cargo build --locked --quiet -p reelfall-testbed
    found=
    for ((from = 0; from < days && ${#found} == 0; from += at_once)); do
        lines=$(timeout 600 "$target/debug/reelfall-testbed" soak --only "$kind" --from "$from" --seeds "$at_once" \
            --parallel "$at_once" --histories "$target/found" || true)
        found=$(grep -E "^    $rule at " <<<"$lines" | grep -v '(disturbed' | head -n 1 || true)
        other=$(grep -oE '^    [A-Z][A-Za-z]+ at ' <<<"$lines" | sort | uniq -c | tr -s ' \n' ' ' || true)
    done
    if [ -n "$found" ]; then
        echo "$name: found in the days $((from - at_once)) to $((from - 1)),$found"
    else
        echo "$name: NOT found in $days days; other findings in the last of them: ${other:-none}"
        missed=1
    fi
done
exit "$missed"
