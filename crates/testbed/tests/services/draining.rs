//! Draining and removal of servers and services.

use crate::harness::{body_text, fast_server, get, request, start_node, unique_id, WAIT_TIMEOUT};
use crate::settings::{idempotent_service, server_sections, settings_file};
use reelfall_testbed::client::{Client, ClientResponse};
use reelfall_testbed::discovery::{Discovery, ListedServer, ServerStatus};
use reelfall_testbed::pool::Server;
use std::time::Instant;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_draining_in_one_list_gets_no_request_of_another_service() {
    let shared_server = fast_server("shared").await;
    let other_server = fast_server("other").await;
    let listed = ListedServer::active("d-shared", shared_server.address);
    let endpoint_list = Discovery::start(vec![listed]).await.unwrap();
    let discovery = format!("discovery = \"{}\"", endpoint_list.address);
    let node = start_node(&settings_file(&[
        &idempotent_service("a", &discovery, ""),
        &idempotent_service("b", "", &server_sections(&[&shared_server, &other_server])),
    ]))
    .await;
    let client = Client::new(node.address());
    wait_until_used(&client, &shared_server).await;
    let draining = ListedServer {
        status: ServerStatus::Draining,
        ..ListedServer::active("d-shared", shared_server.address)
    };
    endpoint_list.update(&[draining]);
    // Service `a` has no other server: once it rejects requests, the node has received the update.
    let updated_at = Instant::now();
    while get(&client, "a", &unique_id("drain", updated_at))
        .await
        .status
        == 200
    {
        assert!(
            updated_at.elapsed() < WAIT_TIMEOUT,
            "the server is not draining"
        );
    }
    let received_before = shared_server.requests_received();
    for number in 0..200 {
        let response = get(&client, "b", &format!("after-{number}")).await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(
        shared_server.requests_received(),
        received_before,
        "a server that another service's list marks as draining got new requests"
    );
}

/// Sends requests to service `b` until this server has received one. The node may briefly avoid a server whose first
/// response was slow.
async fn wait_until_used(client: &Client, server: &Server) {
    let started_at = Instant::now();
    while server.requests_received() == 0 {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "the server received no request"
        );
        let response = get(client, "b", &unique_id("before", started_at)).await;
        assert_eq!(response.status, 200);
    }
}

/// A change of service `a`, and the statuses that are expected after it.
struct ServiceChange {
    service: String,
    is_available: bool,
    node_health: u16,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_or_empty_service_affects_no_other_service() {
    let server_a = fast_server("one").await;
    let server_b = fast_server("two").await;
    let service_a = idempotent_service("a", "", &server_sections(&[&server_a]));
    let service_b = idempotent_service("b", "", &server_sections(&[&server_b]));
    let mut node = start_node(&settings_file(&[&service_a, &service_b])).await;
    let client = Client::new(node.address());
    assert_eq!(get(&client, "a", "a-1").await.status, 200);
    for (round, change) in changes_of_service_a(&service_a).into_iter().enumerate() {
        let settings = settings_file(&[&change.service, &service_b]);
        node.reload(&settings).await.unwrap();
        let response = get_after_change(&client, round, change.is_available).await;
        let expected_status = if change.is_available { 200 } else { 503 };
        assert_eq!(response.status, expected_status, "{}", body_text(&response));
        assert_eq!(
            response.headers.contains_key("retry-after"),
            !change.is_available,
            "exactly the rejections must have Retry-After"
        );
        assert_eq!(health_status(&client, "/_health/a").await, expected_status);
        assert_eq!(health_status(&client, "/_health").await, change.node_health);
        for number in 0..20 {
            let response = get(&client, "b", &format!("b-{round}-{number}")).await;
            assert_eq!(response.status, 200);
        }
        assert_eq!(health_status(&client, "/_health/b").await, 200);
    }
    assert_eq!(health_status(&client, "/_health/none").await, 404);
    assert_eq!(
        (server_a.requests_received(), server_b.requests_received()),
        (2, 60)
    );
}

fn changes_of_service_a(service: &str) -> [ServiceChange; 3] {
    let without_servers = ServiceChange {
        service: idempotent_service("a", "server = []", ""),
        is_available: false,
        node_health: 503,
    };
    let draining = ServiceChange {
        service: service.replacen("name = \"a\"", "name = \"a\"\nstate = \"draining\"", 1),
        is_available: false,
        node_health: 200,
    };
    let restored = ServiceChange {
        service: service.to_owned(),
        is_available: true,
        node_health: 200,
    };
    [without_servers, draining, restored]
}

/// Sends a request to service `a`. If the service is available, repeats it until it succeeds: a server that has been added
/// again is in slow start and may get no request at first.
async fn get_after_change(client: &Client, round: usize, is_available: bool) -> ClientResponse {
    let mut response = get(client, "a", &format!("a-2{round}")).await;
    let started_at = Instant::now();
    while is_available && response.status != 200 && started_at.elapsed() < WAIT_TIMEOUT {
        response = get(client, "a", &unique_id("a", started_at)).await;
    }
    response
}

async fn health_status(client: &Client, path: &str) -> u16 {
    let response = client.send(request("GET", "h", path, None)).await.unwrap();
    response.status.as_u16()
}
