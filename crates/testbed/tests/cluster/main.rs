//! Fleets of real processes with faults between them. The assertions read the history: the responses of clients and the
//! attempts at servers, by one clock.

mod bans;
mod ejection;
mod endpoint_lists;
#[path = "../fleets/mod.rs"]
mod fleets;
mod membership;
mod network_faults;
mod schedule;

/// All nodes of a fleet of the default size.
const ALL_NODES: [usize; 5] = [0, 1, 2, 3, 4];
