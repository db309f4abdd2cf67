//! Percentiles of durations, in the format of reports.

use serde::{Deserialize, Serialize};

/// A distribution of times, in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Times {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub last: f64,
}

impl Times {
    /// Percentiles by nearest rank; `None` if there are no times.
    pub fn of(mut times: Vec<f64>) -> Option<Times> {
        times.sort_by(f64::total_cmp);
        let last = times.last().copied()?;
        let percentile = |fraction: f64| {
            let rank = (fraction * times.len() as f64).ceil() as usize;
            times.get(rank.saturating_sub(1)).copied().unwrap_or(last)
        };
        Some(Times {
            p50: percentile(0.5),
            p99: percentile(0.99),
            last,
        })
    }
}
