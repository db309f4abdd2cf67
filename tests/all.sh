#!/bin/bash
# Checks the formatting, lints, documentation and tests, builds the deployed programs, and checks that deploy/balancer.toml
# lists every source file of the decision module.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
# The release build spends most of its time in single-threaded link-time optimization, so it runs in parallel with the lints
# and the build of the tests. It finishes before any test starts.
cargo build --locked --release &
release_pid=$!
trap 'kill "$release_pid" 2>/dev/null || true' EXIT
cargo clippy --locked --workspace --all-targets -- -D warnings
bash tests/lints.sh
cargo test --locked --workspace --no-run
wait "$release_pid"
trap - EXIT
bash tests/run-test.sh
bash tests/run.sh
decision_files=(crates/balancer/src/decide/*.rs)
listed_files=$(grep -o 'crates/balancer/src/decide/[a-z_]*\.rs' deploy/balancer.toml | sort)
[ "$listed_files" = "$(printf '%s\n' "${decision_files[@]}" | sort)" ] || { echo "deploy/balancer.toml must list exactly the files in crates/balancer/src/decide/" >&2; exit 1; }
head -n 3 crates/balancer/src/decide/mod.rs | grep -q 'crates/balancer/src/interface.rs' || { echo "the first lines of crates/balancer/src/decide/mod.rs must name crates/balancer/src/interface.rs" >&2; exit 1; }
