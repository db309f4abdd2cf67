//! The smoke run: fleets in virtual time, and checks of the statistics on fixed inputs. It doesn't read the machine's
//! clock, so its verdict is deterministic.

use super::fit::{self, Point, ROUNDING_TOLERANCE};
use super::record::Record;
use super::report::{Axis, PerNode, Run, Size, Source, Traffic};
use super::window::distribution;
use reelfall_emulator::cluster::{default_config, Cluster};
use reelfall_testbed::Result;
use serde_json::Value;
use std::collections::BTreeSet;

/// Numbers of nodes of the fleets.
pub const SIZES: [usize; 5] = [8, 12, 16, 20, 24];
/// Timeout for a new fleet to converge, in virtual seconds.
const CONVERGENCE_TIMEOUT: f64 = 30.0;
/// Interval at which convergence is checked, in virtual seconds.
const CONVERGENCE_POLL_INTERVAL: f64 = 0.1;
/// Length of each window, in virtual seconds.
const WINDOW_SECONDS: f64 = 10.0;
/// Longest time until a ban is in force at all nodes, in virtual seconds.
pub const MAX_BAN_PROPAGATION: f64 = 2.0;
/// Largest control traffic of a node, sent and received, in bytes per second.
pub const MAX_CONTROL_TRAFFIC: f64 = 8192.0;
/// Interval at which the propagation of a ban is checked, in virtual seconds.
const BAN_POLL_INTERVAL: f64 = 0.01;
/// The server that is banned.
const BANNED_SERVER: &str = "server-1";
/// Length of the ban, in virtual seconds.
const BAN_DURATION: f64 = 60.0;
/// Name of the runs, and author of the bans.
const RUN_NAME: &str = "smoke";

/// The result of a smoke run.
pub struct SmokeResult {
    /// The figures.
    pub record: Record,
    /// Checks that failed.
    pub violations: Vec<String>,
}

/// Runs the fleets of all sizes, then the checks on the statistics and the report.
///
/// # Errors
/// If the report can't be serialized or read back.
pub fn run(seed: u64) -> Result<SmokeResult> {
    let mut smoke = SmokeResult {
        record: Record::new(seed),
        violations: Vec::new(),
    };
    let mut bytes = Vec::new();
    let mut messages = Vec::new();
    for nodes in SIZES {
        let Some(run) = run_fleet(nodes, seed, &mut smoke.violations) else {
            continue;
        };
        let total = |of: fn(&Traffic) -> f64| run.per_node.traffic.iter().map(of).sum::<f64>();
        let point = |y: f64| Point { x: nodes as f64, y };
        bytes.push(point(total(|traffic| traffic.bytes_out)));
        messages.push(point(total(|traffic| traffic.messages_out)));
        smoke.record.add(run);
    }
    smoke.add_line("bytes/s out", &bytes);
    smoke.add_line("messages/s out", &messages);
    smoke.violations.extend(check_statistics());
    smoke.check_round_trip()?;
    Ok(smoke)
}

impl SmokeResult {
    /// Adds a line without printing its projection, which is meaningful only for larger runs.
    fn add_line(&mut self, figure: &str, points: &[Point]) {
        match fit::slope(Axis::Nodes, figure, points) {
            Some(slope) => self.record.report.slopes.push(slope),
            None => self
                .violations
                .push(format!("{figure}: no line through {} points", points.len())),
        }
    }

    fn check_round_trip(&mut self) -> Result<()> {
        let read = Record::from_json(&self.record.to_json()?)?;
        let (read, written) = (
            serde_json::to_value(&read)?,
            serde_json::to_value(&self.record)?,
        );
        if !is_equal_but_for_rounding(&read, &written) {
            self.violations
                .push("the report differs after a JSON round trip".to_owned());
        }
        Ok(())
    }
}

/// Returns whether two reports are equal except for rounding of their figures when they are read.
fn is_equal_but_for_rounding(left: &Value, right: &Value) -> bool {
    match (left, right) {
        (Value::Number(left), Value::Number(right)) => match (left.as_f64(), right.as_f64()) {
            (Some(left), Some(right)) => {
                (left - right).abs() <= ROUNDING_TOLERANCE * left.abs().max(right.abs())
            }
            (left, right) => left == right,
        },
        (Value::Array(left), Value::Array(right)) => {
            left.len() == right.len()
                && left
                    .iter()
                    .zip(right)
                    .all(|(left, right)| is_equal_but_for_rounding(left, right))
        }
        (Value::Object(left), Value::Object(right)) => {
            left.len() == right.len()
                && left.iter().all(|(name, left)| {
                    right
                        .get(name)
                        .is_some_and(|right| is_equal_but_for_rounding(left, right))
                })
        }
        (left, right) => left == right,
    }
}

