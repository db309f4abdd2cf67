//! The figures of a scale run, as they are written to and read from JSON.
//!
//! Whoever measures writes these types, in virtual time or on sockets, and the tables of the pages are made of them.

use super::account::Usage;
use super::plays::Outcome;
use serde::{Deserialize, Serialize};

pub use super::plays::JudgedBy;
pub use super::times::Times;
pub use super::world::Ages;

/// Format of the JSON; readers refuse any other.
pub const SCHEMA: u32 = 1;

/// How large the system is that a run plays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Nodes of the fleet.
    pub nodes: usize,
    /// Servers of all services together.
    pub servers: usize,
    /// Services.
    pub services: usize,
    /// Routes of all services together.
    pub routes: usize,
    /// Tenants of all services together.
    pub tenants: usize,
    /// Configuration changes a day.
    pub changes: usize,
    /// Server restarts a day.
    pub restarts: usize,
}

impl Size {
    /// The size that the system has to carry in two years.
    pub const TARGET: Size = Size {
        nodes: 6_000,
        servers: 50_000,
        services: 2_600,
        routes: 74_000,
        tenants: 560_000,
        changes: 13_000,
        restarts: 18_000,
    };

    /// The same size with one axis set to another value.
    pub fn with(mut self, axis: Axis, value: usize) -> Size {
        *self.axis_mut(axis) = value;
        self
    }

    /// The value on an axis.
    pub fn get(mut self, axis: Axis) -> usize {
        *self.axis_mut(axis)
    }

    fn axis_mut(&mut self, axis: Axis) -> &mut usize {
        match axis {
            Axis::Nodes => &mut self.nodes,
            Axis::Servers => &mut self.servers,
            Axis::Services => &mut self.services,
            Axis::Routes => &mut self.routes,
            Axis::Tenants => &mut self.tenants,
            Axis::Changes => &mut self.changes,
            Axis::Restarts => &mut self.restarts,
        }
    }
}

/// One dimension of a [`Size`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Axis {
    /// [`Size::nodes`].
    Nodes,
    /// [`Size::servers`].
    Servers,
    /// [`Size::services`].
    Services,
    /// [`Size::routes`].
    Routes,
    /// [`Size::tenants`].
    Tenants,
    /// [`Size::changes`].
    Changes,
    /// [`Size::restarts`].
    Restarts,
}

/// What a run was played with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// Control sides of nodes on loopback sockets, many in one process.
    HollowNodes,
    /// Processes of the program, which serve requests.
    RealNodes,
    /// The same code in virtual time.
    VirtualTime,
    /// One computation, such as reading a settings file.
    Computation,
}

/// Traffic of one kind of message, for one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// The kind, such as `gossip` or `list`.
    pub kind: String,
    /// Bytes received a second.
    pub bytes_in: f64,
    /// Bytes sent a second.
    pub bytes_out: f64,
    /// Messages received a second.
    pub messages_in: f64,
    /// Messages sent a second.
    pub messages_out: f64,
}

/// What control costs one node, as a mean over the nodes of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PerNode {
    /// Traffic by kind of message.
    pub traffic: Vec<Traffic>,
    /// Most bytes received and sent by any node within a second.
    pub peak_bytes: f64,
    /// Processor time, in seconds a second.
    pub cpu: f64,
    /// Memory, in bytes, of a process that did nothing else; `None` where there was none of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory: Option<f64>,
}

impl PerNode {
    /// What nodes used that sent and received messages of one kind.
    pub fn of(kind: &str, usage: &Usage, memory: Option<f64>) -> PerNode {
        let traffic = Traffic {
            kind: kind.to_owned(),
            bytes_in: usage.bytes_in,
            bytes_out: usage.bytes_out,
            messages_in: usage.messages_in,
            messages_out: usage.messages_out,
        };
        PerNode {
            traffic: vec![traffic],
            peak_bytes: usage.short_most as f64,
            cpu: usage.cpu,
            memory,
        }
    }

    /// Bytes that a node received and sent in a second.
    pub fn bytes(&self) -> f64 {
        self.traffic
            .iter()
            .map(|traffic| traffic.bytes_in + traffic.bytes_out)
            .sum()
    }
}

/// Times of requests through a real node, at rest and while the control side is loaded.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestTimes {
    /// With nothing else to do.
    pub at_rest: Times,
    /// While changes arrive.
    pub under_changes: Times,
}

