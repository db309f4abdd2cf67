//! The durable state of a keeper, and the log records that change it.
//!
//! A keeper changes its state only by appending records, and its messages are sent once the preceding records are on
//! disk. So the state that is read after a restart is never older than what the keeper has told others.

use crate::message::{LogPosition, Promise, StorageId};
use crate::token::LeaseName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A log record: one change of the durable state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// The storage folder was initialized with this identity.
    Created(StorageId),
    /// The peers have recorded the folder, and the keeper has read their promises: it may vote.
    Admitted,
    /// The latest known log position of a peer, which is given by its index in the settings.
    PeerPosition(u8, LogPosition),
    /// A promise for a lease, made to a client or adopted from a peer.
    Promised(LeaseName, Promise),
    /// A lease was evicted; the ballot floor covers its ballot from then on.
    Evicted(LeaseName),
    /// Ballots up to and including this one are not promised for any lease.
    BallotFloor(u64),
}

/// The state that results from all records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// The identity of the storage folder; `None` if the folder is empty.
    pub storage_id: Option<StorageId>,
    /// Whether the keeper may vote as soon as the peers agree that the folder is current.
    pub admitted: bool,
    /// Number of records that led to this state.
    pub record_count: u64,
    /// The recorded log positions of the peers, by their index in the settings.
    pub peer_positions: BTreeMap<u8, LogPosition>,
    /// The latest promise for each lease.
    pub promises: BTreeMap<LeaseName, Promise>,
    /// See [`Record::BallotFloor`].
    pub ballot_floor: u64,
}

impl DurableState {
    /// Applies a record, which has to be the next one in the log.
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

    /// The position of the end of the log; `None` if the folder is empty.
    pub fn log_position(&self) -> Option<LogPosition> {
        self.storage_id.map(|storage_id| LogPosition {
            storage_id,
            record_count: self.record_count,
        })
    }

    /// The highest ballot that must not be promised again for the lease.
    ///
    /// The floor applies to leases that are present, too: a peer may have evicted the lease with a higher ballot than the
    /// one recorded here, and only the floor adopted from that peer still covers it.
    pub fn promised_ballot(&self, lease: &LeaseName) -> u64 {
        self.promises
            .get(lease)
            .map_or(0, |promise| promise.ballot)
            .max(self.ballot_floor)
    }
}
