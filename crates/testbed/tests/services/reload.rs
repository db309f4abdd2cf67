//! Settings files that are replaced under load, in parts or with errors.

use crate::harness::{fast_server, get, request, start_node, unique_id, WAIT_TIMEOUT};
use crate::settings::{idempotent_service, non_idempotent_service, server_sections, settings_file};
use reelfall_testbed::client::Client;
use reelfall_testbed::node::Node;
use reelfall_testbed::pool::Server;
use reelfall_testbed::scripted;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use tokio::task::{block_in_place, JoinHandle};

/// Logged once new settings are applied.
const APPLIED_LOG: &str = "is in force";
const RELOAD_FAILED_LOG: &str = "reload failed, the old settings stay in force";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connection_survives_removal_of_one_of_its_services() {
    let server_a = fast_server("one").await;
    let server_b = fast_server("two").await;
    let service_a = idempotent_service("a", "", &server_sections(&[&server_a]));
    let service_b = idempotent_service("b", "", &server_sections(&[&server_b]));
    let mut node = start_node(&settings_file(&[&service_a, &service_b])).await;
    let address = node.address();
    let mut connection = block_in_place(|| scripted::connect(address));
    for number in 0..10 {
        let service = ["a", "b"][number % 2];
        let id = format!("before-{number}");
        assert_eq!(get_on_connection(&mut connection, service, &id), 200);
    }
    node.reload(&settings_file(&[&service_b])).await.unwrap();
    for number in 0..10 {
        let service = ["a", "b"][number % 2];
        let expected_status = [404, 200][number % 2];
        let id = format!("after-{number}");
        assert_eq!(
            get_on_connection(&mut connection, service, &id),
            expected_status
        );
    }
    assert_eq!(
        (server_a.requests_received(), server_b.requests_received()),
        (5, 10)
    );
}

