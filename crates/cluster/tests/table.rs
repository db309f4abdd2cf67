//! Tests of the table: merging does not depend on order and repetition, entries expire, and the size is bounded.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use reelfall_cluster::entry::{BanId, Entry, Finding, Key, Report, ServerInstance, Value, Version};
use reelfall_cluster::node::Incarnation;
use reelfall_cluster::table::{MergeOutcome, Table, MAX_ENTRIES, MAX_REPORTS_PER_NODE};

const INCARNATION: Incarnation = Incarnation { number: 1, tag: 1 };

/// The TTL of reports, in milliseconds.
const REPORT_TTL_MS: u32 = 10_000;

/// The time at which the tables of the random tests are compared.
const NOW: f64 = 1.0;

fn report_entry(server: usize, reporter: &str, version: u64, failures: u16) -> Entry {
    let server = ServerInstance {
        name: format!("s{server}"),
        started_ms: 0,
    };
    let version = Version {
        incarnation: INCARNATION,
        sequence: version,
    };
    let report = Report {
        finding: Finding::Failing,
        failures,
        successes: 0,
        zone: String::new(),
        faulty_servers: 1,
        listed_servers: 9,
    };
    let key = Key::Report {
        server,
        reporter: reporter.to_owned(),
    };
    Entry {
        key,
        version,
        value: Value::Report(report),
        ttl_ms: REPORT_TTL_MS,
        age_us: 0,
    }
}

fn ban_entry(server: &str, number: u32, version: u64, ttl_ms: u32) -> Entry {
    let id = BanId {
        node: "a".to_owned(),
        incarnation: INCARNATION,
        number,
    };
    let value = Value::Banned {
        operator: "ada".to_owned(),
    };
    let version = Version {
        incarnation: INCARNATION,
        sequence: version,
    };
    Entry {
        key: Key::Ban {
            server: server.to_owned(),
            id,
        },
        version,
        value,
        ttl_ms,
        age_us: 0,
    }
}

fn lift_entry(server: &str, number: u32, version: u64, ttl_ms: u32) -> Entry {
    Entry {
        value: Value::BanLifted {
            operator: "ada".to_owned(),
        },
        ..ban_entry(server, number, version, ttl_ms)
    }
}

fn random_entry() -> impl Strategy<Value = Entry> {
    let reports = (0..3usize, 0..3usize, 0..4u64, 0..3u16).prop_map(
        |(server, reporter, version, failures)| {
            report_entry(server, &format!("n{reporter}"), version, failures)
        },
    );
    let bans = (0..2usize, 0..2u32, 0..4u64, any::<bool>(), 1..3u32).prop_map(
        |(server, number, version, is_lifted, ttl)| {
            let make_entry = if is_lifted { lift_entry } else { ban_entry };
            make_entry(&format!("s{server}"), number, version, ttl * 4000)
        },
    );
    (prop_oneof![reports, bans], 0..12_000_000u64)
        .prop_map(|(entry, age_us)| Entry { age_us, ..entry })
}

/// Merges the given entries into a table, and returns those that have not expired, as text.
fn merged(entries: &[Entry]) -> Vec<String> {
    let mut table = Table::default();
    for entry in entries {
        table.merge(NOW, entry.clone());
    }
    table
        .live(NOW)
        .map(|(key, stored)| {
            format!(
                "{key:?} {:?} {:?} {:.5}",
                stored.version,
                stored.value,
                stored.remaining_ttl(NOW)
            )
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(43), failure_persistence: None, ..Default::default() })]

    #[test]
    fn merge_is_independent_of_order_and_repetition(
        entries in prop::collection::vec(random_entry(), 0..24), rotation in any::<u64>(), repeated_from in any::<u64>(),
    ) {
        // Expired entries are left out: they are ignored, so an entry that an expired version would replace stays if it
        // is merged first.
        let entries: Vec<Entry> =
            entries.into_iter().filter(|entry| entry.age() < entry.ttl()).collect();
        let mut reordered = entries.clone();
        let length = reordered.len().max(1);
        reordered.rotate_left(rotation as usize % length);
        if rotation % 2 == 1 {
            reordered.reverse();
        }
        let repeated = entries.iter().skip(repeated_from as usize % length);
        reordered.extend(repeated.cloned());
        prop_assert_eq!(merged(&entries), merged(&reordered));
    }

    /// After two tables have exchanged the entries of the partitions whose digests differ, their digests and values are
    /// equal.
    #[test]
    fn anti_entropy_makes_tables_equal(
        first_entries in prop::collection::vec(random_entry(), 0..16),
        second_entries in prop::collection::vec(random_entry(), 0..16),
    ) {
        let mut first = Table::default();
        let mut second = Table::default();
        for entry in first_entries {
            assert_ne!(first.merge(NOW, entry), MergeOutcome::Rejected);
        }
        for entry in second_entries {
            assert_ne!(second.merge(NOW, entry), MergeOutcome::Rejected);
        }
        for entry in first.entries_of_differing_partitions(NOW, &second.digests()) {
            second.merge(NOW, entry);
        }
        for entry in second.entries_of_differing_partitions(NOW, &first.digests()) {
            first.merge(NOW, entry);
        }
        prop_assert_eq!(first.digests(), second.digests());
        let values = |table: &Table| {
            let live = table.live(NOW);
            live.map(|(key, stored)| format!("{key:?} {:?}", stored.value)).collect::<Vec<_>>()
        };
        prop_assert_eq!(values(&first), values(&second));
    }
}

