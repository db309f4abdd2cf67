//! The choice of the operation that a request executes.

use crate::parse;
use reelfall_graphql::document::OperationKind;
use reelfall_graphql::GraphQlErrorKind;

const QUERY_AND_MUTATION: &str = "query A { evaluate } mutation B { toggle }";

/// The kind of the operation that runs, or the kind of the error.
fn kind_of(text: &str, operation_name: Option<&str>) -> Result<OperationKind, GraphQlErrorKind> {
    parse(text, operation_name)
        .map(|operation| operation.kind)
        .map_err(|error| error.kind)
}

#[test]
fn operation_is_chosen_by_name_or_is_the_only_one() {
    assert_eq!(kind_of("{ evaluate }", None), Ok(OperationKind::Query));
    assert_eq!(
        kind_of("mutation { toggle }", None),
        Ok(OperationKind::Mutation)
    );
    assert_eq!(
        kind_of(QUERY_AND_MUTATION, Some("A")),
        Ok(OperationKind::Query)
    );
    assert_eq!(
        kind_of(QUERY_AND_MUTATION, Some("B")),
        Ok(OperationKind::Mutation)
    );
}

#[test]
fn invalid_document_or_operation_name_is_rejected() {
    for (text, name) in [
        (QUERY_AND_MUTATION, None),
        (QUERY_AND_MUTATION, Some("C")),
        ("{ evaluate }", Some("A")),
        ("{ evaluate } mutation B { toggle }", Some("B")),
        ("query A { evaluate } mutation A { toggle }", Some("A")),
        ("fragment F on Query { evaluate }", None),
        ("{ evaluate } type Query { a: Int }", None),
        (
            "{ ...F } fragment F on Query { evaluate } fragment F on Mutation { toggle }",
            None,
        ),
        ("{ ...G }", None),
        ("{ ...F } fragment F on Query { ...F }", None),
        (
            "{ evaluate } fragment F on Query { ...G } fragment G on Query { a { ...F } }",
            None,
        ),
        (
            "query ($a: Boolean = true, $a: Boolean = false) { evaluate @skip(if: $a) }",
            None,
        ),
    ] {
        assert_eq!(
            kind_of(text, name),
            Err(GraphQlErrorKind::Validation),
            "{text} {name:?}"
        );
    }
}

#[test]
fn subscription_is_rejected() {
    assert_eq!(
        kind_of("subscription { a }", None),
        Err(GraphQlErrorKind::Subscription)
    );
}

#[test]
fn malformed_document_is_rejected() {
    for text in [
        "",
        "{",
        "{}",
        "{ evaluate",
        "query",
        "mutation { toggle } }",
        "{ evaluate(a: ) }",
        "{ \"a\" }",
        "{ a:b:c }",
    ] {
        assert!(kind_of(text, None).is_err(), "{text}");
    }
}
