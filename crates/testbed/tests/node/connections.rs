//! Silent connections, and more clients than the node has sockets for.

use crate::fixtures::Fixture;
use reelfall_testbed::scripted::{connect, get, ok_response, read_request, read_response, Server};
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

#[test]
fn silent_connections_do_not_block_other_clients() {
    let server = Server::healthy();
    let Fixture { node, .. } = &Fixture::start_with_max_sockets(&server, 64);
    let mut active = connect(node.address);
    let mut silent_connections: Vec<_> = (0..60).map(|_| connect(node.address)).collect();
    for n in 0..20 {
        silent_connections.extend((0..5).map(|_| connect(node.address)));
        active
            .write_all(read_request(&format!("g-{n}")).as_bytes())
            .unwrap();
        if read_response(&active).is_none() {
            // The node may close an idle connection, but then accepts a new one.
            active = connect(node.address);
        }
        assert_eq!(get(node.address, &format!("n-{n}")).status, 200);
    }
    for silent in &silent_connections {
        assert_eq!(
            read_response(silent),
            None,
            "a silent connection got a response"
        );
    }
}

const CLIENTS: usize = 8;
const REQUESTS_PER_CLIENT: usize = 10;
/// Allows six connections to servers and ten connections of clients: the clients wait for connections to servers, and none of
/// the clients is disconnected to admit another. Each client reuses one connection, because the node may still count closed
/// ones.
const SCARCE_SOCKETS: usize = 40;

/// Sends all requests of a client on one connection; returns the statuses.
fn send_requests(node: SocketAddr, client: usize) -> Vec<u16> {
    let mut stream = connect(node);
    let send = |n| {
        stream
            .write_all(read_request(&format!("s-{client}-{n}")).as_bytes())
            .unwrap();
        read_response(&stream).expect("a response").status
    };
    (0..REQUESTS_PER_CLIENT).map(send).collect()
}

#[test]
fn shortage_of_sockets_fails_no_request() {
    let server = Server::start(|request, _, stream| {
        std::thread::sleep(Duration::from_millis(5));
        let _ = stream.write_all(&ok_response(request));
    });
    let Fixture { node, .. } = &Fixture::start_with_max_sockets(&server, SCARCE_SOCKETS);
    let address = node.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| std::thread::spawn(move || send_requests(address, client)))
        .collect();
    let statuses: Vec<u16> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}
