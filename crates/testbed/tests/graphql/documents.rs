//! Ambiguous, persisted and oversized documents.

use crate::harness::{operation, Deployment, GRAPHQL_RESPONSE};
use reelfall_graphql::persisted;
use serde_json::{json, Value};

const PERSISTED_QUERY_NOT_FOUND: &str = "PersistedQueryNotFound";
/// The limit of a request's body. The limit of its document is lower.
const MAX_BODY_LEN: usize = 1 << 20;

/// Requests that two parsers could interpret differently, and others whose operation is not determined.
const AMBIGUOUS_BODIES: &[&str] = &[
    r#"{"query":"{ flags }","query":"mutation { toggle(id: \"h\") { id } }"}"#,
    r#"{"query":"{ flags }","Query":"mutation { toggle(id: \"h\") { id } }"}"#,
    r#"{"query":"query A { flags } mutation B { toggle(id: \"h\") { id } }"}"#,
    r#"{"query":"query A { flags } mutation B { toggle(id: \"h\") { id } }","operationName":""}"#,
    r#"{"query":"query A { flags } mutation B { toggle(id: \"h\") { id } }","operationName":null}"#,
    r#"{"query":"query A { flags } mutation A { toggle(id: \"h\") { id } }","operationName":"A"}"#,
    r##"{"query":"#\rmutation Q { toggle(id: \"h\") { id } } #\nquery Q { flags }"}"##,
    "\u{feff}{\"query\":\"{ flags }\"}",
    r#"{"query":"\ufeff{ flags }"}"#,
    r#"{"query":"{ flags }","documentId":"x"}"#,
    r#"{"extensions":{"persistedQuery":{"version":1,"sha256Hash":"0000000000000000000000000000000000000000000000000000000000000000"}}}"#,
    r#"{"query":"subscription { flags }"}"#,
    r#"{"query":"{ ...F } fragment F on Query { ...F }"}"#,
    "[]",
    "{",
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ambiguous_documents_are_rejected_and_reach_no_server() {
    let deployment = Deployment::start().await;
    for body in AMBIGUOUS_BODIES {
        let response = deployment.post(*body, GRAPHQL_RESPONSE).await;
        let response_text = String::from_utf8_lossy(&response.body);
        assert!(
            response.status.is_client_error() || response_text.contains(PERSISTED_QUERY_NOT_FOUND),
            "{body}"
        );
    }
    assert_eq!(deployment.pool.requests_received(), 0);
}

/// A request for the persisted document with this hash, which may contain the document itself.
fn persisted_request(hash: &str, document: Option<&str>, mutation_id: &str) -> Value {
    let mut request = json!({
        "variables": {"id": mutation_id},
        "extensions": {"persistedQuery": {"version": 1, "sha256Hash": hash}},
    });
    if let Some(document) = document {
        request["query"] = document.into();
    }
    request
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn persisted_document_is_known_after_its_registration() {
    let deployment = Deployment::start().await;
    let document = "mutation P($id: ID!) { toggle(id: $id) { id } }";
    let hash: String = persisted::hash_of(document)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let unregistered = persisted_request(&hash, None, "p-1");
    let response = deployment.post_json(&unregistered).await;
    assert_eq!(
        response.body["errors"][0]["message"],
        PERSISTED_QUERY_NOT_FOUND
    );
    assert_eq!(deployment.pool.requests_received(), 0);
    let registration = persisted_request(&hash, Some(document), "p-1");
    assert_eq!(deployment.post_json(&registration).await.status, 200);
    let registered = persisted_request(&hash, None, "p-2");
    let response = deployment.post_json(&registered).await;
    assert_eq!(
        (response.status, &response.body["data"]["toggle"]["id"]),
        (200, &json!("p-2"))
    );
    let mismatched = persisted_request(&hash, Some("{ flags }"), "p-3");
    assert_eq!(
        deployment.post_json(&mismatched).await.status,
        400,
        "a hash that does not match the document was accepted"
    );
    let effect_counts = deployment.pool.effect_counts();
    assert_eq!(
        (
            effect_counts.get("p-1"),
            effect_counts.get("p-2"),
            effect_counts.len()
        ),
        (Some(&1), Some(&1), 2)
    );
}

/// A request that exceeds a limit, and the text by which the response names that limit.
struct OversizedRequest {
    body: String,
    limit: &'static str,
}

impl OversizedRequest {
    fn of_document(document: &str, limit: &'static str) -> OversizedRequest {
        OversizedRequest {
            body: operation(document).to_string(),
            limit,
        }
    }
}

fn oversized_requests() -> [OversizedRequest; 7] {
    let batch_entry = operation("{ flags }").to_string();
    let batch = OversizedRequest {
        body: format!("[{}]", vec![batch_entry; 1_000].join(",")),
        limit: "requests in a batch",
    };
    let long_argument = format!(
        "{{ evaluate(flag: \"{}\") {{ on }} }}",
        "x".repeat(MAX_BODY_LEN - 100)
    );
    let many_fields = format!("{{ {} }}", aliased_fields(4_000));
    let fragment_cycle =
        "{ ...F } fragment F on Query { ...G } fragment G on Query { ...F }".to_owned();
    [
        batch,
        OversizedRequest::of_document(&long_argument, "bytes of a document"),
        OversizedRequest::of_document(&"{a".repeat(30_000), "tokens of a document"),
        OversizedRequest::of_document(&"{".repeat(100_000), "bytes of a document"),
        OversizedRequest::of_document(&aliased_fields(10_000), "bytes of a document"),
        OversizedRequest::of_document(&many_fields, "of a"),
        OversizedRequest::of_document(&fragment_cycle, "leads back to itself"),
    ]
}

/// Fields with different aliases.
fn aliased_fields(count: usize) -> String {
    (0..count).map(|number| format!("a{number}:a ")).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_requests_are_rejected_with_the_limit_and_reach_no_server() {
    let deployment = Deployment::start().await;
    for OversizedRequest { body, limit } in oversized_requests() {
        let response = deployment.post(body, GRAPHQL_RESPONSE).await;
        let response_text = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!(response.status, 400, "{response_text}");
        assert!(response_text.contains(limit), "{limit}: {response_text}");
    }
    // A body that exceeds the limit is rejected before it is read.
    let long_body = vec![b' '; MAX_BODY_LEN + 1];
    let response = deployment.post(long_body, GRAPHQL_RESPONSE).await;
    assert_eq!(response.status, 413);
    // The limits of documents don't apply to variables.
    let long_variable = json!({
        "query": "query Q($f: String) { evaluate(flag: $f) { on } }",
        "variables": {"f": "x".repeat(900 << 10)},
    });
    assert_eq!(deployment.post_json(&long_variable).await.status, 200);
    assert_eq!(
        deployment.pool.requests_received(),
        1,
        "a rejected request was forwarded"
    );
}
