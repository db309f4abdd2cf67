//! The server list against a plain reference that walks over all servers for each line of news.
//!
//! Drawn lists, changes, absences and restarts go to a node and to the reference. Both must hold the same servers in
//! the same order with the same vector, averages and budgets, and have drawn as many random numbers.

mod common;

use common::{class, settings};
use reelfall_balancer::interface::*;
use reelfall_balancer::Balancer;

/// Figures of the decision module that the reference repeats.
const FLOOR: f64 = 0.1;
const FLAP: Time = 0.5;
const LEFT_MOST: usize = 64;
const LEFT_FOR: Time = 60.0;
const BACKOFF_MOST: Time = 2.0;
const VISITS: f64 = 2.0;
const PART_LEAST: f64 = 8.0;
const SIZE_LEAST: f64 = 0.25;
const SIZE_MOST: f64 = 4.0;

/// How far the two may be apart, as a part of the value.
const ROUNDING: f64 = 1e-9;

const SEED: u64 = 7;

fn fraction(x: u64) -> f64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// SplitMix64.
struct Chance(u64);

impl Chance {
    fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        fraction(self.0)
    }

    fn below(&mut self, n: u32) -> u32 {
        (self.draw() * f64::from(n)) as u32
    }

    fn one_of<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len() as u32) as usize]
    }
}

struct Server {
    entry: Endpoint,
    own: bool,
    ejected_until: Time,
    p: f64,
    average: f64,
    budget: f64,
}

struct Left {
    hash: u64,
    ready_at: Time,
    at: Time,
    share: f64,
    average: f64,
    budget: f64,
}

/// The rules of joining and leaving, each as a walk.
struct Reference {
    settings: Settings,
    chance: Chance,
    typical: f64,
    quota: f64,
    backoff: f64,
    servers: Vec<Server>,
    left: Vec<Left>,
}

impl Reference {
    fn new(settings: Settings) -> Reference {
        let typical = settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .fold(f64::MAX, f64::min)
            / 4.0;
        let quota = settings.tenants.iter().map(|t| t.quota).sum();
        let mut chance = Chance(SEED);
        // The moment of the first sweep.
        chance.draw();
        Reference {
            settings,
            chance,
            typical,
            quota,
            backoff: 1.0,
            servers: vec![],
            left: vec![],
        }
    }

    fn block(&self, r: f64) -> u32 {
        let n = f64::from(self.settings.node_count);
        if self.settings.node_index.is_none() || self.quota <= 0.0 || n < 2.0 * PART_LEAST {
            return self.settings.node_count;
        }
        let part = (self.quota / n / VISITS).max(PART_LEAST);
        (n * part / r.max(1.0)).clamp(2.0 * PART_LEAST, n).ceil() as u32
    }

    fn owns(&self, hash: u64, block: u32) -> bool {
        let n = u64::from(self.settings.node_count);
        let first = (fraction(hash) * n as f64) as u64;
        let place = u64::from(self.settings.node_index.unwrap_or(0)) * stride(n);
        (place + n - first) % n < u64::from(block)
    }

    fn size(&self, weight: f64) -> f64 {
        let mean =
            self.servers.iter().map(|s| s.entry.weight).sum::<f64>() / self.servers.len() as f64;
        let size = weight / mean;
        if self.settings.has_server_weights && size.is_finite() {
            size.clamp(SIZE_LEAST, SIZE_MOST)
        } else {
            1.0
        }
    }

    fn settle(&mut self) {
        let r = self.servers.len() as f64;
        let floor = FLOOR / r.max(1.0);
        let above: f64 = self.servers.iter().map(|s| (s.p - floor).max(0.0)).sum();
        for s in &mut self.servers {
            let part = if above > 0.0 {
                (s.p - floor).max(0.0) / above
            } else {
                1.0 / r
            };
            s.p = floor + (1.0 - FLOOR) * part;
        }
    }

    fn leave(&mut self, now: Time, i: usize) {
        let share = self.servers[i].p * self.servers.len() as f64;
        let gone = self.servers.swap_remove(i);
        self.settle();
        let Endpoint {
            hash,
            started_at: ready_at,
            ..
        } = gone.entry;
        self.left
            .retain(|l| l.hash != hash && now - l.at < LEFT_FOR);
        if self.left.len() >= LEFT_MOST {
            self.left.remove(0);
        }
        let Server {
            average, budget, ..
        } = gone;
        self.left.push(Left {
            hash,
            ready_at,
            at: now,
            share,
            average,
            budget,
        });
    }

