//! The JSON format of the results of scale runs.
//!
//! The scale runs of this package and of the capacity package write these types, and tables in the documentation are
//! generated from them. Field names are the names in the JSON.

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
    /// Number of nodes of the fleet.
    pub nodes: usize,
    /// Number of servers of all services.
    pub servers: usize,
    /// Number of services.
    pub services: usize,
    /// Number of routes of all services.
    pub routes: usize,
    /// Number of tenants of all services.
    pub tenants: usize,
    /// Configuration changes per day.
    pub changes: usize,
    /// Server restarts per day.
    pub restarts: usize,
}

impl Size {
    /// The size that the system has to support in two years.
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

/// How the figures of a run were obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The control planes of many nodes in one process, on loopback sockets.
    HollowNodes,
    /// Processes of the production program, which serve requests.
    RealNodes,
    /// The production code in virtual time.
    VirtualTime,
    /// A single computation, such as reading a settings file.
    Computation,
}

/// Traffic of one kind of message at one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// The kind of message, such as `gossip` or `list`.
    pub kind: String,
    /// Bytes received per second.
    pub bytes_in: f64,
    /// Bytes sent per second.
    pub bytes_out: f64,
    /// Messages received per second.
    pub messages_in: f64,
    /// Messages sent per second.
    pub messages_out: f64,
}

/// The cost of the control plane for one node, as a mean over the nodes of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PerNode {
    /// Traffic by kind of message.
    pub traffic: Vec<Traffic>,
    /// Maximum number of bytes received and sent by any node within a second.
    pub peak_bytes: f64,
    /// Processor time, in seconds per second.
    pub cpu: f64,
    /// Memory of the control plane, in bytes; `None` if it could not be measured separately.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory: Option<f64>,
}

impl PerNode {
    /// The costs of nodes whose traffic consists of one kind of message.
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

    /// Total bytes received and sent per second.
    pub fn bytes(&self) -> f64 {
        self.traffic
            .iter()
            .map(|traffic| traffic.bytes_in + traffic.bytes_out)
            .sum()
    }
}

/// Latencies of requests through a production node, at rest and during configuration changes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestTimes {
    /// While there are no configuration changes.
    pub at_rest: Times,
    /// While configuration changes are applied.
    pub under_changes: Times,
}

/// Mean resource usage of a control machine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Bytes received per second.
    pub bytes_in: f64,
    /// Bytes sent per second.
    pub bytes_out: f64,
    /// Processor time, in seconds per second.
    pub cpu: f64,
    /// Memory, in bytes.
    pub memory: f64,
}

/// Additional figures of a run that is a scenario of configuration distribution.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Played {
    /// Description of the scenario with its parameters.
    pub title: String,
    /// Which measured time is subject to a budget.
    pub judged_by: JudgedBy,
    /// Time from the reconnection or restart of nodes until they were up to date.
    pub caught_up: Option<Times>,
    /// Maximum number of bytes that any node received and sent within [`LONG_WINDOW`](super::account::LONG_WINDOW).
    pub peak_bytes_10s: f64,
    /// Number of pairs of a node and a change that the node had not applied at the end.
    pub missing: u64,
    /// Number of violations of invariants, such as versions that did not increase, nodes that differ from the publisher at the
    /// end, and nodes that exceeded their bandwidth.
    pub faults: u64,
    /// Comparison of the staleness that nodes reported with the actual one, if it was made.
    pub ages: Option<Ages>,
    /// Mean usage of the control machines.
    pub control: Control,
}

impl Played {
    /// The figures of an outcome. `control_memory` is the memory of one control machine, in bytes.
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
    /// The name of the run, such as `quiet`, `sweep` or the name of a scenario.
    pub name: String,
    /// How the figures were obtained.
    pub source: Source,
    /// The size of the emulated system.
    pub size: Size,
    /// Duration of the run, in seconds of its own clock.
    pub seconds: f64,
    /// Mean cost of the control plane for a node.
    pub per_node: PerNode,
    /// Time until nodes had applied a change.
    pub in_force: Option<Times>,
    /// Latencies of requests.
    pub requests: Option<RequestTimes>,
    /// Length of the input of a computation, in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub read_bytes: Option<u64>,
    /// Additional figures, if the run is a scenario of configuration distribution.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub played: Option<Played>,
}

/// A test for curvature: the t statistic of a quadratic term that is added to the line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bend {
    /// The quadratic coefficient divided by its standard error.
    pub t: f64,
    /// The bound of |t| beyond which the curvature is significant.
    pub bound: f64,
    /// Whether the curvature is significant.
    pub bent: bool,
}

/// The extrapolation of a line to a size that was not measured.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Projection {
    /// The size on the line's axis.
    pub at: f64,
    /// The extrapolated figure.
    pub figure: f64,
    /// Its standard error, which follows from that of the slope and the distance from the measured points.
    pub standard_error: f64,
}

/// A straight line fitted to the figures of a sweep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// The axis that was swept.
    pub axis: Axis,
    /// The name of the figure, with its unit.
    pub figure: String,
    /// Pairs of a size on the axis and the figure measured there.
    pub points: Vec<(f64, f64)>,
    /// The line's value at size 0.
    pub intercept: f64,
    /// Growth of the figure per unit on the axis.
    pub slope: f64,
    /// Standard error of the slope.
    pub standard_error: f64,
    /// Whether the residuals show curvature, so that the line must not be extrapolated.
    pub bent: bool,
    /// The difference of the figure from the line at each point.
    #[serde(default)]
    pub residuals: Vec<f64>,
    /// The test for curvature.
    #[serde(default)]
    pub bend: Option<Bend>,
    /// The line's value at the target size; `None` if it is not extrapolated.
    #[serde(default)]
    pub projection: Option<Projection>,
}

/// The results of scale runs of one commit and seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Version of the format, [`SCHEMA`].
    pub schema: u32,
    /// The commit that was measured.
    pub commit: String,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Number of cores of the machine.
    pub cores: usize,
    /// The runs.
    pub runs: Vec<Run>,
    /// Lines fitted to sweeps.
    pub slopes: Vec<Slope>,
}

impl Report {
    /// Adds runs; a run replaces an earlier one with the same name and size.
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
