//! Connections of a node.

use super::super::kind::Kind::{Assumed, WorkedOut};
use super::super::model::{self, bound, Costs};
use super::super::table::{Row, Unit};
use super::row::{at, Of};

pub fn node_connections(costs: &Costs) -> Vec<Row> {
    vec![
        Of("watches of lists", "services", WorkedOut, Unit::Count).row(
            at(|size| size.services as f64),
            Some(bound::SPARE_DESCRIPTORS),
            "`crates/config/src/check.rs`: descriptors that are neither for clients \
                nor for servers",
        ),
        Of(
            "connections to servers that would stand idle",
            "evenly spread, kept `idle_kept`",
            WorkedOut,
            Unit::Count,
        )
        .row(
            at(|size| model::standing(costs, size) * size.servers as f64),
            Some(bound::CONNECTIONS),
            "`crates/node/src/net/upstream.rs`: the oldest goes, so that a request \
                dials",
        ),
        Of(
            "requests a second to one server",
            "evenly spread",
            Assumed,
            Unit::CountPerSecond,
        )
        .row(
            at(model::pair_rate),
            None,
            "`crates/balancer/src/decide/subset.rs`: 2 a second are wanted; without a \
                number each node has the whole list",
        ),
        Of(
            "servers that could have 2 a second each",
            "requests of a node",
            Assumed,
            Unit::Count,
        )
        .row(at(model::well_met), None, "the same"),
        Of(
            "requests that dial",
            "no idle connection is there",
            Assumed,
            Unit::CountPerSecond,
        )
        .row(
            at(|size| {
                model::requests(size) / size.nodes as f64 * (1.0 - model::standing(costs, size))
            }),
            None,
            "`crates/node/src/net/upstream.rs`: a round trip and a handshake of the \
                system each",
        ),
    ]
}
