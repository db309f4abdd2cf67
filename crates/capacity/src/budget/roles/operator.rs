//! Requirements of manual operations. Generates the table `operator`.

use crate::budget::model::costs::Costs;
use crate::budget::model::{self, budget, gossip, program_limits};
use crate::budget::requirement::Requirement;
use crate::budget::units::Unit;
use crate::scale::report::Size;

/// Length of the line on one member in the response of `crates/node/src/report.rs`, in bytes.
const MEMBER_LINE_BYTES: f64 = 36.0;

/// Number of bans for all servers of a zone: the number at the target, scaled by the nodes.
fn zone_bans(size: &Size) -> f64 {
    model::ZONE_SERVERS * size.nodes as f64 / Size::TARGET.nodes as f64
}

/// Returns the requirements of an operator's commands.
pub fn requirements(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::derived(
            "a change of settings",
            Unit::Count,
            "a file at each node and SIGHUP, by hand",
        )
        .at_sizes(|size| size.nodes as f64)
        .mechanism("none: nothing takes a call to all nodes"),
        Requirement::derived(
            "one ban, told by one node",
            Unit::Count,
            "tellings, one datagram each",
        )
        .at_sizes(|size| gossip::transmissions(size.nodes as f64))
        .mechanism(
            "`crates/cluster/src/table.rs`; p99 0.31 s at 300, 0.34 s at 1,000 \
                (docs/measurements/verdicts.md) and 0.41 s at 1,500 nodes",
        ),
        Requirement::derived(
            "bans of a zone, until told",
            Unit::Seconds,
            "3,850 at the target, in proportion",
        )
        .at_sizes(|size| gossip::spread_seconds(costs, zone_bans(size), size.nodes as f64))
        .budget(budget::IN_FORCE_SECONDS)
        .mechanism("`crates/cluster/src/table.rs`: no word for a zone"),
        Requirement::derived("servers out by hand at once", Unit::Count, "a zone's")
            .at_sizes(|size| size.servers as f64 / model::ZONES)
            .budget(program_limits::BANS)
            .mechanism("`crates/admin/src/ban.rs`"),
        Requirement::derived(
            "who is there, asked of a node",
            Unit::Bytes,
            "a line for each",
        )
        .at_sizes(|size| size.nodes as f64 * MEMBER_LINE_BYTES)
        .budget(program_limits::MANAGEMENT_RESPONSE_BYTES)
        .mechanism("`crates/node/src/report.rs`: cut, and the rest is counted"),
    ]
}
