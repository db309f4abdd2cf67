//! The durable state of a keeper.
//!
//! The state is the result of its log records. A keeper changes it by appending records only, and its messages are sent
//! once the preceding records are on disk, so that a state that is read back is never behind what was said.

use crate::message::{LogPosition, Promise, StorageId};
use crate::token::LeaseName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A log record: one change of the durable state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// The folder was created with this identity.
    Created(StorageId),
    /// The peers have recorded the folder, and it has caught up with them: it may vote.
    Admitted,
    /// The latest known log position of a peer.
    Peer(u8, LogPosition),
    /// A promise to a client.
    Promised(LeaseName, Promise),
    /// A lease was evicted; its ballot stays covered by the floor.
    Evicted(LeaseName),
    /// No ballot up to this one is valid, whatever the lease.
    Floor(u64),
}

/// The state that results from all records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// The identity of the folder; `None` for an empty one.
    pub storage: Option<StorageId>,
    /// Whether it may vote, once the peers agree.
    pub admitted: bool,
    /// Number of records so far.
    pub records: u64,
    /// The log positions of the peers, as far as they were recorded.
    pub peers: BTreeMap<u8, LogPosition>,
    /// The promises by lease.
    pub leases: BTreeMap<LeaseName, Promise>,
    /// See [`Record::Floor`].
    pub floor: u64,
}

impl DurableState {
    /// Applies a record.
    pub fn apply(&mut self, record: &Record) {
        self.records += 1;
        match record {
            Record::Created(storage) => self.storage = Some(*storage),
            Record::Admitted => self.admitted = true,
            Record::Peer(peer, position) => {
                self.peers.insert(*peer, *position);
            }
            Record::Promised(lease, promise) => {
                self.leases.insert(lease.clone(), promise.clone());
            }
            Record::Evicted(lease) => {
                if let Some(promise) = self.leases.remove(lease) {
                    self.floor = self.floor.max(promise.ballot);
                }
            }
            Record::Floor(floor) => self.floor = self.floor.max(*floor),
        }
    }

    /// The log position; `None` for an empty folder.
    pub fn position(&self) -> Option<LogPosition> {
        self.storage.map(|storage| LogPosition {
            storage,
            records: self.records,
        })
    }

    /// The highest ballot that must not be promised again for the lease.
    ///
    /// The floor counts for leases that are present, too: a peer may have evicted one whose ballot was higher than the one
    /// here, and its floor is all that is left of it.
    pub fn promised_ballot(&self, lease: &LeaseName) -> u64 {
        self.leases
            .get(lease)
            .map_or(0, |promise| promise.ballot)
            .max(self.floor)
    }
}
