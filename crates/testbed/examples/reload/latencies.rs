//! The load on the node, and its latencies. Called by `main` for each window.

use super::{settings, LOADED_SERVICES};
use hdrhistogram::Histogram;
use reelfall_testbed::load::{self, LoadStats, Workload};
use reelfall_testbed::Result;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// The duration of the load of a window.
const WINDOW: Duration = Duration::from_secs(1);
const WARM_UP: Duration = Duration::from_secs(2);
const WARM_UP_SEED: u64 = 1;
/// Longer than a reload may take, so that a delayed request is not lost.
const DEADLINE: Duration = Duration::from_secs(10);
const US_PER_MS: f64 = 1e3;

/// Latencies in milliseconds, or differences of them.
#[derive(Clone, Copy)]
pub(super) struct Latencies {
    pub(super) p50_ms: f64,
    pub(super) p99_ms: f64,
    pub(super) max_ms: f64,
}

impl Latencies {
    /// The differences of these latencies from `other`; positive where these are longer.
    pub(super) fn minus(self, other: Latencies) -> Latencies {
        Latencies {
            p50_ms: self.p50_ms - other.p50_ms,
            p99_ms: self.p99_ms - other.p99_ms,
            max_ms: self.max_ms - other.max_ms,
        }
    }
}

/// Counts and latencies of the requests of several windows.
pub(super) struct WindowStats {
    sent: u64,
    served: u64,
    latency: Histogram<u64>,
}

impl WindowStats {
    pub(super) fn new() -> WindowStats {
        WindowStats {
            sent: 0,
            served: 0,
            latency: LoadStats::default().latency,
        }
    }

    pub(super) fn add(&mut self, results: &[LoadStats]) -> Result<()> {
        for stats in results {
            self.sent += stats.sent;
            self.served += stats.with_status(&[200]);
            self.latency.add(&stats.latency)?;
        }
        Ok(())
    }

    pub(super) fn latencies(&self) -> Latencies {
        let quantile_ms = |quantile| self.latency.value_at_quantile(quantile) as f64 / US_PER_MS;
        Latencies {
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            max_ms: self.latency.max() as f64 / US_PER_MS,
        }
    }

    pub(super) fn figures(&self) -> Value {
        let latencies = self.latencies();
        json!({
            "sent": self.sent,
            "answered_200": self.served,
            "p50_ms": latencies.p50_ms,
            "p99_ms": latencies.p99_ms,
            "max_ms": latencies.max_ms,
        })
    }
}

/// Sends requests that are not measured: the first ones open connections, and the balancer learns from them.
pub(super) async fn warm_up(address: SocketAddr, rate: f64) {
    load::run(address, &workloads(rate, "warm"), WARM_UP, WARM_UP_SEED).await;
}

/// Runs the load of one window. Windows with the same number send their requests at the same offsets.
pub(super) async fn run_window(
    address: SocketAddr,
    rate: f64,
    name: &str,
    number: usize,
) -> Vec<LoadStats> {
    let workloads = workloads(rate, &format!("{name}{number}"));
    load::run(address, &workloads, WINDOW, number as u64).await
}

fn workloads(rate: f64, window: &str) -> Vec<Workload> {
    let workload = |service| Workload {
        name: format!("{window}-{service}"),
        host: settings::host(service),
        method: "GET",
        path: settings::LOADED_PATH.to_owned(),
        headers: Vec::new(),
        body: None,
        deadline: DEADLINE,
        rate: rate / LOADED_SERVICES as f64,
    };
    (0..LOADED_SERVICES).map(workload).collect()
}
