//! Settings files that are rejected.

use crate::client_loop::ClientLoop;
use crate::fixtures::{get, settings_for, start_healthy_server, start_node};
use crate::pending_read::PendingRead;
use reelfall_testbed::client::Client;
use std::net::SocketAddr;

/// Invalid variants of a settings file.
fn invalid_variants(settings: &str, address_in_use: SocketAddr) -> [String; 4] {
    let syntax_error = format!("{settings}]");
    let type_error = settings.replace("\"60s\"", "60");
    let value_out_of_range = settings.replace("\"500ms\"", "\"500s\"");
    let listener_address_in_use =
        format!("{settings}[[listener]]\nname = \"other\"\naddress = \"{address_in_use}\"\n");
    [
        syntax_error,
        type_error,
        value_out_of_range,
        listener_address_in_use,
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_file_is_rejected_and_old_settings_stay_in_force() {
    let server = start_healthy_server("s").await;
    let settings = settings_for(&["/api"], &server);
    let mut node = start_node(&settings).await;
    let client_loop = ClientLoop::start(node.address(), "a.example.org", "/api", "loaded");
    let with_route = settings + "[[service.route]]\nhost = \"wrong.example.org\"\n";
    let client = Client::new(node.address());
    let invalid_files = invalid_variants(&with_route, node.address());
    for (n, invalid) in invalid_files.iter().enumerate() {
        client_loop.wait_for_responses(5).await;
        let read = PendingRead::start(&node).await;
        client_loop.wait_for_responses(5).await;
        read.complete(invalid, invalid).await;
        node.wait_for_log("services.toml:").await.unwrap();
        node.wait_for_log("reload failed, the old settings stay in force")
            .await
            .unwrap();
        let response = get(&client, "wrong.example.org", "/", &format!("wrong-{n}")).await;
        assert_eq!(
            response.status, 404,
            "an invalid file was applied: {invalid}"
        );
        client_loop.wait_for_responses(5).await;
    }
    // The next file is compared with the settings in force, not with the rejected ones.
    node.reload(&with_route).await.unwrap();
    assert_eq!(
        get(&client, "wrong.example.org", "/", "right").await.status,
        200
    );
    client_loop.stop().await;
}
