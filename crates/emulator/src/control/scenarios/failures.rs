//! Scenarios with failures: machines that are lost or partitioned, and changes that are reverted.

use super::{catch_up, request_changes, JudgedBy, Outcome, ScenarioRun};
use crate::control::invariants::ViolationKind;
use crate::control::topology::Scope;
use crate::control::world::World;

/// How long the nodes of a region are down before they all start at once, in seconds.
const REGION_DOWN_TIME: f64 = 30.0;

/// All nodes of a region lose their disks and start at once.
pub fn region_cold_start(world: &mut World, region: u16) -> Outcome {
    let nodes = world
        .layout
        .nodes_in(world.network.topology(), Scope::Region(region));
    for node in &nodes {
        world.kill(*node);
        world.erase_disk(*node);
    }
    world.run(REGION_DOWN_TIME);
    let name = format!(
        "{} nodes of a region start at once without disks",
        nodes.len()
    );
    let mut run = ScenarioRun::start(world, name, JudgedBy::Bytes);
    nodes.iter().for_each(|node| world.start(*node));
    run.catch_up_times = catch_up(world, &nodes);
    run.end(world)
}

/// Control machines end while changes are published, and restart later.
pub fn control_machines_lost(
    world: &mut World,
    name: &str,
    lost: &[u32],
    rate: f64,
    seconds: f64,
) -> Outcome {
    let run = ScenarioRun::start(world, name, JudgedBy::InForce);
    request_changes(world, rate, seconds / 4.0);
    lost.iter().for_each(|machine| world.kill(*machine));
    request_changes(world, rate, seconds / 2.0);
    lost.iter().for_each(|machine| world.start(*machine));
    request_changes(world, rate, seconds / 4.0);
    run.end(world)
}

/// Partitions a region from all others.
fn partition_region(world: &mut World, region: u16) {
    let regions = world.layout.sizes.zones.len() as u16;
    for other in (0..regions).filter(|other| *other != region) {
        world
            .network
            .partition_both(Scope::Region(region), Scope::Region(other));
    }
}

/// A region is partitioned from all others while changes are published.
pub fn region_partitioned(world: &mut World, region: u16, rate: f64, seconds: f64) -> Outcome {
    let name = format!("a region apart for {seconds:.0} s, then together");
    let mut run = ScenarioRun::start(world, name, JudgedBy::CaughtUp);
    partition_region(world, region);
    request_changes(world, rate, seconds);
    world.network.heal();
    let nodes = world
        .layout
        .nodes_in(world.network.topology(), Scope::Region(region));
    run.catch_up_times = catch_up(world, &nodes);
    run.end(world)
}

/// The publisher is partitioned together with its region, and another one takes over; the last changes of the first may be
/// lost.
///
/// The nodes of that region receive nothing from the new publisher until the partition ends, so that catch-up times are
/// measured from its end.
pub fn publisher_partitioned(world: &mut World, rate: f64, seconds: f64) -> Outcome {
    let name = format!("the author apart for {seconds:.0} s");
    let mut run = ScenarioRun::start(world, name, JudgedBy::CaughtUp);
    let publisher = world.leader();
    let region = publisher.map_or(0, |publisher| world.region(publisher));
    partition_region(world, region);
    if let Some(publisher) = publisher {
        world.exclude_from_lease(publisher);
    }
    request_changes(world, rate, seconds);
    world.network.heal();
    if let Some(publisher) = publisher {
        world.readmit_to_lease(publisher);
    }
    let nodes: Vec<u32> = world.running_nodes().collect();
    run.catch_up_times = catch_up(world, &nodes);
    run.end(world)
}

/// A change is reverted before all nodes have applied it. The apply times are those of the reverting change.
pub fn change_reverted(world: &mut World, after: f64) -> Outcome {
    let name = format!("a change taken back after {after:.0} s");
    let run = ScenarioRun::start(world, name, JudgedBy::InForce);
    world.request_random_change();
    world.run(after);
    if let Some(change) = world.latest_change() {
        world.take_apply_times();
        if let Err(error) = world.revert(change.resource, change.version) {
            let now = world.network.now();
            world
                .checker
                .record(now, ViolationKind::RevertRejected(error));
        }
    }
    run.end(world)
}

/// The nodes of `scope` end while changes are published, and restart at once with their disks.
pub fn nodes_lost(
    world: &mut World,
    place: &str,
    scope: Scope,
    rate: f64,
    seconds: f64,
) -> Outcome {
    let nodes = world.layout.nodes_in(world.network.topology(), scope);
    let name = format!(
        "{place}'s {} nodes gone for {seconds:.0} s, and back with their disks",
        nodes.len()
    );
    let mut run = ScenarioRun::start(world, name, JudgedBy::CaughtUp);
    nodes.iter().for_each(|node| world.kill(*node));
    request_changes(world, rate, seconds);
    nodes.iter().for_each(|node| world.start(*node));
    run.catch_up_times = catch_up(world, &nodes);
    run.end(world)
}
