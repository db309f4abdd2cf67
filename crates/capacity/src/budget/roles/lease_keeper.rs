//! Requirements of a lease keeper. Generates the table `keeper`.

use crate::budget::model::costs::Costs;
use crate::budget::model::{self, leases, program_limits};
use crate::budget::requirement::Requirement;
use crate::budget::units::Unit;

/// Processor budget of a keeper, which has one thread, in cores.
const KEEPER_CORES: f64 = 1.0;
/// Source file of the keeper, as shown on the page.
const MECHANISM: &str = "`crates/lease/src/keeper/mod.rs`";

/// Returns the requirements of a lease keeper.
pub fn requirements(costs: &Costs) -> Vec<Requirement> {
    let mut requirements = names(costs);
    requirements.extend(renewals(costs));
    requirements.push(waiters());
    requirements
}

/// The lease names and their storage.
fn names(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::derived(
            "names, one for each service and zone",
            Unit::Count,
            "services, zones",
        )
        .at_sizes(leases::names)
        .budget(program_limits::LEASE_NAMES)
        .mechanism(
            "`crates/lease/src/keeper/mod.rs`: further ones are refused as full while \
                all are held",
        ),
        Requirement::derived(
            "a whole image in one frame",
            Unit::Bytes,
            "`lease_kept_bytes` each",
        )
        .at_sizes(|size| leases::image_bytes(costs, size))
        .budget(program_limits::STORE_FRAME_BYTES)
        .mechanism(
            "`crates/lease-store/src/lib.rs`: a longer one can't be written, and the \
                keeper stops",
        ),
    ]
}

/// Renewals and the work that they cause.
fn renewals(costs: &Costs) -> Vec<Requirement> {
    vec![
        Requirement::derived(
            "renewals",
            Unit::CountPerSecond,
            "three in a lease's length",
        )
        .at_sizes(|size| leases::renewal_rate(costs, size))
        .mechanism(MECHANISM),
        Requirement::derived(
            "their bytes, in and out",
            Unit::BytesPerSecond,
            "`lease_ask_bytes`, `lease_said_bytes`",
        )
        .at_sizes(|size| leases::keeper_traffic(costs, size))
        .budget(costs.machine_bandwidth)
        .mechanism(MECHANISM),
        Requirement::derived(
            "looks through all names, one for each message",
            Unit::Cores,
            "`lease_scan_seconds` a name",
        )
        .at_sizes(|size| leases::keeper_scan_cores(costs, size))
        .budget(KEEPER_CORES)
        .mechanism("`crates/lease/src/keeper/mod.rs` (`deadline`, `tick`)"),
    ]
}

/// Clients that wait for one lease.
fn waiters() -> Requirement {
    Requirement::derived(
        "askers that wait for one name",
        Unit::Count,
        "nodes of a zone",
    )
    .at_sizes(|size| size.nodes as f64 / model::ZONES)
    .budget(program_limits::LEASE_WAITERS)
    .mechanism("`crates/lease/src/queue.rs`")
}