#[test]
fn lift_covers_later_versions_of_its_ban_only() {
    let mut table = Table::default();
    assert_eq!(
        table.merge(0.0, ban_entry("s", 1, 1, 60_000)),
        MergeOutcome::Updated
    );
    assert_eq!(
        table.merge(0.0, lift_entry("s", 1, 2, 60_000)),
        MergeOutcome::Updated
    );
    // The node that published the ban has not received the lift, and publishes the ban again.
    assert_eq!(
        table.merge(1.0, ban_entry("s", 1, 9, 60_000)),
        MergeOutcome::Unchanged
    );
    assert!(table
        .live(1.0)
        .all(|(_, stored)| matches!(stored.value, Value::BanLifted { .. })));
    assert_eq!(
        table.merge(1.0, ban_entry("s", 2, 3, 60_000)),
        MergeOutcome::Updated
    );
    assert_eq!(table.live(1.0).count(), 2);
}

#[test]
fn entry_is_live_until_it_expires() {
    let mut table = Table::default();
    table.merge(
        5.0,
        Entry {
            age_us: 4_000_000,
            ..report_entry(0, "a", 1, 1)
        },
    );
    assert_eq!(table.live(10.9).count(), 1);
    assert_eq!(table.live(11.0).count(), 0);
    assert!(table.next_expiry().is_some_and(|end| end <= 11.0));
    // An expiry that is detected while another entry is merged is reported too, and only once.
    table.merge(11.001, report_entry(1, "a", 1, 1));
    assert_eq!(
        (table.take_expired().len(), table.take_expired().len()),
        (1, 0)
    );
    table.expire(30.0);
    assert_eq!((table.take_expired().len(), table.is_empty()), (1, true));
    assert_eq!(table.digests(), Table::default().digests());
    assert_eq!(
        table.merge(
            11.0,
            Entry {
                age_us: 10_000_000,
                ..report_entry(0, "a", 2, 1)
            }
        ),
        MergeOutcome::Expired
    );
}

/// Number of reports of each node in the full table.
const REPORTS_OF_EACH_NODE: usize = 200;

#[test]
fn table_and_reports_per_node_are_bounded_and_bans_evict_reports() {
    let mut table = Table::default();
    let accepted_of_one_node = (0..MAX_REPORTS_PER_NODE + 5)
        .filter(|server| {
            table.merge(0.0, report_entry(*server, "a", 1, 1)) == MergeOutcome::Updated
        })
        .count();
    assert_eq!(
        accepted_of_one_node, MAX_REPORTS_PER_NODE,
        "the reports of one node are not limited"
    );
    let mut index = 0;
    while table.len() < MAX_ENTRIES {
        let node = format!("n{}", index / REPORTS_OF_EACH_NODE);
        table.merge(0.0, report_entry(index % REPORTS_OF_EACH_NODE, &node, 1, 1));
        index += 1;
    }
    assert_eq!(
        table.merge(0.0, report_entry(0, "late", 1, 1)),
        MergeOutcome::Rejected
    );
    assert_eq!(
        table.merge(0.0, ban_entry("s", 1, 1, 1000)),
        MergeOutcome::Updated
    );
    assert_eq!(table.len(), MAX_ENTRIES);
}

#[test]
fn invalid_entries_are_rejected() {
    let mut table = Table::default();
    let long_name = ban_entry(&"x".repeat(65), 1, 1, 1000);
    let long_ttl = Entry {
        ttl_ms: 61_000,
        ..report_entry(0, "a", 1, 1)
    };
    let wrong_value = Entry {
        value: Value::Leaving,
        ..report_entry(0, "a", 1, 1)
    };
    let empty_name = ban_entry("", 1, 1, 1000);
    for entry in [long_name, long_ttl, wrong_value, empty_name] {
        assert_eq!(
            table.merge(0.0, entry.clone()),
            MergeOutcome::Rejected,
            "{entry:?}"
        );
    }
    assert!(table.is_empty());
}