    fn join(&mut self, now: Time, entry: Endpoint) {
        let r = self.servers.len() as f64;
        let own = self.owns(entry.hash, self.block(r + 1.0));
        let part: Vec<&Server> = self.servers.iter().filter(|s| s.own == own).collect();
        let kin: Vec<&Server> = part
            .iter()
            .copied()
            .filter(|s| s.entry.machine_type == entry.machine_type)
            .collect();
        let mean = |of: &[&Server], what: fn(&Server) -> f64| {
            of.iter().map(|s| what(s)).sum::<f64>() / of.len() as f64
        };
        let (mut share, mut average) = (1.0, self.typical);
        if !kin.is_empty() {
            (share, average) = (r * mean(&kin, |s| s.p), mean(&kin, |s| s.average));
        } else if !part.is_empty() {
            share = r * self.size(entry.weight) * mean(&part, |s| s.p);
        }
        let awake: Vec<&Server> = self
            .servers
            .iter()
            .filter(|s| s.ejected_until <= now)
            .collect();
        let all = if awake.is_empty() {
            self.typical
        } else {
            mean(&awake, |s| s.average)
        };
        let known = self
            .left
            .iter()
            .position(|l| l.hash == entry.hash && l.ready_at == entry.started_at);
        let known = known
            .map(|n| self.left.remove(n))
            .filter(|l| now - l.at < LEFT_FOR);
        if let Some(l) = &known {
            let most = if r > 0.0 && now - l.at > FLAP {
                all
            } else {
                l.average
            };
            (share, average) = (l.share, l.average.min(most));
        }
        let p = share.max(FLOOR) / r.max(1.0);
        let drawn = f64::from(own) * self.chance.draw() * self.typical;
        let budget = known.map_or(drawn, |l| l.budget.min(drawn));
        self.servers.push(Server {
            entry,
            own,
            ejected_until: now,
            p,
            average,
            budget,
        });
        self.settle();
    }

    fn part(&mut self, fresh: bool) {
        let block = self.block(self.servers.len() as f64);
        if block >= self.settings.node_count && self.servers.iter().all(|s| s.own) {
            return;
        }
        let owned: Vec<bool> = self
            .servers
            .iter()
            .map(|s| self.owns(s.entry.hash, block))
            .collect();
        let own: Vec<f64> = self
            .servers
            .iter()
            .zip(&owned)
            .filter(|(_, own)| **own)
            .map(|(s, _)| s.p)
            .collect();
        let mean = own.iter().sum::<f64>() / own.len().max(1) as f64;
        let sizes: Vec<f64> = self
            .servers
            .iter()
            .map(|s| self.size(s.entry.weight))
            .collect();
        for ((s, own), size) in self.servers.iter_mut().zip(owned).zip(sizes) {
            if fresh || own != s.own {
                let entry = if fresh { size } else { mean };
                s.p = if own { entry } else { 0.0 };
            }
            s.own = own;
        }
        self.settle();
    }

    /// What a failed call says of when to ask again, if it is one.
    fn members(&mut self, now: Time, list: UpdateKind, entries: &[Endpoint]) -> Option<Time> {
        if list == UpdateKind::Failed {
            let after = self.backoff * (0.5 + 0.5 * self.chance.draw());
            self.backoff = (self.backoff * 2.0).min(BACKOFF_MOST);
            return Some(after);
        }
        if list != UpdateKind::Cached {
            self.backoff = 1.0;
        }
        if list != UpdateKind::Delta {
            for i in (0..self.servers.len()).rev() {
                if entries
                    .iter()
                    .all(|e| e.server != self.servers[i].entry.server)
                {
                    self.leave(now, i);
                }
            }
        }
        let fresh = self.servers.is_empty() && self.left.is_empty();
        for e in entries.iter().cloned() {
            match self.servers.iter().position(|s| s.entry.server == e.server) {
                Some(i) if e.state != ServerState::Up => self.leave(now, i),
                Some(i) if self.servers[i].entry.started_at < e.started_at => {
                    self.leave(now, i);
                    self.join(now, e);
                }
                Some(i) => self.servers[i].entry = e,
                None if e.state == ServerState::Up => self.join(now, e),
                None => {}
            }
        }
        self.part(fresh);
        None
    }

