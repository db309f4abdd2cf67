//! Requirements of a service that serves endpoint lists. Generates the table `lists`.

use crate::budget::model::costs::Costs;
use crate::budget::model::{budget, distribution, endpoint_lists, program_limits};
use crate::budget::requirement::Requirement;
use crate::budget::units::Unit;

/// Note on the mechanism, as shown on the page.
const MECHANISM: &str = "not ours; worked out for one service that all nodes ask";

/// Returns the requirements of a list service.
pub fn requirements(costs: &Costs) -> Vec<Requirement> {
    [watches(costs), whole_lists(costs)].concat()
}

/// Requirements for watches, their heartbeats and changes.
fn watches(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::derived("watches that it holds", Unit::Count, "nodes, services")
            .at_sizes(|size| size.nodes as f64 * size.services as f64)
            .mechanism(MECHANISM),
        Requirement::assumed(
            "its bytes for signs of life",
            Unit::BytesPerSecond,
            "the same, each `beat_every`",
        )
        .at_sizes(|size| endpoint_lists::heartbeat_traffic(costs, size) * size.nodes as f64)
        .budget(costs.machine_bandwidth)
        .mechanism(MECHANISM),
        Requirement::assumed(
            "its bytes for changes",
            Unit::BytesPerSecond,
            "restarts a day, to all nodes",
        )
        .at_sizes(|size| {
            endpoint_lists::change_traffic(costs, endpoint_lists::restart_rate(size))
                * size.nodes as f64
        })
        .budget(costs.machine_bandwidth)
        .mechanism(MECHANISM),
    ]
}

/// Requirements for sending whole lists, and the length of one list.
fn whole_lists(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::derived(
            "all lists whole to all nodes",
            Unit::Seconds,
            "`list_line_bytes` a server, one link",
        )
        .at_sizes(|size| {
            distribution::transfer_seconds(
                costs,
                endpoint_lists::list_bytes(costs, size.servers as f64),
                size.nodes as f64,
                1.0,
            )
        })
        .budget(budget::IN_FORCE_SECONDS)
        .mechanism(MECHANISM),
        Requirement::derived(
            "one list of all servers",
            Unit::Bytes,
            "`list_line_bytes` a server",
        )
        .at_sizes(|size| endpoint_lists::list_bytes(costs, size.servers as f64))
        .budget(program_limits::ENDPOINT_LIST_BYTES)
        .mechanism("`crates/node/src/net/discovery.rs`: a longer one can't be followed"),
    ]
}
