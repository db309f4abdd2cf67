//! The limits of services: quotas, rate limits, and the admission of requests under both.

mod admission;
mod quotas;
mod rates;

use reelfall_routing::budget::Quota;
use reelfall_routing::rate::RateLimit;

fn quota(reserved: u64, max: u64) -> Quota {
    Quota {
        reserved,
        max,
        weight: 1,
    }
}

fn rate_limit(per_second: f64, burst: f64) -> RateLimit {
    RateLimit { per_second, burst }
}
