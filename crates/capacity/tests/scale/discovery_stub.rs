//! The stub of the discovery services.

use reelfall_capacity::scale::discovery_stub::{
    server_name, DiscoveryStub, ParsedList, ALWAYS_FAILING_SERVERS,
};

fn parse(text: &str) -> ParsedList {
    serde_json::from_str(text).expect("a list")
}

#[test]
fn snapshots_list_each_server_once() {
    let stub = DiscoveryStub::new(10, 3);
    let mut listed: Vec<String> = Vec::new();
    for list in 0..stub.list_count() {
        let snapshot = parse(&stub.snapshot(list, 0).text);
        assert!(snapshot.is_snapshot && snapshot.index == 1);
        listed.extend(snapshot.endpoints.into_iter().map(|server| server.name));
    }
    listed.sort();
    let mut all: Vec<String> = (0..10).map(server_name).collect();
    all.sort();
    assert_eq!(listed, all);
    // There are at most as many lists as servers.
    assert_eq!(DiscoveryStub::new(2, 50).list_count(), 2);
}

#[test]
fn restarted_server_fails_and_then_has_a_new_start_time() {
    let stub = DiscoveryStub::new(10, 3);
    let mut updates = stub.subscribe();
    let fails = |name: &str| {
        stub.failing_servers()
            .iter()
            .any(|failing| failing.name == name)
    };
    assert_eq!(stub.failing_servers().len(), ALWAYS_FAILING_SERVERS);
    stub.fail_server(7);
    assert!(fails("server-7"));
    stub.complete_restart(7, 5_000_000);
    assert!(!fails("server-7"));
    let update = updates.try_recv().expect("an update");
    assert_eq!((&*update.list, update.sent_us), ("service-1", 5_000_000));
    let change = parse(&update.text);
    assert_eq!(
        (change.index, change.is_snapshot, change.endpoints.len()),
        (2, false, 1)
    );
    assert_eq!(
        (
            change.endpoints[0].name.as_str(),
            change.endpoints[0].started_ms
        ),
        ("server-7", 5_001)
    );
    assert_eq!(parse(&stub.snapshot(1, 0).text).index, 2);
    assert!(updates.try_recv().is_err());
}

#[test]
fn unavailable_stub_sends_pending_updates_once_it_is_back() {
    let stub = DiscoveryStub::new(10, 2);
    let mut updates = stub.subscribe();
    stub.set_unavailable(true, 0);
    stub.complete_restart(4, 1_000_000);
    stub.complete_restart(5, 2_000_000);
    assert!(updates.try_recv().is_err());
    stub.set_unavailable(false, 9_000_000);
    for (server, since) in [("server-4", 1_001), ("server-5", 2_001)] {
        let update = updates.try_recv().expect("an update");
        let change = parse(&update.text);
        assert_eq!(update.sent_us, 9_000_000);
        assert_eq!(
            (
                change.endpoints[0].name.as_str(),
                change.endpoints[0].started_ms
            ),
            (server, since)
        );
    }
}
