//! Percentiles of times.

use serde::{Deserialize, Serialize};

/// A distribution of times, in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Times {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// The largest.
    pub last: f64,
}

impl Times {
    /// By nearest rank; `None` of no times.
    pub fn of(mut times: Vec<f64>) -> Option<Times> {
        times.sort_by(f64::total_cmp);
        let last = times.last().copied()?;
        let rank = |share: f64| {
            let rank = (share * times.len() as f64).ceil() as usize;
            times.get(rank.saturating_sub(1)).copied().unwrap_or(last)
        };
        Some(Times {
            p50: rank(0.5),
            p99: rank(0.99),
            last,
        })
    }
}
