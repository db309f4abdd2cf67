//! Handles the keepers' responses.

use super::{Lease, LeaseEvent, State};
use crate::message::{RejectionReason, Response, Vote};
use crate::token::Token;
use crate::Micros;

/// Number of renewals within the duration of a lease.
const RENEWALS_PER_DURATION: u64 = 3;

impl Lease {
    /// Handles a response of a keeper, which is given by its index in the settings. `random` is uniformly distributed
    /// over all values, and new for each call.
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
            Response::Rejected {
                round,
                reason,
                promised,
                ..
            } => {
                self.highest_ballot = self.highest_ballot.max(promised);
                self.handle_rejected(now, keeper, round, reason, random);
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
            // Keepers may have rejected the request in progress before the lease was available.
            State::Preparing { .. } | State::Proposing { .. } => self.was_announced = true,
            State::Idle | State::Active { .. } => {}
        }
    }

    fn handle_promised(&mut self, now: Micros, keeper: usize, vote: Vote) {
        let State::Preparing { ballot, votes, .. } = &mut self.state else {
            return;
        };
        votes.accepted[keeper] = Some(vote);
        if votes.has_majority() {
            let (token, known_positions) = (*ballot, votes.latest_positions());
            self.propose(now, token, &known_positions);
        }
    }

    fn handle_granted(&mut self, now: Micros, keeper: usize, vote: Vote) {
        let holder_duration = self
            .config
            .drift_margin
            .holder_duration(self.config.duration);
        let renew_after = self.config.duration / RENEWALS_PER_DURATION;
        match &mut self.state {
            State::Proposing {
                token,
                started,
                votes,
            } => {
                votes.accepted[keeper] = Some(vote);
                let token = *token;
                let until = *started + holder_duration;
                let next_renewal = *started + renew_after;
                if votes.has_majority() && now < until {
                    self.state = State::Active {
                        token,
                        until,
                        renewal: None,
                        next_renewal,
                    };
                    self.failed_attempts = 0;
                    self.events.push(LeaseEvent::Acquired(Token(token)));
                }
            }
            State::Active {
                until,
                renewal: Some(renewal),
                next_renewal,
                ..
            } => {
                renewal.votes.accepted[keeper] = Some(vote);
                // A grant that arrives after the expiry renews nothing: there may be another holder by now.
                if renewal.votes.has_majority() && now < *until {
                    *until = renewal.started + holder_duration;
                    *next_renewal = renewal.started + renew_after;
                }
            }
            _ => {}
        }
    }

    fn handle_rejected(
        &mut self,
        now: Micros,
        keeper: usize,
        round: u64,
        reason: RejectionReason,
        random: u32,
    ) {
        if round != self.round {
            return;
        }
        if let RejectionReason::Held { remaining } = reason {
            let until = now + remaining;
            self.granted_elsewhere_until = Some(
                self.granted_elsewhere_until
                    .map_or(until, |known| known.min(until)),
            );
        }
        let (State::Preparing { votes, .. } | State::Proposing { votes, .. }) = &mut self.state
        else {
            return;
        };
        votes.rejected[keeper] = true;
        if !votes.is_rejected() {
            return;
        }
        let is_first_attempt =
            self.failed_attempts == 0 && matches!(self.state, State::Preparing { .. });
        if reason == RejectionReason::StaleBallot && is_first_attempt {
            // Only the ballot was too low: the first time, a higher one is tried without a backoff.
            self.failed_attempts = 1;
            self.prepare(now);
        } else {
            self.back_off(now, random);
        }
    }
}
