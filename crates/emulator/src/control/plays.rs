//! What is played with a [`World`], and what came of it.

use super::account::Usage;
use super::check::{check_agreement, check_budget};
use super::times::Times;
use super::topology::Scope;
use super::world::World;
use std::collections::BTreeSet;

/// How long nodes may take to have all once they can hear, in seconds.
const SETTLE: f64 = 120.0;
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
    /// Promises that were not kept.
    pub faults: Vec<String>,
}

/// Begins a play: accounts and times anew.
struct Begun {
    name: &'static str,
    at: f64,
    caught_up: Option<Times>,
}

impl Begun {
    fn new(world: &mut World, name: &'static str) -> Begun {
        world.take_times();
        world.network.reset_accounts();
        Begun { name, at: world.network.now(), caught_up: None }
    }

    /// Waits until all nodes have all, and checks what was promised.
    fn end(self, world: &mut World) -> Outcome {
        let nodes: Vec<u32> = world.running_nodes().collect();
        catch_up(world, &nodes);
        check_agreement(world, &nodes);
        check_budget(world);
        let (in_force, missing) = world.take_times();
        let control: Vec<u32> = world.layout.control().collect();
        Outcome {
            name: self.name.to_owned(),
            seconds: world.network.now() - self.at,
            nodes: world.network.usage(nodes),
            control: world.network.usage(control),
            in_force,
            missing,
            caught_up: self.caught_up,
            faults: std::mem::take(&mut world.checker.faults),
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
        let done: BTreeSet<u32> = behind.iter().copied().filter(|node| world.is_up_to_date(*node)).collect();
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
    let begun = Begun::new(world, "start");
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
pub fn steady(world: &mut World, name: &'static str, rate: f64, seconds: f64) -> Outcome {
    let begun = Begun::new(world, name);
    changes(world, rate, seconds);
    begun.end(world)
}

/// So many changes within a minute.
pub fn burst(world: &mut World, count: u32) -> Outcome {
    let begun = Begun::new(world, "burst");
    changes(world, f64::from(count) / 60.0, 60.0);
    begun.end(world)
}

/// All nodes of a region lose their disks and start at one instant.
pub fn region_starts(world: &mut World, region: u16) -> Outcome {
    let nodes = world.layout.nodes_in(world.network.topology(), Scope::Region(region));
    for node in &nodes {
        world.kill(*node);
        world.erase(*node);
    }
    world.run(30.0);
    let mut begun = Begun::new(world, "region-starts");
    nodes.iter().for_each(|node| world.start(*node));
    begun.caught_up = catch_up(world, &nodes);
    begun.end(world)
}

/// Control machines end while changes come, and begin again in the end.
pub fn control_lost(world: &mut World, name: &'static str, lost: &[u32], rate: f64, seconds: f64) -> Outcome {
    let begun = Begun::new(world, name);
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
        world.network.partition_both(Scope::Region(region), Scope::Region(other));
    }
}

/// A region is cut off from all others while changes come.
pub fn region_apart(world: &mut World, region: u16, rate: f64, seconds: f64) -> Outcome {
    let mut begun = Begun::new(world, "region-apart");
    cut_off(world, region);
    changes(world, rate, seconds);
    world.network.heal();
    let nodes = world.layout.nodes_in(world.network.topology(), Scope::Region(region));
    begun.caught_up = catch_up(world, &nodes);
    begun.end(world)
}

/// The author is cut off with its region, and another one takes over; what the first wrote last may be lost.
pub fn author_apart(world: &mut World, rate: f64, seconds: f64) -> Outcome {
    let begun = Begun::new(world, "author-apart");
    let author = world.leader();
    let region =
        author.and_then(|author| world.network.topology().site(author)).map_or(0, |site| site.region);
    cut_off(world, region);
    author.iter().for_each(|author| world.bar(*author));
    changes(world, rate, seconds);
    world.network.heal();
    author.iter().for_each(|author| world.admit(*author));
    begun.end(world)
}

/// A change is taken back before it is everywhere; the times are those of the change that takes it back.
pub fn taken_back(world: &mut World, after: f64) -> Outcome {
    let begun = Begun::new(world, "taken-back");
    world.change();
    world.run(after);
    if let Some((service, change)) = world.latest() {
        world.take_times();
        if let Err(error) = world.take_back(service, change.version, &change.name) {
            let now = world.network.now();
            world.checker.fault(now, format!("not taken back: {error}"));
        }
    }
    begun.end(world)
}

/// A zone's nodes end while changes come, and begin again at one instant with their disks.
pub fn zone_lost(world: &mut World, zone: u16, rate: f64, seconds: f64) -> Outcome {
    let mut begun = Begun::new(world, "zone-lost");
    let nodes = world.layout.nodes_in(world.network.topology(), Scope::Zone(zone));
    nodes.iter().for_each(|node| world.kill(*node));
    changes(world, rate, seconds);
    nodes.iter().for_each(|node| world.start(*node));
    begun.caught_up = catch_up(world, &nodes);
    begun.end(world)
}
