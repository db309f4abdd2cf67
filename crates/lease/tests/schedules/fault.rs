//! The faults that a schedule can inject.

use crate::SECOND;
use proptest::prelude::*;
use reelfall_lease::Micros;

#[derive(Clone, Debug)]
pub enum Fault {
    /// A keeper crashes during a write. The records are lost, or are on disk, but the messages that depend on them are
    /// not sent.
    CrashKeeper {
        keeper: usize,
        is_persisted: bool,
    },
    /// A keeper starts with its folder, unless it is running.
    StartKeeper {
        keeper: usize,
    },
    /// A keeper's folder is emptied, and the keeper restarts.
    EmptyFolder {
        keeper: usize,
    },
    /// A keeper's folder is restored from the last backup, and the keeper restarts.
    RestoreFolder {
        keeper: usize,
    },
    /// All folders are backed up.
    Backup,
    PauseKeeper {
        keeper: usize,
        duration: Micros,
    },
    PauseClient {
        client: usize,
        duration: Micros,
    },
    RestartClient {
        client: usize,
    },
    PartitionClient {
        client: usize,
        keeper: usize,
        duration: Micros,
    },
    PartitionKeepers {
        one: usize,
        other: usize,
        duration: Micros,
    },
}

pub fn fault_strategy(keepers: usize, clients: usize) -> impl Strategy<Value = Fault> {
    let keeper = 0..keepers;
    let client = 0..clients;
    let duration = 50_000..6 * SECOND;
    prop_oneof![
        3 => (keeper.clone(), any::<bool>())
            .prop_map(|(keeper, is_persisted)| Fault::CrashKeeper { keeper, is_persisted }),
        4 => keeper.clone().prop_map(|keeper| Fault::StartKeeper { keeper }),
        1 => keeper.clone().prop_map(|keeper| Fault::EmptyFolder { keeper }),
        1 => keeper.clone().prop_map(|keeper| Fault::RestoreFolder { keeper }),
        1 => Just(Fault::Backup),
        2 => (keeper.clone(), duration.clone())
            .prop_map(|(keeper, duration)| Fault::PauseKeeper { keeper, duration }),
        3 => (client.clone(), duration.clone())
            .prop_map(|(client, duration)| Fault::PauseClient { client, duration }),
        1 => client.clone().prop_map(|client| Fault::RestartClient { client }),
        3 => (client, keeper.clone(), duration.clone()).prop_map(|(client, keeper, duration)| {
            Fault::PartitionClient { client, keeper, duration }
        }),
        1 => (keeper.clone(), keeper, duration).prop_map(|(one, other, duration)| {
            Fault::PartitionKeepers { one, other, duration }
        }),
    ]
}
