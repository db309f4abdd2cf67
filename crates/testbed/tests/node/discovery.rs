//! Changes of the configuration and of the endpoint list.

use crate::fixtures::{program, Fixture, MAX_SOCKETS};
use reelfall_testbed::scripted::{get, Discovery, ListedServer, Node, Server};

#[test]
fn reload_moves_watch_to_new_discovery_without_failed_requests() {
    let (first_server, second_server) = (Server::healthy(), Server::healthy());
    let (old_discovery, new_discovery) = (Discovery::start(), Discovery::start());
    old_discovery.send_snapshot(
        40,
        &[ListedServer::new("s-1", first_server.address, "active")],
    );
    // The new discovery service has its own, lower version numbers and lists another server.
    new_discovery.send_snapshot(
        3,
        &[ListedServer::new("s-2", second_server.address, "active")],
    );
    let node = Node::start(&program(), old_discovery.address, MAX_SOCKETS);
    assert_eq!(get(node.address, "r-1").status, 200);
    assert_eq!((first_server.requests(), second_server.requests()), (1, 0));
    node.set_discovery(new_discovery.address);
    node.signal("HUP");
    new_discovery.wait_for_watch();
    let mut n = 2;
    while second_server.requests() == 0 {
        assert_eq!(get(node.address, &format!("r-{n}")).status, 200);
        n += 1;
    }
    // An invalid configuration changes nothing.
    node.corrupt_configuration();
    node.signal("HUP");
    let requests_before = second_server.requests();
    assert_eq!(get(node.address, "r-last").status, 200);
    assert_eq!(second_server.requests(), requests_before + 1);
}

#[test]
fn new_server_at_address_of_another_replaces_it() {
    let (server, other_server) = (Server::healthy(), Server::healthy());
    let Fixture { node, discovery } = &Fixture::start(&server);
    assert_eq!(get(node.address, "a-1").status, 200);
    // s-1 stays listed while n-1, which replaced it at the same address, starts to drain.
    discovery.send_delta(2, &[ListedServer::new("n-1", server.address, "active")]);
    discovery.send_delta(
        3,
        &[
            ListedServer::new("n-1", server.address, "active"),
            ListedServer::new("n-1", server.address, "leaving"),
            ListedServer::new("n-2", other_server.address, "active"),
        ],
    );
    let mut n = 2;
    while other_server.requests() == 0 {
        assert_eq!(get(node.address, &format!("a-{n}")).status, 200);
        n += 1;
    }
    let requests_before = server.requests();
    for n in 0..30 {
        assert_eq!(get(node.address, &format!("b-{n}")).status, 200);
    }
    assert_eq!(
        server.requests(),
        requests_before,
        "a draining server got requests under its old name"
    );
}
