#!/bin/bash
# Format, lints, documentation, tests, the programs of the deployment, and the files of the decision module that it names.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
# The release build is mostly one thread's link-time optimisation: it runs beside the lints and the build of the tests, and
# has ended before any test starts.
cargo build --locked --release &
release=$!
trap 'kill "$release" 2>/dev/null || true' EXIT
cargo clippy --locked --workspace --all-targets -- -D warnings
bash tests/lints.sh
cargo test --locked --workspace --no-run
wait "$release"
trap - EXIT
bash tests/run-test.sh
bash tests/run.sh
policy=(crates/balancer/src/decide/*.rs)
named=$(grep -o 'crates/balancer/src/decide/[a-z_]*\.rs' deploy/balancer.toml | sort)
[ "$named" = "$(printf '%s\n' "${policy[@]}" | sort)" ] || { echo "deploy/balancer.toml must name each file of the policy" >&2; exit 1; }
head -n 3 crates/balancer/src/decide/mod.rs | grep -q 'crates/balancer/src/interface.rs' || { echo "the policy must name its interface" >&2; exit 1; }
