//! The figures of a run that lines are drawn through, by [`sweep`](super::sweep) and [`lines`](super::lines).

use super::computation::Computation;
use super::report::{Run, Traffic};

/// A figure of a run.
#[derive(Clone, Copy)]
pub struct Figure {
    /// Name in reports, with the unit.
    pub name: &'static str,
    /// Extracts the value from a run; `None` if the run does not have it.
    pub value: fn(&Run) -> Option<f64>,
}

const CONTROL_TRAFFIC: Figure = Figure {
    name: "control traffic of a node, in and out, B/s",
    value: |run| Some(run.per_node.traffic.iter().map(bytes_in_and_out).sum()),
};
const PEAK_TRAFFIC: Figure = Figure {
    name: "most control traffic of a node in 1 s, B",
    value: |run| Some(run.per_node.peak_bytes),
};
const CONTROL_CPU: Figure = Figure {
    name: "control processor time of a node, % of a core",
    value: |run| Some(run.per_node.cpu * 100.0),
};
const BAN_PROPAGATION: Figure = Figure {
    name: "time until a ban is in force, p99, s",
    value: |run| run.in_force.map(|times| times.p99),
};

/// The figures of runs with simulated nodes.
pub const NETWORK_FIGURES: [Figure; 4] =
    [CONTROL_TRAFFIC, PEAK_TRAFFIC, CONTROL_CPU, BAN_PROPAGATION];
/// The figures that are fitted by nodes and restarts together.
pub const INTERACTION_FIGURES: [Figure; 3] = [CONTROL_TRAFFIC, PEAK_TRAFFIC, CONTROL_CPU];
/// Memory of a node, in the first window of each fleet only: later windows run in the same process, whose memory
/// already includes the earlier ones.
pub const NETWORK_MEMORY: Figure = Figure {
    name: "memory of a node, B",
    value: |run| run.per_node.memory,
};

const COMPUTATION_CPU: Figure = Figure {
    name: "processor time, s",
    value: |run| Some(run.per_node.cpu),
};
const COMPUTATION_MEMORY: Figure = Figure {
    name: "most memory of the process, B",
    value: |run| run.per_node.memory,
};
const INPUT_LENGTH: Figure = Figure {
    name: "length, B",
    value: |run| run.read_bytes.map(|bytes| bytes as f64),
};
/// The figures of reading settings.
pub const SETTINGS_FIGURES: [Figure; 3] = [COMPUTATION_CPU, COMPUTATION_MEMORY, INPUT_LENGTH];
/// The figures of applying a snapshot, without the length, which follows from the number of servers.
const SNAPSHOT_FIGURES: [Figure; 2] = [COMPUTATION_CPU, COMPUTATION_MEMORY];
/// The figures of applying an update, without the memory, which is that of the snapshot.
const UPDATE_FIGURES: [Figure; 1] = [COMPUTATION_CPU];

/// The figures of one computation.
pub fn computation_figures(computation: Computation) -> &'static [Figure] {
    match computation {
        Computation::Settings => &SETTINGS_FIGURES,
        Computation::ServerList => &SNAPSHOT_FIGURES,
        Computation::ServerChange => &UPDATE_FIGURES,
    }
}

fn bytes_in_and_out(traffic: &Traffic) -> f64 {
    traffic.bytes_in + traffic.bytes_out
}
