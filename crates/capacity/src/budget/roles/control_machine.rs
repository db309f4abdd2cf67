//! Requirements of a machine dedicated to control. Generates the table `control`.

use crate::budget::model::costs::Costs;
use crate::budget::model::{self, budget, distribution, settings};
use crate::budget::requirement::Requirement;
use crate::budget::units::Unit;
use crate::scale::report::Size;

/// Control machines that distribute settings, one in each zone; the others store the log of changes.
const RELAYS: f64 = model::ZONES;
/// A node's entry in the table of versions, in bytes.
const VERSION_BYTES: f64 = 16.0;
/// Note on the mechanism, as shown on the page.
const MECHANISM: &str = "none; worked out for 13 that tell changes on, one in each zone, and 5 \
                         that keep the record";

/// Nodes that one relay distributes settings to.
fn relayed_nodes(size: &Size) -> f64 {
    distribution::nodes_per_machine(size, RELAYS)
}

/// Returns the requirements of a control machine.
pub fn requirements(costs: &Costs) -> Vec<Requirement> {
    let mut requirements = changes(costs);
    requirements.extend(whole_files(costs));
    requirements.push(versions());
    requirements
}

/// Requirements if each change is distributed separately.
fn changes(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::derived("nodes of one that tells on", Unit::Count, "nodes, zones")
            .at_sizes(relayed_nodes)
            .mechanism(MECHANISM),
        Requirement::assumed(
            "its bytes, the day's mean",
            Unit::BytesPerSecond,
            "changes by themselves, to each node",
        )
        .at_sizes(|size| {
            relayed_nodes(size) * settings::change_rate(size) * settings::change_packet_bytes(costs)
        })
        .budget(costs.machine_bandwidth)
        .mechanism(MECHANISM),
        Requirement::assumed(
            "its bytes, 500 changes in a minute",
            Unit::BytesPerSecond,
            "the same",
        )
        .at_sizes(|size| {
            settings::burst_traffic(relayed_nodes(size) * settings::change_packet_bytes(costs))
        })
        .budget(costs.machine_bandwidth)
        .mechanism(MECHANISM),
    ]
}

/// Requirements if whole files are distributed.
fn whole_files(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::derived(
            "the same by whole files",
            Unit::BytesPerSecond,
            "`settings_bytes` by entries",
        )
        .at_sizes(|size| {
            settings::burst_traffic(relayed_nodes(size) * settings::file_bytes(costs, size))
        })
        .budget(costs.machine_bandwidth)
        .mechanism(MECHANISM),
        Requirement::derived(
            "to give its nodes the whole settings at once",
            Unit::Seconds,
            "links filled",
        )
        .at_sizes(|size| {
            distribution::transfer_seconds(
                costs,
                settings::file_bytes(costs, size),
                size.nodes as f64,
                RELAYS,
            )
        })
        .budget(budget::IN_FORCE_SECONDS)
        .mechanism(MECHANISM),
    ]
}

/// Memory of the table that maps nodes to their settings versions.
fn versions() -> Requirement {
    Requirement::assumed(
        "which node has which version",
        Unit::Bytes,
        "16 bytes a node, all nodes",
    )
    .at_sizes(|size| VERSION_BYTES * size.nodes as f64)
    .mechanism(MECHANISM)
}
