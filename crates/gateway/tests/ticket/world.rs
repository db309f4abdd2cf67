//! The state of the model that the checker explores, and the steps that change it.

use crate::message::{Message, ReportedStatus};
use reelfall_gateway::forwarded::ForwardedRequest;
use reelfall_gateway::store::TicketStore;
use std::collections::BTreeMap;

/// The result that the client received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The peer's response.
    Answered,
    /// A rejection: the request was never executed, so a retry is safe.
    Rejected,
    /// The origin's response: the request was never executed at the peer.
    ExecutedAtOrigin,
    /// An error: it is unknown whether the request was executed.
    MayHaveRun,
}

/// A request at the origin, with its executions and its outcomes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    pub forwarded: ForwardedRequest,
    pub outcomes: Vec<Outcome>,
    pub executions_at_peer: u8,
    pub executions_at_origin: u8,
}

/// Maximum number of each kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FaultLimits {
    /// Number of duplicated messages.
    pub duplicates: u8,
    /// Number of restarts of the peer.
    pub restarts: u8,
    /// How often the records of ended requests expire.
    pub expiries: u8,
}

/// The origin's requests, the network and the peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub requests: Vec<Request>,
    /// The records of the peer.
    pub store: TicketStore<()>,
    /// The incarnation of the peer.
    pub incarnation: u64,
    /// The number of copies in flight of each message.
    pub network: BTreeMap<Message, u8>,
    /// The requests that the peer is executing.
    pub executing: Vec<u64>,
    /// The remaining number of faults.
    pub remaining_faults: FaultLimits,
    /// The remaining number of repeated status queries.
    pub remaining_queries: u8,
}

/// A step from one state to the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    Deliver(Message),
    Lose(Message),
    Duplicate(Message),
    /// The link to the peer fails while the origin waits for the response.
    FailLink(u64),
    /// The origin repeats its status query.
    RepeatQuery(u64),
    /// The deadline of a request passes.
    PassDeadline(u64),
    /// An execution at the peer ends, with or without a response.
    Complete {
        number: u64,
        is_answered: bool,
    },
    /// The peer rejects an admitted request before it is executed.
    Reject(u64),
    /// The peer restarts.
    Restart,
    /// The records of ended requests expire.
    Expire,
}

impl World {
    /// The request with this number.
    pub fn request_mut(&mut self, number: u64) -> &mut Request {
        &mut self.requests[number as usize]
    }

    /// Puts a message on the network.
    pub fn send(&mut self, message: Message) {
        *self.network.entry(message).or_default() += 1;
    }

    /// Sends the status of a ticket from the peer.
    pub fn send_status(&mut self, number: u64, status: ReportedStatus) {
        self.send(Message::Status {
            number,
            reported_by: self.incarnation,
            status,
        });
    }

    /// Takes one copy of a message off the network.
    pub fn remove_message(&mut self, message: &Message) {
        match self.network.get_mut(message) {
            Some(1) => drop(self.network.remove(message)),
            Some(copies) => *copies -= 1,
            None => {}
        }
    }

    /// Removes a request from those that the peer is executing.
    pub fn stop_executing(&mut self, number: u64) {
        self.executing.retain(|executing| *executing != number);
    }
}
