//! Merging verdicts: in any order, however often, all come to the same; and what fills a table.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use reelfall_cluster::entry::{BanId, Entry, Finding, Key, Report, ServerInstance, Value, Version};
use reelfall_cluster::node::Incarnation;
use reelfall_cluster::table::{MergeOutcome, Table, MAX_ENTRIES, MAX_REPORTS_PER_NODE};

fn report(server: usize, by: &str, n: u64, bad: u16) -> Entry {
    let server = ServerInstance {
        name: format!("s{server}"),
        since: 0,
    };
    let version = Version {
        incarnation: Incarnation { number: 1, tag: 1 },
        n,
    };
    let report = Report {
        finding: Finding::Failing,
        bad,
        good: 0,
        zone: String::new(),
        accused: 1,
        listed: 9,
    };
    let key = Key::Report {
        server,
        by: by.to_owned(),
    };
    Entry {
        key,
        version,
        value: Value::Report(report),
        ttl_ms: 10_000,
        age_us: 0,
    }
}

fn hand(server: &str, number: u32, n: u64, lifted: bool, ttl_ms: u32) -> Entry {
    let id = BanId {
        node: "a".to_owned(),
        incarnation: Incarnation { number: 1, tag: 1 },
        number,
    };
    let by = "ada".to_owned();
    let value = if lifted {
        Value::BanLifted { by }
    } else {
        Value::Banned { by }
    };
    let version = Version {
        incarnation: Incarnation { number: 1, tag: 1 },
        n,
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

fn entry() -> impl Strategy<Value = Entry> {
    let reports = (0..3usize, 0..3usize, 0..4u64, 0..3u16)
        .prop_map(|(s, by, n, bad)| report(s, &format!("n{by}"), n, bad));
    let hands = (0..2usize, 0..2u32, 0..4u64, any::<bool>(), 1..3u32)
        .prop_map(|(s, c, n, lifted, lasts)| hand(&format!("s{s}"), c, n, lifted, lasts * 4000));
    (prop_oneof![reports, hands], 0..12_000_000u64).prop_map(|(e, age_us)| Entry { age_us, ..e })
}

fn joined(entries: &[Entry]) -> Vec<String> {
    let mut table = Table::default();
    for entry in entries {
        table.merge(1.0, entry.clone());
    }
    table
        .live(1.0)
        .map(|(key, held)| {
            format!(
                "{key:?} {:?} {:?} {:.5}",
                held.version,
                held.value,
                held.remaining_ttl(1.0)
            )
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(43), failure_persistence: None, ..Default::default() })]

    #[test]
    fn the_order_and_the_number_of_tellings_do_not_matter(
        entries in prop::collection::vec(entry(), 0..24), turned in any::<u64>(), again in any::<u64>(),
    ) {
        // What is over when it comes is passed over, so that it could make room for what it outranks: none of those here.
        let entries: Vec<Entry> = entries.into_iter().filter(|e| e.age() < e.ttl()).collect();
        let mut other = entries.clone();
        let n = other.len().max(1);
        other.rotate_left(turned as usize % n);
        if turned % 2 == 1 {
            other.reverse();
        }
        other.extend(entries.iter().skip(again as usize % n).cloned());
        prop_assert_eq!(joined(&entries), joined(&other));
    }

    /// Tables that hold the same have the same sums, and those of tables that differ tell which verdicts do.
    #[test]
    fn comparing_two_tables_brings_them_to_the_same(
        one in prop::collection::vec(entry(), 0..16), other in prop::collection::vec(entry(), 0..16),
    ) {
        let (mut a, mut b) = (Table::default(), Table::default());
        one.into_iter().for_each(|e| assert_ne!(a.merge(1.0, e), MergeOutcome::Rejected));
        other.into_iter().for_each(|e| assert_ne!(b.merge(1.0, e), MergeOutcome::Rejected));
        for entry in a.differing(1.0, &b.digests()) {
            b.merge(1.0, entry);
        }
        for entry in b.differing(1.0, &a.digests()) {
            a.merge(1.0, entry);
        }
        prop_assert_eq!(a.digests(), b.digests());
        let words = |t: &Table| t.live(1.0).map(|(k, h)| format!("{k:?} {:?}", h.value)).collect::<Vec<_>>();
        prop_assert_eq!(words(&a), words(&b));
    }
}

#[test]
fn a_lift_covers_every_later_word_of_its_call_and_no_other_call() {
    let mut table = Table::default();
    assert_eq!(
        table.merge(0.0, hand("s", 1, 1, false, 60_000)),
        MergeOutcome::Updated
    );
    assert_eq!(
        table.merge(0.0, hand("s", 1, 2, true, 60_000)),
        MergeOutcome::Updated
    );
    // The maker has not heard, and says it anew.
    assert_eq!(
        table.merge(1.0, hand("s", 1, 9, false, 60_000)),
        MergeOutcome::Unchanged
    );
    assert!(table
        .live(1.0)
        .all(|(_, held)| matches!(held.value, Value::BanLifted { .. })));
    assert_eq!(
        table.merge(1.0, hand("s", 2, 3, false, 60_000)),
        MergeOutcome::Updated
    );
    assert_eq!(table.live(1.0).count(), 2);
}

#[test]
fn a_verdict_counts_to_its_end_and_is_let_go_then() {
    let mut table = Table::default();
    table.merge(
        5.0,
        Entry {
            age_us: 4_000_000,
            ..report(0, "a", 1, 1)
        },
    );
    assert_eq!(table.live(10.9).count(), 1);
    assert_eq!(table.live(11.0).count(), 0);
    assert!(table.next_expiry().is_some_and(|end| end <= 11.0));
    // Looked at for another's sake: the end is told all the same, once.
    table.merge(11.001, report(1, "a", 1, 1));
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
                ..report(0, "a", 2, 1)
            }
        ),
        MergeOutcome::Expired
    );
}

#[test]
fn a_table_has_a_bound_one_node_has_one_of_its_own_and_hands_come_before_reports() {
    let mut table = Table::default();
    let mine = (0..MAX_REPORTS_PER_NODE + 5)
        .filter(|n| table.merge(0.0, report(*n, "a", 1, 1)) == MergeOutcome::Updated)
        .count();
    assert_eq!(mine, MAX_REPORTS_PER_NODE, "one node fills the table");
    let mut n = 0;
    while table.len() < MAX_ENTRIES {
        table.merge(0.0, report(n % 200, &format!("n{}", n / 200), 1, 1));
        n += 1;
    }
    assert_eq!(
        table.merge(0.0, report(0, "late", 1, 1)),
        MergeOutcome::Rejected
    );
    assert_eq!(
        table.merge(0.0, hand("s", 1, 1, false, 1000)),
        MergeOutcome::Updated
    );
    assert_eq!(table.len(), MAX_ENTRIES);
}

#[test]
fn words_that_no_node_can_have_made_are_refused() {
    let mut table = Table::default();
    let long = hand(&"x".repeat(65), 1, 1, false, 1000);
    let lasting = Entry {
        ttl_ms: 61_000,
        ..report(0, "a", 1, 1)
    };
    let odd = Entry {
        value: Value::Leaving,
        ..report(0, "a", 1, 1)
    };
    let nobody = hand("", 1, 1, false, 1000);
    for entry in [long, lasting, odd, nobody] {
        assert_eq!(
            table.merge(0.0, entry.clone()),
            MergeOutcome::Rejected,
            "{entry:?}"
        );
    }
    assert!(table.is_empty());
}
