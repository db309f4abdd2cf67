//! Decoding of parameters, media types and statuses, including requests that two parsers could interpret differently.

use reelfall_graphql::decode::{parse_body, parse_query, DecodedRequest, Params};
use reelfall_graphql::media::{check_body, negotiate, status, Media};
use reelfall_graphql::{GraphQlError, GraphQlErrorKind, Limits};

/// A nesting depth at which a recursive parser would overflow its stack.
const NESTING: usize = 100_000;

/// Decodes a body that is no batch.
fn decode_single(text: &str) -> Result<Params, GraphQlError> {
    match parse_body(text.as_bytes(), &Limits::default()) {
        Ok(DecodedRequest::Single(params)) => Ok(params),
        Ok(DecodedRequest::Batch(_)) => panic!("decoded as a batch"),
        Err(error) => Err(error),
    }
}

#[test]
fn requests_are_decoded() {
    let params = decode_single(
        r#" {"query":"query A { a }","operationName":"A","variables":{"x":[1,{"y":null}]},"extensions":{"e":1}}"#,
    );
    let params = params.unwrap();
    assert_eq!(params.query.as_deref(), Some("query A { a }"));
    assert_eq!(params.operation_name.as_deref(), Some("A"));
    assert_eq!(params.variables["x"][1]["y"], serde_json::Value::Null);
    assert_eq!(params.extensions["e"], 1);
    let nulls =
        decode_single(r#"{"query":"{a}","operationName":null,"variables":null,"extensions":null}"#)
            .unwrap();
    assert_eq!(nulls, decode_single(r#"{"query":"{a}"}"#).unwrap());
    // A key is the same with escaped characters.
    assert_eq!(
        decode_single("{\"\\u0071uery\":\"{a}\"}")
            .unwrap()
            .query
            .as_deref(),
        Some("{a}")
    );
}

#[test]
fn ambiguous_requests_are_rejected() {
    for (text, expected) in [
        (
            r#"{"query":"{a}","query":"mutation{b}"}"#,
            "`query` is there twice",
        ),
        (
            "{\"query\":\"{a}\",\"\\u0071uery\":\"mutation{b}\"}",
            "`query` is there twice",
        ),
        (
            r#"{"query":"{a}","Query":"mutation{b}"}"#,
            "`Query` is not `query`",
        ),
        (
            r#"{"query":"{a}","operationname":"b"}"#,
            "`operationname` is not `operationName`",
        ),
        (
            r#"{"query":"{a}","variables":{"x":1,"x":2}}"#,
            "`x` is there twice",
        ),
        (
            r#"{"query":"{a}","extensions":{"p":{"x":1,"x":2}}}"#,
            "`x` is there twice",
        ),
        (
            r#"{"query":"{a}","documentId":"b"}"#,
            "`documentId` is no parameter of a request",
        ),
        (
            r#"{"query":"{a}","operationName":""}"#,
            "`operationName` is empty",
        ),
        (
            "\u{feff}{\"query\":\"{a}\"}",
            "the body begins with a byte order mark",
        ),
    ] {
        let message = decode_single(text).unwrap_err().message;
        assert!(
            message.contains(expected),
            "{message} instead of {expected} for {text}"
        );
    }
}

#[test]
fn malformed_requests_are_rejected() {
    for text in [
        "",
        "null",
        "1",
        "\"{a}\"",
        "{}",
        "[]",
        "{",
        "{\"query\":\"{a}\"}x",
        "{\"query\":1}",
        "{\"query\":null}",
        "{\"query\":{\"a\":1}}",
        "{\"query\":\"{a}\",\"variables\":[]}",
        "{\"query\":\"{a}\",\"variables\":\"{}\"}",
        "{\"query\":\"{a}\",\"operationName\":1}",
        "{\"query\":\"{a}\",\"extensions\":[]}",
        "{\"query\":\"\\ud800\"}",
        "{'query':'{a}'}",
        "[{\"query\":\"{a}\"},1]",
        "[[{\"query\":\"{a}\"}]]",
        "{\"query\":\"{a}\",}",
    ] {
        let error = parse_body(text.as_bytes(), &Limits::default()).unwrap_err();
        assert_eq!(error.kind, GraphQlErrorKind::Request, "{text}");
    }
    assert!(parse_body(b"{\"query\":\"\xff\"}", &Limits::default()).is_err());
    let deeply_nested = format!(
        "{{\"query\":\"{{a}}\",\"variables\":{{\"x\":{}1{}}}}}",
        "[".repeat(NESTING),
        "]".repeat(NESTING)
    );
    assert!(parse_body(deeply_nested.as_bytes(), &Limits::default()).is_err());
}

#[test]
fn batch_entries_are_unchanged_and_bounded() {
    let text = r#"[ {"query":"{a}"} , {"variables":{"x": 1.0e0},"query":"mutation { b }"}]"#;
    let Ok(DecodedRequest::Batch(entries)) = parse_body(text.as_bytes(), &Limits::default()) else {
        panic!("not decoded as a batch")
    };
    assert_eq!(
        entries[1].1,
        r#"{"variables":{"x": 1.0e0},"query":"mutation { b }"}"#
    );
    let oversized = format!("[{}]", vec![r#"{"query":"{a}"}"#; 1000].join(","));
    let error = parse_body(oversized.as_bytes(), &Limits::default()).unwrap_err();
    assert_eq!(
        (error.kind, error.message.as_str()),
        (
            GraphQlErrorKind::Limit,
            "over the limit on requests in a batch: 50 at most"
        )
    );
}

#[test]
fn get_request_is_decoded_from_its_query_string() {
    let params = parse_query(
        "query=query+A%28%24x%3AInt%29%7Ba%7D&operationName=A&variables=%7B%22x%22%3A1%7D&other=1",
    )
    .unwrap();
    assert_eq!(params.query.as_deref(), Some("query A($x:Int){a}"));
    assert_eq!(params.variables["x"], 1);
    for invalid in [
        "",
        "query=%7Ba%7D&query=%7Bb%7D",
        "query=%7Ba%7D&Query=x",
        "query=%7Ba%7D&variables=1",
        "query=%7Ba%7D&variables=%7B",
        "query=%ff",
        "operationName=A",
    ] {
        assert!(parse_query(invalid).is_err(), "{invalid}");
    }
}

#[test]
fn persisted_query_hash_is_validated() {
    let hash = "ab".repeat(32);
    let decode_extension = |extension: &str| {
        decode_single(&format!(
            "{{\"extensions\":{{\"persistedQuery\":{extension}}}}}"
        ))
    };
    let params = decode_extension(&format!("{{\"version\":1,\"sha256Hash\":\"{hash}\"}}")).unwrap();
    assert_eq!(params.persisted_hash(), Ok(Some([0xab; 32])));
    for invalid in [
        "null",
        "{}",
        "{\"version\":2}",
        "{\"version\":1}",
        "{\"version\":1,\"sha256Hash\":\"ab\"}",
        "{\"version\":1,\"sha256Hash\":1}",
    ] {
        assert!(decode_extension(invalid).is_err(), "{invalid}");
    }
    let not_hexadecimal = "zz".repeat(32);
    assert!(decode_extension(&format!(
        "{{\"version\":1,\"sha256Hash\":\"{not_hexadecimal}\"}}"
    ))
    .is_err());
}

#[test]
fn media_type_with_the_highest_quality_is_selected() {
    const RESPONSE: &str = "application/graphql-response+json";
    for (accept, expected) in [
        (None, Some(Media::Json)),
        (Some(""), Some(Media::Json)),
        (Some("*/*"), Some(Media::Json)),
        (Some("application/*"), Some(Media::Json)),
        (Some("application/json"), Some(Media::Json)),
        (Some(RESPONSE), Some(Media::Response)),
        (
            Some("APPLICATION/GraphQL-Response+JSON; Charset=UTF-8"),
            Some(Media::Response),
        ),
        (
            Some("application/graphql-response+json, application/json;q=0.9"),
            Some(Media::Response),
        ),
        (
            Some("application/json, application/graphql-response+json"),
            Some(Media::Response),
        ),
        (
            Some("application/graphql-response+json;q=0.5, application/json"),
            Some(Media::Json),
        ),
        (
            Some("application/graphql-response+json;q=0, */*"),
            Some(Media::Json),
        ),
        (
            Some("application/json;q=0, */*;q=0.1"),
            Some(Media::Response),
        ),
        (Some("application/json; charset=utf-16"), None),
        (Some("text/html"), None),
        (Some("text/html, */*;q=0"), None),
    ] {
        assert_eq!(negotiate(accept).ok(), expected, "{accept:?}");
    }
}

#[test]
fn only_utf_8_json_bodies_are_accepted() {
    for valid in [
        "application/json",
        "Application/JSON; charset=utf-8",
        "application/json;charset=\"UTF-8\"",
    ] {
        assert!(check_body(Some(valid)).is_ok(), "{valid}");
    }
    for invalid in [
        None,
        Some(""),
        Some("text/plain"),
        Some("application/graphql"),
        Some("application/json; charset=utf-16"),
        Some("application/x-www-form-urlencoded"),
    ] {
        assert_eq!(
            check_body(invalid).unwrap_err().kind,
            GraphQlErrorKind::MediaType,
            "{invalid:?}"
        );
    }
}

#[test]
fn status_depends_on_media_type_and_error() {
    for (kind, response, json) in [
        (GraphQlErrorKind::Request, 400, 400),
        (GraphQlErrorKind::Syntax, 400, 200),
        (GraphQlErrorKind::Validation, 400, 200),
        (GraphQlErrorKind::Limit, 400, 200),
        (GraphQlErrorKind::Subscription, 400, 200),
        (GraphQlErrorKind::Method, 405, 405),
        (GraphQlErrorKind::MediaType, 415, 415),
        (GraphQlErrorKind::NotAcceptable, 406, 406),
        (GraphQlErrorKind::PersistedQueryNotFound, 200, 200),
    ] {
        assert_eq!(
            (status(Media::Response, kind), status(Media::Json, kind)),
            (response, json),
            "{kind:?}"
        );
    }
}
