//! The state that the model checker explores, and the steps that change it.

use crate::message::{Message, ReportedStatus};
use reelfall_gateway::forwarded::ForwardedRequest;
use reelfall_gateway::store::TicketStore;
use std::collections::BTreeMap;

/// What the client received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The peer's answer.
    Answered,
    /// A rejection: the request was never executed, and a retry is harmless.
    Rejected,
    /// The origin's answer: the request was never executed at the peer.
    ExecutedAtOrigin,
    /// An error: nobody knows whether the request was executed.
    MayHaveRun,
}

/// A request at the origin, and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    pub forwarded: ForwardedRequest,
    pub outcomes: Vec<Outcome>,
    pub executions_at_peer: u8,
    pub executions_at_origin: u8,
}

/// How often each fault may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FaultLimits {
    /// Messages that are duplicated.
    pub duplicates: u8,
    /// Restarts of the peer.
    pub restarts: u8,
    /// Times at which the records of ended requests expire.
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
    /// The requests that the peer executes.
    pub executing: Vec<u64>,
    /// The faults that may still happen.
    pub remaining_faults: FaultLimits,
    /// The status queries that the origin may still repeat.
    pub remaining_queries: u8,
}

/// A step from one state to the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    Deliver(Message),
    Lose(Message),
    Duplicate(Message),
    /// The link to the peer fails while the origin waits for the answer.
    FailLink(u64),
    /// The origin repeats its status query.
    RepeatQuery(u64),
    /// The deadline of a request passes.
    PassDeadline(u64),
    /// An execution at the peer ends, with an answer or without.
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
    /// The request of this number.
    pub fn request_mut(&mut self, number: u64) -> &mut Request {
        &mut self.requests[number as usize]
    }

    /// Puts a message on the network.
    pub fn send(&mut self, message: Message) {
        *self.network.entry(message).or_default() += 1;
    }

    /// The peer reports the status of a ticket.
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

    /// The peer stops to execute a request.
    pub fn stop_executing(&mut self, number: u64) {
        self.executing.retain(|executing| *executing != number);
    }
}
