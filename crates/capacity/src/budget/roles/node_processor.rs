//! Processor time of control at a node. Generates the table `node-processor`.

use crate::budget::model::costs::Costs;
use crate::budget::model::{budget, endpoint_lists, gossip, node, settings};
use crate::budget::requirement::Requirement;
use crate::budget::units::Unit;
use crate::scale::report::Size;

/// Returns the processor requirements of a node.
pub fn requirements(costs: &Costs) -> Vec<Requirement> {
    [
        settings_and_pools(costs),
        server_lists(costs),
        cluster(costs),
        requests(costs),
    ]
    .concat()
}

/// Processor time of reading settings and of idle pools.
fn settings_and_pools(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::derived(
            "reading the whole file at each change",
            Unit::Cores,
            "`read_seconds` by length, changes a day",
        )
        .at_sizes(|size| {
            settings::read_seconds(costs, settings::file_bytes(costs, size))
                * settings::change_rate(size)
        })
        .budget(budget::NODE_CORES)
        .mechanism("`crates/config/src/reader.rs`"),
        Requirement::derived(
            "at rest, nobody asking: timers of pools, looks at pools",
            Unit::Cores,
            "`rest_cores`, `service_rest_cores`; measured to 256 services",
        )
        .at_sizes(|size| node::idle_cores(costs, size))
        .budget(budget::NODE_CORES)
        .mechanism(
            "`crates/balancer/src/decide/mod.rs` (`sweep`), `crates/node/src/net/pool.rs`, \
                `crates/node/src/net/shared.rs`",
        )
        .improved_by(
            "pools that rest without a timer: as one service",
            costs.idle_node_cores,
        ),
    ]
}

/// Processor time of endpoint lists and of the verdicts on their servers.
fn server_lists(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::derived(
            "entries of a registry read again",
            Unit::Cores,
            "all of them each `reread_every`, `entry_read_seconds` each",
        )
        .at_sizes(|size| endpoint_lists::registry_polling(costs, size).cores)
        .budget(budget::NODE_CORES)
        .mechanism("`crates/registry-client/src/follow.rs` (`tick`)"),
        Requirement::derived(
            "words of lists looked through, four times a second",
            Unit::Cores,
            "`lapse_seconds` for each server",
        )
        .at_sizes(|size| node::expiry_cores(costs, size))
        .budget(budget::NODE_CORES)
        .mechanism("`crates/routing/src/shared_servers.rs` (`expire`)"),
        Requirement::derived(
            "each pool told of each server held for sick, at the worst moment",
            Unit::Cores,
            "a full table of verdicts, ten times a second",
        )
        .at_sizes(|size| node::verdict_cores(costs, size))
        .budget(budget::NODE_CORES)
        .mechanism(
            "`crates/node/src/fleet/mod.rs` (`judge`), \
                `crates/node/src/net/shared.rs`",
        ),
    ]
}

/// Processor time of cluster membership.
fn cluster(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::derived(
            "sorting members while there is news",
            Unit::Cores,
            "ten draws a second",
        )
        .at_sizes(|size| gossip::sampling_cores(costs, size.nodes as f64))
        .budget(budget::NODE_CORES)
        .mechanism("`crates/cluster/src/fleet` (`draw`)"),
        Requirement::derived(
            "words about members, the day's mean",
            Unit::Cores,
            "members are looked through for each",
        )
        .at_sizes(|size| member_update_cores(costs, size))
        .budget(budget::NODE_CORES)
        .mechanism("the library `foca` below `crates/cluster/src/members.rs`"),
    ]
}

/// Processor time of applying member updates, averaged over a day.
fn member_update_cores(costs: &Costs, size: &Size) -> f64 {
    gossip::member_update_rate(size, endpoint_lists::restart_rate(size))
        * gossip::member_update_seconds(costs, size.nodes as f64)
}

/// Computations that delay requests.
fn requests(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::measured("a choice among 1,000 servers", Unit::Seconds, "one core")
            .constant(costs.selection_seconds_1000)
            .budget(budget::ADDED_LATENCY_SECONDS)
            .mechanism("`crates/balancer/src/decide/selection.rs`"),
        Requirement::measured(
            "a list of 5,000 servers taken in",
            Unit::Seconds,
            "one core; requests wait",
        )
        .constant(costs.list_update_seconds_5000)
        .budget(budget::ADDED_LATENCY_SECONDS)
        .mechanism(
            "`crates/balancer/src/decide/endpoint_list.rs`, `crates/balancer/src/floored.rs`",
        ),
    ]
}
