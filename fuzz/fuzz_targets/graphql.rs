//! Feeds arbitrary bytes to the GraphQL request and response parsers. They must not panic, and a request whose selected
//! operation is a mutation must not be classified as idempotent. The naive tokenizer of the package's tests finds the
//! selected operation independently.

#![no_main]

#[path = "../../crates/graphql/tests/common/naive.rs"]
mod naive;

use libfuzzer_sys::fuzz_target;
use reelfall_graphql::class::{ClassInfo, Classes, Mapping};
use reelfall_graphql::decode::{self, DecodedRequest, Params};
use reelfall_graphql::document::{parse_operation, OperationKind};
use reelfall_graphql::{answer, media, Limits};

fn check_request(params: &Params, limits: &Limits) {
    let Some(text) = &params.query else { return };
    let name = params.operation_name.as_deref();
    let Ok(operation) = parse_operation(text, name, &params.variables, limits) else {
        return;
    };
    let keyword = naive::keyword(text, name);
    let expected = if operation.kind == OperationKind::Mutation {
        "mutation"
    } else {
        "query"
    };
    assert_eq!(keyword.as_deref(), Some(expected), "{text}");
    let mapping = Mapping {
        query: [("a".to_owned(), 0)].into(),
        other_mutation: 1,
        ..Mapping::default()
    };
    let info = |is_idempotent| ClassInfo {
        is_idempotent,
        deadline: 1.0,
    };
    let classes =
        Classes::new(mapping, vec![info(true), info(false)]).expect("the mapping is accepted");
    assert!(
        !classes.is_idempotent(&operation) || keyword.as_deref() == Some("query"),
        "a mutation is classified as idempotent: {text}"
    );
}

fuzz_target!(|data: &[u8]| {
    let limits = Limits::default();
    // The input is read as a POST body, a GET query, a bare document, an Accept or Content-Type header, and a response.
    match decode::parse_body(data, &limits) {
        Ok(DecodedRequest::Single(params)) => check_request(&params, &limits),
        Ok(DecodedRequest::Batch(entries)) => entries
            .iter()
            .for_each(|(params, _)| check_request(params, &limits)),
        Err(_) => {}
    }
    let Ok(text) = std::str::from_utf8(data) else {
        return;
    };
    if let Ok(params) = decode::parse_query(text) {
        check_request(&params, &limits);
    }
    // The text before the first line feed is the operation name; the rest is the document.
    let (name, document) = text.split_once('\n').unwrap_or(("", text));
    for operation_name in [None, Some(name.to_owned()).filter(|n| !n.is_empty())] {
        check_request(
            &Params {
                query: Some(document.to_owned()),
                operation_name,
                ..Params::default()
            },
            &limits,
        );
    }
    let _ = media::negotiate(Some(text));
    let _ = media::check_body(Some(text));
    if let Ok(operation) = parse_operation("{ a b: c }", None, &serde_json::Map::new(), &limits) {
        let _ = answer::check(data, &operation);
    }
});
