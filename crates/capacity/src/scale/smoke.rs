//! The short form of a scale run: a fleet in virtual time, and the statistics on fixed inputs. No clock of the machine
//! is asked, so that the verdict is the same every time.

use super::fit;
use super::record::Record;
use super::report::{Axis, PerNode, Run, Size, Source, Traffic};
use super::window::times;
use reelfall_emulator::cluster::{default_config, Cluster};
use reelfall_testbed::Result;
use serde_json::Value;
use std::collections::BTreeSet;

/// Sizes of the fleets that are played.
pub const SIZES: [usize; 5] = [8, 12, 16, 20, 24];
/// How long a fleet has to gather, in virtual seconds.
const GATHERS_IN: f64 = 30.0;
/// How long each window is, in virtual seconds.
const WINDOW: f64 = 10.0;
/// Within what time a ban has to be in force everywhere, in virtual seconds.
pub const IN_FORCE_MOST: f64 = 2.0;
/// What a node may send and receive for control, in bytes a second.
pub const BYTES_MOST: f64 = 8192.0;
/// How often it is looked where a ban is in force, in virtual seconds.
const STEP: f64 = 0.01;

/// What has come of it.
pub struct Smoke {
    /// The figures.
    pub record: Record,
    /// What does not hold.
    pub broken: Vec<String>,
}

/// Plays the short form.
///
/// # Errors
/// If the report can't be written and read.
pub fn run(seed: u64) -> Result<Smoke> {
    let mut smoke = Smoke {
        record: Record::new(seed),
        broken: Vec::new(),
    };
    let (mut bytes, mut messages) = (Vec::new(), Vec::new());
    for nodes in SIZES {
        let Some(run) = fleet(nodes, seed, &mut smoke.broken) else {
            continue;
        };
        let total = |of: fn(&Traffic) -> f64| run.per_node.traffic.iter().map(of).sum::<f64>();
        bytes.push((nodes as f64, total(|t| t.bytes_out)));
        messages.push((nodes as f64, total(|t| t.messages_out)));
        smoke.record.add(run);
    }
    for (figure, points) in [("bytes/s out", bytes), ("messages/s out", messages)] {
        match fit::slope(Axis::Nodes, figure, &points) {
            // Nothing is said of larger fleets here: that is for runs of larger ones.
            Some(slope) => smoke.record.report.slopes.push(slope),
            None => smoke
                .broken
                .push(format!("{figure}: no line through {} points", points.len())),
        }
    }
    smoke.broken.extend(statistics());
    let read = Record::from_json(&smoke.record.to_json()?)?;
    if !alike(
        &serde_json::to_value(&read)?,
        &serde_json::to_value(&smoke.record)?,
    ) {
        smoke
            .broken
            .push("the report is not read as it was written".to_owned());
    }
    Ok(smoke)
}

/// Whether two reports are the same but for the last digit of their figures, which reading may round.
fn alike(one: &Value, other: &Value) -> bool {
    match (one, other) {
        (Value::Number(a), Value::Number(b)) => match (a.as_f64(), b.as_f64()) {
            (Some(a), Some(b)) => (a - b).abs() <= fit::EXACT * a.abs().max(b.abs()),
            (a, b) => a == b,
        },
        (Value::Array(a), Value::Array(b)) => {
            a.len() == b.len() && a.iter().zip(b).all(|(one, other)| alike(one, other))
        }
        (Value::Object(a), Value::Object(b)) => {
            a.len() == b.len()
                && a.iter()
                    .all(|(name, one)| b.get(name).is_some_and(|other| alike(one, other)))
        }
        (one, other) => one == other,
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

/// Plays one fleet: it gathers, rests for a window, and hears of a ban.
fn fleet(nodes: usize, seed: u64, broken: &mut Vec<String>) -> Option<Run> {
    let mut world = Cluster::new(nodes, seed, |_| default_config());
    while !world.is_converged() {
        if world.now > GATHERS_IN {
            broken.push(format!(
                "{nodes} nodes do not know each other after {GATHERS_IN} s"
            ));
            return None;
        }
        world.run(0.1);
    }
    world.run(WINDOW);
    let (sent, bytes) = (world.datagrams_sent, world.bytes_sent);
    world.run(WINDOW);
    let rate = |of: u64| of as f64 / WINDOW / nodes as f64;
    let (messages, bytes) = (
        rate(world.datagrams_sent - sent),
        rate(world.bytes_sent - bytes),
    );
    // Nothing is lost between these nodes: what is sent comes in.
    let traffic = Traffic {
        kind: "all".to_owned(),
        bytes_in: bytes,
        bytes_out: bytes,
        messages_in: messages,
        messages_out: messages,
    };
    if 2.0 * bytes > BYTES_MOST {
        broken.push(format!(
            "{nodes} nodes: {:.0} B/s a node, {BYTES_MOST} at most",
            2.0 * bytes
        ));
    }
    let in_force = ban(&mut world);
    if in_force.len() < nodes {
        broken.push(format!(
            "{nodes} nodes: a ban is in force at {} within {IN_FORCE_MOST} s",
            in_force.len()
        ));
    }
    broken.extend(
        world
            .violations
            .iter()
            .map(|b| format!("{nodes} nodes: {b}")),
    );
    Some(Run {
        name: "smoke".to_owned(),
        source: Source::VirtualTime,
        size: size(nodes),
        seconds: WINDOW,
        per_node: PerNode {
            traffic: vec![traffic],
            ..PerNode::default()
        },
        in_force: times(&in_force),
        requests: None,
        read_bytes: None,
        played: None,
    })
}

/// Sends a server out by hand at the first node; how long it took to each.
fn ban(world: &mut Cluster) -> Vec<f64> {
    let begun = world.now;
    world.with_node(0, |fleet, now| {
        fleet.ban(now, "server-1", "smoke", Some(60.0))
    });
    let mut took = Vec::new();
    let mut waiting: BTreeSet<usize> = (0..world.processes.len()).collect();
    while !waiting.is_empty() && world.now - begun < IN_FORCE_MOST {
        let there: Vec<usize> = waiting
            .iter()
            .copied()
            .filter(|n| world.banned_servers(*n).contains("server-1"))
            .collect();
        for n in there {
            waiting.remove(&n);
            took.push(world.now - begun);
        }
        world.run(STEP);
    }
    took
}

/// The statistics on fixed inputs.
fn statistics() -> Vec<String> {
    let noise = [0.3, -0.2, 0.1, -0.4, 0.2, 0.0];
    let points = |of: fn(f64) -> f64| -> Vec<(f64, f64)> {
        noise
            .iter()
            .enumerate()
            .map(|(n, noise)| (n as f64, of(n as f64) + noise))
            .collect()
    };
    let mut broken = Vec::new();
    match fit::slope(Axis::Nodes, "line", &points(|x| 2.0 + 3.0 * x)) {
        Some(slope) if !slope.bent && (slope.slope - 3.0).abs() < 3.0 * slope.standard_error => {}
        other => broken.push(format!("a line of slope 3 is taken for {other:?}")),
    }
    match fit::slope(Axis::Nodes, "square", &points(|x| x * x)) {
        Some(slope) if slope.bent => {}
        other => broken.push(format!("a parabola is taken for {other:?}")),
    }
    broken
}