/// What control machines used, each.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Bytes received a second.
    pub bytes_in: f64,
    /// Bytes sent a second.
    pub bytes_out: f64,
    /// Processor time, in seconds a second.
    pub cpu: f64,
    /// Memory, in bytes.
    pub memory: f64,
}

/// What came of a play of the distribution, beside what all runs have.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Played {
    /// What was played, in words.
    pub title: String,
    /// Which time is held against a budget.
    pub judged_by: JudgedBy,
    /// Time until a node had all, once it could hear again.
    pub caught_up: Option<Times>,
    /// Most bytes that any node received and sent within [`LONG_SPAN`](super::account::LONG_SPAN).
    pub peak_bytes_10s: f64,
    /// How often a node had not got a change in the end.
    pub missing: u64,
    /// Promises that were not kept: versions that went back, nodes that ended unlike the author, links over their budget.
    pub faults: u64,
    /// Ages that nodes stated, where they were compared with the truth.
    pub ages: Option<Ages>,
    /// What control machines used.
    pub control: Control,
}

impl Played {
    /// What came of a play, with the memory of one control machine in bytes.
    pub fn of(title: String, outcome: &Outcome, control_memory: f64) -> Played {
        let Usage {
            bytes_in,
            bytes_out,
            cpu,
            ..
        } = outcome.control;
        Played {
            title,
            judged_by: outcome.judged_by,
            caught_up: outcome.caught_up,
            peak_bytes_10s: outcome.nodes.long_most as f64,
            missing: outcome.missing as u64,
            faults: outcome.faults_seen as u64,
            ages: outcome.ages,
            control: Control {
                bytes_in,
                bytes_out,
                cpu,
                memory: control_memory,
            },
        }
    }
}

/// One run at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// What it was about, such as `quiet`, `sweep` or the name of a worst moment.
    pub name: String,
    /// What it was played with.
    pub source: Source,
    /// How large it was.
    pub size: Size,
    /// How long it took, in seconds of its own clock.
    pub seconds: f64,
    /// What control cost each node.
    pub per_node: PerNode,
    /// Time until a change was in force at the nodes.
    pub in_force: Option<Times>,
    /// What requests felt of it.
    pub requests: Option<RequestTimes>,
    /// Length of what a computation read, in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub read_bytes: Option<u64>,
    /// What came of it, if it is a play of the distribution.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub played: Option<Played>,
}

/// Whether points bend away from a line: the t statistic of a quadratic term.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bend {
    /// The quadratic term over its standard error.
    pub t: f64,
    /// The bound that it is held against.
    pub bound: f64,
    /// Whether it is a bend.
    pub bent: bool,
}

/// What a line says of a size that was not measured.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Projection {
    /// The size on the line's axis.
    pub at: f64,
    /// The figure there.
    pub figure: f64,
    /// The error that the slope's standard error makes at this distance from the points.
    pub standard_error: f64,
}

/// A straight line through the figures of a sweep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// The axis that was swept.
    pub axis: Axis,
    /// The figure, with its unit.
    pub figure: String,
    /// Sizes on the axis and the figure there.
    pub points: Vec<(f64, f64)>,
    /// The figure at zero.
    pub intercept: f64,
    /// Growth of the figure for one more on the axis.
    pub slope: f64,
    /// Standard error of the slope.
    pub standard_error: f64,
    /// The residuals show a bend: the line must not be extended.
    pub bent: bool,
    /// The figure less the line, point by point.
    #[serde(default)]
    pub residuals: Vec<f64>,
    /// By what a bend is told.
    #[serde(default)]
    pub bend: Option<Bend>,
    /// The line at the target; `None` if it is not extended.
    #[serde(default)]
    pub projection: Option<Projection>,
}

/// All figures of one invocation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// [`SCHEMA`].
    pub schema: u32,
    /// The commit that was measured.
    pub commit: String,
    /// The seed of all draws.
    pub seed: u64,
    /// Cores of the machine.
    pub cores: usize,
    /// Single runs.
    pub runs: Vec<Run>,
    /// Lines through the sweeps.
    pub slopes: Vec<Slope>,
}

impl Report {
    /// Adds runs; a run takes the place of an earlier one of its name and size.
    pub fn append(&mut self, runs: Vec<Run>) {
        for run in runs {
            let is_earlier = |other: &&mut Run| other.name == run.name && other.size == run.size;
            match self.runs.iter_mut().find(is_earlier) {
                Some(earlier) => *earlier = run,
                None => self.runs.push(run),
            }
        }
    }
}
