//! Distribution of configuration in a fleet: authors, relays and nodes over a network, what is published, and when it is
//! in force at each node.
//!
//! Who holds the lease is decided here, not played: the first author that runs and that may be chosen gets the next
//! token once the lease of the one before is over. How leases are granted is `reelfall_lease`'s matter.

use super::check::Checker;
use super::layout::{service_name, Layout, Sizes, ITEMS};
use super::links::Links;
use super::machine::{Disk, Machine};
use super::network::Network;
use super::times::Times;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelfall_distribution::author::Author;
use reelfall_distribution::bucket::TRANSPORT_OVERHEAD;
use reelfall_distribution::output::Output;
use reelfall_distribution::resource::{Draft, Name, Version};
use reelfall_lease::token::Claim;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A lease lasts so long, in seconds.
pub const LEASE_LASTS: f64 = 15.0;
/// A lease is renewed so often, in seconds.
const LEASE_RENEWED: f64 = 5.0;
/// The world looks at leases and at what nodes have applied so often, in seconds.
const STEP: f64 = 0.25;
/// Resources that are published at once at the beginning.
const BATCH: usize = 500;
/// How long the first resources may take to reach all relays, in seconds.
const LOAD_WAIT: f64 = 300.0;
/// Bytes of the settings and routes of a service, and of its list of servers.
const BODY_BYTES: [usize; 2] = [2_000, 1_000];

/// Links for the distribution's own account of headers.
pub fn links() -> Links {
    Links { overhead: TRANSPORT_OVERHEAD, ..Links::default() }
}

/// A change that is followed on its way.
#[derive(Clone, Debug)]
pub struct Tracked {
    /// Which resource.
    pub name: Name,
    /// Its version.
    pub version: Version,
    /// When it was asked for.
    pub asked_at: f64,
    /// Nodes that don't have it yet.
    pub missing: BTreeSet<u32>,
    /// When each of the others had it, in seconds after it was asked for.
    pub times: Vec<f64>,
}

/// A change that waits for an author.
struct Waiting {
    service: u32,
    item: usize,
    asked_at: f64,
}

/// See the module.
pub struct World {
    /// The machines and their links.
    pub network: Network<Machine>,
    /// Which endpoint is what.
    pub layout: Layout,
    /// What was seen of promises that were not kept.
    pub checker: Checker,
    /// Disks of machines that have ended.
    disks: BTreeMap<u32, Disk>,
    leader: Option<u32>,
    /// Authors that do not get the lease.
    barred: BTreeSet<u32>,
    token: u64,
    held_until: f64,
    renew_at: f64,
    waiting: VecDeque<Waiting>,
    tracked: BTreeMap<Name, Vec<Tracked>>,
    followed: Vec<Tracked>,
    bodies: u64,
    draw: Pcg64Mcg,
}

impl World {
    /// Authors and relays that run and have every service's resources; nodes that do not run yet.
    ///
    /// # Errors
    /// If sizes can't be placed, or the resources do not reach the relays.
    pub fn new(sizes: Sizes, links: Links, seed: u64) -> Result<World, String> {
        let (layout, topology) = Layout::new(sizes, "settings", seed)?;
        let mut world = World {
            network: Network::new(topology, links, seed),
            layout,
            checker: Checker::default(),
            disks: BTreeMap::new(),
            leader: None,
            barred: BTreeSet::new(),
            token: 0,
            held_until: 0.0,
            renew_at: 0.0,
            waiting: VecDeque::new(),
            tracked: BTreeMap::new(),
            followed: Vec::new(),
            bodies: 0,
            draw: Pcg64Mcg::seed_from_u64(seed),
        };
        let control: Vec<u32> = world.layout.control().collect();
        control.into_iter().for_each(|endpoint| world.start(endpoint));
        world.load()?;
        Ok(world)
    }

    /// Publishes every service's resources and waits until all relays have them.
    fn load(&mut self) -> Result<(), String> {
        self.run_until(LOAD_WAIT, |world| world.writer().is_some()).ok_or("no author writes")?;
        let services = 0..self.layout.sizes.services;
        let all = services.flat_map(|service| (0..ITEMS.len()).map(move |item| (service, item)));
        let all: Vec<(u32, usize)> = all.collect();
        for batch in all.chunks(BATCH) {
            let drafts = batch.iter().map(|(service, item)| self.draft(*service, *item)).collect();
            self.write(|author, now, claim, outputs| author.publish(now, claim, drafts, outputs))?;
            self.run(STEP);
        }
        let loaded = self.run_until(LOAD_WAIT, World::relays_have_all);
        loaded.map(drop).ok_or_else(|| "the relays do not have all".to_owned())
    }

    fn relays_have_all(&self) -> bool {
        let Some(head) = self.author().map(Author::head) else { return false };
        let relays = self.layout.relays().iter().filter_map(|relay| self.network.endpoint(*relay));
        let mut relays = relays.filter_map(Machine::as_relay);
        relays.all(|relay| relay.coverage().floor() >= head)
    }

