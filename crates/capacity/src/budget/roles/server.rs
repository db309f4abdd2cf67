//! A server that requests are sent to.

use super::super::kind::Kind::{Assumed, WorkedOut};
use super::super::model::{self, Costs};
use super::super::table::{Row, Unit};
use super::row::{at, Of};

pub fn server(costs: &Costs) -> Vec<Row> {
    vec![
        Of("requests", "evenly spread", Assumed, Unit::CountPerSecond).row(
            at(|size| model::requests(size) / size.servers as f64),
            None,
            "`crates/balancer`",
        ),
        Of(
            "connections that stand idle",
            "from all nodes, kept `idle_kept`",
            WorkedOut,
            Unit::Count,
        )
        .row(
            at(|size| model::standing(costs, size) * size.nodes as f64),
            None,
            "`crates/node/src/net/upstream.rs`; `process.server_connections` bounds \
                them for one node alone",
        ),
        Of(
            "connections opened",
            "requests that meet none",
            WorkedOut,
            Unit::CountPerSecond,
        )
        .row(
            at(|size| {
                model::requests(size) / size.servers as f64 * (1.0 - model::standing(costs, size))
            }),
            None,
            "the same",
        ),
        Of(
            "probes",
            "nodes send none; one node in a second tries a condemned server",
            WorkedOut,
            Unit::CountPerSecond,
        )
        .row([0.0; 3], None, "`crates/cluster/src/quorum.rs`"),
        Of(
            "a request from each node within a second of its start",
            "nodes that have it listed and a request for it",
            Assumed,
            Unit::Count,
        )
        .row(
            at(|size| size.nodes as f64 * (1.0 - (-model::pair_rate(size)).exp())),
            None,
            "`crates/balancer/src/decide/slow_start.rs`: tolerance is parted by `process.nodes`",
        ),
    ]
}
