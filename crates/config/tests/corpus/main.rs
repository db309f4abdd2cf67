//! Settings files: the errors that are reported for invalid ones, and the meaning of valid ones.

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

/// A route that matches every request; each service needs a route.
const ROUTE: &str = "[[service.route]]\n";

const NO_ERRORS: [&str; 0] = [];

/// A file with one service that has these settings; it is valid if the settings are.
fn file_with_service(settings: &str) -> String {
    format!("{LISTENER}[[service]]\nname = \"a\"\n{settings}{CLASS}{SERVER}{ROUTE}")
}

/// The texts of all errors of a file.
fn errors(text: &str) -> Vec<String> {
    let result = reader::parse_toml("f.toml", text).and_then(check);
    result
        .err()
        .map(|errors| errors.0.iter().map(ToString::to_string).collect())
        .unwrap_or_default()
}

/// Asserts that a file has the expected error, possibly among others.
#[track_caller]
fn assert_error(text: &str, expected: &str) {
    let errors = errors(text);
    assert!(
        errors.iter().any(|error| error == expected),
        "{errors:#?} instead of\n{expected}\nfor\n{text}"
    );
}