fn size(nodes: usize) -> Size {
    Size {
        nodes,
        servers: 20,
        services: 1,
        routes: 0,
        tenants: 0,
        changes: 0,
        restarts: 0,
    }
}

/// Runs one fleet until it converges, then measures an idle window and the propagation of a ban.
fn run_fleet(nodes: usize, seed: u64, violations: &mut Vec<String>) -> Option<Run> {
    let mut cluster = Cluster::new(nodes, seed, |_| default_config());
    if !converge(&mut cluster) {
        violations.push(format!(
            "{nodes} nodes: the fleet has not converged after {CONVERGENCE_TIMEOUT} s"
        ));
        return None;
    }
    cluster.run(WINDOW_SECONDS);
    let traffic = measure_traffic(&mut cluster, nodes);
    let control_traffic = 2.0 * traffic.bytes_out;
    if control_traffic > MAX_CONTROL_TRAFFIC {
        violations.push(format!(
            "{nodes} nodes: control traffic of {control_traffic:.0} B/s per node exceeds {MAX_CONTROL_TRAFFIC} B/s"
        ));
    }
    let propagation = spread_ban(&mut cluster);
    if propagation.len() < nodes {
        violations.push(format!(
            "{nodes} nodes: a ban is in force at only {} nodes within {MAX_BAN_PROPAGATION} s",
            propagation.len()
        ));
    }
    let found = cluster.violations.iter();
    violations.extend(found.map(|violation| format!("{nodes} nodes: {violation}")));
    Some(Run {
        name: RUN_NAME.to_owned(),
        source: Source::VirtualTime,
        size: size(nodes),
        seconds: WINDOW_SECONDS,
        per_node: PerNode {
            traffic: vec![traffic],
            ..PerNode::default()
        },
        in_force: distribution(&propagation),
        requests: None,
        read_bytes: None,
        played: None,
    })
}

/// Runs until all nodes know each other; returns `false` after [`CONVERGENCE_TIMEOUT`].
fn converge(cluster: &mut Cluster) -> bool {
    while !cluster.is_converged() {
        if cluster.now > CONVERGENCE_TIMEOUT {
            return false;
        }
        cluster.run(CONVERGENCE_POLL_INTERVAL);
    }
    true
}

/// Measures the mean traffic of a node in a window. The cluster loses no datagrams, so as much is received as is sent.
fn measure_traffic(cluster: &mut Cluster, nodes: usize) -> Traffic {
    let (messages_before, bytes_before) = (cluster.datagrams_sent, cluster.bytes_sent);
    cluster.run(WINDOW_SECONDS);
    let rate = |count: u64| count as f64 / WINDOW_SECONDS / nodes as f64;
    let messages = rate(cluster.datagrams_sent - messages_before);
    let bytes = rate(cluster.bytes_sent - bytes_before);
    Traffic {
        kind: "all".to_owned(),
        bytes_in: bytes,
        bytes_out: bytes,
        messages_in: messages,
        messages_out: messages,
    }
}

/// Bans a server at the first node. Returns the time until the ban is in force, for each node that applied it.
fn spread_ban(cluster: &mut Cluster) -> Vec<f64> {
    let start = cluster.now;
    cluster.with_node(0, |fleet, now| {
        fleet.ban(now, BANNED_SERVER, RUN_NAME, Some(BAN_DURATION))
    });
    let mut propagation = Vec::new();
    let mut pending: BTreeSet<usize> = (0..cluster.processes.len()).collect();
    while !pending.is_empty() && cluster.now - start < MAX_BAN_PROPAGATION {
        let pending_before = pending.len();
        pending.retain(|node| !cluster.banned_servers(*node).contains(BANNED_SERVER));
        let applied = pending_before - pending.len();
        propagation.extend(std::iter::repeat_n(cluster.now - start, applied));
        cluster.run(BAN_POLL_INTERVAL);
    }
    propagation
}

/// Checks the statistics on a line and a parabola with fixed noise.
fn check_statistics() -> Vec<String> {
    let noise = [0.3, -0.2, 0.1, -0.4, 0.2, 0.0];
    let points = |curve: fn(f64) -> f64| -> Vec<Point> {
        let point = |(index, noise): (usize, &f64)| {
            let x = index as f64;
            Point {
                x,
                y: curve(x) + noise,
            }
        };
        noise.iter().enumerate().map(point).collect()
    };
    let mut violations = Vec::new();
    match fit::slope(Axis::Nodes, "line", &points(|x| 2.0 + 3.0 * x)) {
        Some(slope) if !slope.bent && (slope.slope - 3.0).abs() < 3.0 * slope.standard_error => {}
        other => violations.push(format!("unexpected fit of a line with slope 3: {other:?}")),
    }
    match fit::slope(Axis::Nodes, "square", &points(|x| x * x)) {
        Some(slope) if slope.bent => {}
        other => violations.push(format!("unexpected fit of a parabola: {other:?}")),
    }
    violations
}
