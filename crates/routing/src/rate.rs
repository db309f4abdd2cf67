//! A token bucket, which limits the request rate of a service.

use crate::Time;
use thiserror::Error;

/// The rate and the burst of a [`TokenBucket`]; positive numbers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub per_second: f64,
    /// Maximum number of requests at once. Values below 1 count as 1.
    pub burst: f64,
}

/// The bucket has no token.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
#[error("over its rate")]
pub struct RateExceeded {
    /// The time until the next token, in seconds.
    pub retry_after: Time,
}

/// A token bucket.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(now: Time, limit: RateLimit) -> Self {
        let limit = at_least_one(limit);
        TokenBucket {
            limit,
            tokens: limit.burst,
            refilled_at: now,
        }
    }

    /// Changes rate and burst; tokens that were taken stay taken.
    pub fn set_limit(&mut self, now: Time, limit: RateLimit) {
        self.refill(now);
        self.limit = at_least_one(limit);
        self.tokens = self.tokens.min(self.limit.burst);
    }

    fn refill(&mut self, now: Time) {
        // If the clock steps back, nothing is refilled, and the repeated time is not counted again.
        let elapsed = (now - self.refilled_at).max(0.0);
        self.tokens = (self.tokens + elapsed * self.limit.per_second).min(self.limit.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes one token.
    ///
    /// # Errors
    /// If there is none.
    pub fn take(&mut self, now: Time) -> Result<(), RateExceeded> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(RateExceeded {
            retry_after: (1.0 - self.tokens) / self.limit.per_second,
        })
    }
}

fn at_least_one(limit: RateLimit) -> RateLimit {
    RateLimit {
        burst: limit.burst.max(1.0),
        ..limit
    }
}
