//! Nodes that know each other, in virtual time: links with faults, clocks that drift, processes that stand still, end and
//! begin again. The code of each node is the one that runs ([`reelfall_cluster`]).
//!
//! What is checked is checked against the world's one clock, never against a node's own.

use crate::inspect::Inspector;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelfall_cluster::entry::{Key, Value, Version};
use reelfall_cluster::fleet::{Config, Fleet, FleetEvent};
use reelfall_cluster::members::MemberEvent;
use reelfall_cluster::node::{Incarnation, Node};
use reelfall_cluster::wire::Secret;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What links do.
#[derive(Clone, Copy)]
pub struct Links {
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share that come twice.
    pub twice: f64,
    /// The least and the most that one takes, in seconds.
    pub delay: (f64, f64),
}

impl Default for Links {
    fn default() -> Self {
        Links {
            loss: 0.0,
            twice: 0.0,
            delay: (0.0005, 0.002),
        }
    }
}

/// What the buffer of a socket holds: 208 KiB by the system's default, of which a small datagram takes 0.75 to 1.25.
pub const MAX_INBOX: usize = 200;

/// One process of a node.
pub struct Process {
    /// Its part in the fleet.
    pub fleet: Fleet,
    /// When it began, and how fast its clock goes.
    began: f64,
    rate: f64,
    /// It stands still, and what comes waits for it.
    pub frozen: bool,
    inbox: Vec<Vec<u8>>,
    /// Bans that are in force with whoever drives the node, as its changes tell.
    in_force: BTreeSet<Key>,
    /// Calls of which it has heard that they were lifted.
    lifted: BTreeSet<Key>,
    /// When it was looked at last, since nothing is due again at once.
    looked: f64,
}

impl Process {
    /// Its own clock at a moment of the world's.
    pub fn clock(&self, t: f64) -> f64 {
        (t - self.began).max(0.0) * self.rate
    }
}

/// A fleet and all that is between its nodes.
pub struct World {
    /// The moment, in seconds.
    pub t: f64,
    /// The places of nodes.
    pub nodes: Vec<Option<Process>>,
    /// What links do.
    pub links: Links,
    /// Pairs, from and to, between which nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    /// Nodes of which a part of what is sent to them is lost, beyond what links lose.
    pub deaf: BTreeMap<usize, f64>,
    /// How many servers each node knows.
    pub listed: usize,
    /// Datagrams that wait for a process that stands still, at most.
    pub inbox_most: usize,
    rules: Box<dyn Fn(usize) -> Config>,
    under_way: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    next: u64,
    /// Chance.
    pub draw: Pcg64Mcg,
    /// When each verdict was made, by the world's clock.
    born: BTreeMap<(Key, Version), f64>,
    /// Datagrams written so far.
    pub sent: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Looks into each datagram that is sent, if there is one.
    pub inspector: Option<Inspector>,
    /// Of all datagrams with their times, if somebody asks for it.
    pub digest: Option<blake3::Hasher>,
    /// How often somebody who was there was taken for gone.
    pub wrongly_gone: u64,
    /// Nodes below this one are sound: they never stand still, whatever the others do.
    pub sound: Option<usize>,
    /// How often a sound node was taken for gone, by a sound one and by another.
    pub sound_gone: (u64, u64),
    /// The oldest verdict that counted anywhere, as a share of its time.
    pub oldest: f64,
    /// What was seen of rules that do not hold.
    pub broken: Vec<String>,
}

/// The port of the first node.
const FIRST_PORT: u16 = 10_000;

/// The address of a node.
pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + n as u16))
}

/// The number of the node with an address; out of range if there is none.
fn node_number(address: SocketAddr) -> usize {
    usize::from(address.port()).wrapping_sub(usize::from(FIRST_PORT))
}

/// A place's name.
pub fn name(n: usize) -> String {
    format!("node-{n}")
}

/// How nodes take part, with the first three as seeds.
pub fn rules() -> Config {
    Config {
        seeds: (0..3).map(address).collect(),
        ..Config::default()
    }
}

