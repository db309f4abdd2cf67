//! Which servers entries make, against a naive reading of all entries.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_registry_client::entry::{parse, without_sequence, Entry, EntryError, MAX_DATA_LEN};
use reelfall_registry_client::roster::{
    Change, Roster, RosterSizes, FLAP_WINDOW, INITIAL_RETURN_DELAY, MAX_FLAP_RECORDS,
    MAX_RETURN_DELAY,
};
use reelfall_registry_client::wire::Stat;
use std::collections::BTreeMap;

fn entry(name: &str, port: u16) -> Entry {
    Entry {
        name: name.to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        zone: None,
        kind: None,
        weight: 1.0,
        draining: false,
        started: 1.0,
    }
}

fn names(roster: &Roster) -> Vec<String> {
    let mut names: Vec<String> = roster.servers().map(|e| e.name.clone()).collect();
    names.sort();
    names
}

#[test]
fn an_entry_is_read_strictly_and_costs_nothing_else() {
    let stat = Stat {
        ctime: 50_000,
        ephemeral_owner: 7,
        ..Stat::default()
    };
    let parse = |data: &str| parse("flags-3-0000000012", data.as_bytes(), &stat, 100.0);
    let good = parse(
        r#"{"address":"127.0.0.1:9000","zone":"z","type":"big","weight":2,"started":60000,"more":[1]}"#,
    );
    let good = good.unwrap();
    assert_eq!(
        (good.name.as_str(), good.weight, good.started),
        ("flags-3", 2.0, 60.0)
    );
    assert_eq!(
        (good.zone.as_deref(), good.kind.as_deref(), good.draining),
        (Some("z"), Some("big"), false)
    );
    // What it does not say is taken from the registry; a start in the future is now.
    assert_eq!(
        parse(r#"{"address":"127.0.0.1","port":9000}"#)
            .unwrap()
            .started,
        50.0
    );
    assert_eq!(
        parse(r#"{"addresses":["nonsense","127.0.0.1:9000"],"started":1e18}"#)
            .unwrap()
            .started,
        100.0
    );
    assert!(
        parse(r#"{"address":"127.0.0.1:9000","state":"draining"}"#)
            .unwrap()
            .draining
    );
    assert!(
        parse(r#"{"address":"127.0.0.1:9000","state":"asleep"}"#)
            .unwrap()
            .draining,
        "no leave to send"
    );
    for (data, fault) in [
        (r#"{"address":"127.0.0.1:0"}"#, EntryError::InvalidAddress),
        (r#"{"address":"0.0.0.0:80"}"#, EntryError::InvalidAddress),
        (
            r#"{"address":"flags.example.org:80"}"#,
            EntryError::InvalidAddress,
        ),
        (r#"{}"#, EntryError::InvalidAddress),
        (
            r#"{"address":"127.0.0.1:9000","weight":0}"#,
            EntryError::InvalidWeight,
        ),
        (
            r#"{"address":"127.0.0.1:9000","weight":1e9}"#,
            EntryError::InvalidWeight,
        ),
        (
            r#"{"address":"127.0.0.1:9000","name":""}"#,
            EntryError::InvalidName,
        ),
        (
            r#"{"address":"127.0.0.1:9000","name":"a\u0000b"}"#,
            EntryError::InvalidName,
        ),
    ] {
        assert_eq!(parse(data), Err(fault), "{data}");
    }
    let long = format!(
        "{{\"address\":\"127.0.0.1:9000\",\"x\":\"{}\"}}",
        "x".repeat(1 << 20)
    );
    assert!(matches!(parse(&long), Err(EntryError::TooLong(n)) if n > MAX_DATA_LEN));
    for bad in ["", "[]", "{", "null", "\u{0}", r#"{"address":5}"#] {
        assert!(
            matches!(parse(bad), Err(EntryError::InvalidData(_))),
            "{bad}"
        );
    }
    for (child, name) in [
        ("n-0000000001", "n"),
        ("n_0000000001", "n"),
        ("n0000000001", "n"),
        ("0000000001", "0000000001"),
        ("n-00000000x1", "n-00000000x1"),
        ("é0000000001", "é"),
        ("short", "short"),
    ] {
        assert_eq!(without_sequence(child), name);
    }
}

#[test]
fn a_removal_counts_at_once_and_a_return_waits_longer_each_time() {
    let mut roster = Roster::default();
    let mut now = 100.0;
    roster.update(now, "c", 1, Ok(entry("a", 1)));
    assert_eq!(roster.take_changes(), [Change::Listed(entry("a", 1))]);
    let mut zxid = 1;
    for returns in 1..8u32 {
        roster.remove(now, "c");
        assert_eq!(roster.take_changes(), [Change::Removed("a".to_owned())]);
        zxid += 1;
        roster.update(now, "c", zxid, Ok(entry("a", 1)));
        let hold = if returns == 1 {
            0.0
        } else {
            (INITIAL_RETURN_DELAY * f64::from(1 << (returns - 2))).min(MAX_RETURN_DELAY)
        };
        if returns > 1 {
            assert_eq!(
                roster.take_changes(),
                [],
                "return {returns} is taken at once"
            );
            roster.tick(now + hold * 0.9);
            assert_eq!(roster.take_changes(), []);
            // However often it comes and goes in the meantime.
            for _ in 0..100 {
                roster.remove(now, "c");
                zxid += 1;
                roster.update(now, "c", zxid, Ok(entry("a", 1)));
            }
            assert_eq!(roster.take_changes(), []);
            now = roster.deadline().expect("something waits");
            roster.tick(now);
        }
        assert_eq!(
            roster.take_changes(),
            [Change::Listed(entry("a", 1))],
            "return {returns}"
        );
        assert_eq!(roster.deadline(), None);
    }
    // After a quiet time all is forgiven, and nothing is kept.
    roster.remove(now, "c");
    now += FLAP_WINDOW + 1.0;
    roster.tick(now);
    roster.update(now, "c", zxid + 1, Ok(entry("a", 1)));
    assert_eq!(roster.take_changes().len(), 2);
    let sizes = RosterSizes {
        entries: 1,
        servers: 1,
        flap_records: 0,
    };
    assert_eq!(roster.sizes(), sizes);
}

#[test]
fn of_two_entries_the_one_that_was_made_last_counts() {
    let mut roster = Roster::default();
    // A process comes back with a new session while its old entry stands.
    roster.update(1.0, "old", 1, Ok(entry("a", 1)));
    roster.update(
        2.0,
        "new",
        2,
        Ok(Entry {
            started: 2.0,
            ..entry("a", 1)
        }),
    );
    assert_eq!(roster.servers().next().unwrap().started, 2.0);
    roster.take_changes();
    roster.remove(3.0, "old");
    assert_eq!(
        roster.take_changes(),
        [],
        "the end of the old entry is no end of the process"
    );
    // Another server takes the address while the entry of the one before still stands.
    roster.update(4.0, "thief", 3, Ok(entry("b", 1)));
    assert_eq!(
        roster.take_changes(),
        [
            Change::Removed("a".to_owned()),
            Change::Listed(entry("b", 1))
        ]
    );
    roster.remove(5.0, "thief");
    assert_eq!(roster.take_changes()[0], Change::Removed("b".to_owned()));
    assert_eq!(names(&roster), ["a"]);
    // An entry that can't be used any more is as good as none.
    roster.update(6.0, "new", 2, Err(EntryError::InvalidAddress));
    assert_eq!(names(&roster), Vec::<String>::new());
}

#[test]
fn names_that_flap_are_counted_up_to_a_bound() {
    let mut roster = Roster::default();
    for n in 0..2 * MAX_FLAP_RECORDS as i64 {
        let (child, name) = (format!("c{n}"), format!("n{n}"));
        roster.update(1.0, &child, n, Ok(entry(&name, 1)));
        roster.remove(1.0, &child);
    }
    assert!(roster.sizes().flap_records <= MAX_FLAP_RECORDS);
}

/// Whatever comes in whatever order: what is there is what counts, but for those that wait; in the end none waits.
#[test]
fn any_order_of_entries_ends_with_those_that_count() {
    let step = (0..6u8, 0..4u8, 0..4u16, 0.0..1.5f64, 0..4u8);
    let steps = prop::collection::vec(step, 1..120);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let (mut roster, mut now, mut zxid) = (Roster::default(), 1000.0, 0);
            let mut entries = BTreeMap::<String, (i64, Entry)>::new();
            let mut there = BTreeMap::<String, Entry>::new();
            for (child, name, port, after, what) in steps {
                now += after;
                zxid += 1;
                let child = format!("c{child}");
                let one = entry(&format!("n{name}"), port + 1);
                match what {
                    0 => {
                        entries.remove(&child);
                        roster.remove(now, &child);
                    }
                    1 => {
                        entries.remove(&child);
                        roster.update(now, &child, zxid, Err(EntryError::InvalidAddress));
                    }
                    _ => {
                        entries.insert(child.clone(), (zxid, one.clone()));
                        roster.update(now, &child, zxid, Ok(one));
                    }
                }
                if what == 3 {
                    roster.tick(now);
                }
                // What counts, by reading all entries.
                let last = |fits: &dyn Fn(&Entry) -> bool| {
                    entries
                        .values()
                        .filter(|(_, e)| fits(e))
                        .max_by_key(|(z, _)| *z)
                        .map(|(z, _)| *z)
                };
                let counts: BTreeMap<String, Entry> = entries
                    .values()
                    .filter(|(z, e)| {
                        last(&|o| o.name == e.name) == Some(*z)
                            && last(&|o| o.address == e.address) == Some(*z)
                    })
                    .map(|(_, e)| (e.name.clone(), e.clone()))
                    .collect();
                let held: BTreeMap<String, Entry> = roster
                    .servers()
                    .map(|e| (e.name.clone(), e.clone()))
                    .collect();
                for (name, entry) in &held {
                    prop_assert_eq!(
                        counts.get(name),
                        Some(entry),
                        "somebody is there who does not count"
                    );
                }
                // The changes tell the same story.
                for change in roster.take_changes() {
                    match change {
                        Change::Listed(e) => drop(there.insert(e.name.clone(), e)),
                        Change::Removed(name) => {
                            prop_assert!(there.remove(&name).is_some(), "gone twice")
                        }
                    }
                }
                prop_assert_eq!(&there, &held);
                let addresses: std::collections::BTreeSet<_> =
                    there.values().map(|e| e.address).collect();
                prop_assert_eq!(addresses.len(), there.len(), "two servers at one address");
                roster.tick(now);
                if what == 2 {
                    now += MAX_RETURN_DELAY + 1.0;
                    roster.tick(now);
                    prop_assert_eq!(
                        roster.servers().count(),
                        counts.len(),
                        "somebody waits for ever"
                    );
                }
                for change in roster.take_changes() {
                    match change {
                        Change::Listed(e) => drop(there.insert(e.name.clone(), e)),
                        Change::Removed(name) => drop(there.remove(&name)),
                    }
                }
            }
            Ok(())
        })
        .unwrap();
}
