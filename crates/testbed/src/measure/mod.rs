//! What the node costs. All subjects of a measurement are run in turn within one run on one machine, several rounds of
//! each; what counts is the ratio of two subjects within a round.

pub mod fleet;
pub mod graphql;
pub mod membership;
pub mod services;

use crate::fleet::TestFleet;
use crate::load::{self, Kind};
use crate::node::{cpu_seconds, Folder, Node};
use crate::scripted::Program;
use crate::Result;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::process::Child;

/// How long and how often.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Rounds of all subjects.
    pub rounds: usize,
    /// How long one subject is loaded in a round.
    pub time: Duration,
    /// Requests a second.
    pub rate: f64,
    /// A node to compare with, on the platform's settings.
    pub old: Option<Program>,
}

/// A process that takes requests. It is killed when this is dropped.
struct Subject {
    name: &'static str,
    address: SocketAddr,
    pid: u32,
    kinds: Vec<Kind>,
    cpu: Vec<f64>,
    p50: Vec<f64>,
    p99: Vec<f64>,
    _alive: Alive,
}

enum Alive {
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
    /// A node of several services.
    fn new(name: &'static str, node: Node, kinds: Vec<Kind>) -> Subject {
        let (address, pid) = (node.address(), node.pid());
        Self::of(name, address, pid, kinds, Alive::Node { _node: node })
    }

    /// Some other process.
    fn child(
        name: &'static str,
        address: SocketAddr,
        child: Child,
        folder: Option<Folder>,
        kinds: Vec<Kind>,
    ) -> Self {
        let pid = child.id().unwrap_or(0);
        Self::of(
            name,
            address,
            pid,
            kinds,
            Alive::Child {
                _child: child,
                _folder: folder,
            },
        )
    }

    fn of(
        name: &'static str,
        address: SocketAddr,
        pid: u32,
        kinds: Vec<Kind>,
        alive: Alive,
    ) -> Subject {
        Subject {
            name,
            address,
            pid,
            kinds,
            cpu: vec![],
            p50: vec![],
            p99: vec![],
            _alive: alive,
        }
    }

    /// Medians over its rounds.
    fn figures(&self) -> Value {
        json!({
            "cpu_us_per_request": round1(median(self.cpu.iter().copied())),
            "p50_ms": median(self.p50.iter().copied()),
            "p99_ms": median(self.p99.iter().copied()),
        })
    }
}

async fn one_round(s: &mut Subject, plan: &Plan, seed: u64) -> Result<()> {
    let before = cpu_seconds(s.pid)?;
    let mut kinds = s.kinds.clone();
    kinds
        .iter_mut()
        .for_each(|k| k.name = format!("{}r{seed}", k.name));
    let came = load::run(s.address, &kinds, plan.time, 1000 + seed).await;
    let used = cpu_seconds(s.pid)? - before;
    let sent: u64 = came.iter().map(|c| c.sent).sum();
    let good: u64 = came.iter().map(|c| c.of(&[200])).sum();
    if good * 100 < sent * 98 {
        return Err(format!(
            "{}: only {good} of {sent} were served, so the figures mean nothing",
            s.name
        )
        .into());
    }
    let mut latency = came[0].latency.clone();
    came.iter()
        .skip(1)
        .try_for_each(|c| latency.add(&c.latency))?;
    s.cpu.push(used * 1e6 / sent as f64);
    s.p50.push(latency.value_at_quantile(0.5) as f64 / 1e3);
    s.p99.push(latency.value_at_quantile(0.99) as f64 / 1e3);
    Ok(())
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
        .get(values.len() / 2)
        .copied()
        .map_or(0.0, |m| (m * 1e3).round() / 1e3)
}

fn round1(x: f64) -> f64 {
    (x * 10.0).round() / 10.0
}
