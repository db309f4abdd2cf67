//! Promises that concern the whole world: nodes agree with the author and stay within their budgets.

use super::World;
use crate::control::account::LONG_SPAN;
use crate::control::check::BUDGET;
use crate::control::machine::Machine;

/// All nodes that run and can hear have what the author has; those that don't are faults.
pub fn check_agreement(world: &mut World, nodes: &[u32]) {
    let behind: Vec<u32> = nodes
        .iter()
        .copied()
        .filter(|node| !world.is_up_to_date(*node))
        .collect();
    let now = world.network.now();
    for node in behind {
        let following = world.network.endpoint(node).and_then(Machine::as_node);
        let following = following.and_then(|node| node.subscriber.following());
        let what = format!(
            "node {node}, which follows {following:?}, has other resources than the author"
        );
        world.checker.fault(now, what);
    }
}

/// No node used more than its budget since accounts began.
pub fn check_budget(world: &mut World) {
    let most = BUDGET * LONG_SPAN;
    let now = world.network.now();
    for node in world.layout.nodes() {
        let used = world
            .network
            .account(node)
            .map_or(0, |account| account.long.most());
        if used as f64 > most {
            world.checker.fault(
                now,
                format!("node {node} used {used} bytes within {LONG_SPAN} s"),
            );
        }
    }
}
