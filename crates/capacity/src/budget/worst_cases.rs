//! Computed and measured costs of the worst cases for one node at the target. Generates the table `moments`; the ranking uses the
//! rate of restarts.

use super::markdown::{self, NOT_MEASURED};
use super::measurements::{in_force_text, MeasuredRun};
use super::model::costs::Costs;
use super::model::{self, budget, distribution, endpoint_lists, gossip, program_limits, settings};
use super::units::{amount, Unit};
use crate::scale::report::{Run, Size};

/// Machines of a rack.
const RACK_SERVERS: f64 = 40.0;
/// Restarts of the rollout.
const ROLLOUT_RESTARTS: f64 = 18_000.0;
/// Duration of the rollout, in seconds.
const ROLLOUT_SECONDS: f64 = 7200.0;
/// Duration of the partition between regions, in seconds.
const PARTITION_SECONDS: f64 = 3600.0;
/// Nodes outside of a region.
const OTHER_REGIONS_NODES: f64 = 4500.0;
/// Control machines that are left when half of them are lost.
const HALF_OF_CONTROL_MACHINES: f64 = model::CONTROL_MACHINES / 2.0;

/// A worst case for one node.
#[derive(Clone, Debug)]
pub struct WorstCase {
    /// Name of the scale runs that measure the case.
    pub run: &'static str,
    /// Description of the event.
    pub event: &'static str,
    /// Bytes that one node receives and sends.
    pub node_bytes: f64,
    /// Memory beyond that of a node at rest, in bytes; `None` where it is not known.
    pub memory: Option<f64>,
    /// Time within which the case has to be handled, in seconds; `None` without a budget.
    pub deadline: Option<f64>,
    /// Description of what fails or saturates first.
    pub bottleneck: String,
}

impl WorstCase {
    /// Returns the seconds that the bytes take at the traffic budget of a node.
    pub fn transfer_seconds(&self) -> f64 {
        self.node_bytes / budget::NODE_TRAFFIC
    }
}

/// Returns all worst cases, in the order of the table.
pub fn worst_cases(costs: &Costs) -> Vec<WorstCase> {
    vec![
        rollout(costs),
        zone_outage(costs),
        region_start(costs),
        region_partition(costs),
        rack_outage(costs),
        settings_burst(costs),
        control_machine_outage(),
        half_of_control_machines_lost(costs),
        rollback(costs),
    ]
}

/// Returns the mean number of restarts per second during the rollout.
pub(super) fn rollout_restart_rate() -> f64 {
    ROLLOUT_RESTARTS / ROLLOUT_SECONDS
}

/// Returns the bytes for one node when this many servers and nodes stop at once.
fn outage_bytes(costs: &Costs, servers: f64, nodes: f64) -> f64 {
    let member_update = costs.member_update_bytes + costs.header_bytes;
    let transmissions = gossip::transmissions(Size::TARGET.nodes as f64);
    endpoint_lists::list_bytes(costs, servers) + 2.0 * nodes * transmissions * member_update
}

fn rollout(costs: &Costs) -> WorstCase {
    let restart_rate = rollout_restart_rate();
    let traffic = endpoint_lists::change_traffic(costs, restart_rate)
        + gossip::membership_traffic(costs, &Size::TARGET, restart_rate);
    WorstCase {
        run: "restarts",
        event: "18,000 restarts within two hours",
        node_bytes: traffic * ROLLOUT_SECONDS,
        memory: None,
        deadline: Some(ROLLOUT_SECONDS),
        bottleneck: format!(
            "bytes of a node: {} of 8 KB/s, beside what the fleet takes when quiet",
            amount(traffic, Unit::BytesPerSecond)
        ),
    }
}

fn zone_outage(costs: &Costs) -> WorstCase {
    let outage = outage_bytes(costs, model::ZONE_SERVERS, model::ZONE_NODES);
    let reports = model::ZONE_SERVERS * program_limits::QUORUM_WITNESSES;
    WorstCase {
        run: "zone",
        event: "a zone of 3,850 servers and 460 nodes gone at once, and back",
        node_bytes: 2.0 * outage,
        memory: Some(2.0 * endpoint_lists::list_bytes(costs, model::ZONE_SERVERS)),
        deadline: Some(2.0 * budget::IN_FORCE_SECONDS),
        bottleneck: format!(
            "bytes of a node; then verdicts: three reports on each server are {} of \
             8,192, and each node makes 256 at most",
            amount(reports, Unit::Count)
        ),
    }
}

fn region_start(costs: &Costs) -> WorstCase {
    let target = Size::TARGET;
    let file = costs.settings_bytes;
    let region_machines = model::CONTROL_MACHINES / model::REGIONS;
    let transfer =
        distribution::transfer_seconds(costs, file, model::REGION_NODES, region_machines);
    WorstCase {
        run: "region-start",
        event: "a region's 1,500 nodes all started at once",
        node_bytes: file
            + endpoint_lists::list_bytes(costs, target.servers as f64)
            + 2.0 * target.nodes as f64 * costs.member_update_bytes,
        memory: Some(settings::read_memory(costs, file)),
        deadline: None,
        bottleneck: format!(
            "time to read the file ({} for the reader alone); then memory; {} \
             from the machines' links alone",
            amount(settings::read_seconds(costs, file), Unit::Seconds),
            amount(transfer, Unit::Seconds)
        ),
    }
}

