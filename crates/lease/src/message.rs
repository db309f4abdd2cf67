//! The messages between clients and keepers. Each message may be lost, duplicated, delayed or reordered.

use crate::token::LeaseName;
use crate::Micros;
use serde::{Deserialize, Serialize};

/// Maximum length of a message, in bytes: with the headers around it, a datagram that no path has to fragment.
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
    /// Counts the folders that this keeper name has had.
    pub generation: u32,
    /// Random, so that two folders created at the same time are distinct.
    pub nonce: u64,
}

/// How far a keeper's log has advanced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// The folder that holds the log.
    pub storage_id: StorageId,
    /// Number of records written to it.
    pub record_count: u64,
}

/// What a keeper reports about itself and its peers with each vote.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// Its own log position.
    pub own_position: LogPosition,
    /// The log positions of all keepers, in the order of the settings, as far as it knows them.
    pub known_positions: Vec<Option<LogPosition>>,
}

/// A request from a client to a keeper.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Request {
    /// Requests a promise that no lower ballot is granted the lease.
    Prepare {
        /// The lease.
        lease: LeaseName,
        /// Echoed in the response.
        round: u64,
        /// The ballot number; it becomes the token.
        ballot: u64,
        /// Requested duration of the lease, in microseconds.
        duration: Micros,
        /// How long the client has been waiting for the lease, in microseconds.
        waited: Micros,
    },
    /// Requests that the lease is granted or renewed from now on.
    Grant {
        /// The lease.
        lease: LeaseName,
        /// Echoed in the response.
        round: u64,
        /// The ballot number that was promised.
        token: u64,
        /// Duration, in microseconds.
        duration: Micros,
        /// The log positions that the promising keepers reported.
        known_positions: Vec<Option<LogPosition>>,
    },
    /// Releases the lease, or abandons the attempt to get it with this ballot.
    Release {
        /// The lease.
        lease: LeaseName,
        /// The ballot number.
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
    /// The same ballot or a higher one was promised already.
    StaleBallot,
    /// Another client holds the lease.
    Held {
        /// Remaining time of that grant, in microseconds.
        remaining: Micros,
    },
    /// Other clients have waited longer.
    NotFirstInQueue,
    /// This keeper does not vote.
    NotVoting,
    /// The requested duration is not allowed.
    InvalidDuration,
    /// The keeper has no capacity for another lease or another waiting client.
    AtCapacity,
}

/// A message from a keeper to a client.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Response {
    /// Acknowledges [`Request::Prepare`].
    Promised {
        /// The lease.
        lease: LeaseName,
        /// The round of the request.
        round: u64,
        /// The keeper's vote.
        vote: Vote,
    },
    /// Acknowledges [`Request::Grant`].
    Granted {
        /// The lease.
        lease: LeaseName,
        /// The round of the request.
        round: u64,
        /// The keeper's vote.
        vote: Vote,
    },
    /// Rejects a request.
    Rejected {
        /// The lease.
        lease: LeaseName,
        /// The round of the request.
        round: u64,
        /// The reason.
        reason: RejectionReason,
        /// The highest ballot that was promised, so that the client's next one is higher.
        promised: u64,
    },
    /// Unsolicited: the lease is available, and this client is first in the queue.
    Available {
        /// The lease.
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

/// What a keeper has promised for one lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Promise {
    /// The highest ballot that was promised.
    pub ballot: u64,
    /// The client; `None` if a peer made the promise, or a previous folder of this keeper.
    pub client: Option<ClientId>,
    /// Requested duration of the lease, in microseconds.
    pub duration: Micros,
}

/// A message between keepers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Announces the sender's log position and queries what the receiver has recorded of it.
    PositionQuery {
        /// The sender's position; `None` if its folder is empty.
        position: Option<LogPosition>,
    },
    /// Answers [`PeerMessage::PositionQuery`] with what is durable at the sender.
    PositionReply {
        /// The latest position of the receiver that the sender knows.
        recorded: Option<LogPosition>,
        /// Whether the sender votes.
        is_voting: bool,
    },
    /// Requests a page of the promises to leases whose names come after this one.
    PromiseQuery {
        /// The last name of the previous page; `None` for the first page.
        after: Option<LeaseName>,
    },
    /// Answers [`PeerMessage::PromiseQuery`].
    PromisePage {
        /// Copied from the query.
        after: Option<LeaseName>,
        /// Promises in the order of the names of their leases.
        promises: Vec<(LeaseName, Promise)>,
        /// No ballot up to this one is valid, whatever the lease.
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
        let few = |positions: &[Option<LogPosition>]| positions.len() <= MAX_KEEPERS;
        match self {
            Message::Request(Request::Grant {
                known_positions, ..
            }) => few(known_positions),
            Message::Response(Response::Promised { vote, .. } | Response::Granted { vote, .. }) => {
                few(&vote.known_positions)
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
