//! Methods, media types and statuses of GraphQL over HTTP.

use crate::harness::{get_head, operation, Deployment, GRAPHQL_RESPONSE, JSON};
use serde_json::{json, Value};

/// A media type that a client accepts, and how the node responds to it.
struct MediaTypeCase {
    accept: &'static str,
    content_type: &'static str,
    /// The status of a response that has errors but no data.
    error_status: u16,
}

const MEDIA_TYPES: [MediaTypeCase; 3] = [
    MediaTypeCase {
        accept: GRAPHQL_RESPONSE,
        content_type: GRAPHQL_RESPONSE,
        error_status: 400,
    },
    MediaTypeCase {
        accept: JSON,
        content_type: JSON,
        error_status: 200,
    },
    MediaTypeCase {
        accept: "*/*",
        content_type: JSON,
        error_status: 200,
    },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queries_and_mutations_are_served_in_the_accepted_media_type() {
    let deployment = Deployment::start().await;
    let query = operation("{ evaluate(flag: \"f\") { on } }");
    let response = deployment.post_json(&query).await;
    assert_eq!(
        (response.status, response.body),
        (200, json!({"data": {"evaluate": {"on": true}}}))
    );
    let mutation = json!({
        "query": "mutation M($id: ID!) { x: toggle(id: $id) { id } } query Q { __typename }",
        "operationName": "M",
        "variables": {"id": "m-1"},
    });
    let response = deployment.post_json(&mutation).await;
    assert_eq!(
        (response.status, response.body),
        (200, json!({"data": {"x": {"id": "m-1"}}}))
    );
    assert_eq!(deployment.pool.effect_counts().get("m-1"), Some(&1));
    for case in MEDIA_TYPES {
        check_media_type(&deployment, &case).await;
    }
    let response = deployment
        .post(r#"{"query":"{ __typename }"}"#, "text/html")
        .await;
    assert_eq!(response.status, 406);
}

async fn check_media_type(deployment: &Deployment, case: &MediaTypeCase) {
    let accept = case.accept;
    let valid = r#"{"query":"{ __typename }"}"#;
    let response = deployment.post(valid, accept).await;
    assert_eq!(response.status, 200);
    assert!(
        response.headers["content-type"]
            .to_str()
            .unwrap()
            .starts_with(case.content_type),
        "{accept}"
    );
    let unparsable = r#"{"query":"{ __typename"}"#;
    let response = deployment.post(unparsable, accept).await;
    assert_eq!(response.status, case.error_status, "{accept}");
    let body: Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(body["errors"][0]["locations"][0]["line"], 1, "{body}");
    assert!(body.get("data").is_none());
    // Only the server can detect this error; the node sets the status that the media type requires.
    let invalid = r#"{"query":"{ none }"}"#;
    let response = deployment.post(invalid, accept).await;
    assert_eq!(
        response.status, case.error_status,
        "{accept}: {:?}",
        response.body
    );
}

/// An example of a POST request from the working draft of GraphQL over HTTP, with the status that the draft specifies for each
/// media type.
struct SpecificationExample {
    body: &'static str,
    graphql_response_status: u16,
    json_status: u16,
}

const fn example(
    body: &'static str,
    graphql_response_status: u16,
    json_status: u16,
) -> SpecificationExample {
    SpecificationExample {
        body,
        graphql_response_status,
        json_status,
    }
}

const SPECIFICATION_EXAMPLES: &[SpecificationExample] = &[
    // Request: "POST".
    example(
        r#"{"query":"query ($id: ID!) { user(id: $id) { name } }","variables":{"id":"QVBJcy5ndXJ1"}}"#,
        200,
        200,
    ),
    // JSON parsing failure.
    example("NONSENSE", 400, 400),
    example(r#"{"query":"#, 400, 400),
    // Invalid parameters.
    example(r#"{"qeury": "{__typename}"}"#, 400, 400),
    example(
        r#"{"query": "query Q ($i:Int!) { q(i: $i) }", "variables": [7]}"#,
        400,
        400,
    ),
    // Document parsing failure.
    example(r#"{"query": "{"}"#, 400, 200),
    // Document validation failure: detected by the server.
    example(r#"{"query": "query Q { unknownField }"}"#, 400, 200),
    // Operation cannot be determined.
    example(
        r#"{"query": "query A { __typename } query B { __typename }"}"#,
        400,
        200,
    ),
    example(
        r#"{"query": "query A { __typename }", "operationName": "B"}"#,
        400,
        200,
    ),
    // Variable coercion failure: detected by the server.
    example(
        r#"{"query": "query Q ($id: ID!) { user(id: $id) { name } }", "variables": {"id": null}}"#,
        400,
        200,
    ),
    // Field errors during execution.
    example(r#"{"query": "{ broken }"}"#, 200, 200),
];
/// Number of requests in this test that only a server can answer: four examples with both media types, and the GET request.
const FORWARDED_EXAMPLES: u64 = 9;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn specification_examples_get_the_specified_statuses() {
    let deployment = Deployment::start().await;
    for example in SPECIFICATION_EXAMPLES {
        check_example(
            &deployment,
            example,
            GRAPHQL_RESPONSE,
            example.graphql_response_status,
        )
        .await;
        check_example(&deployment, example, JSON, example.json_status).await;
    }
    // Request: "GET".
    let parameters = "query=query(%24id%3A%20ID!)%7Buser(id%3A%24id)%7Bname%7D%7D&variables=%7B%22id%22%3A%22QVBJcy5ndXJ1%22%7D";
    let head = get_head(parameters).header("accept", GRAPHQL_RESPONSE);
    let response = deployment.send(head, "").await;
    let body: Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(
        (response.status.as_u16(), body),
        (200, json!({"data": {"user": {"name": "Ada"}}}))
    );
    assert_eq!(deployment.pool.requests_received(), FORWARDED_EXAMPLES);
}

async fn check_example(
    deployment: &Deployment,
    example: &SpecificationExample,
    accept: &str,
    expected_status: u16,
) {
    let request = example.body;
    let response = deployment.post(request, accept).await;
    assert_eq!(
        response.status.as_u16(),
        expected_status,
        "{accept}: {request}"
    );
    assert!(response.headers["content-type"]
        .to_str()
        .unwrap()
        .starts_with(accept));
    let body: Value = serde_json::from_slice(&response.body).unwrap();
    assert!(
        body["data"].is_object() || body["errors"][0]["message"].is_string(),
        "{request}: {body}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn get_forwards_queries_and_rejects_mutations() {
    let deployment = Deployment::start().await;
    let query = get_head("query=%7B__typename%7D");
    let response = deployment.send(query, "").await;
    assert_eq!(
        (response.status.as_u16(), &response.body[..]),
        (200, &br#"{"data":{"__typename":"Query"}}"#[..])
    );
    let received_before = deployment.pool.requests_received();
    for mutation in [
        "query=mutation%7Btoggle(id:%22g%22)%7Bid%7D%7D",
        "query=query%20A%7Bflags%7Dmutation%20B%7Btoggle(id:%22g%22)%7Bid%7D%7D&operationName=B",
        "query=mutation%7B...F%7Dfragment%20F%20on%20Mutation%7Bevaluate:toggle(id:%22g%22)%7Bid%7D%7D",
    ] {
        let response = deployment.send(get_head(mutation), "").await;
        assert_eq!(response.status, 405, "{mutation}");
        assert_eq!(response.headers["allow"], "POST");
    }
    assert_eq!(
        (
            deployment.pool.requests_received(),
            deployment.pool.effect_counts().len()
        ),
        (received_before, 0),
        "a mutation by GET was forwarded"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_with_null_data_and_errors_is_forwarded_without_retry() {
    let deployment = Deployment::start().await;
    let expected = json!({"data": null, "errors": [{"message": "broken", "path": ["b"]}]});
    let single = operation("{ flags b: broken }");
    let response = deployment.post_json(&single).await;
    // The response has `data`, so its status is 200 in both media types; one request received means no retry.
    assert_eq!(
        (
            response.status,
            &response.body,
            deployment.pool.requests_received()
        ),
        (200, &expected, 1)
    );
    let batch = json!([operation("{ b: broken }"), operation("{ flags }")]);
    let response = deployment.post_json(&batch).await;
    assert_eq!(
        (
            response.status,
            &response.body[0],
            deployment.pool.requests_received()
        ),
        (200, &expected, 3)
    );
    assert!(response.body[1]["data"]["flags"].is_array());
}
