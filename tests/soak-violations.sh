#!/bin/bash
# Mutation test of the soak: applies each patch of crates/testbed/violations, which adds a fault to the node, to a copy of
# the checkout, and simulates up to ten days. Prints a line for each violation, and exits with 1 if one is not found.
#
# Usage: tests/soak-violations.sh [VIOLATION ...]
#   VIOLATION is the name of a patch without `.patch`. The lines before its diff describe the fault, the kind of day that has
#   to find it (`kind:`) and the rule that the finding has to report (`rule:`). Shipped builds contain none of these patches.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
violations=$root/crates/testbed/violations
target=$root/target/violations
days=10 # a violation that is not found within these days counts as missed
batch_size=5
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
    for ((from = 0; from < days && ${#found} == 0; from += batch_size)); do
        lines=$(timeout 600 "$target/debug/reelfall-testbed" soak --only "$kind" --from "$from" --seeds "$batch_size" \
            --parallel "$batch_size" --histories "$target/found" || true)
        found=$(grep -E "^    $rule at " <<<"$lines" | grep -v '(disturbed' | head -n 1 || true)
        other=$(grep -oE '^    [A-Z][A-Za-z]+ at ' <<<"$lines" | sort | uniq -c | tr -s ' \n' ' ' || true)
    done
    if [ -n "$found" ]; then
        echo "$name: found in days $((from - batch_size)) to $((from - 1)),$found"
    else
        echo "$name: NOT found in $days days; other findings in the last batch of days: ${other:-none}"
        missed=1
    fi
done
exit "$missed"
