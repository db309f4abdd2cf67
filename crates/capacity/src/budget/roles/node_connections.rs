//! Connections of a node. Generates the table `node-connections`.

use crate::budget::model::costs::Costs;
use crate::budget::model::{self, connections, program_limits};
use crate::budget::requirement::Requirement;
use crate::budget::units::Unit;

/// Returns the requirements for connections of a node.
pub fn requirements(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::derived("watches of lists", Unit::Count, "services")
            .at_sizes(|size| size.services as f64)
            .budget(program_limits::SPARE_DESCRIPTORS)
            .mechanism(
                "`crates/config/src/check.rs`: descriptors that are neither for clients \
                nor for servers",
            ),
        Requirement::derived(
            "connections to servers that would stand idle",
            Unit::Count,
            "evenly spread, kept `idle_kept`",
        )
        .at_sizes(|size| connections::idle_ratio(costs, size) * size.servers as f64)
        .budget(program_limits::SERVER_CONNECTIONS)
        .mechanism(
            "`crates/node/src/net/upstream.rs`: the oldest goes, so that a request \
                dials",
        ),
        Requirement::assumed(
            "requests a second to one server",
            Unit::CountPerSecond,
            "evenly spread",
        )
        .at_sizes(connections::request_rate_to_server)
        .mechanism(
            "`crates/balancer/src/decide/subset.rs`: 2 a second are wanted; without a \
                number each node has the whole list",
        ),
        Requirement::assumed(
            "servers that could have 2 a second each",
            Unit::Count,
            "requests of a node",
        )
        .at_sizes(connections::servers_at_warm_rate)
        .mechanism("the same"),
        Requirement::assumed(
            "requests that dial",
            Unit::CountPerSecond,
            "no idle connection is there",
        )
        .at_sizes(|size| model::node_request_rate(size) * connections::dial_ratio(costs, size))
        .mechanism(
            "`crates/node/src/net/upstream.rs`: a round trip and a handshake of the \
                system each",
        ),
    ]
}
