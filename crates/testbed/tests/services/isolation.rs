//! Quotas and bounds that separate services from each other.

use crate::harness::{
    body_text, fast_server, get, healthy_server, program, request, start_node, workload,
};
use crate::settings::{idempotent_service, non_idempotent_service, server_sections, settings_file};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reelfall_testbed::client::Client;
use reelfall_testbed::load;
use reelfall_testbed::scenario::services as scenario;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;

const FLOOD_REQUESTS: usize = 200;
const FLOOD_UPLOADS: usize = 40;
const UPLOAD_LEN: usize = 400 << 10;

/// The status of a response.
type StatusResult = reelfall_testbed::Result<u16>;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overload_starves_no_other_service_and_reloads_lose_no_request() {
    let report = scenario::run(&program(), scenario::Scale::SMALL)
        .await
        .unwrap();
    assert!(report.passed(), "{:#?}", report.violations());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connection_bound_of_a_server_spans_all_services() {
    const MAX_CONNECTIONS: usize = 4;
    let server = healthy_server("s", Duration::from_millis(100)).await;
    let servers = server_sections(&[&server]);
    let services = settings_file(&[
        &idempotent_service("a", "", &servers),
        &idempotent_service("b", "", &servers),
    ]);
    let settings = format!("[process]\nserver_connections = {MAX_CONNECTIONS}\n{services}");
    let node = start_node(&settings).await;
    let workloads = [workload("a", 40.0), workload("b", 40.0)];
    let stats = load::run(node.address(), &workloads, Duration::from_secs(2), 3).await;
    // Without the limit, the server has dozens of connections.
    assert!(
        server.max_open_connections() <= MAX_CONNECTIONS,
        "the server had {} connections at once",
        server.max_open_connections()
    );
    for service_stats in &stats {
        assert_eq!(service_stats.lost, 0);
        assert!(
            service_stats.with_status(&[200]) > 0,
            "a service got no connection: {:?}",
            service_stats.statuses
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reserved_connections_survive_flood_of_another_service() {
    let frozen_server = fast_server("frozen").await;
    let quick_server = fast_server("quick").await;
    frozen_server.update_behavior(|behavior| behavior.is_frozen = true);
    let services = settings_file(&[
        &idempotent_service(
            "a",
            "tries = { most = 1 }",
            &server_sections(&[&frozen_server]),
        ),
        &idempotent_service(
            "b",
            "limits = { open_reserved = 8, connections_reserved = 8 }",
            &server_sections(&[&quick_server]),
        ),
    ]);
    let settings = format!("[process]\ndescriptors = 400\n{services}");
    let node = start_node(&settings).await;
    let mut flood = flood_with_requests(node.address());
    // Once a request is rejected, the flood has used up the capacity that is not reserved.
    let first_status = flood.join_next().await.unwrap().unwrap().unwrap();
    assert_eq!(first_status, 503);
    let client = Client::new(node.address());
    for number in 0..50 {
        let response = get(&client, "b", &format!("b-{number}")).await;
        assert_eq!(
            response.status,
            200,
            "request {number}: {}",
            body_text(&response)
        );
    }
    frozen_server.update_behavior(|behavior| behavior.is_frozen = false);
    let mut answered = 1;
    while let Some(joined) = flood.join_next().await {
        joined.unwrap().expect("a response");
        answered += 1;
    }
    assert_eq!(answered, FLOOD_REQUESTS);
}

/// Sends many requests to service `a`, each on its own connection.
fn flood_with_requests(node_address: SocketAddr) -> JoinSet<StatusResult> {
    let mut flood = JoinSet::new();
    for number in 0..FLOOD_REQUESTS {
        flood.spawn(async move {
            let id = format!("a-{number}");
            let request = request("GET", "a.example.org", "/api", Some(&id));
            let response = Client::new(node_address).send(request).await?;
            Ok(response.status.as_u16())
        });
    }
    flood
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reserved_memory_survives_uploads_of_another_service() {
    let frozen_server = fast_server("frozen").await;
    let quick_server = fast_server("quick").await;
    frozen_server.update_behavior(|behavior| behavior.is_frozen = true);
    let services = settings_file(&[
        &non_idempotent_service("a", "", &server_sections(&[&frozen_server])),
        &non_idempotent_service(
            "b",
            "limits = { memory_reserved = \"1MiB\" }",
            &server_sections(&[&quick_server]),
        ),
    ]);
    let settings = format!("[process]\nmemory = \"16MiB\"\n{services}");
    let node = start_node(&settings).await;
    let address = node.address();
    // Half of the memory is for bodies, of which one MiB is reserved: 17 bodies of 400 KiB fill the rest, and the others are
    // streamed as their server reads them.
    let mut flood = JoinSet::new();
    for number in 0..FLOOD_UPLOADS {
        flood.spawn(upload(address, "a", format!("a-{number}")));
    }
    for number in 0..20 {
        let status = upload(address, "b", format!("b-{number}")).await.unwrap();
        assert_eq!(status, 200, "request {number}");
    }
    frozen_server.update_behavior(|behavior| behavior.is_frozen = false);
    let mut statuses = Vec::new();
    while let Some(joined) = flood.join_next().await {
        statuses.push(joined.unwrap().expect("a response"));
    }
    assert_eq!(statuses.len(), FLOOD_UPLOADS);
    let effect_counts = frozen_server.effect_counts();
    assert!(effect_counts.values().all(|count| *count == 1));
}

/// Sends a large request to a service on its own connection; returns the status of the response.
async fn upload(node_address: SocketAddr, service: &'static str, id: String) -> StatusResult {
    let request = Request::post("/api")
        .header("host", format!("{service}.example.org"))
        .header("x-correlation-id", id)
        .body(Full::new(Bytes::from(vec![b'x'; UPLOAD_LEN])))?;
    let response = Client::new(node_address).send(request).await?;
    Ok(response.status.as_u16())
}
