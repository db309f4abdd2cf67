//! Manual bans of servers.

use crate::fixtures::{program, send_until_server_is_used, Fixture};
use reelfall_testbed::scripted::{call_management, get, ListedServer};
use std::time::Duration;

const PAUSE_BETWEEN_REQUESTS: Duration = Duration::from_millis(5);

#[test]
fn banned_server_gets_no_requests_whatever_discovery_lists() {
    let fixture = Fixture::start();
    let Fixture {
        node,
        discovery,
        server_a,
        server_b,
    } = &fixture;
    send_until_server_is_used(node, server_a);
    send_until_server_is_used(node, server_b);
    assert_eq!(
        call_management(node.management, "POST", "/-/servers/s-a/disable"),
        200
    );
    assert_eq!(
        call_management(node.management, "POST", "/-/servers/s-a/disable"),
        200
    );
    let requests_before = server_a.requests();
    // Discovery removes the server, adds it again and sends a new snapshot.
    discovery.send_delta(2, &[ListedServer::new("s-a", server_a.address, "left")]);
    for n in 0..20 {
        assert_eq!(get(node.address, &format!("d-{n}")).status, 200);
    }
    discovery.send_delta(3, &[ListedServer::new("s-a", server_a.address, "active")]);
    fixture.send_snapshot_with_both(4);
    for n in 0..40 {
        assert_eq!(get(node.address, &format!("r-{n}")).status, 200);
        std::thread::sleep(PAUSE_BETWEEN_REQUESTS);
    }
    assert_eq!(
        server_a.requests(),
        requests_before,
        "a banned server got a request"
    );
    // With all servers banned, requests are rejected and not forwarded.
    assert_eq!(
        call_management(node.management, "POST", "/-/servers/s-b/disable"),
        200
    );
    let requests_before = (server_a.requests(), server_b.requests());
    assert_eq!(get(node.address, "none").status, 503);
    assert_eq!((server_a.requests(), server_b.requests()), requests_before);
    assert_eq!(
        call_management(node.management, "POST", "/-/servers/s-b/enable"),
        200
    );
    assert_eq!(
        call_management(node.management, "POST", "/-/servers/s-a/enable"),
        200
    );
    send_until_server_is_used(node, server_a);
    send_until_server_is_used(node, server_b);
}

#[test]
fn ban_outlives_upgrade_while_server_is_unlisted() {
    let mut fixture = Fixture::start();
    assert_eq!(
        call_management(fixture.node.management, "POST", "/-/servers/s-a/disable"),
        200
    );
    let requests_before = fixture.server_a.requests();
    let only_b = [ListedServer::new("s-b", fixture.server_b.address, "active")];
    fixture.discovery.send_snapshot(2, &only_b);
    let successor = fixture.node.start_successor(&program());
    // The ban is repeated through the new process and applies in the old one too; the server's name is known although it is no
    // longer listed.
    assert_eq!(
        call_management(successor.management, "POST", "/-/servers/s-a/disable"),
        200
    );
    fixture.node.signal("TERM");
    assert!(fixture.node.wait());
    fixture.send_snapshot_with_both(3);
    for n in 0..60 {
        assert_eq!(get(successor.address, &format!("d-{n}")).status, 200);
        std::thread::sleep(PAUSE_BETWEEN_REQUESTS);
    }
    assert_eq!(fixture.server_a.requests(), requests_before);
    assert_eq!(
        call_management(successor.management, "POST", "/-/servers/s-a/enable"),
        200
    );
    send_until_server_is_used(&successor, &fixture.server_a);
}

#[test]
fn ban_that_cannot_be_persisted_is_applied_and_reported_as_error() {
    let fixture = Fixture::start();
    let (node, server_a) = (&fixture.node, &fixture.server_a);
    std::fs::remove_dir_all(node.folder()).unwrap();
    assert_eq!(
        call_management(node.management, "POST", "/-/servers/s-a/disable"),
        500
    );
    let requests_before = server_a.requests();
    for n in 0..30 {
        assert_eq!(get(node.address, &format!("w-{n}")).status, 200);
    }
    assert_eq!(server_a.requests(), requests_before);
}