/// Sends a request to a service on this connection; returns the status of the response.
fn get_on_connection(connection: &mut TcpStream, service: &str, correlation_id: &str) -> u16 {
    let request = format!(
        "GET /api HTTP/1.1\r\nhost: {service}.example.org\r\nx-correlation-id: {correlation_id}\r\n\r\n"
    );
    block_in_place(|| {
        connection.write_all(request.as_bytes()).unwrap();
        scripted::read_response(connection)
            .expect("the connection stays open")
            .status
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rapid_reloads_apply_last_file_and_invalid_file_changes_nothing() {
    let server = fast_server("s").await;
    let settings = |service: &str| {
        let service = idempotent_service(service, "", &server_sections(&[&server]));
        settings_file(&[&service])
    };
    let mut node = start_node(&settings("n0")).await;
    let client = Client::new(node.address());
    for number in 1..=60 {
        node.replace_settings(&settings(&format!("n{number}")))
            .unwrap();
    }
    let replaced_at = Instant::now();
    while get(&client, "n60", &unique_id("last", replaced_at))
        .await
        .status
        != 200
    {
        assert!(
            replaced_at.elapsed() < WAIT_TIMEOUT,
            "the last file was not applied"
        );
    }
    assert_eq!(get(&client, "n59", "gone").await.status, 404);
    // Errors are logged with file and line.
    let without_unit = settings("n61").replace("\"5s\"", "500");
    node.replace_settings(&without_unit).unwrap();
    let logged = node.wait_for_log("services.toml:").await.unwrap();
    assert!(
        logged.contains("services.toml:11: `500` is a number, not a string"),
        "{logged}"
    );
    node.wait_for_log(RELOAD_FAILED_LOG).await.unwrap();
    assert_eq!(get(&client, "n60", "still").await.status, 200);
    std::fs::remove_file(node.settings_file()).unwrap();
    node.signal("HUP").unwrap();
    node.wait_for_log(RELOAD_FAILED_LOG).await.unwrap();
    let occupied_port = TcpListener::bind("127.0.0.1:0").unwrap();
    let second_listener = format!(
        "[[listener]]\nname = \"x\"\naddress = \"{}\"\n",
        occupied_port.local_addr().unwrap()
    );
    node.replace_settings(&(settings("n62") + &second_listener))
        .unwrap();
    let logged = node.wait_for_log("listener `x`").await.unwrap();
    assert!(
        logged.contains("services.toml:19: listener `x`"),
        "{logged}"
    );
    assert_eq!(get(&client, "n60", "yet").await.status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partially_written_file_is_not_applied() {
    let server = fast_server("s").await;
    let servers = server_sections(&[&server]);
    let service_a = idempotent_service("a", "", &servers);
    let service_b = idempotent_service("b", "", &servers);
    let first_half = settings_file(&[&service_a]);
    let mut node = start_node(&first_half).await;
    for round in 0..5 {
        // The first half is a valid file too: if it were applied, that would be logged before the second half is written.
        write_in_parts(&node, &first_half, &service_b).await;
        node.wait_for_log(APPLIED_LOG).await.unwrap();
        let client = Client::new(node.address());
        let response = get(&client, "b", &format!("r-{round}")).await;
        assert_eq!(response.status, 200, "half a file was applied");
        node.reload(&first_half).await.unwrap();
    }
}

/// Writes the first half of the settings file, makes the node reload it, and writes the second half slowly.
async fn write_in_parts(node: &Node, first_half: &str, second_half: &str) {
    const SECOND_HALF_WRITES: usize = 20;
    let mut file = File::create(node.settings_file()).unwrap();
    file.write_all(first_half.as_bytes()).unwrap();
    node.signal("HUP").unwrap();
    let second_half = second_half.as_bytes();
    for part in second_half.chunks(second_half.len() / SECOND_HALF_WRITES) {
        tokio::time::sleep(Duration::from_millis(5)).await;
        file.write_all(part).unwrap();
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_in_flight_survives_change_and_removal_of_its_service() {
    let server = fast_server("slow").await;
    let other_server = fast_server("other").await;
    let servers = server_sections(&[&server]);
    let service_a = |deadline: &str| {
        non_idempotent_service("a", "", &servers).replace("\"5s\"", &format!("\"{deadline}\""))
    };
    let service_b = idempotent_service("b", "", &server_sections(&[&other_server]));
    // This service keeps the server known to the node, so that its slow start doesn't begin again in each round.
    let keeper = idempotent_service("keeper", "", &servers);
    let with_deadline =
        |deadline: &str| settings_file(&[&service_a(deadline), &service_b, &keeper]);
    let without_service_a = settings_file(&[&service_b, &keeper]);
    let mut node = start_node(&with_deadline("10s")).await;
    let changes = [
        with_deadline("600ms"),
        without_service_a,
        with_deadline("10s"),
    ];
    for (round, changed_settings) in changes.into_iter().enumerate() {
        node.reload(&with_deadline("10s")).await.unwrap();
        server.update_behavior(|behavior| behavior.is_frozen = true);
        let received_before = server.requests_received();
        let response = spawn_post(node.address(), format!("flight-{round}"));
        wait_for_request(&server, received_before).await;
        node.reload(&changed_settings).await.unwrap();
        server.update_behavior(|behavior| behavior.is_frozen = false);
        assert_eq!(response.await.unwrap().unwrap(), 200, "round {round}");
    }
    assert!(
        server.effect_counts().values().all(|count| *count == 1),
        "a request took effect more than once"
    );
}

/// Sends a non-idempotent request to service `a` in the background; returns the status of the response.
fn spawn_post(
    node_address: SocketAddr,
    correlation_id: String,
) -> JoinHandle<reelfall_testbed::Result<u16>> {
    tokio::spawn(async move {
        let request = request("POST", "a.example.org", "/api", Some(&correlation_id));
        let response = Client::new(node_address).send(request).await?;
        Ok(response.status.as_u16())
    })
}

/// Waits until a server has received more requests than before.
async fn wait_for_request(server: &Server, received_before: u64) {
    let started_at = Instant::now();
    while server.requests_received() == received_before {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "the server did not receive the request"
        );
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
