//! A process under load and the figures of its rounds. Used by all measurements.

use super::error::MeasureError;
use super::statistics::{median, round_to_tenth};
use super::Plan;
use crate::fleet::TestFleet;
use crate::load::{self, LoadStats, Workload};
use crate::node::{cpu_seconds, Folder, Node};
use crate::Result;
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::process::Child;

/// Minimum share of the requests of a round that must be served, in percent.
const MIN_SERVED_PERCENT: u64 = 98;
const ROUND_SEED_BASE: u64 = 1000;
const WARM_UP: Duration = Duration::from_secs(1);
const WARM_UP_SEED: u64 = 1;
const US_PER_MS: f64 = 1e3;
const US_PER_SECOND: f64 = 1e6;

/// A process under load. It is killed when this is dropped.
pub(super) struct Subject {
    pub(super) name: &'static str,
    pub(super) address: SocketAddr,
    pid: u32,
    workloads: Vec<Workload>,
    /// CPU time per request of each round, in microseconds.
    pub(super) cpu_us: Vec<f64>,
    p50_ms: Vec<f64>,
    p99_ms: Vec<f64>,
    _process: SubjectProcess,
}

/// Owns the process of a subject and ends it when dropped.
pub(super) enum SubjectProcess {
    Child {
        _child: Child,
        _folder: Option<Folder>,
    },
    Node {
        _node: Node,
    },
    Fleet {
        _fleet: Box<TestFleet>,
    },
}

impl Subject {
    /// A node with a settings file.
    pub(super) fn from_node(name: &'static str, node: Node, workloads: Vec<Workload>) -> Subject {
        let (address, pid) = (node.address(), node.pid());
        let process = SubjectProcess::Node { _node: node };
        Self::new(name, address, pid, workloads, process)
    }

    /// A process other than a `Node`, with the folder of its settings if it has one.
    pub(super) fn from_child(
        name: &'static str,
        address: SocketAddr,
        child: Child,
        folder: Option<Folder>,
        workloads: Vec<Workload>,
    ) -> Self {
        let pid = child.id().unwrap_or(0);
        let process = SubjectProcess::Child {
            _child: child,
            _folder: folder,
        };
        Self::new(name, address, pid, workloads, process)
    }

    pub(super) fn new(
        name: &'static str,
        address: SocketAddr,
        pid: u32,
        workloads: Vec<Workload>,
        process: SubjectProcess,
    ) -> Subject {
        Subject {
            name,
            address,
            pid,
            workloads,
            cpu_us: vec![],
            p50_ms: vec![],
            p99_ms: vec![],
            _process: process,
        }
    }

    /// Sends requests that are not measured: the first ones open connections.
    pub(super) async fn warm_up(&self) {
        load::run(self.address, &self.workloads, WARM_UP, WARM_UP_SEED).await;
    }

    /// Runs one round of load and records its CPU time and latencies.
    pub(super) async fn measure_round(&mut self, plan: &Plan, round: u64) -> Result<()> {
        let cpu_before = cpu_seconds(self.pid)?;
        let mut workloads = self.workloads.clone();
        for workload in &mut workloads {
            workload.name = format!("{}r{round}", workload.name);
        }
        let seed = ROUND_SEED_BASE + round;
        let results = load::run(self.address, &workloads, plan.round_duration, seed).await;
        let cpu_used = cpu_seconds(self.pid)? - cpu_before;
        let sent: u64 = results.iter().map(|stats| stats.sent).sum();
        let served: u64 = results.iter().map(|stats| stats.with_status(&[200])).sum();
        if served * 100 < sent * MIN_SERVED_PERCENT {
            let subject = self.name;
            return Err(MeasureError::TooFewServed {
                subject,
                served,
                sent,
            }
            .into());
        }
        let latency = merge_latencies(&results)?;
        self.cpu_us.push(cpu_used * US_PER_SECOND / sent as f64);
        self.p50_ms.push(quantile_ms(&latency, 0.5));
        self.p99_ms.push(quantile_ms(&latency, 0.99));
        Ok(())
    }

    /// The medians over all rounds.
    pub(super) fn figures(&self) -> Value {
        json!({
            "cpu_us_per_request": round_to_tenth(median(self.cpu_us.iter().copied())),
            "p50_ms": median(self.p50_ms.iter().copied()),
            "p99_ms": median(self.p99_ms.iter().copied()),
        })
    }
}

/// Runs all rounds. Each round starts with the next subject, so that no subject always runs first.
pub(super) async fn measure_rounds(subjects: &mut [Subject], plan: &Plan) -> Result<()> {
    for round in 0..plan.rounds {
        for offset in 0..subjects.len() {
            let index = (offset + round) % subjects.len();
            subjects[index].measure_round(plan, round as u64).await?;
        }
    }
    Ok(())
}

fn merge_latencies(results: &[LoadStats]) -> Result<Histogram<u64>> {
    let mut merged = LoadStats::default().latency;
    for stats in results {
        merged.add(&stats.latency)?;
    }
    Ok(merged)
}

fn quantile_ms(latency: &Histogram<u64>, quantile: f64) -> f64 {
    latency.value_at_quantile(quantile) as f64 / US_PER_MS
}