    fn adopt(&mut self, now: Time, learned: &LearnedState) {
        let r = self.servers.len() as f64;
        for l in &learned.servers {
            let same =
                |s: &&mut Server| s.entry.hash == l.hash && s.entry.started_at == l.started_at;
            if let Some(s) = self.servers.iter_mut().find(same) {
                (s.p, s.average, s.budget) = (
                    l.relative_probability / r,
                    l.mean_response,
                    s.budget.min(l.slow_start_credit),
                );
                s.ejected_until = now + l.ejected_for.clamp(0.0, LEFT_FOR);
            } else if self.left.len() < LEFT_MOST {
                let LearnedServer {
                    hash,
                    started_at: ready_at,
                    relative_probability: share,
                    mean_response: average,
                    slow_start_credit: budget,
                    ..
                } = *l;
                self.left.push(Left {
                    hash,
                    ready_at,
                    at: now,
                    share,
                    average,
                    budget,
                });
            }
        }
        self.settle();
    }
}

fn stride(n: u64) -> u64 {
    let divisor = |mut a: u64, mut b: u64| {
        while b > 0 {
            (a, b) = (b, a % b);
        }
        a
    };
    (((n as f64 * 0.618) as u64).max(1)..n)
        .find(|a| divisor(*a, n) == 1)
        .unwrap_or(1)
}

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() <= ROUNDING * a.abs().max(b.abs())
}

/// A node and the reference, and what the servers are like that may be listed.
struct Both {
    node: Balancer,
    reference: Reference,
    now: Time,
    chance: Chance,
    names: Vec<Endpoint>,
    steps: Vec<String>,
}

impl Both {
    fn new(seed: u64, names: u32, settings: Settings) -> Both {
        let node = Balancer::new(settings.clone(), SEED, 0.0).expect("usable settings");
        let mut chance = Chance(seed);
        let names = (0..names)
            .map(|server| drawn(&mut chance, server))
            .collect();
        Both {
            node,
            reference: Reference::new(settings),
            now: 0.0,
            chance,
            names,
            steps: vec![],
        }
    }

    fn members(&mut self, list: UpdateKind, entries: Vec<Endpoint>) {
        self.steps
            .push(format!("{} {list:?} of {}", self.now, entries.len()));
        let after = self.reference.members(self.now, list, &entries);
        let mut actions = vec![];
        self.node.handle(
            self.now,
            Event::EndpointUpdate {
                kind: list,
                endpoints: entries,
            },
            &mut actions,
        );
        if let Some(after) = after {
            let asked = actions
                .iter()
                .any(|a| matches!(a, Action::StartTimer { after: a, .. } if *a == after));
            assert!(
                asked,
                "another draw of chance: {actions:?}, not {after}, after {:?}",
                self.steps
            );
        }
        self.compare();
    }

    fn compare(&self) {
        let (learned, p) = (
            self.node.learned(self.now),
            &self.node.automaton().probability,
        );
        assert_eq!(
            p.len(),
            self.reference.servers.len(),
            "after {:?}",
            self.steps
        );
        for (i, (node, plain)) in learned
            .servers
            .iter()
            .zip(&self.reference.servers)
            .enumerate()
        {
            assert_eq!(node.hash, plain.entry.hash, "{i} after {:?}", self.steps);
            let pairs = [
                (p[i], plain.p),
                (node.mean_response, plain.average),
                (node.slow_start_credit, plain.budget),
            ];
            assert!(
                pairs.iter().all(|(a, b)| close(*a, *b)),
                "{i}: {pairs:?} after {:?}",
                self.steps
            );
        }
    }

    fn step(&mut self) {
        self.now += self.chance.one_of(&[0.1, 0.3, 0.7, 5.0, 70.0]);
        match self.chance.below(12) {
            0 | 1 => self.whole(UpdateKind::Snapshot),
            2 => self.whole(UpdateKind::Cached),
            3 => self.members(UpdateKind::Failed, vec![]),
            4..=6 => self.learn(),
            _ => self.delta(),
        }
    }

    fn whole(&mut self, list: UpdateKind) {
        let listed = self.chance.draw();
        let mut entries = vec![];
        for server in 0..self.names.len() {
            if self.chance.draw() < listed {
                entries.push(self.names[server].clone());
            }
        }
        self.members(list, entries);
    }

    /// Lines of all kinds, some on the same server.
    fn delta(&mut self) {
        let most = self.names.len() as u32;
        let (lines, joins) = (1 + self.chance.below(most), self.chance.draw());
        let mut entries = vec![];
        for _ in 0..lines {
            let server = self.chance.below(most);
            let comes = self.chance.draw() < joins;
            if comes && self.chance.below(4) == 0 {
                self.names[server as usize].started_at = self.now;
            } else if comes && self.chance.below(8) == 0 {
                let ready_at = self.names[server as usize].started_at;
                self.names[server as usize] = Endpoint {
                    started_at: ready_at,
                    ..drawn(&mut self.chance, server)
                };
            }
            let gone = [ServerState::Draining, ServerState::Removed];
            let state = if comes {
                ServerState::Up
            } else {
                self.chance.one_of(&gone)
            };
            entries.push(Endpoint {
                state,
                ..self.names[server as usize].clone()
            });
        }
        self.members(UpdateKind::Delta, entries);
    }

