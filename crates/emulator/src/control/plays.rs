//! What is played with a [`World`], and what came of it.

use super::account::Usage;
use super::contents::Resource;
use super::times::Times;
use super::topology::Scope;
use super::world::{check_agreement, check_budget, Ages, World};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How long nodes are waited for that can hear again, in seconds: a relay and then its nodes may each rest twice for as long
/// as they ever do.
const SETTLE: f64 = 300.0;
/// How long relays are waited for that take in tenants published anew, in seconds.
const IMPORT_WAIT: f64 = 1_800.0;
/// How often nodes are looked at while they catch up, in seconds.
const LOOK_EVERY: f64 = 0.25;

/// What came of a play.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Which play.
    pub name: String,
    /// How long it took, in seconds.
    pub seconds: f64,
    /// What nodes used.
    pub nodes: Usage,
    /// What control machines used.
    pub control: Usage,
    /// Time from asking for a change until it was in force at a node, over all changes and nodes.
    pub in_force: Option<Times>,
    /// How often a node that ran as a change was published had not got it in the end.
    pub missing: usize,
    /// Time until a node had all, once it could hear again.
    pub caught_up: Option<Times>,
    /// Promises that were not kept, the first ones.
    pub faults: Vec<String>,
    /// How many there were.
    pub faults_seen: usize,
    /// Ages that nodes stated, where they were compared with the truth.
    pub ages: Option<Ages>,
    /// Which of its times is held against a budget.
    pub judged_by: JudgedBy,
}

/// Which time of a play is held against a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JudgedBy {
    /// From asking for a change until it is in force at the last node.
    InForce,
    /// From the moment at which nodes can hear again until the last one has all.
    CaughtUp,
    /// From a tenant's first request at a node until the tenant is in force there, for 99 of 100.
    FirstRequest,
    /// None: bytes alone.
    Bytes,
}

/// Begins a play: accounts and times anew.
struct Begun {
    name: String,
    at: f64,
    caught_up: Option<Times>,
    judged_by: JudgedBy,
}

impl Begun {
    fn new(world: &mut World, name: impl Into<String>, judged_by: JudgedBy) -> Begun {
        world.take_times();
        world.demands.take_waits();
        world.ages = world.ages.map(|_| Ages::default());
        world.network.reset_accounts();
        Begun {
            name: name.into(),
            at: world.network.now(),
            caught_up: None,
            judged_by,
        }
    }

    /// Waits until all nodes have all, and checks what was promised.
    fn end(self, world: &mut World) -> Outcome {
        let nodes: Vec<u32> = world.running_nodes().collect();
        catch_up(world, &nodes);
        check_agreement(world, &nodes);
        check_budget(world);
        let (mut in_force, mut missing) = world.take_times();
        if self.judged_by == JudgedBy::FirstRequest {
            in_force = Times::of(world.demands.take_waits());
            missing = world.demands.open();
        }
        let control: Vec<u32> = world.layout.control().collect();
        Outcome {
            name: self.name,
            seconds: world.network.now() - self.at,
            nodes: world.network.usage(nodes),
            control: world.network.usage(control),
            in_force,
            missing,
            caught_up: self.caught_up,
            faults: std::mem::take(&mut world.checker.faults),
            faults_seen: std::mem::take(&mut world.checker.faults_seen),
            ages: world.ages,
            judged_by: self.judged_by,
        }
    }
}

/// Runs until these nodes have all that the author has; how long each took. Those that don't within [`SETTLE`] count as that.
fn catch_up(world: &mut World, nodes: &[u32]) -> Option<Times> {
    let begun = world.network.now();
    let mut behind: BTreeSet<u32> = nodes.iter().copied().collect();
    let mut times = Vec::new();
    loop {
        let took = world.network.now() - begun;
        let done: BTreeSet<u32> = behind
            .iter()
            .copied()
            .filter(|node| world.is_up_to_date(*node))
            .collect();
        times.extend(done.iter().map(|_| took));
        behind.retain(|node| !done.contains(node));
        if behind.is_empty() || took >= SETTLE {
            times.extend(behind.iter().map(|_| took));
            return Times::of(times);
        }
        world.run(LOOK_EVERY);
    }
}