/// The fleet's key.
pub fn secret() -> Secret {
    match Secret::new(b"a key of this world's own", "lagos") {
        Ok(secret) => secret,
        Err(_) => unreachable!("it is long enough"),
    }
}

impl World {
    /// So many nodes that begin at once, each with its rules.
    pub fn new(nodes: usize, seed: u64, rules: impl Fn(usize) -> Config + 'static) -> World {
        let mut world = World {
            t: 0.0,
            nodes: (0..nodes).map(|_| None).collect(),
            links: Links::default(),
            cut: BTreeSet::new(),
            deaf: BTreeMap::new(),
            listed: 20,
            inbox_most: MAX_INBOX,
            rules: Box::new(rules),
            under_way: BTreeMap::new(),
            next: 0,
            draw: Pcg64Mcg::seed_from_u64(seed),
            born: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            inspector: None,
            digest: None,
            wrongly_gone: 0,
            sound: None,
            sound_gone: (0, 0),
            oldest: 0.0,
            broken: Vec::new(),
        };
        (0..nodes).for_each(|n| world.start(n));
        world
    }

    /// A process begins, under its name, with a clock and a tag of its own and an empty head.
    pub fn start(&mut self, n: usize) {
        self.start_as(n, &name(n));
    }

    /// The same under another name.
    pub fn start_as(&mut self, n: usize, name: &str) {
        let (tag, seed) = (self.draw.random::<u64>() | 1, self.draw.random::<u64>());
        let rate = 1.0 + (self.draw.random::<f64>() - 0.5) * 2.0 * 400e-6;
        let fleet = Fleet::new(name, address(n), tag, (self.rules)(n), secret(), seed, 0.0);
        let process = Process {
            fleet,
            began: self.t,
            rate,
            frozen: false,
            inbox: Vec::new(),
            in_force: BTreeSet::new(),
            lifted: BTreeSet::new(),
            looked: self.t,
        };
        self.nodes[n] = Some(process);
    }

