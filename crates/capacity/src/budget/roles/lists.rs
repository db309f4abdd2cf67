//! A service that tells lists of servers.

use super::super::kind::Kind::{Assumed, WorkedOut};
use super::super::model::{self, bound, budget, Costs};
use super::super::table::{Row, Unit};
use super::row::{at, Of};

pub fn list_service(costs: &Costs) -> Vec<Row> {
    let none = "not ours; worked out for one service that all nodes ask";
    vec![
        Of(
            "watches that it holds",
            "nodes, services",
            WorkedOut,
            Unit::Count,
        )
        .row(
            at(|size| size.nodes as f64 * size.services as f64),
            None,
            none,
        ),
        Of(
            "its bytes for signs of life",
            "the same, each `beat_every`",
            Assumed,
            Unit::BytesPerSecond,
        )
        .row(
            at(|size| model::beats(costs, size) * size.nodes as f64),
            Some(costs.machine_link),
            none,
        ),
        Of(
            "its bytes for changes",
            "restarts a day, to all nodes",
            Assumed,
            Unit::BytesPerSecond,
        )
        .row(
            at(|size| {
                model::list_changes(costs, size.restarts as f64 / model::DAY) * size.nodes as f64
            }),
            Some(costs.machine_link),
            none,
        ),
        Of(
            "all lists whole to all nodes",
            "`list_line_bytes` a server, one link",
            WorkedOut,
            Unit::Seconds,
        )
        .row(
            at(|size| {
                model::given_in(
                    costs,
                    model::lists(costs, size.servers as f64),
                    size.nodes as f64,
                    1.0,
                )
            }),
            Some(budget::IN_FORCE),
            none,
        ),
        Of(
            "one list of all servers",
            "`list_line_bytes` a server",
            WorkedOut,
            Unit::Bytes,
        )
        .row(
            at(|size| model::lists(costs, size.servers as f64)),
            Some(bound::LIST),
            "`crates/node/src/net/discovery.rs`: a longer one can't be followed",
        ),
    ]
}
