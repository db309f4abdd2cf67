//! The messages between clients and keepers, and between keepers. Each may be lost, duplicated, delayed or reordered.

use crate::token::LeaseName;
use crate::Micros;
use serde::{Deserialize, Serialize};

/// Maximum length of an encoded message, in bytes. With its headers it fits into a datagram that no path fragments.
pub const MAX_MESSAGE_LEN: usize = 1024;
/// Maximum length of a client's name, in bytes.
pub const MAX_CLIENT_NAME_LEN: usize = 64;
/// Maximum number of keepers.
pub const MAX_KEEPERS: usize = 9;

/// The identity of one client process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClientId {
    /// The node's name.
    pub name: String,
    /// Random for each process, so that a restarted node is not mistaken for its previous incarnation.
    pub instance_id: u64,
}

/// The identity of a keeper's storage folder. A folder that replaces another one has the greater identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StorageId {
    /// Number of storage folders that the keeper of this name has had, including this one.
    pub generation: u32,
    /// Random, so that two folders created at the same time are distinct.
    pub nonce: u64,
}

/// The end of a keeper's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// The folder that holds the log.
    pub storage_id: StorageId,
    /// Number of records in the log.
    pub record_count: u64,
}

/// What a keeper reports about itself and its peers with each promise and grant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The log position of the keeper itself.
    pub own_position: LogPosition,
    /// The latest log position of each keeper, in the order of the settings; `None` if this keeper knows none.
    pub known_positions: Vec<Option<LogPosition>>,
}

/// A request from a client to a keeper.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Request {
    /// Requests a promise that the lease is granted to no lower ballot.
    Prepare {
        /// The lease to acquire.
        lease: LeaseName,
        /// Number of the client's round of requests; echoed in the response.
        round: u64,
        /// The ballot number; it becomes the fencing token.
        ballot: u64,
        /// Requested duration of the lease, in microseconds.
        duration: Micros,
        /// How long the client has been waiting for the lease, in microseconds.
        waited: Micros,
    },
    /// Requests a grant or a renewal of the lease, measured from the time at which the keeper handles the request.
    Grant {
        /// The lease to grant or renew.
        lease: LeaseName,
        /// Number of the client's round of requests; echoed in the response.
        round: u64,
        /// The ballot number that was promised.
        token: u64,
        /// Duration of the lease, in microseconds; at most the duration in the promise.
        duration: Micros,
        /// The latest log position of each keeper that any promise has reported; empty for a renewal.
        known_positions: Vec<Option<LogPosition>>,
    },
    /// Releases the lease, or abandons the attempt to acquire it with this ballot.
    Release {
        /// The lease to release.
        lease: LeaseName,
        /// The ballot number of the grant or the attempt.
        token: u64,
    },
}

impl Request {
    /// The lease that the request is about.
    pub fn lease(&self) -> &LeaseName {
        match self {
            Request::Prepare { lease, .. }
            | Request::Grant { lease, .. }
            | Request::Release { lease, .. } => lease,
        }
    }
}

/// Why a keeper rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RejectionReason {
    /// The same ballot or a higher one was promised already, or the requested grant was not promised.
    StaleBallot,
    /// Another client holds the lease.
    Held {
        /// Remaining time of that grant, in microseconds.
        remaining: Micros,
    },
    /// The lease is reserved for a client that has waited longer.
    NotFirstInQueue,
    /// The keeper does not vote at present; see [`crate::recovery`].
    NotVoting,
    /// The requested duration is zero or exceeds the keeper's maximum.
    InvalidDuration,
    /// The keeper has no capacity for another lease or another waiting client.
    AtCapacity,
}

