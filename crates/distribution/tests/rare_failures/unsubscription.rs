//! Crashes of a node while it ends a subscription.

use crate::fixture::{publish, small_world, LEASE_DURATION, NODES};
use crate::world::put;
use reelfall_distribution::log::Capacity;
use reelfall_distribution::output::{Output, Record};
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{Key, Selector, Slot};
use reelfall_distribution::restore::RestoredState;

/// After a crash between any two records of an unsubscription, each applied change on disk has its version in the log,
/// so that no lagging upstream can replace it by an earlier one.
#[test]
fn applied_changes_keep_their_versions_after_a_crash_during_unsubscription() {
    let mut world = small_world(1, LEASE_DURATION);
    world.run(40.0);
    publish(
        &mut world,
        1,
        1,
        (0..4)
            .map(|index| put(&format!("r{index}"), b"one"))
            .collect(),
    );
    world.run(20.0);
    let id = NODES.start;
    let stored = world.processes[&PeerId(id)].disk.clone();
    let outputs = world.with_node(id, |node, _, outputs| {
        node.unsubscribe(&Selector::service("a"), outputs);
        outputs.clone()
    });
    let records: Vec<Record> = outputs
        .unwrap()
        .into_iter()
        .filter_map(|output| match output {
            Output::Persist(record) => Some(record),
            _ => None,
        })
        .collect();
    assert!(
        records.len() > 8,
        "records of applied changes and of versions are expected: {records:?}"
    );
    for persisted in 0..=records.len() {
        let disk = stored.iter().chain(&records[..persisted]).cloned();
        let restored = RestoredState::from_records(
            Capacity {
                max_keys: 100,
                max_bytes: 1 << 20,
                max_tombstones: 10,
            },
            disk,
        );
        for (name, change) in &restored.applied {
            let logged = restored.log.get(&Key {
                name: name.clone(),
                slot: Slot::Stable,
            });
            let version = logged.map(|logged| logged.version);
            assert!(
                version >= Some(change.version),
                "after {persisted} records {name:?} has {version:?}"
            );
        }
    }
}
