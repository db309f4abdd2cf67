//! Settings files: invalid ones with the errors that are reported, and valid ones with their meaning.

#[path = "../common/mod.rs"]
mod common;
mod examples;
mod files;
mod fleet;
mod graphql;
mod registry;
mod routes;
mod services;
mod units;

use common::{CLASS, LISTENER, SERVER};
use reelfall_config::{check, reader};

/// A part that each service needs.
const ROUTE: &str = "[[service.route]]\n";

const NO_ERRORS: [&str; 0] = [];

/// A valid file with one service, if the settings are valid.
fn file_with_service(settings: &str) -> String {
    format!("{LISTENER}[[service]]\nname = \"a\"\n{settings}{CLASS}{SERVER}{ROUTE}")
}

/// The errors of a file, as they are reported.
fn errors(text: &str) -> Vec<String> {
    let result = reader::parse_toml("f.toml", text).and_then(check);
    result
        .err()
        .map(|errors| errors.0.iter().map(ToString::to_string).collect())
        .unwrap_or_default()
}

/// Asserts that an error is among those of a file.
#[track_caller]
fn assert_error(text: &str, expected: &str) {
    let errors = errors(text);
    assert!(
        errors.iter().any(|error| error == expected),
        "{errors:#?} instead of\n{expected}\nfor\n{text}"
    );
}