/// A message from a keeper to a client.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Response {
    /// Acknowledges [`Request::Prepare`].
    Promised {
        /// The lease of the request.
        lease: LeaseName,
        /// The round of the request.
        round: u64,
        /// The keeper's vote.
        vote: Vote,
    },
    /// Acknowledges [`Request::Grant`].
    Granted {
        /// The lease of the request.
        lease: LeaseName,
        /// The round of the request.
        round: u64,
        /// The keeper's vote.
        vote: Vote,
    },
    /// Rejects [`Request::Prepare`] or [`Request::Grant`].
    Rejected {
        /// The lease of the request.
        lease: LeaseName,
        /// The round of the request.
        round: u64,
        /// Why it is rejected; the client's next attempt depends on it.
        reason: RejectionReason,
        /// The highest ballot that was promised; the client's next ballot has to be higher.
        promised: u64,
    },
    /// Sent without a request: the lease is available, and this client is first in the queue.
    Available {
        /// The lease that is reserved for the client.
        lease: LeaseName,
    },
}

impl Response {
    /// The lease that the response is about.
    pub fn lease(&self) -> &LeaseName {
        match self {
            Response::Promised { lease, .. }
            | Response::Granted { lease, .. }
            | Response::Rejected { lease, .. }
            | Response::Available { lease } => lease,
        }
    }
}

/// The latest promise of a keeper for one lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Promise {
    /// The highest ballot that was promised.
    pub ballot: u64,
    /// The client that it was made to; `None` if a peer made it, or this keeper with a previous folder.
    pub client: Option<ClientId>,
    /// Duration of the lease that the client requested, in microseconds.
    pub duration: Micros,
}

/// A message between keepers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Announces the sender's log position, and queries the position that the receiver knows of it.
    PositionQuery {
        /// The sender's position; `None` if its folder is empty.
        position: Option<LogPosition>,
    },
    /// Answers [`PeerMessage::PositionQuery`]. If the receiver has a new folder, its identity is on the sender's disk
    /// before this is sent.
    PositionReply {
        /// The latest position of the receiver that the sender knows.
        recorded: Option<LogPosition>,
        /// Whether the sender votes.
        is_voting: bool,
    },
    /// Requests a page of the promises for leases whose names sort after the given one.
    PromiseQuery {
        /// The last name of the previous page; `None` for the first page.
        after: Option<LeaseName>,
    },
    /// Answers [`PeerMessage::PromiseQuery`].
    PromisePage {
        /// Copied from the query.
        after: Option<LeaseName>,
        /// The leases and their promises, sorted by name.
        promises: Vec<(LeaseName, Promise)>,
        /// Ballots up to and including this one are not promised for any lease.
        ballot_floor: u64,
        /// Whether this is the last page.
        is_last: bool,
        /// Whether the sender votes.
        is_voting: bool,
    },
}

/// Any message of the lease protocol.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Client to keeper.
    Request(Request),
    /// Keeper to client.
    Response(Response),
    /// Keeper to keeper.
    Peer(PeerMessage),
}

impl Message {
    /// Encodes the message; `None` if it exceeds [`MAX_MESSAGE_LEN`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self)
            .ok()
            .filter(|bytes| bytes.len() <= MAX_MESSAGE_LEN)
    }

    /// Decodes a message; `None` if it is malformed or exceeds the limits on lists and names.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MAX_MESSAGE_LEN {
            return None;
        }
        let (message, rest): (Message, &[u8]) = postcard::take_from_bytes(bytes).ok()?;
        (message.is_within_bounds() && rest.is_empty()).then_some(message)
    }

    fn is_within_bounds(&self) -> bool {
        let is_within_limit = |positions: &[Option<LogPosition>]| positions.len() <= MAX_KEEPERS;
        match self {
            Message::Request(Request::Grant {
                known_positions, ..
            }) => is_within_limit(known_positions),
            Message::Response(Response::Promised { vote, .. } | Response::Granted { vote, .. }) => {
                is_within_limit(&vote.known_positions)
            }
            Message::Peer(PeerMessage::PromisePage { promises, .. }) => {
                promises.iter().all(|(_, promise)| {
                    promise
                        .client
                        .as_ref()
                        .is_none_or(|client| client.name.len() <= MAX_CLIENT_NAME_LEN)
                })
            }
            _ => true,
        }
    }
}