    // ---- processes ----

    /// A machine begins, with what its disk has.
    pub fn start(&mut self, endpoint: u32) {
        let now = self.network.now();
        let disk = self.disks.remove(&endpoint).unwrap_or_default();
        let machine = if self.layout.nodes().contains(&endpoint) {
            let region = self.network.topology().site(endpoint).map_or(0, |site| site.region);
            let config = self.layout.node_config(endpoint, region, now);
            Machine::node(config, &self.layout.selectors_of(endpoint), disk, now)
        } else if self.layout.authors().contains(&endpoint) {
            Machine::author(self.layout.author_config(endpoint, now), disk, now)
        } else {
            Machine::relay(self.layout.relay_config(endpoint, now), disk, now)
        };
        self.network.start(endpoint, machine);
    }

    /// A machine ends; its disk stays.
    pub fn kill(&mut self, endpoint: u32) {
        self.collect_applied(endpoint);
        if let Some(machine) = self.network.kill(endpoint) {
            self.disks.insert(endpoint, machine.into_disk());
        }
    }

    /// A machine's disk is lost.
    pub fn erase(&mut self, endpoint: u32) {
        self.disks.remove(&endpoint);
        self.checker.forget_node(endpoint);
    }

    /// Nodes that run.
    pub fn running_nodes(&self) -> impl Iterator<Item = u32> + '_ {
        self.layout.nodes().filter(|node| self.network.endpoint(*node).is_some())
    }

    // ---- the lease ----

    /// Who holds the lease.
    pub fn leader(&self) -> Option<u32> {
        self.leader
    }

    /// An author gets the lease no more, as one that the lease's keepers do not hear.
    pub fn bar(&mut self, author: u32) {
        self.barred.insert(author);
        if self.leader == Some(author) {
            self.renew_at = f64::INFINITY;
        }
    }

    /// An author may get the lease again.
    pub fn admit(&mut self, author: u32) {
        self.barred.remove(&author);
    }

    fn may_lead(&self, author: u32) -> bool {
        self.network.endpoint(author).is_some() && !self.barred.contains(&author)
    }

    fn keep_lease(&mut self) {
        let now = self.network.now();
        if now >= self.renew_at && self.leader.is_some_and(|leader| self.may_lead(leader)) {
            self.grant(now);
        }
        if now < self.held_until {
            return;
        }
        self.leader = self.layout.authors().iter().copied().find(|author| self.may_lead(*author));
        if self.leader.is_some() {
            self.token += 1;
            self.grant(now);
        }
    }

    fn grant(&mut self, now: f64) {
        let Some(leader) = self.leader else { return };
        self.held_until = now + LEASE_LASTS;
        self.renew_at = now + LEASE_RENEWED;
        let (claim, until) = (self.claim(), self.held_until);
        let held = self.network.with(leader, |machine, now, sends| {
            machine.with_author(now, sends, |author, outputs| author.hold(now, &claim, until, outputs))
        });
        if let Some(Some(Err(refusal))) = held {
            self.checker.fault(now, format!("author {leader} refused token {}: {refusal}", self.token));
        }
    }

    fn claim(&self) -> Claim {
        Claim { lease: self.layout.lease().clone(), token: self.token }
    }

    /// The author that holds the lease.
    pub fn author(&self) -> Option<&Author> {
        self.network.endpoint(self.leader?)?.as_author()
    }

    fn writer(&self) -> Option<&Author> {
        self.author().filter(|author| author.is_writing())
    }

    // ---- changes ----

    fn draft(&mut self, service: u32, item: usize) -> Draft {
        self.bodies += 1;
        let mut body = vec![0; BODY_BYTES[item]];
        // Bytes that no codec could shorten: sizes on links are then those of any body of this length.
        self.draw.fill(body.as_mut_slice());
        body[..8].copy_from_slice(&self.bodies.to_be_bytes());
        Draft::put(Name::service(&service_name(service), ITEMS[item]), &body)
    }

    fn write<E: std::fmt::Display>(
        &mut self, act: impl FnOnce(&mut Author, f64, &Claim, &mut Vec<Output>) -> Result<Version, E>,
    ) -> Result<Version, String> {
        let leader = self.leader.ok_or("nobody holds the lease")?;
        let claim = self.claim();
        let written = self.network.with(leader, |machine, now, sends| {
            machine.with_author(now, sends, |author, outputs| act(author, now, &claim, outputs))
        });
        match written {
            Some(Some(result)) => result.map_err(|error| error.to_string()),
            _ => Err("the author does not run".to_owned()),
        }
    }

    /// A change of a resource of a drawn service is asked for. It is published once there is an author that writes.
    pub fn change(&mut self) {
        let service = self.draw.random_range(0..self.layout.sizes.services);
        let item = self.draw.random_range(0..ITEMS.len());
        self.waiting.push_back(Waiting { service, item, asked_at: self.network.now() });
        self.publish_waiting();
    }

    fn publish_waiting(&mut self) {
        while self.writer().is_some() {
            let Some(waiting) = self.waiting.pop_front() else { return };
            let draft = self.draft(waiting.service, waiting.item);
            let name = draft.name.clone();
            let published =
                self.write(|author, now, claim, outputs| author.publish(now, claim, vec![draft], outputs));
            match published {
                Ok(version) => self.track(name, version, waiting.service, waiting.asked_at),
                Err(error) => {
                    let now = self.network.now();
                    self.checker.fault(now, format!("a change was refused: {error}"));
                }
            }
        }
    }

    /// Takes a change back.
    ///
    /// # Errors
    /// Says why it could not be.
    pub fn take_back(&mut self, service: u32, version: Version, name: &Name) -> Result<(), String> {
        let asked_at = self.network.now();
        let reverted =
            self.write(|author, now, claim, outputs| author.revert(now, claim, version, outputs))?;
        self.track(name.clone(), reverted, service, asked_at);
        Ok(())
    }

    fn track(&mut self, name: Name, version: Version, service: u32, asked_at: f64) {
        let nodes = self.layout.nodes_of(service);
        let missing = nodes.filter(|node| self.network.endpoint(*node).is_some()).collect();
        let tracked = Tracked { name: name.clone(), version, asked_at, missing, times: Vec::new() };
        self.tracked.entry(name).or_default().push(tracked);
    }

    /// The latest change that is followed, with its service.
    pub fn latest(&self) -> Option<(u32, Tracked)> {
        let all = self.tracked.values().flatten().chain(&self.followed);
        let latest = all.max_by_key(|tracked| tracked.version)?;
        let named = |service: &u32| Name::service(&service_name(*service), &latest.name.item) == latest.name;
        let service = (0..self.layout.sizes.services).find(named)?;
        Some((service, latest.clone()))
    }

    /// The times of all changes that were followed, and how often a node lacks one still; begins anew.
    ///
    /// A change that was replaced by what a node has already, as one of an author that was cut off, is not lacking there.
    pub fn take_times(&mut self) -> (Option<Times>, usize) {
        let open = std::mem::take(&mut self.tracked).into_values().flatten();
        let all: Vec<Tracked> = open.chain(std::mem::take(&mut self.followed)).collect();
        let missing = all.iter().map(|tracked| self.lacking(tracked)).sum();
        (Times::of(all.into_iter().flat_map(|tracked| tracked.times).collect()), missing)
    }

    fn lacking(&self, tracked: &Tracked) -> usize {
        let lacks = |node: &&u32| {
            let machine = self.network.endpoint(**node).and_then(Machine::as_node);
            let change = machine.and_then(|node| node.subscriber.in_force(&tracked.name));
            change.is_none_or(|change| change.version < tracked.version)
        };
        tracked.missing.iter().filter(lacks).count()
    }

    // ---- time ----

    /// Runs on for so many seconds.
    pub fn run(&mut self, seconds: f64) {
        let end = self.network.now() + seconds;
        loop {
            self.keep_lease();
            self.publish_waiting();
            let left = end - self.network.now();
            if left <= 0.0 {
                return;
            }
            self.network.run(left.min(STEP));
            self.collect();
        }
    }

    /// Runs until something holds; how long it took, or `None` if that is not within `most` seconds.
    pub fn run_until(&mut self, most: f64, holds: impl Fn(&World) -> bool) -> Option<f64> {
        let begun = self.network.now();
        while !holds(self) {
            if self.network.now() - begun >= most {
                return None;
            }
            self.run(STEP);
        }
        Some(self.network.now() - begun)
    }

    fn collect(&mut self) {
        let nodes: Vec<u32> = self.running_nodes().collect();
        nodes.into_iter().for_each(|node| self.collect_applied(node));
        self.finish_tracked();
    }

    fn collect_applied(&mut self, node: u32) {
        let idle = |machine: &Machine| machine.as_node().is_none_or(|node| node.applied.is_empty());
        if self.network.endpoint(node).is_none_or(idle) {
            return;
        }
        let applied = self.network.with(node, |machine, _, _| machine.take_applied()).unwrap_or_default();
        for applied in applied {
            self.checker.applied(node, &applied);
            let Some(tracked) = self.tracked.get_mut(&applied.name) else { continue };
            for tracked in tracked.iter_mut().filter(|tracked| tracked.version <= applied.version) {
                if tracked.missing.remove(&node) {
                    tracked.times.push(applied.at - tracked.asked_at);
                }
            }
        }
    }

    fn finish_tracked(&mut self) {
        let followed = &mut self.followed;
        self.tracked.retain(|_, all| {
            followed.extend(all.extract_if(.., |tracked| tracked.missing.is_empty()));
            !all.is_empty()
        });
    }

    /// Whether a node has in force what the author has.
    pub fn is_up_to_date(&self, node: u32) -> bool {
        let Some(author) = self.author() else { return false };
        let Some(machine) = self.network.endpoint(node).and_then(Machine::as_node) else { return false };
        self.layout.resources_of(node).iter().all(|name| super::check::agrees(author, machine, name))
    }
}
