//! Documents that exceed a limit.

use crate::parse;
use reelfall_graphql::GraphQlErrorKind;
use std::time::{Duration, Instant};

/// The time within which a document has to be rejected.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Asserts that a document is rejected in time, with an error that names the limit.
#[track_caller]
fn assert_exceeds(text: &str, limit: &str) {
    let start = Instant::now();
    let error = parse(text, None).unwrap_err();
    assert_eq!(error.kind, GraphQlErrorKind::Limit, "{}", error.message);
    assert!(
        error.message.contains(limit),
        "{} instead of {limit}",
        error.message
    );
    assert!(start.elapsed() < TIMEOUT, "the rejection took too long");
}

/// Concatenates the texts for the indexes below `count`.
fn repeated(count: usize, text: impl Fn(usize) -> String) -> String {
    (0..count).map(text).collect()
}

#[test]
fn hostile_documents_are_rejected_with_the_exceeded_limit() {
    assert_exceeds(&"{a".repeat(1_000), "depth of a document");
    assert_exceeds(&"{a".repeat(30_000), "tokens of a document");
    assert_exceeds(
        &format!("{{a(x:{}1{})}}", "[".repeat(2_000), "]".repeat(2_000)),
        "depth of a document",
    );
    assert_exceeds(&"{".repeat(100_000), "bytes of a document");
    assert_exceeds(
        &format!("{{ a(x: \"{}\") }}", "x".repeat(1 << 20)),
        "bytes of a document",
    );
    assert_exceeds(
        &format!("{{ {} }}", "a ".repeat(9_000)),
        "tokens of a document",
    );
    let aliases = repeated(1_000, |index| format!("a{index}:a "));
    assert_exceeds(&format!("{{ {aliases} }}"), "aliases of an operation");
    let roots = repeated(60, |index| format!("a{index} "));
    assert_exceeds(&format!("{{ {roots} }}"), "root fields of an operation");
    let fragments = repeated(200, |index| format!("fragment F{index} on Q{{a}} "));
    assert_exceeds(&format!("{{a}} {fragments}"), "fragments of a document");
    // Each of 30 fragments spreads the next one twice, which makes 2^30 fields.
    let doubling = repeated(30, |index| {
        let next = index + 1;
        format!("fragment F{index} on Q{{...F{next} ...F{next}}} ")
    });
    assert_exceeds(
        &format!("{{...F0}} {doubling} fragment F30 on Q{{a}}"),
        "cost: fields of an operation",
    );
}
