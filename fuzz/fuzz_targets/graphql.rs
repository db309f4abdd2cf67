//! What comes as a GraphQL request: nothing panics, and nothing that holds a mutation where the operation that runs is
//! counts as safe. The reader of tokens that the tests have says which operation that is.

#![no_main]

#[path = "../../crates/graphql/tests/common/naive.rs"]
mod naive;

use libfuzzer_sys::fuzz_target;
use reelfall_graphql::class::{ClassInfo, Classes, Mapping};
use reelfall_graphql::decode::{self, DecodedRequest, Params};
use reelfall_graphql::document::{parse_operation, OperationKind};
use reelfall_graphql::{answer, media, Limits};

fn judge(params: &Params, limits: &Limits) {
    let Some(text) = &params.query else { return };
    let name = params.operation_name.as_deref();
    let Ok(read) = parse_operation(text, name, &params.variables, limits) else {
        return;
    };
    let keyword = naive::keyword(text, name);
    let expected = if read.kind == OperationKind::Mutation {
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
        Classes::new(mapping, vec![info(true), info(false)]).expect("a mapping that is valid");
    assert!(
        !classes.is_idempotent(&read) || keyword.as_deref() == Some("query"),
        "a mutation counts as safe: {text}"
    );
}

fuzz_target!(|data: &[u8]| {
    let limits = Limits::default();
    // As the body of a POST, as the query of a GET, and as a document alone; as headers and as a server's answer.
    match decode::parse_body(data, &limits) {
        Ok(DecodedRequest::Single(params)) => judge(&params, &limits),
        Ok(DecodedRequest::Batch(entries)) => entries
            .iter()
            .for_each(|(params, _)| judge(params, &limits)),
        Err(_) => {}
    }
    let Ok(text) = std::str::from_utf8(data) else {
        return;
    };
    if let Ok(params) = decode::parse_query(text) {
        judge(&params, &limits);
    }
    // Up to the first line is the name of the operation.
    let (name, document) = text.split_once('\n').unwrap_or(("", text));
    for operation_name in [None, Some(name.to_owned()).filter(|n| !n.is_empty())] {
        judge(
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
    if let Ok(asked) = parse_operation("{ a b: c }", None, &serde_json::Map::new(), &limits) {
        let _ = answer::check(data, &asked);
    }
});
