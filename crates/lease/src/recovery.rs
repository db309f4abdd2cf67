//! Recovery of a keeper: checks with its peers that its storage folder is current, before the keeper votes.
//!
//! A folder that was emptied, or restored from a backup, has lost promises: if its keeper voted, a token could be issued
//! twice. So each folder has an identity, and each peer remembers the latest identity of a keeper's folders and the
//! number of records that it knows of.
//!
//! | the folder | the keeper votes |
//! | --- | --- |
//! | is empty | once it has an identity greater than any before it, the peers have recorded that identity, and it has read the promises of as many voting peers as are a majority of all keepers, or of all peers |
//! | has an identity that the peers know, and no peer knows of more records than it has | once the keeper and the peers that agree are a majority |
//! | has fewer records than a peer knows of: it was restored from a backup | never; an operator has to empty the folder |
//! | has a smaller identity than a peer knows: another folder has replaced it | never |
//!
//! This is safe as long as at most a minority of the folders is lost or restored since they last voted together. If all
//! folders are lost, so are the tokens: see the operators' page.

use crate::durable::{DurableState, Record};
use crate::majority;
use crate::message::{LogPosition, PeerMessage, StorageId};
use crate::token::LeaseName;
use crate::Micros;
use thiserror::Error;

/// Interval of queries to the peers, in microseconds, while the keeper does not vote.
pub const RECOVERY_QUERY_INTERVAL: Micros = 200_000;
/// Interval of queries to the peers, in microseconds, while it votes.
pub const VOTING_QUERY_INTERVAL: Micros = 1_000_000;

/// Why a folder is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum StorageFault {
    /// Another folder has replaced it.
    #[error(
        "another folder has taken this keeper's place (generation {generation}); this one must not vote"
    )]
    Replaced {
        /// The generation of the other folder.
        generation: u32,
    },
    /// It has lost records, for example because it was restored from a backup.
    #[error(
        "the folder has {own_records} records, a fellow knows of {known_records}: it is an old copy; empty it to begin anew"
    )]
    Outdated {
        /// Number of records that this folder has.
        own_records: u64,
        /// Number of records that a peer knows of.
        known_records: u64,
    },
}

/// The phase of a keeper's recovery; the keeper votes only in [`Status::Voting`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Status {
    /// The folder is empty: the keeper queries its peers for the generation of its previous folder.
    Empty,
    /// The folder is new: the keeper reads the promises of its peers.
    CatchingUp,
    /// The folder has been in use before: the keeper verifies with its peers that it is the latest.
    Verifying,
    /// The folder is current: the keeper votes.
    Voting,
    /// The folder is not current: the keeper must not vote.
    Rejected(StorageFault),
}

/// What this keeper has learned of a peer since its own start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Peer {
    /// Whether it has answered a query.
    answered: bool,
    /// Whether it votes, by its last answer.
    is_voting: bool,
    /// Whether it has recorded this keeper's present folder as the latest.
    agrees: bool,
    /// The last lease whose promise was read from this peer.
    read_up_to: Option<LeaseName>,
    /// Whether it voted when its last page of promises was read; `None` until all its pages are read.
    voted_when_read: Option<bool>,
}

/// A query, and the peer that it goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerQuery {
    /// Index of the peer in the settings.
    pub peer: usize,
    /// A [`PeerMessage::PositionQuery`] or [`PeerMessage::PromiseQuery`].
    pub message: PeerMessage,
}

/// The recovery of one keeper, as a state machine; see the module.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recovery {
    own_index: usize,
    status: Status,
    peers: Vec<Peer>,
    /// The latest generation of this keeper's folders that any peer knows.
    generation: u32,
    /// Random number for the identity of a new folder.
    nonce: u64,
    next_query: Micros,
}

impl Recovery {
    /// Starts the recovery of a keeper from its durable state. `nonce` becomes part of the identity of a new folder.
    pub fn new(
        own_index: usize,
        keepers: usize,
        state: &DurableState,
        nonce: u64,
        now: Micros,
    ) -> Recovery {
        let status = match (state.storage_id, state.admitted) {
            (None, _) => Status::Empty,
            (Some(_), false) => Status::CatchingUp,
            (Some(_), true) => Status::Verifying,
        };
        Recovery {
            own_index,
            status,
            peers: vec![Peer::default(); keepers],
            generation: 0,
            nonce,
            next_query: now,
        }
    }

    /// The current phase of the recovery.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Whether the keeper votes.
    pub fn is_voting(&self) -> bool {
        self.status == Status::Voting
    }

