//! A token bucket, which limits the request rate of a service.

use crate::Time;
use thiserror::Error;

/// The rate and the burst of a [`TokenBucket`]; both are positive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub per_second: f64,
    /// Maximum number of requests at once: the capacity of the bucket. Values below 1 count as 1.
    pub burst: f64,
}

/// The error of a bucket that has no token left.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
#[error("request rate exceeded")]
pub struct RateExceeded {
    /// The time until the next token, in seconds.
    pub retry_after: Time,
}

/// A bucket that gains tokens at a constant rate; each request takes one.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Makes a full bucket.
    pub fn new(now: Time, limit: RateLimit) -> Self {
        let limit = with_min_burst(limit);
        TokenBucket {
            limit,
            tokens: limit.burst,
            refilled_at: now,
        }
    }

    /// Changes the rate and the burst without refilling the bucket.
    pub fn set_limit(&mut self, now: Time, limit: RateLimit) {
        self.refill(now);
        self.limit = with_min_burst(limit);
        self.tokens = self.tokens.min(self.limit.burst);
    }

    fn refill(&mut self, now: Time) {
        // If the clock steps back, nothing is refilled, and the time that it repeats is not counted twice.
        let elapsed = (now - self.refilled_at).max(0.0);
        self.tokens = (self.tokens + elapsed * self.limit.per_second).min(self.limit.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes one token.
    ///
    /// # Errors
    /// If there is none, with the time until the next one.
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

fn with_min_burst(limit: RateLimit) -> RateLimit {
    RateLimit {
        burst: limit.burst.max(1.0),
        ..limit
    }
}
