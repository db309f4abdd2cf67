//! The figures of a scale run, as they are written to and read from JSON.
//!
//! The scale runs of this package and of the capacity package write these types, and the tables of the documentation are
//! generated from them. Names of fields are those of the JSON.

use super::account::Usage;
use super::scenarios::Outcome;
use serde::{Deserialize, Serialize};

pub use super::scenarios::JudgedBy;
pub use super::times::Times;
pub use super::world::Ages;

/// Version of the JSON format; readers reject any other.
pub const SCHEMA: u32 = 1;

/// The size of the system that a run emulates.
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

/// What a run was measured with.
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

/// Traffic of one kind of message, of one node.
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

/// What the control side costs one node, as a mean over the nodes of a run.
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
    /// The figures of nodes that sent and received messages of one kind.
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
            peak_bytes: usage.short_window_max as f64,
            cpu: usage.cpu,
            memory,
        }
    }

    /// Bytes that a node received and sent per second.
    pub fn bytes(&self) -> f64 {
        self.traffic
            .iter()
            .map(|traffic| traffic.bytes_in + traffic.bytes_out)
            .sum()
    }
}

/// Latencies of requests through a real node, at rest and while configuration changes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestTimes {
    /// Without load on the control side.
    pub at_rest: Times,
    /// While changes are applied.
    pub under_changes: Times,
}

/// What each control machine used, as a mean.
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

/// The figures of a scenario of the distribution, beside those that all runs have.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Played {
    /// The scenario and its parameters.
    pub title: String,
    /// Which time has a budget.
    pub judged_by: JudgedBy,
    /// Time until a node was up to date, once it was connected again.
    pub caught_up: Option<Times>,
    /// Most bytes that any node received and sent within [`LONG_WINDOW`](super::account::LONG_WINDOW).
    pub peak_bytes_10s: f64,
    /// How often a node had not applied a change at the end.
    pub missing: u64,
    /// Number of violations of invariants: versions that did not increase, nodes that differ from the publisher at the end,
    /// nodes that exceeded their bandwidth.
    pub faults: u64,
    /// The staleness that nodes stated, if it was compared with the true one.
    pub ages: Option<Ages>,
    /// What control machines used.
    pub control: Control,
}

impl Played {
    /// The figures of an outcome, with the memory of one control machine in bytes.
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
            caught_up: outcome.catch_up_times,
            peak_bytes_10s: outcome.nodes.long_window_max as f64,
            missing: outcome.missing as u64,
            faults: outcome.violation_count as u64,
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
    /// Its name, such as `quiet`, `sweep` or the name of a scenario.
    pub name: String,
    /// What it was measured with.
    pub source: Source,
    /// The size of the system.
    pub size: Size,
    /// Its duration, in seconds of its own clock.
    pub seconds: f64,
    /// What the control side cost each node.
    pub per_node: PerNode,
    /// Time until nodes had applied a change.
    pub in_force: Option<Times>,
    /// Latencies of requests.
    pub requests: Option<RequestTimes>,
    /// Length of what a computation read, in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub read_bytes: Option<u64>,
    /// The figures of the scenario, if it is one of the distribution.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub played: Option<Played>,
}

/// Whether points bend away from a line: the t statistic of a quadratic term.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bend {
    /// The quadratic term over its standard error.
    pub t: f64,
    /// The bound beyond which it is a bend.
    pub bound: f64,
    /// Whether it is a bend.
    pub bent: bool,
}

/// The extrapolation of a line to a size that was not measured.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Projection {
    /// The size on the line's axis.
    pub at: f64,
    /// The figure there.
    pub figure: f64,
    /// The error that follows from the slope's standard error at this distance from the points.
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
    /// The residuals show a bend: the line must not be extrapolated.
    pub bent: bool,
    /// The figure less the line, point by point.
    #[serde(default)]
    pub residuals: Vec<f64>,
    /// The test for a bend.
    #[serde(default)]
    pub bend: Option<Bend>,
    /// The line at the target; `None` if it is not extrapolated.
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
    /// The seed of all random numbers.
    pub seed: u64,
    /// Cores of the machine.
    pub cores: usize,
    /// Single runs.
    pub runs: Vec<Run>,
    /// Lines through the sweeps.
    pub slopes: Vec<Slope>,
}

impl Report {
    /// Adds runs; a run replaces an earlier one of the same name and size.
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
