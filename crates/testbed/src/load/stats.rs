//! Request statistics of one workload, recorded by [`super::run`].

use hdrhistogram::Histogram;
use hyper::StatusCode;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Duration;

/// Upper bound of recorded latencies, in microseconds: one minute. Higher latencies are recorded as one minute.
const HISTOGRAM_RANGE_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;
const US_PER_MS: f64 = 1e3;

/// Request statistics of one workload.
#[derive(Clone, Debug)]
pub struct LoadStats {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of responses by status code.
    pub statuses: BTreeMap<u16, u64>,
    /// Number of responses with status 200 within the deadline.
    pub in_time: u64,
    /// Number of requests that timed out, or whose connection broke before a complete response.
    pub lost: u64,
    /// Number of responses with status 200 that belong to another request.
    pub mismatched: u64,
    /// Time from the scheduled time of a request to the last byte of a response with status 200, in microseconds.
    pub latency: Histogram<u64>,
    /// Time from the scheduled time of a request to the last byte of a rejection (429, 503), in microseconds.
    pub rejection_latency: Histogram<u64>,
}

impl Default for LoadStats {
    fn default() -> Self {
        LoadStats {
            sent: 0,
            statuses: BTreeMap::new(),
            in_time: 0,
            lost: 0,
            mismatched: 0,
            latency: new_histogram(),
            rejection_latency: new_histogram(),
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HISTOGRAM_RANGE_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are constants"))
}

impl LoadStats {
    pub(super) fn record_response(
        &mut self,
        status: StatusCode,
        latency: Duration,
        deadline: Duration,
    ) {
        *self.statuses.entry(status.as_u16()).or_default() += 1;
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        match status.as_u16() {
            200 => {
                self.latency.saturating_record(latency_us);
                self.in_time += u64::from(latency <= deadline);
            }
            429 | 503 => self.rejection_latency.saturating_record(latency_us),
            _ => {}
        }
    }

    /// Adds the counts of another run; its latencies are not merged.
    pub fn add_counts(&mut self, other: &LoadStats) {
        self.sent += other.sent;
        self.lost += other.lost;
        self.mismatched += other.mismatched;
        self.in_time += other.in_time;
        for (status, count) in &other.statuses {
            *self.statuses.entry(*status).or_default() += count;
        }
    }

    /// Percentage of requests that were answered with 200 within the deadline.
    pub fn in_time_percent(&self) -> f64 {
        100.0 * self.in_time as f64 / self.sent.max(1) as f64
    }

    /// Number of responses with any status.
    pub fn responses(&self) -> u64 {
        self.statuses.values().sum()
    }

    /// Number of responses with one of these statuses.
    pub fn with_status(&self, statuses: &[u16]) -> u64 {
        statuses
            .iter()
            .filter_map(|status| self.statuses.get(status))
            .sum()
    }

    /// Formats the statistics as JSON for reports.
    pub fn figures(&self) -> Value {
        let statuses: BTreeMap<String, u64> = self
            .statuses
            .iter()
            .map(|(status, count)| (status.to_string(), *count))
            .collect();
        json!({
            "sent": self.sent,
            "statuses": statuses,
            "in_time_percent": (self.in_time_percent() * 100.0).round() / 100.0,
            "lost": self.lost,
            "wrong": self.mismatched,
            "p50_ms": quantile_ms(&self.latency, 0.5),
            "p99_ms": quantile_ms(&self.latency, 0.99),
        })
    }
}

fn quantile_ms(latency: &Histogram<u64>, quantile: f64) -> f64 {
    latency.value_at_quantile(quantile) as f64 / US_PER_MS
}
