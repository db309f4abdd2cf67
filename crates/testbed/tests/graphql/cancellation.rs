//! Deadlines, and clients that disconnect.

use crate::harness::{operation, post_head, send, Deployment, GRAPHQL_RESPONSE, WAIT_TIMEOUT};
use reelfall_testbed::client::Client;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn batch_is_answered_at_its_deadline_with_finished_entries() {
    // Far more than the 0.4 s that the request states.
    const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
    let deployment = Deployment::start().await;
    deployment.update_behavior(|behavior| behavior.is_frozen = true);
    let batch = json!([
        operation("{"),
        operation("mutation { toggle(id: \"d-1\") { id } }"),
        operation("mutation { toggle(id: \"d-2\") { id } }"),
    ]);
    let head = post_head().header("x-time-left", "0.4");
    let sent_at = Instant::now();
    let response = deployment.send(head, batch.to_string()).await;
    assert!(
        sent_at.elapsed() < RESPONSE_TIMEOUT,
        "the response came after the deadline"
    );
    let entries: Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(
        entries[0]["errors"][0]["extensions"]["code"],
        "GRAPHQL_PARSE_FAILED"
    );
    assert_eq!(
        entries[1]["errors"][0]["extensions"],
        json!({"code": "FAILED", "retryable": false})
    );
    assert_eq!(
        entries[2]["errors"][0]["extensions"],
        json!({"code": "NOT_RUN", "retryable": true})
    );
    deployment.update_behavior(|behavior| behavior.is_frozen = false);
    // The mutation that is reported as retryable must not run later either.
    let unfrozen_at = Instant::now();
    while !deployment.pool.effect_counts().contains_key("d-1") {
        assert!(unfrozen_at.elapsed() < WAIT_TIMEOUT);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let query = operation("{ flags }");
    assert_eq!(deployment.post_json(&query).await.status, 200);
    assert!(!deployment.pool.effect_counts().contains_key("d-2"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_disconnect_stops_rest_of_batch() {
    let deployment = Deployment::start().await;
    deployment.update_behavior(|behavior| behavior.is_frozen = true);
    let batch = json!([
        operation("mutation { toggle(id: \"l-1\") { id } }"),
        operation("mutation { toggle(id: \"l-2\") { id } }"),
    ]);
    let address = deployment.node.address();
    let disconnecting = tokio::spawn(async move {
        let head = post_head().header("accept", GRAPHQL_RESPONSE);
        send(&Client::new(address), head, batch.to_string()).await
    });
    let sent_at = Instant::now();
    while deployment.pool.requests_received() == 0 {
        assert!(sent_at.elapsed() < WAIT_TIMEOUT);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    disconnecting.abort();
    let _ = disconnecting.await;
    deployment.update_behavior(|behavior| behavior.is_frozen = false);
    // The node has detected the disconnect by the time it has served these requests.
    let query = operation("{ flags }");
    for _ in 0..50 {
        assert_eq!(deployment.post_json(&query).await.status, 200);
    }
    let effect_counts = deployment.pool.effect_counts();
    assert!(
        effect_counts.contains_key("l-1") && !effect_counts.contains_key("l-2"),
        "{effect_counts:?}"
    );
}
