//! Invariants that scenarios check at their end: nodes agree with the publisher and stay within their bandwidth.

use super::World;
use crate::control::account::LONG_WINDOW;
use crate::control::invariants::{ViolationKind, CONTROL_BANDWIDTH};
use crate::control::machine::Machine;

/// Checks that nodes have applied the publisher's content of all their resources.
pub fn check_agreement(world: &mut World, nodes: &[u32]) {
    let behind: Vec<u32> = nodes
        .iter()
        .copied()
        .filter(|node| !world.is_up_to_date(*node))
        .collect();
    let now = world.network.now();
    for node in behind {
        let machine = world.network.endpoint(node).and_then(Machine::as_node);
        let following = machine.and_then(|node| node.subscriber.following());
        let kind = ViolationKind::NodeDiffers { node, following };
        world.checker.record(now, kind);
    }
}

/// Checks that no node has exceeded its bandwidth budget since the last reset of accounts.
pub fn check_bandwidth(world: &mut World) {
    let max_bytes = CONTROL_BANDWIDTH * LONG_WINDOW;
    let now = world.network.now();
    for node in world.layout.nodes() {
        let account = world.network.account(node);
        let bytes = account.map_or(0, |account| account.long_window.max());
        if bytes as f64 > max_bytes {
            let kind = ViolationKind::BandwidthExceeded { node, bytes };
            world.checker.record(now, kind);
        }
    }
}
