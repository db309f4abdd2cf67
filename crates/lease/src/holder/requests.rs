//! Sends rounds of requests to the keepers, and backs off between attempts.

use super::{Config, KeeperRequest, Lease, LeaseEvent, Renewal, State, Votes};
use crate::message::{LogPosition, Request};
use crate::token::Token;
use crate::Micros;

/// The maximum exponent of the backoff.
const MAX_BACKOFF_EXPONENT: u32 = 16;

impl Lease {
    /// Requests promises for a ballot that is higher than any known one.
    pub(super) fn prepare(&mut self, now: Micros) {
        self.highest_ballot = self.highest_ballot.saturating_add(1);
        self.round += 1;
        self.granted_elsewhere_until = None;
        self.was_announced = false;
        let ballot = self.highest_ballot;
        let waited = now.saturating_sub(self.waiting_since);
        for keeper in 0..self.config.keepers {
            let request = Request::Prepare {
                lease: self.name.clone(),
                round: self.round,
                ballot,
                duration: self.config.duration,
                waited,
            };
            self.requests.push(KeeperRequest { keeper, request });
        }
        self.state = State::Preparing {
            ballot,
            started: now,
            votes: Votes::new(self.config.keepers),
        };
    }

    /// Requests grants. The holder measures the lease from now, before any keeper can have granted it.
    pub(super) fn propose(
        &mut self,
        now: Micros,
        token: u64,
        known_positions: &[Option<LogPosition>],
    ) {
        self.round += 1;
        self.request_grants(token, known_positions);
        self.state = State::Proposing {
            token,
            started: now,
            votes: Votes::new(self.config.keepers),
        };
    }

    pub(super) fn renew(&mut self, now: Micros) {
        let State::Active { token, .. } = self.state else {
            return;
        };
        self.round += 1;
        self.request_grants(token, &[]);
        let votes = Votes::new(self.config.keepers);
        if let State::Active {
            renewal,
            next_renewal,
            ..
        } = &mut self.state
        {
            *renewal = Some(Renewal {
                started: now,
                votes,
            });
            *next_renewal = now + self.config.response_timeout;
        }
    }

    fn request_grants(&mut self, token: u64, known_positions: &[Option<LogPosition>]) {
        for keeper in 0..self.config.keepers {
            let request = Request::Grant {
                lease: self.name.clone(),
                round: self.round,
                token,
                duration: self.config.duration,
                known_positions: known_positions.to_vec(),
            };
            self.requests.push(KeeperRequest { keeper, request });
        }
    }

    /// Backs off before the next attempt: until the reported grant of another client expires, or exponentially if none
    /// was reported. Jitter prevents clients from rejecting each other's attempts with ever higher ballots.
    pub(super) fn back_off(&mut self, now: Micros, random: u32) {
        self.release_ballot(now);
        let Config {
            min_backoff,
            max_backoff,
            ..
        } = self.config;
        if std::mem::take(&mut self.was_announced) {
            self.failed_attempts = 0;
            self.granted_elsewhere_until = None;
        }
        let backoff = match self.granted_elsewhere_until {
            Some(until) => until.saturating_sub(now).clamp(min_backoff, max_backoff),
            None => {
                let exponent = self.failed_attempts.min(MAX_BACKOFF_EXPONENT);
                (min_backoff << exponent).min(max_backoff)
            }
        };
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        let jittered = backoff / 2 + backoff * u64::from(random) / u64::from(u32::MAX);
        self.state = State::BackingOff {
            until: now + jittered,
        };
    }

    /// Releases the ballot that was granted or proposed, if there is one, at all keepers.
    pub(super) fn release_ballot(&mut self, now: Micros) {
        let token = match self.state {
            State::Active { token, until, .. } => {
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
            let request = Request::Release {
                lease: self.name.clone(),
                token,
            };
            self.requests.push(KeeperRequest { keeper, request });
        }
    }
}
