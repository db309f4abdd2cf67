//! A registry whose responses violate the protocol: the node closes the connection, and removes no server.

use super::support::{count_successes, start_node_with, start_server};
use reelfall_testbed::client::Client;
use reelfall_testbed::membership::{node_settings, RegisteredServer};
use reelfall_testbed::registry::Registry;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Length of the connect request in bytes, including the length prefix of its frame.
const CONNECT_REQUEST_LEN: usize = 49;
/// Length of the connect response in bytes, without the length prefix of its frame.
const CONNECT_RESPONSE_LEN: u32 = 37;
const PROTOCOL_VERSION: u32 = 0;
const SESSION_TIMEOUT_MS: u32 = 4000;
const SESSION_ID: u64 = 77;
/// Length of a session password, in bytes.
const PASSWORD_LEN: u32 = 16;
/// The session password, followed by the flag for a read-only member.
const PASSWORD_AND_FLAG: [u8; 17] = [1; 17];

/// Builds the frame of a connect response, which opens a session.
fn connect_response() -> Vec<u8> {
    let mut response = CONNECT_RESPONSE_LEN.to_be_bytes().to_vec();
    response.extend_from_slice(&PROTOCOL_VERSION.to_be_bytes());
    response.extend_from_slice(&SESSION_TIMEOUT_MS.to_be_bytes());
    response.extend_from_slice(&SESSION_ID.to_be_bytes());
    response.extend_from_slice(&PASSWORD_LEN.to_be_bytes());
    response.extend_from_slice(&PASSWORD_AND_FLAG);
    response
}

/// Opens a session on a connection, sends invalid bytes, and waits until the client closes the connection.
fn violate_protocol(mut stream: TcpStream, violation: &[u8]) {
    let mut connect_request = [0; CONNECT_REQUEST_LEN];
    if stream.read_exact(&mut connect_request).is_err() {
        return;
    }
    let mut response = connect_response();
    response.extend_from_slice(violation);
    let _ = stream.write_all(&response);
    // The first read returns the requests that the client sent before it detected the violation; the second one waits for
    // the end of the connection.
    let _ = stream.read(&mut [0; 512]);
    let _ = stream.read(&mut [0; 512]);
}

/// Starts a member that responds to each connect request correctly and then sends invalid bytes.
fn start_violating_member(violation: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            violate_protocol(stream, &violation);
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn member_that_violates_protocol_is_disconnected() {
    let registry = Registry::start(1).await.unwrap();
    let one = start_server("one").await;
    let _registration = RegisteredServer::register(&registry, &one, "one", 0);
    let violations: [Vec<u8>; 4] = [
        u32::MAX.to_be_bytes().to_vec(),
        (1u32 << 30).to_be_bytes().to_vec(),
        [&4u32.to_be_bytes()[..], b"junk"].concat(),
        [&16u32.to_be_bytes()[..], &9u32.to_be_bytes(), &[0; 12]].concat(),
    ];
    let violating_members: Vec<String> = violations
        .into_iter()
        .map(|violation| format!("\"{}\"", start_violating_member(violation)))
        .collect();
    let settings = node_settings(&registry, "", "connect = \"200ms\"");
    let members = format!("members = [{}, ", violating_members.join(", "));
    let mut node = start_node_with(&settings.replace("members = [", &members)).await;
    let client = Client::new(node.address());
    assert_eq!(count_successes(&client, "valid", 100).await, 100);
    // The node keeps its servers, whichever member it connects to next.
    registry.set_member_down(0, true);
    node.wait_for_log("registry /flags/evaluate: ")
        .await
        .unwrap();
    assert_eq!(count_successes(&client, "violations", 100).await, 100);
    registry.set_member_down(0, false);
    assert_eq!(count_successes(&client, "recovered", 100).await, 100);
}