fn region_partition(costs: &Costs) -> WorstCase {
    let target = Size::TARGET;
    let restart_rate = endpoint_lists::restart_rate(&target);
    let list_changes = PARTITION_SECONDS * endpoint_lists::change_traffic(costs, restart_rate);
    let changes = PARTITION_SECONDS * costs.change_bytes * settings::change_rate(&target);
    let member_updates = 2.0 * OTHER_REGIONS_NODES * costs.member_update_bytes;
    WorstCase {
        run: "regions-apart",
        event: "regions apart for an hour under normal churn, and together again",
        node_bytes: list_changes + changes + member_updates,
        memory: None,
        deadline: Some(budget::IN_FORCE_SECONDS),
        bottleneck: "members: each side takes 4,500 others for gone, and each side's \
                     comparisons bring four datagrams of them a second; settings: no \
                     mechanism puts two sides together"
            .to_owned(),
    }
}

fn rack_outage(costs: &Costs) -> WorstCase {
    WorstCase {
        run: "rack",
        event: "a rack of 40",
        node_bytes: outage_bytes(costs, RACK_SERVERS, 0.0),
        memory: Some(endpoint_lists::list_bytes(costs, RACK_SERVERS)),
        deadline: Some(budget::IN_FORCE_SECONDS),
        bottleneck: "nothing: 40 servers' ends".to_owned(),
    }
}

fn settings_burst(costs: &Costs) -> WorstCase {
    let file = costs.settings_bytes;
    let whole_files = settings::BURST_CHANGES * file;
    WorstCase {
        run: "changes",
        event: "500 changes of settings within a minute",
        node_bytes: whole_files,
        memory: Some(settings::read_memory(costs, file)),
        deadline: Some(settings::BURST_SECONDS + budget::IN_FORCE_SECONDS),
        bottleneck: format!(
            "bytes of a node: whole files are {}, changes by themselves {}",
            amount(whole_files, Unit::Bytes),
            amount(settings::BURST_CHANGES * costs.change_bytes, Unit::Bytes)
        ),
    }
}

fn control_machine_outage() -> WorstCase {
    WorstCase {
        run: "machine",
        event: "one of the 18 machines lost",
        node_bytes: 0.0,
        memory: None,
        deadline: Some(budget::IN_FORCE_SECONDS),
        bottleneck: "no mechanism: nothing runs on them yet".to_owned(),
    }
}

fn half_of_control_machines_lost(costs: &Costs) -> WorstCase {
    let nodes = distribution::nodes_per_machine(&Size::TARGET, HALF_OF_CONTROL_MACHINES);
    let traffic = settings::burst_traffic(nodes * costs.change_bytes);
    WorstCase {
        run: "half",
        event: "half of the 18 machines lost",
        node_bytes: 0.0,
        memory: None,
        deadline: Some(budget::IN_FORCE_SECONDS),
        bottleneck: format!(
            "no mechanism; with 9 left, {} nodes each: {} at 500 changes in a minute",
            amount(nodes, Unit::Count),
            amount(traffic, Unit::BytesPerSecond)
        ),
    }
}

fn rollback(costs: &Costs) -> WorstCase {
    let file = costs.settings_bytes;
    WorstCase {
        run: "take-back",
        event: "a change that has to be taken back within 15 s",
        node_bytes: 2.0 * file,
        memory: Some(settings::read_memory(costs, file)),
        deadline: Some(budget::IN_FORCE_SECONDS),
        bottleneck: "no mechanism: the former file has to be brought to each node; nothing \
                     says which have the bad one"
            .to_owned(),
    }
}

/// Renders the worst cases as a table, with the measurements of their runs.
pub fn table(costs: &Costs, runs: &[MeasuredRun]) -> String {
    let header = [
        "moment",
        "bytes for a node, worked out",
        "at 8 KB/s",
        "within",
        "measured: bytes in the worst second; in force p99, last; memory",
        "memory beyond rest, worked out",
        "gives first",
    ];
    let rows: Vec<_> = worst_cases(costs)
        .iter()
        .map(|worst_case| cells(worst_case, runs))
        .collect();
    markdown::table(&header, &rows)
}

fn cells(worst_case: &WorstCase, runs: &[MeasuredRun]) -> Vec<String> {
    let unless_zero = |text: String| {
        if worst_case.node_bytes > 0.0 {
            text
        } else {
            "-".to_owned()
        }
    };
    let deadline = worst_case.deadline.map_or("no budget".to_owned(), seconds);
    let memory = worst_case.memory.map_or("not known".to_owned(), bytes);
    vec![
        worst_case.event.to_owned(),
        unless_zero(bytes(worst_case.node_bytes)),
        unless_zero(seconds(worst_case.transfer_seconds())),
        deadline,
        measured(worst_case.run, runs),
        memory,
        worst_case.bottleneck.clone(),
    ]
}

fn bytes(value: f64) -> String {
    amount(value, Unit::Bytes)
}

fn seconds(value: f64) -> String {
    amount(value, Unit::Seconds)
}

/// Renders the measurements of all runs of a worst case, each with its size and commit.
fn measured(name: &str, runs: &[MeasuredRun]) -> String {
    let matching: Vec<String> = runs
        .iter()
        .filter(|measured| measured.run.name == name)
        .map(measurement)
        .collect();
    if matching.is_empty() {
        return "not measured yet".to_owned();
    }
    matching.join("<br>")
}

fn measurement(measured: &MeasuredRun) -> String {
    let Run {
        size,
        per_node,
        in_force,
        ..
    } = &measured.run;
    format!(
        "{} nodes at {}: {}; {}; {}",
        amount(size.nodes as f64, Unit::Count),
        measured.short_commit(),
        bytes(per_node.peak_bytes),
        in_force_text(*in_force),
        per_node.memory.map_or(NOT_MEASURED.to_owned(), bytes)
    )
}
