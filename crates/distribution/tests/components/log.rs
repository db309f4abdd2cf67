//! The change log and the history of replaced changes.

use crate::changes::{change, put, span, version, CAPACITY};
use reelfall_distribution::coverage::Coverage;
use reelfall_distribution::history::ChangeHistory;
use reelfall_distribution::log::{ChangeLog, PutOutcome};
use reelfall_distribution::resource::{Change, Content, Selector};

#[test]
fn log_retains_the_latest_change_of_each_key() {
    let mut log = ChangeLog::new(CAPACITY);
    assert_eq!(log.put(put("x", 2)), PutOutcome::Stored);
    assert_eq!(log.put(put("x", 1)), PutOutcome::Outdated);
    assert_eq!(log.put(put("x", 2)), PutOutcome::Outdated);
    assert_eq!(log.put(put("x", 5)), PutOutcome::Stored);
    assert_eq!(log.put(put("y", 4)), PutOutcome::Stored);
    assert_eq!(log.len(), 2);
    assert_eq!(log.get_version(version(2)), None);
    let everything = Selector::Everything;
    assert_eq!(
        log.newest_uncovered(&everything, &Coverage::EMPTY),
        Some(version(5))
    );
    let mut coverage = Coverage::default();
    coverage.add(span(4, 9));
    assert_eq!(
        log.newest_uncovered(&everything, &coverage),
        Some(version(4))
    );
    assert_eq!(
        log.newest_uncovered(&Selector::service("a"), &coverage),
        Some(version(4))
    );
    assert_eq!(
        log.newest_uncovered(&Selector::service("b"), &coverage),
        None
    );
    coverage.add(span(3, 4));
    assert_eq!(log.newest_uncovered(&everything, &coverage), None);
}

#[test]
fn log_is_bounded_in_keys_bytes_and_tombstones() {
    let mut log = ChangeLog::new(CAPACITY);
    for sequence in 1..=10 {
        assert_eq!(
            log.put(put(&sequence.to_string(), sequence)),
            PutOutcome::Stored
        );
    }
    assert_eq!(log.put(put("more", 11)), PutOutcome::CapacityExceeded);
    assert_eq!(
        log.put(change("1", 12, Content::body(&[0; 10_000]))),
        PutOutcome::CapacityExceeded
    );
    assert_eq!(
        log.get(&put("1", 1).key).unwrap().version,
        version(1),
        "the earlier change is retained"
    );
    for sequence in 1..=4 {
        log.put(change(
            &sequence.to_string(),
            20 + sequence,
            Content::Removed,
        ));
    }
    assert_eq!(log.prune_tombstones().len(), 2);
    assert_eq!(log.pruned_through(), version(22));
    assert_eq!(log.len(), 8);
}

#[test]
fn history_returns_the_content_before_a_change() {
    let mut history = ChangeHistory::new(500);
    let first = put("x", 1);
    assert_eq!(history.content_before(&first), Some(Content::Removed));
    let second = Change {
        replaces: version(1),
        ..change("x", 2, Content::body(b"two"))
    };
    history.record_replaced(&first, &second);
    assert_eq!(
        history.content_before(&second),
        Some(Content::body(b"body"))
    );
    let skipped = Change {
        replaces: version(3),
        ..put("x", 4)
    };
    assert_eq!(
        history.content_before(&skipped),
        None,
        "the history lacks the change in between"
    );
    for sequence in 10..20 {
        let item = sequence.to_string();
        let previous = put(&item, sequence);
        let replacement = put(&item, 100 + sequence);
        history.record_replaced(&previous, &replacement);
    }
    assert_eq!(
        history.content_before(&second),
        None,
        "the oldest entry is evicted"
    );
}
