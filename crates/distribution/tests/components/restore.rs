//! The state of a process after a restart.

use crate::changes::{change, put, version, CAPACITY};
use reelfall_distribution::coverage::Coverage;
use reelfall_distribution::output::Record;
use reelfall_distribution::resource::{Content, Name, Selector};
use reelfall_distribution::restore::RestoredState;

#[test]
fn state_is_restored_from_its_records() {
    let selector = Selector::service("a");
    let covered = |through| Record::Covered {
        selector: selector.clone(),
        coverage: Coverage::up_to(version(through)),
        removals_known: version(through),
    };
    let records = [
        Record::Put(put("x", 1)),
        Record::Applied(put("x", 1)),
        covered(1),
        Record::Put(put("y", 2)),
        Record::Put(put("x", 3)),
        Record::Put(change("long", 4, Content::body(&[0; 300_000]))),
        Record::Forget(put("y", 2).key),
        Record::PrunedThrough(version(2)),
        Record::Confirmed(Name::service("a", "x"), version(3)),
    ];
    let restored = RestoredState::from_records(CAPACITY, records.clone());
    assert_eq!(restored.log.len(), 1);
    assert_eq!(restored.log.last_version(), version(3));
    assert_eq!(restored.log.pruned_through(), version(2));
    assert_eq!(
        restored.applied[&Name::service("a", "x")].version,
        version(3)
    );
    assert_eq!(
        restored.coverage[&selector].coverage,
        Coverage::up_to(version(1))
    );
    let removal = change("x", 1, Content::Removed);
    let unsubscription = [
        Record::Unsubscribed(selector),
        Record::Forget(removal.key.clone()),
        Record::Applied(removal),
    ];
    let restored = RestoredState::from_records(CAPACITY, records.into_iter().chain(unsubscription));
    assert!(restored.log.is_empty() && restored.applied.is_empty() && restored.coverage.is_empty());
}
