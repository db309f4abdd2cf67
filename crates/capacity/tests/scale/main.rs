//! Scale runs: their records and limits, and small runs of each part.

mod command;
mod computation;
mod counters;
mod discovery_stub;
mod limits;
mod network;
mod record;
mod schedule;
mod simulated_node;
mod smoke;
mod sweep;

use reelfall_capacity::scale::report::Size;
use std::time::Duration;

/// Upper bound of every wait in these tests; passing tests need only a fraction of it.
const TIMEOUT: Duration = Duration::from_secs(60);

const PROGRAM: &str = env!("CARGO_BIN_EXE_reelfall-capacity");

const SIZE: Size = Size {
    nodes: 12,
    servers: 40,
    services: 4,
    routes: 20,
    tenants: 20,
    changes: 0,
    restarts: 0,
};
