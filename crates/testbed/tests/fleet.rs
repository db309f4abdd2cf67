//! What a node makes of a discovery that a large fleet has worn out, and of lists that can't be read.

use reelfall_testbed::scripted::{
    get, Discovery, ListedServer, Node, Program, Server, WAIT_TIMEOUT,
};
use std::time::{Duration, Instant};

fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let began = Instant::now();
    while !done() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A node before one server.
fn node() -> (Server, Discovery, Node) {
    let (server, discovery) = (Server::healthy(), Discovery::start());
    discovery.send_snapshot(5, &[ListedServer::new("s-a", server.address, "active")]);
    let node = Node::start(&program(), discovery.address, 256);
    (server, discovery, node)
}

fn served(node: &Node, from: u32) {
    for n in from..from + 10 {
        assert_eq!(get(node.address, &format!("r-{n}")).status, 200);
    }
}

#[test]
fn lines_that_are_no_list_cost_neither_a_request_nor_the_list_before_them() {
    let (a, discovery, node) = node();
    let lines = [
        "{\"index\":6,\"snap",
        "[]",
        "null",
        "{\"endpoints\":[]}",
        "{\"index\":-1,\"endpoints\":[]}",
        "\u{0}\u{1}",
    ];
    for (n, line) in (0..).zip(lines) {
        // The line has been read when the node asks anew.
        let calls = discovery.requests();
        discovery.send_line(line);
        until("a line that is no list is not given up", || {
            discovery.requests() > calls
        });
        served(&node, 10 * n);
    }
    assert_eq!(a.requests(), 10 * lines.len());
    // What comes next is taken in.
    let b = Server::healthy();
    discovery.send_snapshot(7, &[ListedServer::new("s-b", b.address, "active")]);
    until("a list after unreadable ones is not taken in", || {
        get(node.address, "n").status == 200 && b.requests() > 0
    });
}

#[test]
fn entries_that_can_not_be_used_or_come_twice_cost_themselves_alone() {
    let (a, discovery, node) = node();
    let b = Server::healthy();
    let entry = |name: &str, address: &str| {
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"a","type":"k","group":1,"status":"active","weight":1.0,"since_ms":0}}"#
        )
    };
    let (at_a, at_b) = (a.address.to_string(), b.address.to_string());
    let entries = [
        entry("s-a", &at_a),
        entry("s-a", &at_a),
        entry("s-x", "nowhere"),
        "{}".to_owned(),
        "7".to_owned(),
        entry("s-b", &at_b),
    ];
    discovery.send_line(&format!(
        r#"{{"index":6,"snapshot":true,"endpoints":[{}]}}"#,
        entries.join(",")
    ));
    until("a server named beside unusable entries is not used", || {
        get(node.address, "n").status == 200 && b.requests() > 0
    });
    let before = a.requests();
    until("a server named twice is not used", || {
        get(node.address, "m").status == 200 && a.requests() > before
    });
}

#[test]
fn an_index_that_goes_back_is_another_list_and_is_taken_in() {
    let (_a, discovery, node) = node();
    let b = Server::healthy();
    discovery.send_snapshot(2, &[ListedServer::new("s-b", b.address, "active")]);
    until("a list with an older index is not taken in", || {
        get(node.address, "n").status == 200 && b.requests() > 0
    });
}

#[test]
fn a_discovery_that_refuses_everyone_is_called_less_and_less_and_the_list_stays() {
    let (a, discovery, node) = node();
    discovery.wait_for_watch();
    discovery.set_unavailable(true);
    let (before, began) = (discovery.requests(), Instant::now());
    let mut n = 0;
    while began.elapsed() < Duration::from_secs(4) {
        served(&node, n);
        n += 10;
        std::thread::sleep(Duration::from_millis(50));
    }
    // Without the doubling of the pause it would be some eighty.
    let calls = discovery.requests() - before;
    assert!((1..25).contains(&calls), "{calls} calls in four seconds");
    discovery.set_unavailable(false);
    let b = Server::healthy();
    discovery.send_snapshot(9, &[ListedServer::new("s-b", b.address, "active")]);
    let seen = a.requests();
    until("the list is not followed again", || {
        get(node.address, "n").status == 200 && b.requests() > 0
    });
    assert!(a.requests() >= seen);
}
