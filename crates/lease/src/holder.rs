//! One node's part in one lease: acquiring, holding, renewing, releasing. In terms of Paxos, a proposer.
//!
//! | state | ends |
//! | --- | --- |
//! | idle | when the lease is wanted |
//! | backing off | when the backoff ends, or a keeper announces that the lease is available |
//! | preparing | with a majority of promises, with too many rejections for one, or after [`Config::response_timeout`] |
//! | proposing | with a majority of grants, with too many rejections for one, or after [`Config::response_timeout`] |
//! | active | when it is released, or on expiry if a majority has not renewed it |
//!
//! The requests that the node serves never wait for a lease: without one, the node does what its task provides for that
//! case.
//!
//! The node calls [`Lease::tick`] and [`Lease::handle_response`], and sends what [`Lease::take_requests`] returns.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `config` | how a lease is requested and renewed |
//! | `requests` | sending rounds of requests to the keepers, and the backoff between attempts |
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

/// A change in whether this node holds a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEvent {
    /// This node holds the lease from now on.
    Acquired(Token),
    /// This node has released the lease.
    Released(Token),
    /// The lease has expired, since no majority has renewed it in time.
    Lost(Token),
}

/// The states in the table of this module.
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

/// A round of renewal requests, and the votes on it.
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
    /// When the node began to wait for the lease.
    waiting_since: Micros,
    /// The highest ballot that this node knows of.
    highest_ballot: u64,
    /// Number of the current round of requests; promises, grants and rejections of earlier rounds are not counted.
    round: u64,
    /// Number of failed attempts since the last acquisition or announcement.
    failed_attempts: u32,
    /// Whether a keeper announced that the lease is available while a request was in progress.
    was_announced: bool,
    /// The earliest expiry of another client's grant that keepers have reported.
    granted_elsewhere_until: Option<Micros>,
    state: State,
    requests: Vec<KeeperRequest>,
    events: Vec<LeaseEvent>,
}

/// A request to send to a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeeperRequest {
    /// Index of the keeper in the settings.
    pub keeper: usize,
    /// What is sent to the keeper.
    pub request: Request,
}

/// A lease that this node held when [`Lease::active`] was called.
#[derive(Clone, Copy, Debug)]
pub struct ActiveLease<'a> {
    name: &'a LeaseName,
    token: u64,
    remaining: Micros,
}

impl ActiveLease<'_> {
    /// Creates an operation that carries the fencing token of the lease.
    pub fn operation<T>(&self, payload: T) -> Operation<T> {
        Operation::new(self.name, self.token, payload)
    }

    /// The fencing token of this acquisition.
    pub fn token(&self) -> Token {
        Token(self.token)
    }

    /// Remaining time without renewal, in microseconds.
    pub fn remaining(&self) -> Micros {
        self.remaining
    }
}

impl Lease {
    /// Creates a lease that is idle until [`Lease::acquire`] is called.
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

    /// Whether the node holds the lease or tries to acquire it.
    pub fn is_wanted(&self) -> bool {
        self.is_wanted
    }

    /// Takes the requests that were created since the last call, to be sent.
    pub fn take_requests(&mut self) -> Vec<KeeperRequest> {
        std::mem::take(&mut self.requests)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<LeaseEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the lease if this node holds it at this time; has to be called again before each operation.
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

    /// When [`Lease::tick`] has something to do next; `None` while the lease is idle.
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

    /// Handles the deadline that has passed. `random` is uniformly distributed over all values, and new for each call.
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
