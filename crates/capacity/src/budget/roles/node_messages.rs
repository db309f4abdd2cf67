//! Control messages that a node sends and receives. Generates the table `node-messages`.

use crate::budget::measurements::MeasuredRun;
use crate::budget::model::costs::Costs;
use crate::budget::model::{self, budget, endpoint_lists, gossip, leases, settings};
use crate::budget::requirement::Requirement;
use crate::budget::units::Unit;
use crate::scale::report::Size;

/// Name of the scale run without updates.
const QUIET_RUN: &str = "quiet";

/// Returns the traffic requirements of control at a node.
pub fn requirements(costs: &Costs, runs: &[MeasuredRun]) -> Vec<Requirement> {
    let mut requirements = settings_changes(costs);
    requirements.extend(server_lists(costs));
    requirements.push(quiet_cluster(costs, runs));
    requirements.extend(cluster_updates(costs));
    requirements.push(leases(costs));
    requirements
}

/// Traffic of settings changes.
fn settings_changes(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::derived(
            "settings, a file for each change, the day's mean",
            Unit::BytesPerSecond,
            "`settings_bytes` by entries, changes a day",
        )
        .at_sizes(|size| settings::file_bytes(costs, size) * settings::change_rate(size))
        .budget(budget::NODE_TRAFFIC)
        .mechanism(
            "none: nothing carries files; `crates/node/src/standalone.rs` reads one \
                from the disk",
        )
        .improved_by(
            "each change by itself",
            settings::change_rate(&Size::TARGET) * settings::change_packet_bytes(costs),
        ),
        Requirement::derived(
            "the same at the rate of 500 changes in a minute",
            Unit::BytesPerSecond,
            "the same",
        )
        .at_sizes(|size| settings::burst_traffic(settings::file_bytes(costs, size)))
        .budget(budget::NODE_TRAFFIC)
        .mechanism("none")
        .improved_by(
            "each change by itself",
            settings::burst_traffic(settings::change_packet_bytes(costs)),
        ),
    ]
}

/// Traffic of endpoint lists.
fn server_lists(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::assumed(
            "lists: signs of life of the watches",
            Unit::BytesPerSecond,
            "services, each `beat_every`",
        )
        .at_sizes(|size| endpoint_lists::heartbeat_traffic(costs, size))
        .budget(budget::NODE_TRAFFIC)
        .mechanism("`crates/node/src/net/discovery.rs`: a connection for each service")
        .improved_by(
            "one connection for all lists",
            endpoint_lists::watch_heartbeat_traffic(costs),
        ),
        Requirement::assumed(
            "lists: changes",
            Unit::BytesPerSecond,
            "restarts a day, three changes each",
        )
        .at_sizes(|size| endpoint_lists::change_traffic(costs, endpoint_lists::restart_rate(size)))
        .budget(budget::NODE_TRAFFIC)
        .mechanism("`crates/node/src/net/discovery.rs`"),
        Requirement::derived(
            "a registry in place of list services: entries read again",
            Unit::BytesPerSecond,
            "all entries each `reread_every`, `entry_read_bytes` each",
        )
        .at_sizes(|size| endpoint_lists::registry_polling(costs, size).traffic)
        .budget(budget::NODE_TRAFFIC)
        .mechanism("`crates/registry-client/src/follow.rs` (`tick`)"),
    ]
}

/// Traffic, in and out, in bytes per second, of a node without updates at this size, if a run measured it.
fn measured_quiet_traffic(runs: &[MeasuredRun], size: &Size) -> Option<f64> {
    runs.iter()
        .map(|measured| &measured.run)
        .find(|run| run.name == QUIET_RUN && run.size.nodes == size.nodes)
        .map(|run| run.per_node.bytes())
}

/// Traffic of gossip without updates, at the sizes at which it was measured.
fn quiet_cluster(costs: &Costs, runs: &[MeasuredRun]) -> Requirement {
    let [small, medium, target] = model::page_sizes();
    // The inputs count sent bytes only; a node receives as much as it sends.
    let small_input = 2.0 * costs.gossip_traffic_300;
    let medium_input = 2.0 * costs.gossip_traffic_1500;
    let amounts = [
        measured_quiet_traffic(runs, &small).or(Some(small_input)),
        measured_quiet_traffic(runs, &medium).or(Some(medium_input)),
        measured_quiet_traffic(runs, &target),
    ];
    let derivation =
        "in and out; nothing is extended: out of a node come 604 bytes at 300 nodes, 602 \
                      at 1,000 and 604 at 1,500";
    Requirement::measured("fleet, quiet", Unit::BytesPerSecond, derivation)
        .amounts(amounts)
        .budget(budget::NODE_TRAFFIC)
        .mechanism("`crates/cluster`")
}

/// Traffic of gossip with updates.
fn cluster_updates(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::assumed(
            "fleet: restarts of nodes, the day's mean",
            Unit::BytesPerSecond,
            "an end, a beginning and a later life, each told as often as the size \
                asks",
        )
        .at_sizes(|size| {
            gossip::membership_traffic(costs, size, endpoint_lists::restart_rate(size))
        })
        .budget(budget::NODE_TRAFFIC)
        .mechanism("`crates/cluster/src/members.rs`"),
        Requirement::derived(
            "fleet: news, all datagrams full",
            Unit::BytesPerSecond,
            "three to each tenth of a second, in and out",
        )
        .constant(gossip::max_traffic())
        .budget(budget::NODE_TRAFFIC)
        .mechanism("`crates/cluster/src/fleet`: nothing bounds bytes a second"),
    ]
}

/// Traffic of lease requests.
fn leases(costs: &Costs) -> Requirement {
    Requirement::derived(
        "leases: a node that waits for one in each service",
        Unit::BytesPerSecond,
        "all keepers once in a lease's length",
    )
    .at_sizes(|size| leases::requester_traffic(costs, size))
    .budget(budget::NODE_TRAFFIC)
    .mechanism("`crates/lease/src/holder.rs`; not switched on for lists")
}