/// Changes come evenly for so long.
fn changes(world: &mut World, rate: f64, seconds: f64) {
    let count = (rate * seconds).round().max(1.0) as u32;
    for _ in 0..count {
        world.change();
        world.run(seconds / f64::from(count));
    }
}

/// All nodes start within a minute.
pub fn start_all(world: &mut World) -> Outcome {
    let begun = Begun::new(world, "all nodes start within a minute", JudgedBy::Bytes);
    let nodes = world.layout.nodes();
    let apart = 60.0 / f64::from(nodes.end.max(1));
    for node in nodes {
        world.start(node);
        if node % 64 == 63 {
            world.run(64.0 * apart);
        }
    }
    begun.end(world)
}

/// Changes at an even rate.
pub fn steady(world: &mut World, what: &str, rate: f64, seconds: f64) -> Outcome {
    let begun = Begun::new(
        world,
        format!("{what} for {seconds:.0} s"),
        JudgedBy::InForce,
    );
    changes(world, rate, seconds);
    begun.end(world)
}

/// So many changes within a minute.
pub fn burst(world: &mut World, count: u32) -> Outcome {
    let begun = Begun::new(
        world,
        format!("{count} changes in a minute"),
        JudgedBy::InForce,
    );
    changes(world, f64::from(count) / 60.0, 60.0);
    begun.end(world)
}

/// So many changes of one resource within a minute.
pub fn one_resource(world: &mut World, count: u32) -> Outcome {
    let name = format!("{count} changes of one resource in a minute");
    let begun = Begun::new(world, name, JudgedBy::InForce);
    let resource = Resource::Settings(world.draw_service());
    for _ in 0..count {
        world.change_of(resource);
        world.run(60.0 / f64::from(count));
    }
    begun.end(world)
}

/// Servers restart at an even rate: each restart is a change of its service's servers.
pub fn restarts(world: &mut World, rate: f64, seconds: f64) -> Outcome {
    let name = format!("{rate} restarts of servers a second for {seconds:.0} s, a change each");
    let begun = Begun::new(world, name, JudgedBy::InForce);
    let count = (rate * seconds).round().max(1.0) as u32;
    for _ in 0..count {
        let service = world.draw_service();
        world.change_of(Resource::Servers(service));
        world.run(seconds / f64::from(count));
    }
    begun.end(world)
}

/// Requests of tenants that a node has not met come to some nodes, so many a second to each.
pub fn tenants_met(world: &mut World, nodes: &[u32], rate: f64, seconds: f64) -> Outcome {
    let name = format!(
        "{rate} tenants a second met anew by each of {} nodes for {seconds:.0} s",
        nodes.len()
    );
    let begun = Begun::new(world, name, JudgedBy::FirstRequest);
    let each = rate * seconds;
    let count = (each * nodes.len() as f64).round() as usize;
    for number in 0..count {
        if let Some(node) = nodes.get(number % nodes.len()) {
            world.meet_tenant(*node);
        }
        world.run(seconds / count as f64);
    }
    begun.end(world)
}

/// Tenants are published anew, so many at once and so many batches a second, faster than relays of other regions take them.
pub fn import(world: &mut World, batch: u32, batches_a_second: f64) -> Outcome {
    let tenants = world.layout.sizes.tenants;
    let rate = f64::from(batch) * batches_a_second;
    let name =
        format!("{tenants} tenants published anew, {rate:.0} a second in batches of {batch}");
    let mut begun = Begun::new(world, name, JudgedBy::Bytes);
    for first in (0..tenants).step_by(batch.max(1) as usize) {
        let resources: Vec<Resource> = (first..tenants.min(first + batch))
            .map(Resource::Tenant)
            .collect();
        if let Err(error) = world.publish(&resources) {
            world
                .checker
                .fault(world.network.now(), format!("not published: {error}"));
        }
        world.run(1.0 / batches_a_second);
    }
    let took = world.run_until(IMPORT_WAIT, World::relays_have_all);
    begun.caught_up = took.map(|took| Times {
        p50: took,
        p99: took,
        last: took,
    });
    if took.is_none() {
        let what = world.describe_relays();
        world.checker.fault(world.network.now(), what);
    }
    begun.end(world)
}

