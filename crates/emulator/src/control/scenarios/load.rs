//! Scenarios without failures: changes, restarts of servers, and requests of tenants.

use super::{event_count, request_changes, JudgedBy, Outcome, ScenarioRun};
use crate::control::invariants::ViolationKind;
use crate::control::resources::Resource;
use crate::control::times::Times;
use crate::control::world::World;

/// Duration of a burst and of the start of all nodes, in seconds.
const MINUTE: f64 = 60.0;
/// Number of nodes that start at the same time in [`start_all`].
const START_BATCH: u32 = 64;
/// How long relays may take to receive all republished tenants, in seconds.
const REPUBLISH_TIMEOUT: f64 = 1_800.0;

/// All nodes start within a minute.
pub fn start_all(world: &mut World) -> Outcome {
    let run = ScenarioRun::start(world, "all nodes start within a minute", JudgedBy::Bytes);
    let nodes = world.layout.nodes();
    let interval = MINUTE / f64::from(nodes.end.max(1));
    for node in nodes {
        world.start(node);
        if node % START_BATCH == START_BATCH - 1 {
            world.run(f64::from(START_BATCH) * interval);
        }
    }
    run.end(world)
}

/// Changes at a constant rate per second.
pub fn steady_changes(world: &mut World, title: &str, rate: f64, seconds: f64) -> Outcome {
    let name = format!("{title} for {seconds:.0} s");
    let run = ScenarioRun::start(world, name, JudgedBy::InForce);
    request_changes(world, rate, seconds);
    run.end(world)
}

/// This many changes within a minute.
pub fn burst(world: &mut World, count: u32) -> Outcome {
    let name = format!("{count} changes in a minute");
    let run = ScenarioRun::start(world, name, JudgedBy::InForce);
    request_changes(world, f64::from(count) / MINUTE, MINUTE);
    run.end(world)
}

/// This many changes of one resource within a minute.
pub fn changes_of_one_resource(world: &mut World, count: u32) -> Outcome {
    let name = format!("{count} changes of one resource in a minute");
    let run = ScenarioRun::start(world, name, JudgedBy::InForce);
    let resource = Resource::Settings(world.sample_service());
    for _ in 0..count {
        world.request_change(resource);
        world.run(MINUTE / f64::from(count));
    }
    run.end(world)
}

/// Servers restart at a constant rate per second; each restart is a change of its service's endpoint list.
pub fn server_restarts(world: &mut World, rate: f64, seconds: f64) -> Outcome {
    let name = format!("{rate} restarts of servers a second for {seconds:.0} s, a change each");
    let run = ScenarioRun::start(world, name, JudgedBy::InForce);
    let count = event_count(rate, seconds);
    for _ in 0..count {
        let service = world.sample_service();
        world.request_change(Resource::Servers(service));
        world.run(seconds / f64::from(count));
    }
    run.end(world)
}

/// Requests of random tenants arrive at some nodes, at this rate per second and node.
pub fn new_tenants(world: &mut World, nodes: &[u32], rate: f64, seconds: f64) -> Outcome {
    let name = format!(
        "{rate} tenants a second met anew by each of {} nodes for {seconds:.0} s",
        nodes.len()
    );
    let run = ScenarioRun::start(world, name, JudgedBy::FirstRequest);
    let requests_per_node = rate * seconds;
    let count = (requests_per_node * nodes.len() as f64).round() as usize;
    for request in 0..count {
        if let Some(node) = nodes.get(request % nodes.len()) {
            world.request_random_tenant(*node);
        }
        world.run(seconds / count as f64);
    }
    run.end(world)
}

/// All tenants are republished in batches, faster than relays in other regions can receive them.
pub fn republish_tenants(world: &mut World, batch: u32, batches_per_second: f64) -> Outcome {
    let tenants = world.layout.sizes.tenants;
    let rate = f64::from(batch) * batches_per_second;
    let name =
        format!("{tenants} tenants published anew, {rate:.0} a second in batches of {batch}");
    let mut run = ScenarioRun::start(world, name, JudgedBy::Bytes);
    for first in (0..tenants).step_by(batch.max(1) as usize) {
        let end = tenants.min(first + batch);
        let resources: Vec<Resource> = (first..end).map(Resource::Tenant).collect();
        if let Err(error) = world.publish(&resources) {
            let now = world.network.now();
            world
                .checker
                .record(now, ViolationKind::BatchRejected(error));
        }
        world.run(1.0 / batches_per_second);
    }
    let elapsed = world.run_until(REPUBLISH_TIMEOUT, World::relays_are_up_to_date);
    run.catch_up_times = elapsed.map(|elapsed| Times {
        p50: elapsed,
        p99: elapsed,
        last: elapsed,
    });
    if elapsed.is_none() {
        let kind = ViolationKind::RelaysBehind(world.relays_behind());
        world.checker.record(world.network.now(), kind);
    }
    run.end(world)
}
