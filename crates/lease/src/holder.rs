//! One node's part in one lease: requesting, holding, renewing, releasing. In terms of Paxos, a proposer.
//!
//! | state | ends |
//! | --- | --- |
//! | idle | when the lease is wanted |
//! | backing off | at its end, or when a keeper announces that the lease is available |
//! | preparing | by a majority of promises; by too many refusals; after [`Config::response_timeout`] |
//! | proposing | by a majority of grants; by too many refusals; after [`Config::response_timeout`] |
//! | held | when it is released, or on expiry if a majority has not renewed it |
//!
//! Requests that the node serves never wait for any of this: a node that does not hold a lease does what its task does
//! without one.

use crate::clock::Margins;
use crate::majority;
use crate::message::{LogPosition, Refusal, Request, Response, Vote};
use crate::token::{LeaseName, Operation, Token};
use crate::Micros;

/// A lease is renewed after this part of its length.
const RENEWALS_PER_LENGTH: u64 = 3;
/// The exponent of the backoff grows up to this.
const MAX_BACKOFF_EXPONENT: u32 = 16;

/// How a lease is requested and kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Number of keepers.
    pub keepers: usize,
    /// Safety margins for clock drift.
    pub margins: Margins,
    /// How long a lease lasts without renewal, in microseconds.
    pub length: Micros,
    /// Keepers that have not responded within this time are asked again, in microseconds.
    pub response_timeout: Micros,
    /// The shortest and the longest backoff between two attempts, in microseconds.
    pub backoff: (Micros, Micros),
}

impl Config {
    /// Defaults for a lease of this length, with so many keepers.
    pub fn new(keepers: usize, length: Micros) -> Config {
        Config {
            keepers,
            margins: Margins::default(),
            length,
            response_timeout: (length / 8).clamp(50_000, 1_000_000),
            // No backoff is longer than a lease takes to expire.
            backoff: (50_000, length.clamp(500_000, 5_000_000)),
        }
    }
}

/// A change of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEvent {
    /// It is held.
    Acquired(Token),
    /// It was released.
    Released(Token),
    /// It has expired without renewal by a majority.
    Lost(Token),
}

/// The votes on one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Votes {
    accepted: Vec<Option<Vote>>,
    refused: Vec<bool>,
}

impl Votes {
    fn new(keepers: usize) -> Votes {
        Votes {
            accepted: vec![None; keepers],
            refused: vec![false; keepers],
        }
    }

    /// The latest log position of each keeper that any vote reports.
    fn latest_positions(&self) -> Vec<Option<LogPosition>> {
        let mut latest = vec![None; self.accepted.len()];
        for (n, vote) in self.accepted.iter().enumerate() {
            let Some(vote) = vote else { continue };
            for (known, reported) in latest.iter_mut().zip(&vote.peers) {
                *known = (*known).max(*reported);
            }
            latest[n] = latest[n].max(Some(vote.own));
        }
        latest
    }

    /// Whether a majority has accepted.
    ///
    /// Guards against a folder that another one has replaced and that has not heard of it: it forgot nothing, but its
    /// successor does not know what it promises. Harm: none; its vote does not count.
    fn has_majority(&self) -> bool {
        let latest = self.latest_positions();
        let counts = |(vote, known): (&Option<Vote>, &Option<LogPosition>)| {
            vote.as_ref()
                .is_some_and(|v| known.is_none_or(|known| known.storage <= v.own.storage))
        };
        let accepted = self
            .accepted
            .iter()
            .zip(&latest)
            .filter(|pair| counts(*pair))
            .count();
        accepted >= majority(self.accepted.len())
    }

    /// Whether too many have refused for a majority.
    fn is_lost(&self) -> bool {
        let refused = self.refused.iter().filter(|refused| **refused).count();
        refused > self.refused.len() - majority(self.refused.len())
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Idle,
    BackingOff {
        until: Micros,
    },
    Preparing {
        ballot: u64,
        began: Micros,
        votes: Votes,
    },
    Proposing {
        token: u64,
        began: Micros,
        votes: Votes,
    },
    Held {
        token: u64,
        until: Micros,
        renewal: Option<Renewal>,
        next_renewal: Micros,
    },
}

/// A renewal that is under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Renewal {
    began: Micros,
    votes: Votes,
}

/// One node's part in one lease. See the module.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    name: LeaseName,
    config: Config,
    wanted: bool,
    /// When the wait for it began.
    waiting_since: Micros,
    /// The highest ballot known.
    highest_ballot: u64,
    /// Counts requests, so that responses to earlier ones are told apart.
    round: u64,
    /// Consecutive failed attempts.
    failed_attempts: u32,
    /// A keeper announced that it is this client's turn while a request was under way.
    turn_announced: bool,
    /// The earliest time at which another client's grant can expire, as far as keepers report.
    held_until: Option<Micros>,
    state: State,
    requests: Vec<(usize, Request)>,
    events: Vec<LeaseEvent>,
}

/// A lease that is held at this moment.
#[derive(Clone, Copy, Debug)]
pub struct Held<'a> {
    name: &'a LeaseName,
    token: u64,
    left: Micros,
}