/// All nodes of a region lose their disks and start at one instant.
pub fn region_starts(world: &mut World, region: u16) -> Outcome {
    let nodes = world
        .layout
        .nodes_in(world.network.topology(), Scope::Region(region));
    for node in &nodes {
        world.kill(*node);
        world.erase(*node);
    }
    world.run(30.0);
    let name = format!(
        "{} nodes of a region start at once without disks",
        nodes.len()
    );
    let mut begun = Begun::new(world, name, JudgedBy::Bytes);
    nodes.iter().for_each(|node| world.start(*node));
    begun.caught_up = catch_up(world, &nodes);
    begun.end(world)
}

/// Control machines end while changes come, and begin again in the end.
pub fn control_lost(
    world: &mut World,
    name: &str,
    lost: &[u32],
    rate: f64,
    seconds: f64,
) -> Outcome {
    let begun = Begun::new(world, name, JudgedBy::InForce);
    changes(world, rate, seconds / 4.0);
    lost.iter().for_each(|machine| world.kill(*machine));
    changes(world, rate, seconds / 2.0);
    lost.iter().for_each(|machine| world.start(*machine));
    changes(world, rate, seconds / 4.0);
    begun.end(world)
}

/// Nothing passes between a region and all others.
fn cut_off(world: &mut World, region: u16) {
    let regions = world.layout.sizes.zones.len() as u16;
    for other in (0..regions).filter(|other| *other != region) {
        world
            .network
            .partition_both(Scope::Region(region), Scope::Region(other));
    }
}

/// A region is cut off from all others while changes come.
pub fn region_apart(world: &mut World, region: u16, rate: f64, seconds: f64) -> Outcome {
    let name = format!("a region apart for {seconds:.0} s, then together");
    let mut begun = Begun::new(world, name, JudgedBy::CaughtUp);
    cut_off(world, region);
    changes(world, rate, seconds);
    world.network.heal();
    let nodes = world
        .layout
        .nodes_in(world.network.topology(), Scope::Region(region));
    begun.caught_up = catch_up(world, &nodes);
    begun.end(world)
}

/// The author is cut off with its region, and another one takes over; what the first wrote last may be lost.
///
/// The nodes of that region can hear nothing from the other one until the end, so that what counts is when all have
/// all of it after that.
pub fn author_apart(world: &mut World, rate: f64, seconds: f64) -> Outcome {
    let mut begun = Begun::new(
        world,
        format!("the author apart for {seconds:.0} s"),
        JudgedBy::CaughtUp,
    );
    let author = world.leader();
    let region = author
        .and_then(|author| world.network.topology().site(author))
        .map_or(0, |site| site.region);
    cut_off(world, region);
    author.iter().for_each(|author| world.bar(*author));
    changes(world, rate, seconds);
    world.network.heal();
    author.iter().for_each(|author| world.admit(*author));
    let nodes: Vec<u32> = world.running_nodes().collect();
    begun.caught_up = catch_up(world, &nodes);
    begun.end(world)
}

/// A change is taken back before it is everywhere; the times are those of the change that takes it back.
pub fn taken_back(world: &mut World, after: f64) -> Outcome {
    let begun = Begun::new(
        world,
        format!("a change taken back after {after:.0} s"),
        JudgedBy::InForce,
    );
    world.change();
    world.run(after);
    if let Some(change) = world.latest() {
        world.take_times();
        if let Err(error) = world.take_back(change.resource, change.version) {
            let now = world.network.now();
            world.checker.fault(now, format!("not taken back: {error}"));
        }
    }
    begun.end(world)
}

/// Nodes of a place end while changes come, and begin again at one instant with their disks.
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
    let mut begun = Begun::new(world, name, JudgedBy::CaughtUp);
    nodes.iter().for_each(|node| world.kill(*node));
    changes(world, rate, seconds);
    nodes.iter().for_each(|node| world.start(*node));
    begun.caught_up = catch_up(world, &nodes);
    begun.end(world)
}
