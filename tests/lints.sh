#!/bin/bash
# Runs lints beyond clippy's defaults and the documentation lints on all packages of the workspace. No package is exempt.
set -euo pipefail
cd "$(dirname "$0")/.."
lints=(
    clippy::cloned_instead_of_copied
    clippy::cognitive_complexity
    clippy::enum_glob_use
    clippy::if_not_else
    clippy::implicit_clone
    clippy::items_after_statements
    clippy::manual_let_else
    clippy::many_single_char_names
    clippy::map_unwrap_or
    clippy::missing_errors_doc
    clippy::missing_panics_doc
    clippy::semicolon_if_nothing_returned
    clippy::too_many_lines # the threshold is in clippy.toml
    clippy::unnested_or_patterns
    clippy::unwrap_used
    clippy::wildcard_imports
)
cargo clippy --locked --workspace --lib --bins -- -D warnings "${lints[@]/#/-D}"
RUSTDOCFLAGS='-D rustdoc::broken_intra_doc_links -A rustdoc::private_intra_doc_links' \
    cargo doc --locked --workspace --no-deps --document-private-items --quiet