    /// Puts drawn shares, averages, budgets and ejections in place of what answers would teach.
    fn learn(&mut self) {
        self.steps.push(format!("{} learned", self.now));
        let mut learned = self.node.learned(self.now);
        for l in &mut learned.servers {
            let share = self.chance.one_of(&[1e-3, 0.1, 0.1, 1.0, 1.0, 3.0]);
            l.relative_probability = share * (0.5 + self.chance.draw());
            l.mean_response = 0.01 + 0.1 * self.chance.draw();
            l.slow_start_credit = 0.1 * self.chance.draw();
            l.ejected_for = self.chance.one_of(&[0.0, 0.0, 0.4, 8.0]);
        }
        // One server that has nearly all.
        if let Some(l) = learned
            .servers
            .first_mut()
            .filter(|_| self.chance.below(3) == 0)
        {
            l.relative_probability = 1e4;
        }
        self.node.adopt(self.now, &learned);
        self.reference.adopt(self.now, &learned);
        self.compare();
    }
}

fn drawn(chance: &mut Chance, server: ServerId) -> Endpoint {
    let weight = 0.1 + 4.0 * chance.draw();
    Endpoint {
        machine_type: chance.below(4) as MachineTypeId,
        weight,
        ..common::entry(server)
    }
}

fn alone() -> Settings {
    settings(vec![class(Idempotency::Idempotent)])
}

/// One of a hundred nodes, each with a part of a long list.
fn of_many() -> Settings {
    let tenants = vec![Tenant { quota: 2000.0 }];
    Settings {
        node_count: 100,
        node_index: Some(3),
        tenants,
        ..alone()
    }
}

fn play(names: u32, seeds: u64, steps: u32) {
    for settings in [alone(), of_many()] {
        for weighted in [false, true] {
            for seed in 0..seeds {
                let mut both = Both::new(
                    seed,
                    names,
                    Settings {
                        has_server_weights: weighted,
                        ..settings.clone()
                    },
                );
                both.whole(UpdateKind::Cached);
                (0..steps).for_each(|_| both.step());
            }
        }
    }
}

#[test]
fn short_lists_are_as_a_walk_for_each_line_makes_them() {
    play(2, 40, 40);
    play(9, 40, 40);
}

#[test]
fn long_lists_are_as_a_walk_for_each_line_makes_them() {
    play(90, 10, 30);
    play(400, 2, 25);
}

#[test]
fn a_server_lower_than_those_at_the_floor_joins_as_it_was() {
    let mut both = Both::new(1, 300, of_many());
    let all = both.names.clone();
    both.members(UpdateKind::Cached, all.clone());
    let gone = |e: &Endpoint| Endpoint {
        state: ServerState::Removed,
        ..e.clone()
    };
    for _ in 0..5 {
        both.learn();
        both.now += 0.1;
        both.members(UpdateKind::Delta, all[..60].iter().map(gone).collect());
        both.now += 0.1;
        // Each that goes raises the floor; each that returns, often lower than that, lowers it.
        let turns = all[..60]
            .iter()
            .zip(&all[100..])
            .flat_map(|(back, goes)| [gone(goes), back.clone()]);
        both.members(UpdateKind::Delta, turns.collect());
        both.now += 0.1;
        both.members(UpdateKind::Snapshot, all.clone());
    }
}

#[test]
fn rounding_does_not_pile_up_over_a_long_churn() {
    let mut both = Both::new(2, 40, of_many());
    let all = both.names.clone();
    both.members(UpdateKind::Cached, all);
    both.learn();
    for round in 0..300 {
        both.now += 0.01;
        let server = round % 40;
        both.names[server].started_at = both.now;
        let entry = both.names[server].clone();
        both.members(UpdateKind::Delta, vec![entry]);
    }
    // And in one piece of news that restarts the same few servers over and over.
    let entries = (0..20_000).map(|n| Endpoint {
        started_at: both.now + f64::from(n) * 1e-6,
        ..both.names[n as usize % 7].clone()
    });
    let entries: Vec<Endpoint> = entries.collect();
    both.now += 1.0;
    both.members(UpdateKind::Delta, entries);
}
