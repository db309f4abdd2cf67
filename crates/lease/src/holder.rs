//! One node's part in one lease: requesting, holding, renewing, releasing. In terms of Paxos, a proposer.
//!
//! | state | ends |
//! | --- | --- |
//! | idle | when the lease is wanted |
//! | backing off | at its end, or when a keeper announces that the lease is available |
//! | preparing | by a majority of promises; by too many rejections; after [`Config::response_timeout`] |
//! | proposing | by a majority of grants; by too many rejections; after [`Config::response_timeout`] |
//! | active | when it is released, or on expiry if a majority has not renewed it |
//!
//! Requests that the node serves never wait for any of this: a node that does not hold a lease does what its task does
//! without one.
//!
//! The node calls [`Lease::tick`] and [`Lease::handle_response`], and sends what [`Lease::take_requests`] returns.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `config` | how a lease is requested and renewed |
//! | `requests` | rounds of requests to the keepers, and the backoff between attempts |
//! | `responses` | handling the keepers' responses |
//! | `votes` | counting the keepers' votes on one request |

mod config;
mod requests;
mod responses;
mod votes;

pub use config::Config;

use crate::message::Request;
use crate::token::{LeaseName, Operation, Token};
use crate::Micros;
use votes::Votes;

/// A change of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEvent {
    /// This node holds it.
    Acquired(Token),
    /// It was released.
    Released(Token),
    /// It has expired without renewal by a majority.
    Lost(Token),
}

/// The states of the table above.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Idle,
    BackingOff {
        until: Micros,
    },
    Preparing {
        ballot: u64,
        started: Micros,
        votes: Votes,
    },
    Proposing {
        token: u64,
        started: Micros,
        votes: Votes,
    },
    Active {
        token: u64,
        until: Micros,
        renewal: Option<Renewal>,
        next_renewal: Micros,
    },
}

/// A renewal in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Renewal {
    started: Micros,
    votes: Votes,
}

/// One node's part in one lease: a state machine without I/O.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    name: LeaseName,
    config: Config,
    is_wanted: bool,
    /// When the wait for it started.
    waiting_since: Micros,
    /// The highest ballot known.
    highest_ballot: u64,
    /// Counts requests, so that responses to earlier ones are recognized.
    round: u64,
    /// Consecutive failed attempts.
    failed_attempts: u32,
    /// Whether a keeper announced that the lease is available while a request was in progress.
    was_announced: bool,
    /// The earliest expiry of another client's grant that keepers have reported.
    granted_elsewhere_until: Option<Micros>,
    state: State,
    requests: Vec<KeeperRequest>,
    events: Vec<LeaseEvent>,
}

/// A request, and the keeper that it goes to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeeperRequest {
    /// The keeper, by its place in the settings.
    pub keeper: usize,
    /// The request.
    pub request: Request,
}

/// A lease that this node holds at this moment.
#[derive(Clone, Copy, Debug)]
pub struct ActiveLease<'a> {
    name: &'a LeaseName,
    token: u64,
    remaining: Micros,
}

impl ActiveLease<'_> {
    /// An operation that is performed under the lease.
    pub fn operation<T>(&self, payload: T) -> Operation<T> {
        Operation::new(self.name, self.token, payload)
    }

    /// The fencing token.
    pub fn token(&self) -> Token {
        Token(self.token)
    }

    /// Remaining time without renewal, in microseconds.
    pub fn remaining(&self) -> Micros {
        self.remaining
    }
}

impl Lease {
    /// A lease that is not wanted yet.
    pub fn new(name: LeaseName, config: Config) -> Lease {
        Lease {
            name,
            config,
            is_wanted: false,
            waiting_since: 0,
            highest_ballot: 0,
            round: 0,
            failed_attempts: 0,
            was_announced: false,
            granted_elsewhere_until: None,
            state: State::Idle,
            requests: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Whether the node wants to hold it.
    pub fn is_wanted(&self) -> bool {
        self.is_wanted
    }

    /// Takes the requests to send.
    pub fn take_requests(&mut self) -> Vec<KeeperRequest> {
        std::mem::take(&mut self.requests)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<LeaseEvent> {
        std::mem::take(&mut self.events)
    }

    /// The lease, if this node holds it at this moment. To be called again before each operation.
    pub fn active(&self, now: Micros) -> Option<ActiveLease<'_>> {
        match self.state {
            State::Active { token, until, .. } if now < until => Some(ActiveLease {
                name: &self.name,
                token,
                remaining: until - now,
            }),
            _ => None,
        }
    }

    /// Starts to acquire the lease, and renews it once it is granted.
    pub fn acquire(&mut self, now: Micros) {
        if !self.is_wanted {
            self.is_wanted = true;
            self.waiting_since = now;
            self.state = State::BackingOff { until: now };
        }
    }

    /// Stops acquiring the lease, and releases it if it is active.
    pub fn release(&mut self, now: Micros) {
        self.is_wanted = false;
        self.release_ballot(now);
        self.state = State::Idle;
    }

    /// When [`Lease::tick`] has something to do.
    pub fn deadline(&self) -> Option<Micros> {
        match &self.state {
            State::Idle => None,
            State::BackingOff { until } => Some(*until),
            State::Preparing { started, .. } | State::Proposing { started, .. } => {
                Some(started + self.config.response_timeout)
            }
            State::Active {
                until,
                next_renewal,
                ..
            } => Some(*until.min(next_renewal)),
        }
    }

    /// Handles the deadlines that have passed. `random` is uniform over all values, and new for each call.
    pub fn tick(&mut self, now: Micros, random: u32) {
        match &self.state {
            State::BackingOff { until } if now >= *until => self.prepare(now),
            State::Preparing { started, .. } | State::Proposing { started, .. }
                if now >= started + self.config.response_timeout =>
            {
                self.back_off(now, random);
            }
            State::Active { token, until, .. } if now >= *until => {
                let token = Token(*token);
                self.events.push(LeaseEvent::Lost(token));
                self.waiting_since = now;
                self.prepare(now);
            }
            State::Active { next_renewal, .. } if now >= *next_renewal => self.renew(now),
            _ => {}
        }
    }
}