    /// A process ends in the middle of everything.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
    }

    /// Does something at a node, at its own moment.
    pub fn at<R>(&mut self, n: usize, what: impl FnOnce(&mut Fleet, f64) -> R) -> Option<R> {
        let t = self.t;
        let process = self.nodes[n].as_mut()?;
        let now = process.clock(t);
        let result = what(&mut process.fleet, now);
        self.after(n);
        Some(result)
    }

    /// Cuts two groups apart, both ways, or one way alone.
    pub fn part(&mut self, one: &[usize], other: &[usize], both: bool) {
        for a in one {
            for b in other {
                self.cut.insert((*a, *b));
                if both {
                    self.cut.insert((*b, *a));
                }
            }
        }
    }

    /// All that was cut passes again.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// A process stands still, or goes on with all that came meanwhile.
    pub fn freeze(&mut self, n: usize, frozen: bool) {
        let Some(process) = self.nodes[n].as_mut() else {
            return;
        };
        process.frozen = frozen;
        if !frozen {
            let inbox = std::mem::take(&mut process.inbox);
            for datagram in inbox {
                self.at(n, |fleet, now| fleet.receive(now, &datagram));
            }
            // As whoever drives a node does: what came, then what is due.
            let listed = self.listed;
            self.at(n, |fleet, now| fleet.tick(now, listed));
        }
    }

    /// A datagram is put on its way by whoever it is.
    pub fn inject(&mut self, to: usize, datagram: Vec<u8>, after: f64) {
        self.next += 1;
        if let Some(digest) = &mut self.digest {
            digest
                .update(&self.t.to_bits().to_le_bytes())
                .update(&after.to_bits().to_le_bytes());
            digest.update(&(to as u64).to_le_bytes()).update(&datagram);
        }
        self.under_way
            .insert((((self.t + after) * 1e6) as u64, self.next), (to, datagram));
    }

    /// Carries out what a node asks for after a call, and records what it has learned.
    fn after(&mut self, n: usize) {
        let Some(process) = self.nodes[n].as_mut() else {
            return;
        };
        let datagrams: Vec<_> = std::iter::from_fn(|| process.fleet.next_datagram()).collect();
        let mut updated = Vec::new();
        let mut declared_dead = Vec::new();
        while let Some(event) = process.fleet.next_event() {
            match event {
                FleetEvent::Updated(key) => updated.push(key),
                FleetEvent::Expired(key) => drop(process.in_force.remove(&key)),
                FleetEvent::Member(MemberEvent::Down(node)) => declared_dead.push(node),
                _ => {}
            }
        }
        for key in updated {
            self.record_update(n, key);
        }
        self.record_deaths(n, &declared_dead);
        for datagram in datagrams {
            self.send(n, datagram.to, &datagram.bytes);
        }
    }

    /// Records the creation of an entry, and what a node does by it.
    fn record_update(&mut self, n: usize, key: Key) {
        let t = self.t;
        let Some(process) = self.nodes[n].as_mut() else {
            return;
        };
        let now = process.clock(t);
        let Some(held) = process.fleet.table().get(&key, now) else {
            return;
        };
        // Every node that sees an index publishes it, and each time is a creation of its own.
        if !matches!(key, Key::ListIndex { .. }) {
            self.born.entry((key.clone(), held.version)).or_insert(t);
        }
        match held.value {
            Value::BanLifted { .. } => {
                process.in_force.remove(&key);
                process.lifted.insert(key);
            }
            Value::Banned { .. } if process.lifted.contains(&key) => {
                let violation = format!("{t:.3}: a lifted ban is back at node {n}");
                self.broken.push(violation);
            }
            Value::Banned { .. } => drop(process.in_force.insert(key)),
            _ => {}
        }
    }

    /// Counts the nodes that a node has declared dead by mistake.
    fn record_deaths(&mut self, by: usize, declared_dead: &[Node]) {
        let is_running = |node: &&Node| {
            let mut processes = self.nodes.iter().flatten();
            let process = processes.find(|process| process.fleet.members().me() == *node);
            process.is_some_and(|process| !process.frozen)
        };
        self.wrongly_gone += declared_dead.iter().filter(is_running).count() as u64;
        if let Some(sound) = self.sound {
            let is_sound = |node: &&Node| node_number(node.address) < sound;
            let count = declared_dead.iter().filter(is_sound).count() as u64;
            let (by_sound, by_other) = &mut self.sound_gone;
            *(if by < sound { by_sound } else { by_other }) += count;
        }
    }

    /// Puts a datagram of a node on its way, as the links allow.
    fn send(&mut self, from: usize, to: SocketAddr, datagram: &[u8]) {
        self.sent += 1;
        self.bytes += datagram.len() as u64;
        if let Some(inspector) = &mut self.inspector {
            inspector.add(datagram);
        }
        let to = node_number(to);
        if to >= self.nodes.len() || self.cut.contains(&(from, to)) {
            return;
        }
        let copies = 1 + usize::from(self.draw.random::<f64>() < self.links.twice);
        for _ in 0..copies {
            let deaf = self.deaf.get(&to);
            let is_unheard = deaf.is_some_and(|lost| self.draw.random::<f64>() < *lost);
            if self.draw.random::<f64>() >= self.links.loss && !is_unheard {
                let (min, max) = self.links.delay;
                let delay = min + (max - min) * self.draw.random::<f64>();
                self.inject(to, datagram.to_vec(), delay);
            }
        }
    }

    /// Runs on for so long. Every verdict that counts anywhere is looked at as it goes.
    pub fn run(&mut self, seconds: f64) {
        let end = self.t + seconds;
        let mut due: BTreeSet<(u64, usize)> = BTreeSet::new();
        let mut at: Vec<u64> = vec![u64::MAX; self.nodes.len()];
        let mut next_check = self.t;
        (0..self.nodes.len()).for_each(|n| self.due(n, &mut due, &mut at));
        loop {
            let datagram = self.under_way.keys().next().map_or(u64::MAX, |(at, _)| *at);
            let tick = due.first().map_or(u64::MAX, |(at, _)| *at);
            let next = datagram.min(tick) as f64 / 1e6;
            if next > end {
                break;
            }
            self.t = self.t.max(next);
            let n = if datagram <= tick {
                let Some((_, (n, datagram))) = self.under_way.pop_first() else {
                    break;
                };
                match self.nodes[n].as_mut() {
                    // As in a socket's buffer, what comes later finds no room.
                    Some(process) if process.frozen && process.inbox.len() >= self.inbox_most => {}
                    Some(process) if process.frozen => process.inbox.push(datagram),
                    Some(_) => drop(self.at(n, |fleet, now| fleet.receive(now, &datagram))),
                    None => {}
                }
                n
            } else {
                let Some((_, n)) = due.pop_first() else { break };
                at[n] = u64::MAX;
                let listed = self.listed;
                if let Some(process) = self.nodes[n].as_mut().filter(|p| !p.frozen) {
                    process.looked = self.t;
                    self.at(n, |fleet, now| fleet.tick(now, listed));
                }
                n
            };
            self.due(n, &mut due, &mut at);
            if self.t >= next_check {
                next_check = self.t + 0.05;
                self.check();
            }
        }
        self.t = end;
        self.check();
    }

    fn due(&self, n: usize, due: &mut BTreeSet<(u64, usize)>, at: &mut [u64]) {
        if at[n] != u64::MAX {
            due.remove(&(at[n], n));
            at[n] = u64::MAX;
        }
        let Some(process) = self.nodes[n].as_ref().filter(|p| !p.frozen) else {
            return;
        };
        let deadline = process.began + process.fleet.deadline() / process.rate;
        let deadline = deadline.max(process.looked + 0.0005).max(self.t);
        at[n] = (deadline * 1e6).ceil() as u64;
        due.insert((at[n], n));
    }

    /// No verdict counts past its time, by the world's clock.
    pub fn check(&mut self) {
        for (n, process) in self.nodes.iter().enumerate() {
            let Some(process) = process else { continue };
            // Who stands still acts on nothing.
            if process.frozen {
                continue;
            }
            // What the node was told of and never heard the end of, it still acts on.
            let now = process.clock(self.t);
            for key in process
                .in_force
                .iter()
                .filter(|key| process.fleet.table().get(key, now - 0.01).is_none())
            {
                self.broken.push(format!(
                    "{:.3}: node {n} was not told of the end of {key:?}",
                    self.t
                ));
            }
            for (key, held) in process.fleet.table().live(process.clock(self.t)) {
                let Some(born) = self.born.get(&(key.clone(), held.version)) else {
                    continue;
                };
                let (age, lasts) = (self.t - born, f64::from(held.ttl_ms) / 1e3);
                self.oldest = self.oldest.max(age / lasts);
                if age > lasts {
                    self.broken.push(format!(
                        "{:.3}: node {n} holds {key:?}, {age:.3} s old of {lasts} s",
                        self.t
                    ));
                }
            }
        }
    }

    /// The servers that are out by hand at a node.
    pub fn out(&self, n: usize) -> BTreeSet<String> {
        let Some(process) = &self.nodes[n] else {
            return BTreeSet::new();
        };
        process
            .fleet
            .banned_servers(process.clock(self.t))
            .into_iter()
            .map(str::to_owned)
            .collect()
    }

    /// How many others a node takes for there.
    pub fn members(&self, n: usize) -> usize {
        self.nodes[n]
            .as_ref()
            .map_or(0, |p| p.fleet.members().count())
    }

    /// The incarnation of a node.
    pub fn incarnation(&self, n: usize) -> Incarnation {
        self.nodes[n].as_ref().map_or(Incarnation::default(), |p| {
            p.fleet.members().me().incarnation
        })
    }

    /// Runs until something holds; how long it took.
    ///
    /// # Panics
    /// If it does not hold within so many seconds.
    pub fn until(&mut self, most: f64, holds: impl Fn(&World) -> bool) -> f64 {
        let begun = self.t;
        while !holds(self) {
            assert!(self.t - begun < most, "not within {most} s");
            self.run(0.01);
        }
        self.t - begun
    }

    /// All know all.
    pub fn gathered(&self) -> bool {
        let there = self.nodes.iter().flatten().count();
        (0..self.nodes.len())
            .filter(|n| self.nodes[*n].is_some())
            .all(|n| self.members(n) + 1 == there)
    }
}
