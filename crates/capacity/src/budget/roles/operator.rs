//! An operator, by hand.

use super::super::kind::Kind::WorkedOut;
use super::super::model::{self, bound, budget, Costs};
use super::super::table::{Row, Unit};
use super::row::{at, Of};
use crate::scale::report::Size;

pub fn operator(costs: &Costs) -> Vec<Row> {
    let nodes = |size: &Size| size.nodes as f64;
    // A line of `crates/node/src/report.rs`: a name, an address and a life.
    let line = 36.0;
    vec![
        Of(
            "a change of settings",
            "a file at each node and SIGHUP, by hand",
            WorkedOut,
            Unit::Count,
        )
        .row(at(nodes), None, "none: nothing takes a call to all nodes"),
        Of(
            "one ban, told by one node",
            "tellings, one datagram each",
            WorkedOut,
            Unit::Count,
        )
        .row(
            at(|size| model::tellings(nodes(size))),
            None,
            "`crates/cluster/src/table.rs`; p99 0.31 s at 300, 0.34 s at 1,000 \
                (docs/measurements/verdicts.md) and 0.41 s at 1,500 nodes",
        ),
        Of(
            "bans of a zone, until told",
            "3,850 at the target, in proportion",
            WorkedOut,
            Unit::Seconds,
        )
        .row(
            at(|size| model::told_in(costs, 3850.0 * nodes(size) / 6000.0, nodes(size))),
            Some(budget::IN_FORCE),
            "`crates/cluster/src/table.rs`: no word for a zone",
        ),
        Of(
            "servers out by hand at once",
            "a zone's",
            WorkedOut,
            Unit::Count,
        )
        .row(
            at(|size| size.servers as f64 / model::ZONES),
            Some(bound::BANS),
            "`crates/admin/src/ban.rs`",
        ),
        Of(
            "who is there, asked of a node",
            "a line for each",
            WorkedOut,
            Unit::Bytes,
        )
        .row(
            at(|size| nodes(size) * line),
            Some(bound::SAID),
            "`crates/node/src/report.rs`: cut, and the rest is counted",
        ),
    ]
}