impl Held<'_> {
    /// An operation that is performed under the lease.
    pub fn operation<T>(&self, payload: T) -> Operation<T> {
        Operation::new(self.name, self.token, payload)
    }

    /// The fencing token.
    pub fn token(&self) -> Token {
        Token(self.token)
    }

    /// Remaining time without renewal, in microseconds.
    pub fn left(&self) -> Micros {
        self.left
    }
}

impl Lease {
    /// A lease that is not wanted yet.
    pub fn new(name: LeaseName, config: Config) -> Lease {
        Lease {
            name,
            config,
            wanted: false,
            waiting_since: 0,
            highest_ballot: 0,
            round: 0,
            failed_attempts: 0,
            turn_announced: false,
            held_until: None,
            state: State::Idle,
            requests: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Whether it is wanted.
    pub fn is_wanted(&self) -> bool {
        self.wanted
    }

    /// Takes the requests to send, each with the place of its keeper.
    pub fn take_requests(&mut self) -> Vec<(usize, Request)> {
        std::mem::take(&mut self.requests)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<LeaseEvent> {
        std::mem::take(&mut self.events)
    }

    /// The lease, if it is held at this moment. To be asked again before each operation.
    pub fn held(&self, now: Micros) -> Option<Held<'_>> {
        match self.state {
            State::Held { token, until, .. } if now < until => Some(Held {
                name: &self.name,
                token,
                left: until - now,
            }),
            _ => None,
        }
    }

    /// Begins to acquire the lease, and to keep it.
    pub fn acquire(&mut self, now: Micros) {
        if !self.wanted {
            self.wanted = true;
            self.waiting_since = now;
            self.state = State::BackingOff { until: now };
        }
    }

    /// Stops acquiring the lease, and releases it if it is held.
    pub fn release(&mut self, now: Micros) {
        self.wanted = false;
        self.release_ballot(now);
        self.state = State::Idle;
    }

    /// Tells the keepers that the ballot that was granted, or proposed, is used no more.
    fn release_ballot(&mut self, now: Micros) {
        let token = match self.state {
            State::Held { token, until, .. } => {
                let event = if now < until {
                    LeaseEvent::Released
                } else {
                    LeaseEvent::Lost
                };
                self.events.push(event(Token(token)));
                token
            }
            State::Proposing { token, .. } => token,
            _ => return,
        };
        for keeper in 0..self.config.keepers {
            self.requests.push((
                keeper,
                Request::Release {
                    lease: self.name.clone(),
                    token,
                },
            ));
        }
    }

    /// When [`Lease::tick`] has something to do.
    pub fn deadline(&self) -> Option<Micros> {
        match &self.state {
            State::Idle => None,
            State::BackingOff { until } => Some(*until),
            State::Preparing { began, .. } | State::Proposing { began, .. } => {
                Some(began + self.config.response_timeout)
            }
            State::Held {
                until,
                next_renewal,
                ..
            } => Some(*until.min(next_renewal)),
        }
    }

    /// Does what is due at this time. `random` is uniform over all values, and new for each call.
    pub fn tick(&mut self, now: Micros, random: u32) {
        match &self.state {
            State::BackingOff { until } if now >= *until => self.prepare(now),
            State::Preparing { began, .. } | State::Proposing { began, .. }
                if now >= began + self.config.response_timeout =>
            {
                self.back_off(now, random);
            }
            State::Held { token, until, .. } if now >= *until => {
                let token = Token(*token);
                self.events.push(LeaseEvent::Lost(token));
                self.waiting_since = now;
                self.prepare(now);
            }
            State::Held { next_renewal, .. } if now >= *next_renewal => self.renew(now),
            _ => {}
        }
    }

    /// Asks all keepers to promise a ballot that is higher than any known one.
    fn prepare(&mut self, now: Micros) {
        self.highest_ballot = self.highest_ballot.saturating_add(1);
        self.round += 1;
        (self.held_until, self.turn_announced) = (None, false);
        let (ballot, round) = (self.highest_ballot, self.round);
        let (length, waited) = (self.config.length, now.saturating_sub(self.waiting_since));
        for keeper in 0..self.config.keepers {
            let lease = self.name.clone();
            self.requests.push((
                keeper,
                Request::Prepare {
                    lease,
                    round,
                    ballot,
                    length,
                    waited,
                },
            ));
        }
        self.state = State::Preparing {
            ballot,
            began: now,
            votes: Votes::new(self.config.keepers),
        };
    }

    /// Asks for grants. The lease counts from here, before any keeper can have granted it.
    fn propose(&mut self, now: Micros, token: u64, peers: &[Option<LogPosition>]) {
        self.round += 1;
        self.request_grants(token, peers);
        self.state = State::Proposing {
            token,
            began: now,
            votes: Votes::new(self.config.keepers),
        };
    }

    fn renew(&mut self, now: Micros) {
        let State::Held { token, .. } = self.state else {
            return;
        };
        self.round += 1;
        self.request_grants(token, &[]);
        let votes = Votes::new(self.config.keepers);
        if let State::Held {
            renewal,
            next_renewal,
            ..
        } = &mut self.state
        {
            *renewal = Some(Renewal { began: now, votes });
            *next_renewal = now + self.config.response_timeout;
        }
    }

    fn request_grants(&mut self, token: u64, peers: &[Option<LogPosition>]) {
        let (round, length) = (self.round, self.config.length);
        for keeper in 0..self.config.keepers {
            let (lease, peers) = (self.name.clone(), peers.to_vec());
            self.requests.push((
                keeper,
                Request::Grant {
                    lease,
                    round,
                    token,
                    length,
                    peers,
                },
            ));
        }
    }

    /// Backs off before the next attempt: until the lease can be available, or else exponentially, with jitter.
    ///
    /// Guards against clients that outbid each other for ever, and against three hundred that ask at once. Harm: a lease
    /// that nobody holds may be without a holder for as long.
    fn back_off(&mut self, now: Micros, random: u32) {
        self.release_ballot(now);
        let (least, most) = self.config.backoff;
        if std::mem::take(&mut self.turn_announced) {
            (self.failed_attempts, self.held_until) = (0, None);
        }
        let backoff = match self.held_until {
            Some(until) => until.saturating_sub(now).clamp(least, most),
            None => (least << self.failed_attempts.min(MAX_BACKOFF_EXPONENT)).min(most),
        };
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        let jittered = backoff / 2 + backoff * u64::from(random) / u64::from(u32::MAX);
        self.state = State::BackingOff {
            until: now + jittered,
        };
    }

    /// Handles a response of a keeper. `random` is uniform over all values, and new for each call.
    pub fn handle_response(&mut self, now: Micros, keeper: usize, response: Response, random: u32) {
        if keeper >= self.config.keepers || response.lease() != &self.name {
            return;
        }
        match response {
            Response::Promised { round, vote, .. } if round == self.round => {
                self.handle_promised(now, keeper, vote);
            }
            Response::Granted { round, vote, .. } if round == self.round => {
                self.handle_granted(now, keeper, vote);
            }
            Response::Refused {
                round,
                reason,
                promised,
                ..
            } => {
                self.highest_ballot = self.highest_ballot.max(promised);
                self.handle_refused(now, keeper, round, reason, random);
            }
            Response::Available { .. } => self.handle_available(now),
            Response::Promised { .. } | Response::Granted { .. } => {}
        }
    }

    fn handle_available(&mut self, now: Micros) {
        match self.state {
            State::BackingOff { .. } => {
                self.failed_attempts = 0;
                self.prepare(now);
            }
            // What is requested now may have been refused before the lease was available.
            State::Preparing { .. } | State::Proposing { .. } => self.turn_announced = true,
            State::Idle | State::Held { .. } => {}
        }
    }

    fn handle_promised(&mut self, now: Micros, keeper: usize, vote: Vote) {
        let State::Preparing { ballot, votes, .. } = &mut self.state else {
            return;
        };
        votes.accepted[keeper] = Some(vote);
        if votes.has_majority() {
            let (token, peers) = (*ballot, votes.latest_positions());
            self.propose(now, token, &peers);
        }
    }

    fn handle_granted(&mut self, now: Micros, keeper: usize, vote: Vote) {
        let lasts = self.config.margins.holder_length(self.config.length);
        let renew_after = self.config.length / RENEWALS_PER_LENGTH;
        match &mut self.state {
            State::Proposing {
                token,
                began,
                votes,
            } => {
                votes.accepted[keeper] = Some(vote);
                let (token, until, next_renewal) = (*token, *began + lasts, *began + renew_after);
                if votes.has_majority() && now < until {
                    self.state = State::Held {
                        token,
                        until,
                        renewal: None,
                        next_renewal,
                    };
                    self.failed_attempts = 0;
                    self.events.push(LeaseEvent::Acquired(Token(token)));
                }
            }
            State::Held {
                until,
                renewal: Some(renewal),
                next_renewal,
                ..
            } => {
                renewal.votes.accepted[keeper] = Some(vote);
                // One that comes after the expiry renews nothing: the next holder may have begun.
                if renewal.votes.has_majority() && now < *until {
                    (*until, *next_renewal) = (renewal.began + lasts, renewal.began + renew_after);
                }
            }
            _ => {}
        }
    }

    fn handle_refused(
        &mut self,
        now: Micros,
        keeper: usize,
        round: u64,
        reason: Refusal,
        random: u32,
    ) {
        if round != self.round {
            return;
        }
        if let Refusal::Held { left } = reason {
            let until = now + left;
            self.held_until = Some(self.held_until.map_or(until, |known| known.min(until)));
        }
        let (State::Preparing { votes, .. } | State::Proposing { votes, .. }) = &mut self.state
        else {
            return;
        };
        votes.refused[keeper] = true;
        if !votes.is_lost() {
            return;
        }
        let is_first_attempt =
            self.failed_attempts == 0 && matches!(self.state, State::Preparing { .. });
        if reason == Refusal::StaleBallot && is_first_attempt {
            // Only the ballot was too low: the first time the next one is tried at once.
            self.failed_attempts = 1;
            self.prepare(now);
        } else {
            self.back_off(now, random);
        }
    }
}
