//! Requests are served while the node reads and validates a settings file.

use crate::client_loop::ClientLoop;
use crate::fixtures::{
    get, get_status, program, server_section, settings_for, start_healthy_server, start_node,
};
use crate::pending_read::PendingRead;
use crate::settings::{self, FileSize};
use reelfall_testbed::client::Client;
use reelfall_testbed::node::Node;

/// A file that is so large that a debug build takes some time to validate it.
const LARGE_FILE: FileSize = FileSize {
    services: 130,
    servers: 2500,
    routes: 3700,
    listed: 5600,
};
/// Minimum number of sequential responses while the file is validated; there would be none if the serving thread did it.
const MIN_RESPONSES_DURING_VALIDATION: usize = 10;
const REQUESTS_PER_READ: usize = 100;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_served_during_file_read() {
    let server = start_healthy_server("s").await;
    let mut node = start_node(&settings_for(&["/old"], &server)).await;
    let client = Client::new(node.address());
    let new_settings = settings_for(&["/old", "/new"], &server);
    let read = PendingRead::start(&node).await;
    for n in 0..REQUESTS_PER_READ {
        assert_eq!(
            get_status(&client, "/old", &format!("first-{n}")).await,
            200
        );
    }
    let read = read.complete_and_hold_verification(&new_settings).await;
    for n in 0..REQUESTS_PER_READ {
        assert_eq!(
            get_status(&client, "/old", &format!("second-{n}")).await,
            200
        );
        assert_eq!(get_status(&client, "/new", &format!("new-{n}")).await, 404);
    }
    read.complete(&new_settings, &new_settings).await;
    node.wait_for_log("is in force").await.unwrap();
    assert_eq!(get_status(&client, "/new", "last").await, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_served_during_large_file_validation() {
    let server = start_healthy_server("s").await;
    let loaded_servers = [server_section("s", server.address)];
    let first_settings = settings::text(&LARGE_FILE, &loaded_servers, 0);
    let mut node = Node::start(&program(), &first_settings).await.unwrap();
    node.wait_for_health("/_health/service-0", true)
        .await
        .unwrap();
    let client_loop = ClientLoop::start(
        node.address(),
        &settings::host(0),
        settings::LOADED_PATH,
        "meanwhile",
    );
    for revision in 1..=2 {
        client_loop.wait_for_responses(1).await;
        let new_settings = settings::text(&LARGE_FILE, &loaded_servers, revision);
        let read = PendingRead::start(&node)
            .await
            .complete_and_hold_verification(&new_settings)
            .await;
        read.complete(&new_settings, &new_settings).await;
        // The file has been read completely: what remains is to validate and apply it.
        let responses_before = client_loop.responses();
        node.wait_for_log("is in force").await.unwrap();
        let responses = client_loop.responses() - responses_before;
        assert!(
            responses >= MIN_RESPONSES_DURING_VALIDATION,
            "{responses} responses while the file was validated"
        );
    }
    client_loop.stop().await;
    let client = Client::new(node.address());
    // The host of the last route, the only one that differs between revisions.
    let host = settings::host((LARGE_FILE.routes - 1) % LARGE_FILE.services);
    let status = |path: &'static str| {
        let (client, host) = (&client, &host);
        async move { get(client, host, path, path).await.status.as_u16() }
    };
    assert_eq!(status("/revision/1").await, 404);
    // The route exists, though its service has no reachable server.
    assert_ne!(status("/revision/2").await, 404);
}
