//! The listed servers: validation of entries, conflicts between them, and delayed returns of servers that flap.

mod random;

use reelfall_registry_client::entry::{
    parse, strip_sequence_suffix, Entry, EntryError, MAX_DATA_LEN,
};
use reelfall_registry_client::roster::{
    Change, Roster, RosterSizes, FLAP_WINDOW, INITIAL_RETURN_DELAY, MAX_FLAP_RECORDS,
    MAX_RETURN_DELAY,
};
use reelfall_registry_client::wire::Stat;

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
    let servers = roster.servers();
    let mut names: Vec<String> = servers.map(|server| server.name.clone()).collect();
    names.sort();
    names
}

/// Parses the data of an entry that was created at 50 s of Unix time; the time is 100 s.
fn parse_entry(data: &str) -> Result<Entry, EntryError> {
    let stat = Stat {
        ctime: 50_000,
        ephemeral_owner: 7,
        ..Stat::default()
    };
    parse("flags-3-0000000012", data.as_bytes(), &stat, 100.0)
}

#[test]
fn valid_entries_are_parsed() {
    let entry = parse_entry(
        r#"{"address":"127.0.0.1:9000","zone":"z","type":"big","weight":2,"started":60000,"more":[1]}"#,
    );
    let entry = entry.unwrap();
    assert_eq!(
        (entry.name.as_str(), entry.weight, entry.started),
        ("flags-3", 2.0, 60.0)
    );
    assert_eq!(
        (entry.zone.as_deref(), entry.kind.as_deref(), entry.draining),
        (Some("z"), Some("big"), false)
    );
    // Without a start time, the time of the entry's creation is used; a start time in the future becomes the present
    // time.
    assert_eq!(
        parse_entry(r#"{"address":"127.0.0.1","port":9000}"#)
            .unwrap()
            .started,
        50.0
    );
    assert_eq!(
        parse_entry(r#"{"addresses":["nonsense","127.0.0.1:9000"],"started":1e18}"#)
            .unwrap()
            .started,
        100.0
    );
    assert!(
        parse_entry(r#"{"address":"127.0.0.1:9000","state":"draining"}"#)
            .unwrap()
            .draining
    );
    assert!(
        parse_entry(r#"{"address":"127.0.0.1:9000","state":"asleep"}"#)
            .unwrap()
            .draining,
        "a server in an unknown state receives requests"
    );
}

#[test]
fn invalid_entries_are_rejected() {
    for (data, expected) in [
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
        assert_eq!(parse_entry(data), Err(expected), "{data}");
    }
    let oversized = format!(
        "{{\"address\":\"127.0.0.1:9000\",\"x\":\"{}\"}}",
        "x".repeat(1 << 20)
    );
    assert!(
        matches!(parse_entry(&oversized), Err(EntryError::TooLong(length)) if length > MAX_DATA_LEN)
    );
    for invalid in ["", "[]", "{", "null", "\u{0}", r#"{"address":5}"#] {
        assert!(
            matches!(parse_entry(invalid), Err(EntryError::InvalidData(_))),
            "{invalid}"
        );
    }
}

#[test]
fn sequence_suffix_of_a_child_is_removed() {
    for (child, name) in [
        ("n-0000000001", "n"),
        ("n_0000000001", "n"),
        ("n0000000001", "n"),
        ("0000000001", "0000000001"),
        ("n-00000000x1", "n-00000000x1"),
        ("é0000000001", "é"),
        ("short", "short"),
    ] {
        assert_eq!(strip_sequence_suffix(child), name);
    }
}

#[test]
fn removal_is_immediate_and_return_delay_grows() {
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
        let return_delay = if returns == 1 {
            0.0
        } else {
            (INITIAL_RETURN_DELAY * f64::from(1 << (returns - 2))).min(MAX_RETURN_DELAY)
        };
        if returns > 1 {
            assert_eq!(roster.take_changes(), [], "return {returns} is not delayed");
            roster.tick(now + return_delay * 0.9);
            assert_eq!(roster.take_changes(), []);
            // Further removals and updates during the delay change nothing.
            for _ in 0..100 {
                roster.remove(now, "c");
                zxid += 1;
                roster.update(now, "c", zxid, Ok(entry("a", 1)));
            }
            assert_eq!(roster.take_changes(), []);
            now = roster.deadline().expect("a delayed return");
            roster.tick(now);
        }
        assert_eq!(
            roster.take_changes(),
            [Change::Listed(entry("a", 1))],
            "return {returns}"
        );
        assert_eq!(roster.deadline(), None);
    }
    // After a stable period the flap record is deleted.
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
fn latest_of_conflicting_entries_is_effective() {
    let mut roster = Roster::default();
    // A process reconnects with a new session while its old entry still exists.
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
        "the removal of the old entry removes the server"
    );
    // Another server uses the address while the entry of the previous one still exists.
    roster.update(4.0, "other", 3, Ok(entry("b", 1)));
    assert_eq!(
        roster.take_changes(),
        [
            Change::Removed("a".to_owned()),
            Change::Listed(entry("b", 1))
        ]
    );
    roster.remove(5.0, "other");
    assert_eq!(roster.take_changes()[0], Change::Removed("b".to_owned()));
    assert_eq!(names(&roster), ["a"]);
    // An entry that becomes invalid counts as removed.
    roster.update(6.0, "new", 2, Err(EntryError::InvalidAddress));
    assert_eq!(names(&roster), Vec::<String>::new());
}

#[test]
fn flap_records_are_bounded() {
    let mut roster = Roster::default();
    for zxid in 0..2 * MAX_FLAP_RECORDS as i64 {
        let child = format!("c{zxid}");
        let name = format!("n{zxid}");
        roster.update(1.0, &child, zxid, Ok(entry(&name, 1)));
        roster.remove(1.0, &child);
    }
    assert!(roster.sizes().flap_records <= MAX_FLAP_RECORDS);
}
