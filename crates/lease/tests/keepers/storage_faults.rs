//! Keepers whose folders are emptied, restored from a backup, or replaced by the folder of another process.

use crate::keeper_group::{DurableKeeper, KeeperGroup, UnreachableKeeper, SECOND};
use reelfall_lease::durable::DurableState;
use reelfall_lease::message::PeerMessage;
use reelfall_lease::recovery::{Status, StorageFault};

#[test]
fn emptied_keeper_votes_after_reading_the_promises_of_a_majority() {
    let mut group = KeeperGroup::new(3, 2);
    // Client 0 holds the lease with the grants of keepers 0 and 1.
    group.unreachable = vec![
        UnreachableKeeper {
            client: 0,
            keeper: 2,
        },
        UnreachableKeeper {
            client: 1,
            keeper: 0,
        },
    ];
    group.clients[0].acquire(group.now);
    group.run(SECOND / 10);
    assert_eq!(group.holder(), Some(0));
    let token = group.token(0);
    // Keeper 1 loses its folder, and reaches only keeper 2, which has no promise.
    group.restart(1, DurableState::default());
    group.keepers[0].is_running = false;
    group.clients[1].acquire(group.now);
    group.run(SECOND);
    assert_ne!(group.status(1), Status::Voting);
    assert!(group.clients[1].active(group.now).is_none());
    // Once it reaches keeper 0, keeper 1 votes again, and no token is issued twice.
    group.keepers[0].is_running = true;
    group.clients[0].release(group.now);
    group.run(6 * SECOND);
    assert_eq!(group.status(1), Status::Voting);
    assert_eq!(group.holder(), Some(1));
    assert!(group.token(1) > token);
}

#[test]
fn restored_folder_is_rejected_until_it_is_emptied() {
    let mut group = KeeperGroup::new(3, 1);
    let backup = group.keepers[1].disk.clone();
    group.clients[0].acquire(group.now);
    group.run(SECOND);
    group.restart(1, backup);
    group.run(SECOND);
    assert!(
        matches!(
            group.status(1),
            Status::Rejected(StorageFault::Outdated { .. })
        ),
        "{:?}",
        group.status(1)
    );
    group.restart(1, DurableState::default());
    group.run(SECOND);
    assert_eq!(group.status(1), Status::Voting);
    assert_eq!(group.keepers[1].disk.storage_id.unwrap().generation, 2);
}

#[test]
fn outdated_folder_is_rejected_though_peers_query_it_first() {
    let mut group = KeeperGroup::new(3, 1);
    // The backup was made before the keeper recorded its peers' positions. It lacks exactly as many records as the keeper
    // would write for them.
    let mut backup = group.keepers[1].disk.clone();
    let missing_records = backup.peer_positions.len() as u64;
    backup.peer_positions.clear();
    backup.record_count -= missing_records;
    group.keepers[1].is_running = false;
    group.restart(1, backup);
    // The keeper receives the queries of its peers before their replies.
    group.keepers[1].is_running = false;
    for peer in [0, 2] {
        let position = group.keepers[peer].disk.log_position();
        group.keepers[1].keeper.handle_peer_message(
            group.now,
            peer,
            PeerMessage::PositionQuery { position },
        );
    }
    group.keepers[1].is_running = true;
    group.run(2 * SECOND);
    assert!(
        matches!(
            group.status(1),
            Status::Rejected(StorageFault::Outdated { .. })
        ),
        "{:?}",
        group.status(1)
    );
}

#[test]
fn replaced_keeper_does_not_count_toward_a_majority() {
    let mut group = KeeperGroup::new(3, 1);
    // Another process with an empty folder replaces keeper 1; the replaced process continues, partitioned from its peers.
    let replaced = group.keepers[1].keeper.clone();
    let disk = group.keepers[1].disk.clone();
    group.restart(1, DurableState::default());
    group.run(SECOND);
    assert_eq!(group.status(1), Status::Voting);
    let replacement = std::mem::replace(
        &mut group.keepers[1],
        DurableKeeper {
            keeper: replaced,
            disk,
            is_running: true,
        },
    );
    // The client reaches keeper 0 and the replaced process.
    group.unreachable = vec![UnreachableKeeper {
        client: 0,
        keeper: 2,
    }];
    let now = group.now;
    group.clients[0].acquire(now);
    group.clients[0].tick(now, 0);
    group.settle();
    assert_eq!(
        group.holder(),
        None,
        "a replaced keeper's grant counted toward a majority"
    );
    // Its peers report the new folder to the replaced process, which then stops voting.
    group.run(SECOND);
    assert!(matches!(
        group.status(1),
        Status::Rejected(StorageFault::Replaced { .. })
    ));
    group.keepers[1] = replacement;
    group.run(10 * SECOND);
    assert_eq!(group.holder(), Some(0));
}
