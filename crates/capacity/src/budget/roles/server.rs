//! Load on a server that nodes send requests to. Generates the table `server`.

use crate::budget::model::connections;
use crate::budget::model::costs::Costs;
use crate::budget::requirement::Requirement;
use crate::budget::units::Unit;

/// Returns the requirements of a server.
pub fn requirements(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::assumed("requests", Unit::CountPerSecond, "evenly spread")
            .at_sizes(connections::server_request_rate)
            .mechanism("`crates/balancer`"),
        Requirement::derived(
            "connections that stand idle",
            Unit::Count,
            "from all nodes, kept `idle_kept`",
        )
        .at_sizes(|size| connections::idle_ratio(costs, size) * size.nodes as f64)
        .mechanism(
            "`crates/node/src/net/upstream.rs`; `process.server_connections` bounds \
                them for one node alone",
        ),
        Requirement::derived(
            "connections opened",
            Unit::CountPerSecond,
            "requests that meet none",
        )
        .at_sizes(|size| {
            connections::server_request_rate(size) * connections::dial_ratio(costs, size)
        })
        .mechanism("the same"),
        Requirement::derived(
            "probes",
            Unit::CountPerSecond,
            "nodes send none; one node in a second tries a condemned server",
        )
        .constant(0.0)
        .mechanism("`crates/cluster/src/quorum.rs`"),
        Requirement::assumed(
            "a request from each node within a second of its start",
            Unit::Count,
            "nodes that have it listed and a request for it",
        )
        .at_sizes(|size| {
            size.nodes as f64 * (1.0 - (-connections::request_rate_to_server(size)).exp())
        })
        .mechanism(
            "`crates/balancer/src/decide/slow_start.rs`: tolerance is parted by `process.nodes`",
        ),
    ]
}
