#!/bin/bash
# Format, lints, tests, the programs of the deployment, and the limits of the decision module.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- -D warnings
cargo build --locked --release
cargo test --locked --workspace
policy=crates/core/src/decide.rs
lines=$(grep -c '[^[:space:]]' "$policy")
[ "$lines" -le 1200 ] || { echo "$policy has $lines lines, 1200 at most" >&2; exit 1; }
if grep -nE '^.{111,}' "$policy"; then echo "$policy has lines over 110 columns" >&2; exit 1; fi
head -n 3 "$policy" | grep -q 'crates/core/src/interface.rs' || { echo "$policy must name its interface" >&2; exit 1; }
