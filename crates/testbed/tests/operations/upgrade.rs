//! Upgrades: a successor at the same address takes over the connections of its predecessor.

use crate::client_load::{Load, LoadReport};
use crate::fixtures::{ok, program, send, send_until_server_is_used, Fixture};
use reelfall_testbed::scripted::{call_management, connect, get};
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::time::Duration;

const UPGRADES: usize = 20;
const KILLED_SUCCESSORS: u32 = 6;
/// Each successor is killed this much later after its start than the previous one.
const KILL_DELAY_STEP: Duration = Duration::from_millis(15);
const PAUSE_AFTER_KILL: Duration = Duration::from_millis(50);
const MIN_REQUESTS_UNDER_KILLS: usize = 100;

#[test]
fn repeated_upgrades_under_load_lose_no_request() {
    let mut fixture = Fixture::start();
    assert_eq!(
        call_management(fixture.node.management, "POST", "/-/servers/s-a/disable"),
        200
    );
    let requests_before = fixture.server_a.requests();
    let load = Load::start(fixture.node.address, 12);
    for _ in 0..UPGRADES {
        let successor = fixture.node.start_successor(&program());
        fixture.node.signal("TERM");
        assert!(fixture.node.wait(), "the old process exited with a failure");
        fixture.node = successor;
    }
    let LoadReport { requests, lost } = load.stop();
    assert!(
        lost.is_empty(),
        "{} of {requests} requests were lost: {lost:?}",
        lost.len()
    );
    assert_eq!(
        fixture.server_a.requests(),
        requests_before,
        "a banned server got requests after an upgrade"
    );
    assert_eq!(
        call_management(fixture.node.management, "POST", "/-/servers/s-a/enable"),
        200
    );
    send_until_server_is_used(&fixture.node, &fixture.server_a);
}

#[test]
fn old_process_keeps_serving_when_successors_are_killed() {
    const CLIENTS: usize = 6;
    let fixture = Fixture::start();
    let node = &fixture.node;
    let load = Load::start(node.address, CLIENTS);
    for n in 0..KILLED_SUCCESSORS {
        let mut successor = node.spawn_successor(&program());
        std::thread::sleep(KILL_DELAY_STEP * n);
        successor.kill();
        std::thread::sleep(PAUSE_AFTER_KILL);
    }
    load.wait_for_more_than(MIN_REQUESTS_UNDER_KILLS);
    let LoadReport { requests, lost } = load.stop();
    // Connections that a successor accepted are lost when it is killed; the old process accepts the next ones.
    let max_lost = CLIENTS * KILLED_SUCCESSORS as usize;
    assert!(
        requests > MIN_REQUESTS_UNDER_KILLS && lost.len() <= max_lost,
        "{} of {requests} requests were lost: {lost:?}",
        lost.len()
    );
    for n in 0..20 {
        assert_eq!(get(node.address, &format!("after-{n}")).status, 200);
    }
}

#[test]
fn second_successor_takes_over_connections_after_first_was_killed() {
    let mut fixture = Fixture::start();
    let mut first_successor = fixture.node.start_successor(&program());
    first_successor.kill();
    // Only the old process is left to serve this connection.
    let mut connection = connect(fixture.node.address);
    assert_eq!(send(&mut connection, "before"), ok("before"));
    let _second_successor = fixture.node.start_successor(&program());
    fixture.node.signal("TERM");
    assert!(fixture.node.wait());
    assert_eq!(send(&mut connection, "after"), ok("after"));
}

#[test]
fn garbage_and_silence_on_handover_socket_do_not_prevent_upgrade() {
    let mut fixture = Fixture::start();
    let handover_socket = fixture.node.folder().join("reelfall-n0.takeover");
    let mut garbage_stream = UnixStream::connect(&handover_socket).unwrap();
    garbage_stream
        .write_all(b"\xff\xff\xff\xffnonsense")
        .unwrap();
    let _silent_stream = UnixStream::connect(&handover_socket).unwrap();
    let load = Load::start(fixture.node.address, 4);
    let successor = fixture.node.start_successor(&program());
    fixture.node.signal("TERM");
    assert!(fixture.node.wait());
    let LoadReport { requests, lost } = load.stop();
    assert!(
        lost.is_empty(),
        "{} of {requests} requests were lost: {lost:?}",
        lost.len()
    );
    // The socket file that a killed process leaves behind does not prevent the next upgrade.
    fixture.node = successor;
    fixture.node.kill();
    let after_kill = fixture.node.start_successor(&program());
    assert_eq!(get(after_kill.address, "after").status, 200);
}

#[test]
fn paused_process_does_not_keep_successor_from_serving() {
    let mut fixture = Fixture::start();
    fixture.node.signal("STOP");
    let successor = fixture.node.start_successor(&program());
    fixture.node.kill();
    for n in 0..20 {
        assert_eq!(get(successor.address, &format!("f-{n}")).status, 200);
    }
}
