//! Parameters, media types and statuses, with the requests that two readers could take differently.

use reelfall_graphql::decode::{parse_body, parse_query, DecodedRequest, Params};
use reelfall_graphql::media::{check_body, negotiate, status, Media};
use reelfall_graphql::{GraphQlErrorKind, Limits};

fn one(text: &str) -> Result<Params, String> {
    match parse_body(text.as_bytes(), &Limits::default()) {
        Ok(DecodedRequest::Single(params)) => Ok(params),
        Ok(DecodedRequest::Batch(_)) => panic!("a batch"),
        Err(fault) => Err(fault.message),
    }
}

#[test]
fn plain_requests_are_read() {
    let params = one(
        r#" {"query":"query A { a }","operationName":"A","variables":{"x":[1,{"y":null}]},"extensions":{"e":1}}"#,
    );
    let params = params.unwrap();
    assert_eq!(params.query.as_deref(), Some("query A { a }"));
    assert_eq!(params.operation_name.as_deref(), Some("A"));
    assert_eq!(params.variables["x"][1]["y"], serde_json::Value::Null);
    assert_eq!(params.extensions["e"], 1);
    let nulls =
        one(r#"{"query":"{a}","operationName":null,"variables":null,"extensions":null}"#).unwrap();
    assert_eq!(nulls, one(r#"{"query":"{a}"}"#).unwrap());
    // An escape in a key is the same key.
    assert_eq!(
        one("{\"\\u0071uery\":\"{a}\"}").unwrap().query.as_deref(),
        Some("{a}")
    );
}

#[test]
fn what_two_readers_could_take_differently_is_refused() {
    for (text, said) in [
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
        let fault = one(text).unwrap_err();
        assert!(fault.contains(said), "{fault} instead of {said} for {text}");
    }
}

#[test]
fn what_is_no_request_is_refused() {
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
        let fault = parse_body(text.as_bytes(), &Limits::default()).unwrap_err();
        assert_eq!(fault.kind, GraphQlErrorKind::Request, "{text}");
    }
    assert!(parse_body(b"{\"query\":\"\xff\"}", &Limits::default()).is_err());
    let deep = format!(
        "{{\"query\":\"{{a}}\",\"variables\":{{\"x\":{}1{}}}}}",
        "[".repeat(100_000),
        "]".repeat(100_000)
    );
    assert!(parse_body(deep.as_bytes(), &Limits::default()).is_err());
}

#[test]
fn a_batch_keeps_each_entry_as_it_came_and_is_bounded() {
    let text = r#"[ {"query":"{a}"} , {"variables":{"x": 1.0e0},"query":"mutation { b }"}]"#;
    let Ok(DecodedRequest::Batch(entries)) = parse_body(text.as_bytes(), &Limits::default()) else {
        panic!("no batch")
    };
    assert_eq!(
        entries[1].1,
        r#"{"variables":{"x": 1.0e0},"query":"mutation { b }"}"#
    );
    let many = format!("[{}]", vec![r#"{"query":"{a}"}"#; 1000].join(","));
    let fault = parse_body(many.as_bytes(), &Limits::default()).unwrap_err();
    assert_eq!(
        (fault.kind, fault.message.as_str()),
        (
            GraphQlErrorKind::Limit,
            "over the limit on requests in a batch: 50 at most"
        )
    );
}

#[test]
fn a_get_is_read_from_its_query() {
    let params = parse_query(
        "query=query+A%28%24x%3AInt%29%7Ba%7D&operationName=A&variables=%7B%22x%22%3A1%7D&other=1",
    )
    .unwrap();
    assert_eq!(params.query.as_deref(), Some("query A($x:Int){a}"));
    assert_eq!(params.variables["x"], 1);
    for bad in [
        "",
        "query=%7Ba%7D&query=%7Bb%7D",
        "query=%7Ba%7D&Query=x",
        "query=%7Ba%7D&variables=1",
        "query=%7Ba%7D&variables=%7B",
        "query=%ff",
        "operationName=A",
    ] {
        assert!(parse_query(bad).is_err(), "{bad}");
    }
}

#[test]
fn hashes_of_persisted_queries_are_read_strictly() {
    let hash = "ab".repeat(32);
    let with = |p: &str| one(&format!("{{\"extensions\":{{\"persistedQuery\":{p}}}}}"));
    let params = with(&format!("{{\"version\":1,\"sha256Hash\":\"{hash}\"}}")).unwrap();
    assert_eq!(params.persisted_hash(), Ok(Some([0xab; 32])));
    for bad in [
        "null",
        "{}",
        "{\"version\":2}",
        "{\"version\":1}",
        "{\"version\":1,\"sha256Hash\":\"ab\"}",
        "{\"version\":1,\"sha256Hash\":1}",
    ] {
        assert!(with(bad).is_err(), "{bad}");
    }
    let bad = "zz".repeat(32);
    assert!(with(&format!("{{\"version\":1,\"sha256Hash\":\"{bad}\"}}")).is_err());
}

#[test]
fn the_media_type_is_what_the_client_wants_most() {
    const RESPONSE: &str = "application/graphql-response+json";
    for (accept, media) in [
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
        assert_eq!(negotiate(accept).ok(), media, "{accept:?}");
    }
}

#[test]
fn a_body_is_json_in_utf_8() {
    for good in [
        "application/json",
        "Application/JSON; charset=utf-8",
        "application/json;charset=\"UTF-8\"",
    ] {
        assert!(check_body(Some(good)).is_ok(), "{good}");
    }
    for bad in [
        None,
        Some(""),
        Some("text/plain"),
        Some("application/graphql"),
        Some("application/json; charset=utf-16"),
        Some("application/x-www-form-urlencoded"),
    ] {
        assert_eq!(
            check_body(bad).unwrap_err().kind,
            GraphQlErrorKind::MediaType,
            "{bad:?}"
        );
    }
}

#[test]
fn statuses_are_those_that_each_media_type_demands() {
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