    /// When [`Recovery::tick`] has queries to send next.
    pub fn deadline(&self) -> Micros {
        self.next_query
    }

    fn others(&self) -> impl Iterator<Item = &Peer> {
        let own_index = self.own_index;
        self.peers
            .iter()
            .enumerate()
            .filter(move |(index, _)| *index != own_index)
            .map(|(_, peer)| peer)
    }

    /// Returns the queries that are due at this time.
    pub fn tick(&mut self, now: Micros, state: &DurableState) -> Vec<PeerQuery> {
        if now < self.next_query {
            return Vec::new();
        }
        let interval = if self.is_voting() {
            VOTING_QUERY_INTERVAL
        } else {
            RECOVERY_QUERY_INTERVAL
        };
        self.next_query = now + interval;
        let mut queries = Vec::new();
        for (index, peer) in self.peers.iter().enumerate() {
            if index == self.own_index {
                continue;
            }
            queries.push(PeerQuery {
                peer: index,
                message: PeerMessage::PositionQuery {
                    position: state.log_position(),
                },
            });
            if self.status == Status::CatchingUp && peer.agrees && peer.voted_when_read.is_none() {
                queries.push(PeerQuery {
                    peer: index,
                    message: PeerMessage::PromiseQuery {
                        after: peer.read_up_to.clone(),
                    },
                });
            }
        }
        queries
    }

    /// Handles a peer's reply: the position that it knows of this keeper, and whether the peer votes.
    pub fn handle_position_reply(
        &mut self,
        now: Micros,
        from: usize,
        state: &DurableState,
        recorded: Option<LogPosition>,
        is_voting: bool,
    ) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        peer.answered = true;
        peer.is_voting = is_voting;
        self.generation = self
            .generation
            .max(recorded.map_or(0, |recorded| recorded.storage_id.generation));
        if let (Some(own), Some(known)) = (state.log_position(), recorded) {
            if known.storage_id > own.storage_id {
                self.status = Status::Rejected(StorageFault::Replaced {
                    generation: known.storage_id.generation,
                });
            } else if known.storage_id == own.storage_id && known.record_count > own.record_count {
                self.status = Status::Rejected(StorageFault::Outdated {
                    own_records: own.record_count,
                    known_records: known.record_count,
                });
            } else if known.storage_id == own.storage_id && !peer.agrees {
                peer.agrees = true;
                // The peer's promises can be queried at once.
                self.next_query = now;
            }
        }
    }

    /// Notes that a page of a peer's promises was read, up to the given lease.
    pub fn handle_promise_page(
        &mut self,
        now: Micros,
        from: usize,
        up_to: Option<LeaseName>,
        is_last: bool,
        is_voting: bool,
    ) {
        let Some(peer) = self
            .peers
            .get_mut(from)
            .filter(|peer| peer.agrees && peer.voted_when_read.is_none())
        else {
            return;
        };
        if is_last {
            peer.voted_when_read = Some(is_voting);
        } else if up_to > peer.read_up_to {
            peer.read_up_to = up_to;
        }
        self.next_query = now;
    }

    /// Moves to the next phase if its condition holds; returns the record that this requires, if any.
    pub fn advance(&mut self, now: Micros, state: &DurableState) -> Option<Record> {
        let (keepers, all_peers) = (self.peers.len(), self.peers.len() - 1);
        // Either way, at least one of any majority that voted with this keeper's previous folder is included, unless the
        // folders of all others are lost as well.
        let enough = |voting: usize, all: usize| voting >= majority(keepers) || all == all_peers;
        match self.status {
            Status::Empty => {
                let answered: Vec<&Peer> = self.others().filter(|p| p.answered).collect();
                if !enough(
                    answered.iter().filter(|p| p.is_voting).count(),
                    answered.len(),
                ) {
                    return None;
                }
                self.status = Status::CatchingUp;
                self.next_query = now;
                Some(Record::Created(StorageId {
                    generation: self.generation + 1,
                    nonce: self.nonce,
                }))
            }
            Status::CatchingUp => {
                let read: Vec<bool> = self.others().filter_map(|p| p.voted_when_read).collect();
                if !enough(read.iter().filter(|voting| **voting).count(), read.len()) {
                    return None;
                }
                self.status = Status::Voting;
                Some(Record::Admitted)
            }
            Status::Verifying => {
                if self.others().filter(|p| p.agrees).count() + 1 >= majority(keepers)
                    && state.admitted
                {
                    self.status = Status::Voting;
                }
                None
            }
            Status::Voting | Status::Rejected(_) => None,
        }
    }
}
