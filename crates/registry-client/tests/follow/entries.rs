//! Which entries are accepted: validity, owner and maximum number.

use crate::fake_registry::{payload, WatchDelivery, OWNER_SESSION};
use crate::fixture::{Fixture, ListedServer};
use bytes::Bytes;
use reelfall_registry_client::entry::EntryError;
use reelfall_registry_client::follow::{FollowerConfig, Identity, Report};
use reelfall_registry_client::wire::Acl;

/// The owner of an entry that belongs to no session.
const NO_SESSION: i64 = 0;

/// The owner of an entry with a time to live of 5 seconds, which the most significant byte marks.
const TTL_OWNER: i64 = (0xff << 56) | 5000;

const ALL_PERMISSIONS: i32 = 31;
const WRITE_PERMISSION: i32 = 2;

#[test]
fn invalid_entries_are_reported_once() {
    let mut fixture = Fixture::connected(FollowerConfig::default());
    fixture
        .registry
        .put("by-hand", payload(1), NO_SESSION, WatchDelivery::Delivered);
    fixture.registry.put(
        "odd",
        Bytes::from_static(b"\xff\xfe"),
        OWNER_SESSION,
        WatchDelivery::Delivered,
    );
    fixture.registry.put_server("good", 3);
    fixture.settle(1.0);
    assert_eq!(
        fixture.listed_servers(),
        [ListedServer::new("good", 3)].into()
    );
    let reports: Vec<Report> = std::iter::from_fn(|| fixture.follower.next_report()).collect();
    assert!(
        reports.contains(&Report::InvalidEntry(
            "by-hand".to_owned(),
            EntryError::NotEphemeral
        )),
        "{reports:?}"
    );
    assert_eq!(reports.len(), 2, "{reports:?}");
    // The periodic read of all entries does not report them again.
    fixture.tick_and_settle(31.0);
    assert_eq!(fixture.follower.next_report(), None);
    // An entry with a time to live belongs to no session either.
    fixture
        .registry
        .put("ttl", payload(4), TTL_OWNER, WatchDelivery::Delivered);
    fixture.settle(32.0);
    assert_eq!(fixture.listed_servers().len(), 1);

    let mut accepting = Fixture::connected(FollowerConfig {
        accepts_persistent: true,
        ..FollowerConfig::default()
    });
    accepting
        .registry
        .put("by-hand", payload(1), NO_SESSION, WatchDelivery::Delivered);
    accepting.settle(1.0);
    assert_eq!(accepting.listed_servers().len(), 1);
}

#[test]
fn entries_of_other_owners_are_ignored() {
    let mut fixture = Fixture::connected(FollowerConfig {
        owner: Some(Identity {
            scheme: "digest".to_owned(),
            id: "ops:hash".to_owned(),
        }),
        ..FollowerConfig::default()
    });
    let acl = |id: &str, permissions| Acl {
        permissions,
        scheme: "digest".to_owned(),
        id: id.to_owned(),
    };
    let acls_by_server = [
        vec![acl("ops:hash", ALL_PERMISSIONS), Acl::read_only()],
        // The registry hides the hash from clients without the permission to change the entry.
        vec![acl("ops:x", ALL_PERMISSIONS)],
        vec![Acl::open()],
        vec![
            acl("ops:hash", ALL_PERMISSIONS),
            acl("eve:hash", WRITE_PERMISSION),
        ],
    ];
    for (index, acls) in acls_by_server.into_iter().enumerate() {
        let name = format!("s{index}");
        fixture.registry.put_server(&name, index as u16 + 1);
        fixture.registry.nodes.get_mut(&name).unwrap().acl = acls;
    }
    fixture.settle(1.0);
    assert_eq!(
        fixture
            .listed_servers()
            .into_iter()
            .map(|server| server.name)
            .collect::<Vec<_>>(),
        ["s0", "s1"]
    );
}

#[test]
fn entries_beyond_the_limit_are_ignored() {
    const MAX_ENTRIES: usize = 10;
    let mut fixture = Fixture::connected(FollowerConfig {
        max_entries: MAX_ENTRIES,
        ..FollowerConfig::default()
    });
    for port in 1..=50 {
        fixture.registry.put_server(&format!("s{port:02}"), port);
    }
    fixture.settle(1.0);
    assert_eq!(
        (
            fixture.listed_servers().len(),
            fixture.follower.sizes().entries
        ),
        (MAX_ENTRIES, MAX_ENTRIES)
    );
    assert_eq!(
        fixture.follower.next_report(),
        Some(Report::TooManyEntries(MAX_ENTRIES))
    );
    // After a removal, another entry is accepted once all are read again.
    fixture.registry.remove("s01", WatchDelivery::Delivered);
    fixture.settle(2.0);
    fixture.tick_and_settle(40.0);
    assert_eq!(fixture.listed_servers().len(), MAX_ENTRIES);
}
