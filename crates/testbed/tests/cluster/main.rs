//! Fleets of real processes with injected faults. The assertions use the history: the responses to clients and the attempts
//! at servers, by a single clock.

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
