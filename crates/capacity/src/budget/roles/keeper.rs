//! A keeper of leases.

use super::super::kind::Kind::WorkedOut;
use super::super::model::{self, bound, Costs};
use super::super::table::{Row, Unit};
use super::row::{at, Of};

pub fn keeper(costs: &Costs) -> Vec<Row> {
    let carried = "`crates/lease/src/keeper/mod.rs`";
    vec![
        Of(
            "names, one for each service and zone",
            "services, zones",
            WorkedOut,
            Unit::Count,
        )
        .row(
            at(model::names),
            Some(bound::LEASES),
            "`crates/lease/src/keeper/mod.rs`: further ones are refused as full while \
                all are held",
        ),
        Of(
            "a whole image in one frame",
            "`lease_kept_bytes` each",
            WorkedOut,
            Unit::Bytes,
        )
        .row(
            at(|size| model::names(size) * costs.lease_kept_bytes),
            Some(bound::FRAME),
            "`crates/lease-store/src/lib.rs`: a longer one can't be written, and the \
                keeper stops",
        ),
        Of(
            "renewals",
            "three in a lease's length",
            WorkedOut,
            Unit::CountPerSecond,
        )
        .row(at(|size| model::renewals(costs, size)), None, carried),
        Of(
            "their bytes, in and out",
            "`lease_ask_bytes`, `lease_said_bytes`",
            WorkedOut,
            Unit::BytesPerSecond,
        )
        .row(
            at(|size| model::keeper_traffic(costs, size)),
            Some(costs.machine_link),
            carried,
        ),
        Of(
            "looks through all names, one for each message",
            "`lease_scan_seconds` a name",
            WorkedOut,
            Unit::Cores,
        )
        .row(
            at(|size| model::keeper_scans(costs, size)),
            Some(1.0),
            "`crates/lease/src/keeper/mod.rs` (`deadline`, `tick`)",
        ),
        Of(
            "askers that wait for one name",
            "nodes of a zone",
            WorkedOut,
            Unit::Count,
        )
        .row(
            at(|size| size.nodes as f64 / model::ZONES),
            Some(bound::WAITERS),
            "`crates/lease/src/queue.rs`",
        ),
    ]
}
