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
    PeerPosition(u8, LogPosition),
    /// A promise to a client.
    Promised(LeaseName, Promise),
    /// A lease was evicted; its ballot stays covered by the floor.
    Evicted(LeaseName),
    /// No ballot up to this one is valid, whatever the lease.
    BallotFloor(u64),
}

/// The state that results from all records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// The identity of the folder; `None` for an empty one.
    pub storage_id: Option<StorageId>,
    /// Whether it may vote, once the peers agree.
    pub admitted: bool,
    /// Number of records so far.
    pub record_count: u64,
    /// The log positions of the peers, as far as they were recorded.
    pub peer_positions: BTreeMap<u8, LogPosition>,
    /// The promises by lease.
    pub promises: BTreeMap<LeaseName, Promise>,
    /// See [`Record::BallotFloor`].
    pub ballot_floor: u64,
}

impl DurableState {
    /// Applies a record.
    pub fn apply(&mut self, record: &Record) {
        self.record_count += 1;
        match record {
            Record::Created(storage_id) => self.storage_id = Some(*storage_id),
            Record::Admitted => self.admitted = true,
            Record::PeerPosition(peer, position) => {
                self.peer_positions.insert(*peer, *position);
            }
            Record::Promised(lease, promise) => {
                self.promises.insert(lease.clone(), promise.clone());
            }
            Record::Evicted(lease) => {
                if let Some(promise) = self.promises.remove(lease) {
                    self.ballot_floor = self.ballot_floor.max(promise.ballot);
                }
            }
            Record::BallotFloor(floor) => self.ballot_floor = self.ballot_floor.max(*floor),
        }
    }

    /// The log position; `None` for an empty folder.
    pub fn log_position(&self) -> Option<LogPosition> {
        self.storage_id.map(|storage_id| LogPosition {
            storage_id,
            record_count: self.record_count,
        })
    }

    /// The highest ballot that must not be promised again for the lease.
    ///
    /// The floor counts for leases that are present, too: a peer may have evicted one whose ballot was higher than the one
    /// here, and its floor is all that is left of it.
    pub fn promised_ballot(&self, lease: &LeaseName) -> u64 {
        self.promises
            .get(lease)
            .map_or(0, |promise| promise.ballot)
            .max(self.ballot_floor)
    }
}
